"""Background tasks whose failures are never silent."""

import asyncio
from collections.abc import Callable, Coroutine

import structlog

_log = structlog.get_logger()


class Tasks:
    """Keeps tasks alive and reports one that fails."""

    def __init__(self, failed: Callable[[], None]) -> None:
        """Calls `failed` after a task has ended with an error."""
        self._failed = failed
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_end)

    def _on_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", exc_info=task.exception())
            self._failed()
