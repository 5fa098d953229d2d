"""Which process of a server answers, as far as that is known."""

import enum
from typing import NamedTuple


class Life(enum.StrEnum):
    """Which process of a server answers.

    Attributes:
        SAME: That of the entry.
        OTHER: One that has started since.
        SILENT: None.
        NOT_ASKED: Not known: the server wants no more requests now.
        UNNAMED: Not known: the entry or the server names no start.
        NO_REPORT: Not known: the server has no report. Its entry is all that
            it says of itself, and counts.
        SHOWN: That of the entry, although it doesn't say so itself.
        UNSHOWN: Not known: it has no report or names no start, and the process
            of its entry may have ended.
        UNSOUND: Not known: the server names an earlier start than before.
    """

    SAME = "same"
    OTHER = "other"
    SILENT = "silent"
    NOT_ASKED = "not_asked"
    UNNAMED = "unnamed"
    NO_REPORT = "no_report"
    SHOWN = "shown"
    UNSHOWN = "unshown"
    UNSOUND = "unsound"


class LifeReport(NamedTuple):
    """What a check has found.

    Attributes:
        life: Which process answers.
        started_ms: Unix time in milliseconds at which it started; None if
            that isn't known.
    """

    life: Life
    started_ms: int | None = None
