"""Values that messages between nodes may have.

Messages with others are unreadable: one that can't be sent to, or calculated
with, would fail wherever it is used, on each node that has heard it.
"""

from typing import Annotated

import msgspec

# Larger numbers can't be calculated with as floats, or be in logs.
MAX_COUNT = 1 << 53
# Constraints must fit into 64 bits.
MAX_NUMBER = 1 << 62
MAX_INTERVAL_S = 3600.0
_BYTE = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"

Ip = Annotated[str, msgspec.Meta(pattern=rf"^{_BYTE}(\.{_BYTE}){{3}}\Z")]
Port = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
Count = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
# Positions in the store, times in milliseconds, and random numbers.
Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Interval = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTERVAL_S)]
# A number that is finite, and not a number of another kind.
Seconds = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
