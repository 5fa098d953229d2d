"""Background tasks that report their failures."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping

import structlog

from savorylift.front import metrics

_log = structlog.get_logger()


class BackgroundTasks:
    """Keeps references to running tasks and logs those that fail."""

    def __init__(self, on_failure: Callable[[], None]) -> None:
        """Calls `on_failure` after a task has ended with an exception."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[object, object, None]) -> None:
        """Runs a coroutine in the background."""
        name = getattr(coro, "__qualname__", None)
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            name = task.get_name()
            metrics.TASK_FAILURES.labels(name).inc()
            _log.error("task_failed", task=name, exc_info=task.exception())
            self._on_failure()


def log_callback_failures() -> None:
    """Logs what callbacks of the running event loop raise, and counts them."""
    asyncio.get_running_loop().set_exception_handler(_on_callback_failure)


def _on_callback_failure(
    _loop: asyncio.AbstractEventLoop, context: Mapping[str, object]
) -> None:
    metrics.CALLBACK_FAILURES.inc()
    _log.error(
        "callback_failed",
        detail=context.get("message"),
        callback=repr(context.get("handle") or context.get("task")),
        exc_info=context.get("exception"),
    )
