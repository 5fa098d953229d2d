"""Which streams end so soon that it rarely matters which process began them."""

from savorylift.exchange.run import Run

# A stream of so many events at most ends within moments.
SHORT_EVENTS = 8
# After this time its process is looked for all the same.
ASK_LATE_S = 0.5


def is_short(run: Run) -> bool:
    """Whether a stream is to end within moments of its first event."""
    engine = run.admitted.service.engine
    generation = run.admitted.req.generation
    if engine is None or generation is None:
        return False
    max_tokens = SHORT_EVENTS * engine.tokens_per_event
    return 0 < generation.max_output_tokens <= max_tokens
