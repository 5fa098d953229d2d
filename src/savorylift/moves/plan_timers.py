"""When a planner looks at the runs that wait for their turns."""

import asyncio
import time
from collections.abc import Callable

# Requests that come within this time share a plan.
SHARE_DELAY_S = 0.01
# A plan is followed by a pause of this multiple of its time, so that a small VM
# also serves its own callers while many runs wait.
PAUSE_PER_PLAN = 9
MAX_PAUSE_S = 0.1
# A service that had no plan for so long waits for no pause: engines may leave
# with notices hardly longer, and pauses after many services' plans add up.
MAX_UNPLANNED_S = 1.0
# A timer that calls this late was held up by a standstill of the process. What
# came meanwhile is read before the plan is made.
MAX_LATE_S = 0.1


class PlanTimers:
    """Has plans made soon after something has changed, one after another.

    One that is due long ago goes first, so that services take turns. Pauses
    hold up only what was planned a short time ago.
    """

    def __init__(self, plan: Callable[[str], None]) -> None:
        """Starts without timers.

        Args:
            plan: Plans the moves off the engines of a service.
        """
        self._plan = plan
        # Monotonic time at which each service's plan is due.
        self._due_s: dict[str, float] = {}
        # Monotonic time at which each service was planned last, if lately.
        self._planned_s: dict[str, float] = {}
        # Monotonic time until which no service is planned again.
        self._pause_until_s = 0.0
        # Monotonic time until which no plan is made.
        self._put_off_until_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Monotonic time at which the timer should call.
        self._timer_s = 0.0
        # Whether the next plan was put off for what came meanwhile.
        self._is_put_off = False

    def set(self, service: str, delay_s: float = SHARE_DELAY_S) -> None:
        """Has a service's plan made after a time, or as soon as it may be.

        Args:
            service: Name of the service.
            delay_s: Time within which more may come that shares the plan.
        """
        due_s = time.monotonic() + delay_s
        if due_s < self._due_s.get(service, float("inf")):
            self._due_s[service] = due_s
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._due_s:
            return
        now_s = time.monotonic()
        first_s = min(map(self._ready_s, self._due_s))
        self._timer_s = max(first_s, now_s)
        self._timer = asyncio.get_running_loop().call_later(
            self._timer_s - now_s, self._run
        )

    def _ready_s(self, service: str) -> float:
        """Returns when a service's plan may be made, as a monotonic time."""
        due_s = max(self._due_s[service], self._put_off_until_s)
        planned_s = self._planned_s.get(service)
        if planned_s is None:
            return due_s
        pause_until_s = min(self._pause_until_s, planned_s + MAX_UNPLANNED_S)
        return max(due_s, pause_until_s)

    def _run(self) -> None:
        self._timer = None
        begun_s = time.monotonic()
        if begun_s - self._timer_s > MAX_LATE_S and not self._is_put_off:
            # Once only: a busy loop calls all timers late.
            self._is_put_off = True
            self._put_off_until_s = begun_s + SHARE_DELAY_S
            self._set_timer()
            return
        self._is_put_off = False
        service = min(self._due_s, key=self._order)
        del self._due_s[service]
        try:
            self._plan(service)
        finally:
            self._begin_pause(service, begun_s)
            self._set_timer()

    def _order(self, service: str) -> tuple[float, float]:
        """Sorts services: those that may be planned first go first."""
        return self._ready_s(service), self._due_s[service]

    def _begin_pause(self, service: str, begun_s: float) -> None:
        """Notes a plan that has just been made, and what follows it."""
        ended_s = time.monotonic()
        self._planned_s = {
            name: planned_s
            for name, planned_s in self._planned_s.items()
            if ended_s - planned_s < MAX_UNPLANNED_S
        }
        self._planned_s[service] = ended_s
        pause_s = min(PAUSE_PER_PLAN * (ended_s - begun_s), MAX_PAUSE_S)
        # The pauses of plans that waited for none follow one after another.
        self._pause_until_s = max(self._pause_until_s, ended_s) + pause_s
