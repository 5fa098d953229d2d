"""What stands in place of the start of a server that isn't known."""

from typing import Final

# It isn't named.
NO_START: Final = 0
# The server has no report that could name it.
NO_REPORT: Final = -1
