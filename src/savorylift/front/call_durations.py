"""How long calls to plain services take, for nodes that are about to stop."""

import collections
import contextlib
import time
from collections.abc import Iterator

# Calls of each service that tell how long the next one may take.
MAX_SAMPLES = 32


class CallDurations:
    """Durations of the latest calls, and the ages of those in progress."""

    def __init__(self) -> None:
        """Starts without any call."""
        self._took_s: dict[str, collections.deque[float]] = {}
        # Monotonic times at which the calls in progress began, in order.
        self._open_s: dict[str, dict[int, float]] = {}
        self._next_number = 0

    @contextlib.contextmanager
    def measure(self, service: str) -> Iterator[None]:
        """Measures a call from its beginning to its answer."""
        self._next_number += 1
        number, began_s = self._next_number, time.monotonic()
        self._open_s.setdefault(service, {})[number] = began_s
        try:
            yield
            samples = self._took_s.setdefault(
                service, collections.deque(maxlen=MAX_SAMPLES)
            )
            samples.append(time.monotonic() - began_s)
        finally:
            del self._open_s[service][number]
            if not self._open_s[service]:
                del self._open_s[service]

    def longest_s(self, service: str) -> float | None:
        """Returns how long a call may take; None if none has ended lately."""
        samples = self._took_s.get(service)
        if not samples:
            return None
        began_s = next(iter(self._open_s.get(service, {}).values()), None)
        oldest_s = 0.0 if began_s is None else time.monotonic() - began_s
        return max(*samples, oldest_s)
