"""The state of a simulated generation, and samples of the fleet."""

import enum
from typing import NamedTuple

from savorylift.emulator.load_file import Arrivals
from savorylift.exchange.request import Generation
from savorylift.placement.engines import expected_tokens


class Outcome(enum.StrEnum):
    """How a generation ended; the values are columns of the report."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


class Job:
    """A simulated generation.

    Attributes:
        number: Sequence number in the order of arrival.
        kind: Arrivals that the generation belongs to.
        arrived_s: Virtual time of its arrival.
        output_tokens: Tokens that it will generate; hidden from the policy.
        tokens: Tokens that it is expected to reach, including its prompt.
        engine: Index of its engine; None while it waits.
        first_token_at_s: Virtual time of its first token; None before that.
        ends_s: Virtual time of its last token.
        moves: Number of times that it was moved to another engine.
        outcome: How it ended; None while it waits or runs.
    """

    def __init__(
        self,
        number: int,
        kind: Arrivals,
        arrived_s: float,
        output_tokens: int,
        hint: int,
    ) -> None:
        """Creates a generation that waits for an engine.

        Args:
            number: Sequence number in the order of arrival.
            kind: Arrivals that the generation belongs to.
            arrived_s: Virtual time of its arrival.
            output_tokens: Tokens that it will generate.
            hint: The caller's estimate of `output_tokens`.
        """
        self.number = number
        self.kind = kind
        self.arrived_s = arrived_s
        self.output_tokens = output_tokens
        generation = Generation(kind.prompt_tokens, kind.output_tokens[1], hint)
        self.tokens = expected_tokens(generation)
        self.engine: int | None = None
        self.first_token_at_s: float | None = None
        self.ends_s = 0.0
        self.moves = 0
        self.outcome: Outcome | None = None

    @property
    def attempt_id(self) -> str:
        """Identifier in planned moves; sorts in the order of arrival."""
        return f"{self.number:08}"

    def memory_tokens(self, now_s: float) -> int:
        """Returns the tokens that it holds in its engine's KV cache."""
        if self.first_token_at_s is None:
            return self.kind.prompt_tokens
        span_s = max(self.ends_s - self.first_token_at_s, 1e-9)
        progress = min((now_s - self.first_token_at_s) / span_s, 1.0)
        return self.kind.prompt_tokens + int(progress * self.output_tokens)

    @property
    def time_to_first_token_s(self) -> float | None:
        """Time from its arrival to its first token; None before that."""
        return (
            None
            if self.first_token_at_s is None
            else self.first_token_at_s - self.arrived_s
        )


class FleetSample(NamedTuple):
    """The state of the fleet at one time.

    Attributes:
        at_s: Virtual time of the sample.
        fill: Share of the running engines' KV caches that is in use.
        waiting: Number of generations that wait for an engine.
    """

    at_s: float
    fill: float
    waiting: int
