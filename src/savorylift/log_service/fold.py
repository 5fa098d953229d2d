"""State that is a deterministic function of a log stream's records."""

from typing import Protocol

from savorylift.log_service.log import LogRecord


class Fold(Protocol):
    """One part of the state that a stream's records describe.

    All readers that apply the same records in offset order hold equal state.
    """

    def apply(self, record: LogRecord) -> None:
        """Applies one record; ignores kinds that it does not know."""

    def dump(self) -> str:
        """Returns the whole state as JSON text, for a snapshot record."""

    def load(self, text: str) -> None:
        """Replaces the state by one that `dump` returned."""
