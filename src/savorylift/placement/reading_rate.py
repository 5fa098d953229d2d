"""How fast the engines of a service read prompts, learned from answers."""

# Engines of one accelerator group read some ten tokens in a millisecond.
FIRST_GUESS_PER_S = 10_000.0
SLOWEST_PER_S = 1_000.0
FASTEST_PER_S = 200_000.0
WEIGHT = 0.1


class ReadingRate:
    """A moving average over generations that began lately."""

    def __init__(self) -> None:
        """Starts with a guess."""
        self.tokens_per_s = FIRST_GUESS_PER_S

    def learn(self, tokens: int, delay_s: float) -> None:
        """Takes in one first event.

        Args:
            tokens: Prompt tokens that the engine had to read until then, of
                this generation and of those before it.
            delay_s: Time from sending to the first event.
        """
        if tokens <= 0 or delay_s <= 0:
            return
        sample = min(max(tokens / delay_s, SLOWEST_PER_S), FASTEST_PER_S)
        self.tokens_per_s += WEIGHT * (sample - self.tokens_per_s)
