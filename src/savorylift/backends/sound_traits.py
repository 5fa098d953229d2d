"""When servers last answered requests that others might be suspected with."""

from savorylift.backends.traits import is_request

# Bounds on what is remembered; requests differ more than parts of prompts.
MAX_PARTS = 1024
MAX_REQUESTS = 2048


class SoundTraits:
    """The times at which servers last survived requests with a trait."""

    def __init__(self) -> None:
        """Creates an empty memory."""
        # Monotonic times by trait; the one set last is at the end.
        self._parts: dict[str, float] = {}
        self._requests: dict[str, float] = {}

    def __contains__(self, trait: str) -> bool:
        """Whether a server survived a request with the trait."""
        return trait in self._times_for(trait)

    def time_s(self, trait: str) -> float:
        """Returns when a server last did so; 0.0 if that isn't known."""
        return self._times_for(trait).get(trait, 0.0)

    def add(self, trait: str, time_s: float) -> None:
        """Records that a server survived a request with the trait."""
        times = self._times_for(trait)
        times[trait] = max(time_s, times.pop(trait, 0.0))
        max_size = MAX_REQUESTS if times is self._requests else MAX_PARTS
        if len(times) > max_size:
            del times[next(iter(times))]

    def _times_for(self, trait: str) -> dict[str, float]:
        return self._requests if is_request(trait) else self._parts
