"""The time after an outage in which entries may be missing."""


class GracePeriod:
    """Time in which servers whose entries the store lost may write again.

    Attributes:
        until_s: Monotonic time of its end; 0 before the first.
    """

    def __init__(self, duration_s: float) -> None:
        """Starts without a period.

        Args:
            duration_s: Length of a period, from the return of the store.
        """
        self._duration_s = duration_s
        self.until_s = 0.0

    def start(self, returned_s: float) -> None:
        """Starts a period at a monotonic time; changes none that ends later."""
        self.until_s = max(self.until_s, returned_s + self._duration_s)

    def date_back(self, returned_s: float) -> None:
        """Ends the period earlier, if the store had returned by that time."""
        self.until_s = min(self.until_s, returned_s + self._duration_s)

    def is_over(self, now_s: float) -> bool:
        """Whether no period goes on."""
        return now_s >= self.until_s
