"""Background tasks that report their failures."""

import asyncio
from collections.abc import Callable, Coroutine

import structlog

_log = structlog.get_logger()


class BackgroundTasks:
    """Keeps references to running tasks and logs those that fail."""

    def __init__(self, on_failure: Callable[[], None]) -> None:
        """Calls `on_failure` after a task has ended with an exception."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[object, object, None]) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", exc_info=task.exception())
            self._on_failure()
