"""Estimates how fast engines prefill prompts."""

# Engines of one accelerator group prefill about ten tokens per millisecond.
INITIAL_TOKENS_PER_S = 10_000.0
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 200_000.0
SMOOTHING_FACTOR = 0.1


class PrefillRate:
    """Exponential moving average of the prefill rate.

    Attributes:
        tokens_per_s: Current estimate.
    """

    def __init__(self) -> None:
        """Starts with an assumed rate."""
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def update(self, tokens: int, delay_s: float) -> None:
        """Updates the estimate with the first event of a generation.

        Args:
            tokens: Prompt tokens that the engine had to prefill before the
                event, those of generations ahead included.
            delay_s: Time from sending the request to the event.
        """
        if tokens <= 0 or delay_s <= 0:
            return
        sample = min(max(tokens / delay_s, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)
        self.tokens_per_s += SMOOTHING_FACTOR * (sample - self.tokens_per_s)
