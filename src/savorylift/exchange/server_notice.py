"""What a backend server says in an answer of its own plans."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """Whether a server wants further requests of this node.

    Attributes:
        is_leaving: Whether it says that it is draining.
        hold_s: For how long it wants no requests; None if it doesn't say.
    """

    is_leaving: bool = False
    hold_s: float | None = None


NO_NOTICE = ServerNotice()
