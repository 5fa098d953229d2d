"""What a check of a configuration finds, and how it differs from another."""

import enum
from typing import NamedTuple


class FindingKind(enum.StrEnum):
    """Kinds of findings.

    Attributes:
        UNREADABLE: The entry can't be read; nothing may be published.
        UNKNOWN_NAME: The entry names something that isn't defined.
        NEVER_MATCHES: No request can ever come to the entry.
        CONTRADICTION: Two limits can't both hold, or one can't be meant.
        NO_EFFECT: The entry, or a part of it, changes nothing.
    """

    UNREADABLE = "unreadable"
    UNKNOWN_NAME = "unknown_name"
    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"
    NO_EFFECT = "no_effect"


class Location(NamedTuple):
    """Where an entry stands.

    Attributes:
        line: Line number, starting at 1; 0 if the format has none.
        column: Column in characters, starting at 1; 0 for the whole line.
        path: JSON path; empty for a file of lines.
    """

    line: int = 0
    column: int = 0
    path: str = ""

    def __str__(self) -> str:
        """Returns the path, or `LINE` or `LINE:COLUMN`."""
        if self.path or not self.line:
            return self.path
        return f"{self.line}:{self.column}" if self.column else f"{self.line}"


class Finding(NamedTuple):
    """One fault, or one entry that can't do what it seems to say.

    Attributes:
        kind: Kind of the finding.
        location: Where the entry stands.
        message: What is wrong with it.
        asked_by: Who asked for the entry; empty if the format doesn't say.
    """

    kind: FindingKind
    location: Location
    message: str
    asked_by: str = ""


class ChangeKind(enum.StrEnum):
    """What becomes of an entry."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class Change(NamedTuple):
    """An entry that differs from the version compared with.

    Attributes:
        kind: What becomes of the entry.
        entry: Kind and name of the entry.
        location: Where it stands; in the other version if it is removed.
        detail: What differs.
        asked_by: Who asked for the entry; empty if the format doesn't say.
    """

    kind: ChangeKind
    entry: str
    location: Location
    detail: str = ""
    asked_by: str = ""


class CheckReport(NamedTuple):
    """Result of checking one file.

    Attributes:
        findings: All findings, in the order of the file.
        changes: What differs from the version compared with; None without one.
    """

    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] | None = None

    @property
    def is_readable(self) -> bool:
        """Whether all entries could be read."""
        return all(
            finding.kind is not FindingKind.UNREADABLE
            for finding in self.findings
        )
