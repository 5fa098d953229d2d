"""Clock that stands still while this process does.

What was sent meanwhile has arrived and wasn't read yet, so that the silence of
others is judged by the time in which it could be.
"""

# Counts at most between two ticks; more than between those of a busy process.
MAX_STEP_S = 0.5


class RunningClock:
    """Adds up the time in which this process has been running."""

    def __init__(self) -> None:
        """Starts with the monotonic clock; counts all time until a tick."""
        self._stood_still_s = 0.0
        self._ticked_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Records that the process runs; to be called periodically."""
        self._stood_still_s = now_s - self.read(now_s)
        self._ticked_s = now_s

    def read(self, now_s: float) -> float:
        """Returns the time on this clock at a monotonic time."""
        if self._ticked_s is not None:
            now_s = min(now_s, self._ticked_s + MAX_STEP_S)
        return now_s - self._stood_still_s
