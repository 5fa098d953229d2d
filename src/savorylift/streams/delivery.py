"""Which events of an engine may go to the caller.

A caller's answer is one sequence of tokens. It may come from several attempts
(connections to one engine, or replays on another); an attempt's event is
delivered only if it extends exactly what was delivered before.
"""

import enum

from savorylift.streams.events import TokenEvent


class Verdict(enum.Enum):
    """What to do with one event."""

    DELIVER = enum.auto()
    HOLD = enum.auto()
    END = enum.auto()
    DIVERGED = enum.auto()
    OUT_OF_ORDER = enum.auto()
    WRONG_GENERATION = enum.auto()


class Delivery:
    """Tracks one answer's delivered tokens against the current attempt."""

    def __init__(self, base: int = 0) -> None:
        """Starts an answer whose first `base` tokens went out elsewhere."""
        self._base = base
        self._tokens: list[str] = []
        self._attempt = ""
        self._expected = base
        self.is_ended = False

    @property
    def next_index(self) -> int:
        """Index of the next token that the caller has not got."""
        return self._base + len(self._tokens)

    def can_replay(self) -> bool:
        """Returns True if every delivered token is known here."""
        return self._base == 0

    def is_empty(self) -> bool:
        """Returns True if nothing was delivered yet, here or elsewhere."""
        return self.next_index == 0

    @property
    def expected_index(self) -> int:
        """Index of the event that the current attempt must send next."""
        return self._expected

    def begin_attempt(self, generation_id: str) -> None:
        """Expects a generation from its first token on."""
        assert self.can_replay(), "delivered tokens are unknown"
        self._attempt = generation_id
        self._expected = 0

    def attach(self, generation_id: str) -> None:
        """Expects the rest of a generation that another node relayed."""
        self._attempt = generation_id
        self._expected = self.next_index

    def restart(self) -> None:
        """Voids what was delivered; the caller must have been told."""
        self._base = 0
        self._tokens.clear()
        self._expected = 0

    def judge(self, event: TokenEvent) -> Verdict:
        """Decides about the attempt's next event and records a delivery."""
        if event.generation_id != self._attempt:
            return Verdict.WRONG_GENERATION
        if self.is_ended or event.token_index != self._expected:
            return Verdict.OUT_OF_ORDER
        if event.finish_reason is not None:
            return self._judge_end(event)
        self._expected += 1
        if event.token_index < self.next_index:
            return self._judge_replayed(event)
        self._tokens.append(event.token)
        return Verdict.DELIVER

    def _judge_end(self, event: TokenEvent) -> Verdict:
        if event.token_index < self.next_index:
            return Verdict.DIVERGED
        self.is_ended = True
        return Verdict.END

    def _judge_replayed(self, event: TokenEvent) -> Verdict:
        delivered = self._tokens[event.token_index - self._base]
        return Verdict.HOLD if event.token == delivered else Verdict.DIVERGED
