"""Times between the events of a stream, as samples of its engine's speed."""

from typing import NamedTuple

# Events of one sample: prompts that the engine reads in between delay some.
SAMPLE_EVENTS = 12
# Samples of one stream at one engine. A caller that reads slowly delays its
# stream, and must not speak for the engine alone.
MAX_SAMPLES = 4


class StreamPace(NamedTuple):
    """The part of a stream that the next sample is made of.

    Attributes:
        server_id: Engine that sends it.
        began_s: Monotonic time of the event before it.
        events: Events of it so far.
        samples: Samples of the stream at that engine before.
    """

    server_id: str
    began_s: float
    events: int = 0
    samples: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether it makes a sample."""
        return self.events >= SAMPLE_EVENTS and self.samples < MAX_SAMPLES


def count_event(
    pace: StreamPace | None, server_id: str, now_s: float
) -> StreamPace:
    """Returns the part with one more event, or a new one that begins with it.

    Args:
        pace: The part so far; None at the first event.
        server_id: Engine that sent the event.
        now_s: Monotonic time.
    """
    if pace is None or pace.server_id != server_id:
        return StreamPace(server_id, now_s)
    if pace.is_whole:
        return StreamPace(server_id, now_s, samples=pace.samples + 1)
    return pace._replace(events=pace.events + 1)
