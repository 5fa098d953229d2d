"""What found no engine in one look at those that wait.

Room only shrinks while generations are placed. So what needs as much as one
that found none, or more, finds none either, and isn't tried.
"""

from collections.abc import Hashable
from typing import NamedTuple


class Need(NamedTuple):
    """What a generation needs of an engine.

    Attributes:
        kind: What decides which engines it may go to.
        tokens: Tokens that it is expected to reach.
        prompt_tokens: Tokens of its prompt.
        max_prefill_tokens: Most prompt tokens that may await prefill at its
            engine, including its own.
    """

    kind: Hashable
    tokens: int
    prompt_tokens: int
    max_prefill_tokens: float

    def is_as_hard_as(self, other: "Need") -> bool:
        """Whether every engine that has room for it has room for another."""
        return (
            self.tokens >= other.tokens
            and self.prompt_tokens >= other.prompt_tokens
            and self.max_prefill_tokens <= other.max_prefill_tokens
        )


class UnmetNeeds:
    """Needs that no engine meets now."""

    def __init__(self) -> None:
        """Starts without any."""
        self._by_kind: dict[Hashable, list[Need]] = {}

    def add(self, need: Need) -> None:
        """Notes that no engine meets a need."""
        self._by_kind.setdefault(need.kind, []).append(need)

    def covers(self, need: Need) -> bool:
        """Whether it is known that no engine meets a need."""
        known = self._by_kind.get(need.kind, ())
        return any(need.is_as_hard_as(other) for other in known)
