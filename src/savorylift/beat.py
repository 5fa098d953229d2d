"""Wakes the periodic tasks of a process together, so that it wakes less often.

The moment differs between processes, so that nodes don't wake all at once. What
a task looks for at each beat is asked by the beat itself: a task that has
nothing to do isn't woken, which would cost more than the question.
"""

import asyncio
import math
import random
import weakref
from collections.abc import Callable

# Longest interval in use. Beats of intervals that divide it fall together.
MAX_INTERVAL_S = 0.4
# By how much the beats of this process are shifted.
_PHASE_S = random.random() * MAX_INTERVAL_S
# Less than this share of an interval isn't worth a wake-up of its own.
MIN_SHARE = 0.5
# The loop may call a timer by its clock's resolution too early.
EARLY_S = 0.001


def _is_always_due() -> bool:
    return True


async def wait_for_beat(
    interval_s: float, is_due: Callable[[], bool] = _is_always_due
) -> float:
    """Sleeps until the next beat that is half an interval away, or more.

    Args:
        interval_s: Time between beats. Tasks with the same one wake together.
        is_due: Asked at that beat, and again at each one after it until there
            is something to do; must be quick and not block. What it raises is
            raised here.

    Returns:
        By how many seconds the sleep ended late.
    """
    loop = asyncio.get_running_loop()
    key = id(loop), interval_s
    beat = _beats.get(key)
    if beat is None:
        beat = _beats[key] = _Beat(interval_s)
    return await beat.wait(loop, is_due)


class _Waiter:
    """A task that waits.

    Attributes:
        fut: Ends the wait, with what `is_due` raised if it did.
        is_due: Whether the task has something to do.
        due_s: Time of the beat at which it is asked next, by the loop's clock.
    """

    def __init__(
        self,
        fut: asyncio.Future[Exception | None],
        is_due: Callable[[], bool],
        due_s: float,
    ) -> None:
        self.fut = fut
        self.is_due = is_due
        self.due_s = due_s

    def ask(self) -> None:
        """Ends the wait if the task has something to do."""
        try:
            if self.is_due():
                self.fut.set_result(None)
        except Exception as exc:
            # It belongs to the task; the other ones go on. Passed on as a
            # result, since futures refuse some exceptions.
            self.fut.set_result(exc)


class _Beat:
    """The tasks of an event loop that wait for beats of one interval."""

    def __init__(self, interval_s: float) -> None:
        """Has no timer until `wait` is called."""
        self._interval_s = interval_s
        self._waiters: list[_Waiter] = []
        self._has_timer = False

    async def wait(
        self, loop: asyncio.AbstractEventLoop, is_due: Callable[[], bool]
    ) -> float:
        """Waits as `wait_for_beat` says."""
        waiter = _Waiter(
            loop.create_future(), is_due, self._next_s(loop.time())
        )
        self._waiters.append(waiter)
        self._start_timer(loop)
        exc = await waiter.fut
        if exc is not None:
            raise exc
        return loop.time() - waiter.due_s

    def _next_s(self, now_s: float) -> float:
        """Returns the time of the next beat that is far enough away."""
        beats = math.ceil((now_s - _PHASE_S) / self._interval_s + MIN_SHARE)
        return _PHASE_S + beats * self._interval_s

    def _start_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Makes sure that the next beat comes, if any task waits.

        Those that came first have the next one, so that a timer is never late.
        """
        if self._waiters and not self._has_timer:
            self._has_timer = True
            loop.call_at(self._waiters[0].due_s, self._strike, loop)

    def _strike(self, loop: asyncio.AbstractEventLoop) -> None:
        """Asks the tasks whose beat this is whether they have to wake."""
        self._has_timer = False
        now_s = loop.time()
        asked, later = [], []
        for waiter in self._waiters:
            if waiter.due_s <= now_s + EARLY_S:
                asked.append(waiter)
            else:
                later.append(waiter)
        # Cancelled ones are done, too.
        for waiter in asked:
            if not waiter.fut.done():
                waiter.ask()
        left = [waiter for waiter in asked if not waiter.fut.done()]
        next_s = self._next_s(now_s)
        for waiter in left:
            waiter.due_s = next_s
        self._waiters = later + left
        self._start_timer(loop)


# By the identity of their loop, whose timers and tasks hold them.
_beats: weakref.WeakValueDictionary[tuple[int, float], _Beat] = (
    weakref.WeakValueDictionary()
)
