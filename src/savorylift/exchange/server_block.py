"""Why a server may get no request from this node now."""

import enum


class Block(enum.StrEnum):
    """What stands between requests of this node and a server.

    Attributes:
        LEAVING: It drains.
        OUT_OF_SERVICE: Operators have taken it or its domain out of service.
        HOLD: It wants nothing from this node for a while.
        LIMIT: The limit that it names is used up.
        COLD: It is cold, and this node's share of its cold start is used up.
        FULL: It has no place.
        BRITTLE: It is brittle, and this node's share of its places is used up.
    """

    LEAVING = "leaving"
    OUT_OF_SERVICE = "out_of_service"
    HOLD = "hold"
    LIMIT = "limit"
    COLD = "cold"
    FULL = "full"
    BRITTLE = "brittle"
