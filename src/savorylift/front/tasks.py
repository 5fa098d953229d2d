"""Background tasks whose failures don't end the process.

All nodes read the same records and hear the same messages. What one of them
can't cope with must not end all of them, and end them again once they are back.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping

import structlog

from savorylift.front import metrics

# Pauses before a task that failed runs again: the first, and the longest.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
# A task that has run for so long since its last failure counts as sound.
SOUND_S = 60.0

_log = structlog.get_logger()


class BackgroundTasks:
    """Keeps references to running tasks; logs and counts those that fail."""

    def __init__(self) -> None:
        """Runs nothing yet."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[object, object, None]) -> None:
        """Runs a coroutine in the background, once."""
        name = getattr(coro, "__qualname__", None)
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def keep_running(
        self, run: Callable[[], Coroutine[object, object, None]]
    ) -> None:
        """Runs a coroutine in the background, and again after it has failed.

        Args:
            run: Returns the coroutine; called anew for each run.
        """
        self.spawn(_run_again(run))

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            exc = task.exception()
            if exc is not None:
                record_failure(task.get_name(), exc)


async def _run_again(
    run: Callable[[], Coroutine[object, object, None]],
) -> None:
    pause_s = MIN_PAUSE_S
    while True:
        began_s = time.monotonic()
        exc = await _run_to_end(run)
        if exc is None:
            return
        if time.monotonic() - began_s >= SOUND_S:
            pause_s = MIN_PAUSE_S
        record_failure(run.__qualname__, exc, again_in_s=pause_s)
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)


async def _run_to_end(
    run: Callable[[], Coroutine[object, object, None]],
) -> BaseException | None:
    """Returns the error with which a run ends; None if it returns.

    In a task of its own: so a run that is cancelled from within can be told
    from the end of what waits for it.
    """
    task = asyncio.get_running_loop().create_task(run())
    try:
        await asyncio.wait((task,))
    finally:
        task.cancel()
    return asyncio.CancelledError() if task.cancelled() else task.exception()


def run_step(step: Callable[[], object]) -> None:
    """Runs a step; one that fails keeps none of the others from theirs."""
    try:
        step()
    except Exception as exc:
        record_failure(_name_of(step), exc)


async def run_all(*runs: Callable[[], Awaitable[object]]) -> None:
    """Runs coroutines at once, each to its end whatever the others do."""

    async def run_one(run: Callable[[], Awaitable[object]]) -> None:
        await run()

    results = await asyncio.gather(*map(run_one, runs), return_exceptions=True)
    for run, result in zip(runs, results, strict=True):
        if isinstance(result, Exception):
            record_failure(_name_of(run), result)


def _name_of(function: Callable[..., object]) -> str:
    function = getattr(function, "func", function)
    return getattr(function, "__qualname__", repr(function))


def record_failure(
    name: str, exc: BaseException, again_in_s: float | None = None
) -> None:
    """Logs and counts an error in our own code.

    Args:
        name: What has failed.
        exc: The error.
        again_in_s: After what time it runs again; None if that is up to the
            caller.
    """
    metrics.TASK_FAILURES.labels(name).inc()
    _log.error("task_failed", task=name, again_in_s=again_in_s, exc_info=exc)


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
        callback=repr(
            context.get("handle")
            or context.get("task")
            or context.get("future")
        ),
        exc_info=context.get("exception"),
    )
