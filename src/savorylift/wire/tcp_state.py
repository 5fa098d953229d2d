"""Reads from the system whether the peer of a connection lives on."""

import array
import fcntl
import socket
import struct
import termios
import time
from typing import Final, cast

from savorylift.boot_clock import boot_time_s

# Where `struct tcp_info` of Linux holds what is used of it: the state, and the
# milliseconds since data last arrived.
_INFO: Final = struct.Struct("B51xI")
_ESTABLISHED: Final = 1
# The system counts these milliseconds in ticks, the longest of which this is.
_TICK_S: Final = 0.01
# Change of the time that this VM was suspended which may be one of rounding.
_ROUNDING_S: Final = 0.005


class TcpState:
    """The state of a connection.

    Attributes:
        opened_s: Boot time at which the connection was open.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Takes a connection that has just been opened."""
        self._sock = sock
        self.opened_s = boot_time_s()
        self._suspended_s = _suspended_s()

    def heard_s(self) -> float | None:
        """Returns the boot time at which the peer last sent anything.

        None if the connection has ended, or that can't be known: while there
        is something to read, the peer may have sent the last of it long ago.
        The system doesn't count the time for which this VM was suspended.
        """
        if abs(_suspended_s() - self._suspended_s) > _ROUNDING_S:
            return None
        now_s = boot_time_s()
        try:
            info = self._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size
            )
            unread = array.array("i", [0])
            fcntl.ioctl(self._sock.fileno(), termios.FIONREAD, unread)
        except (OSError, ValueError):
            return None
        if unread[0]:
            return None
        if len(info) < _INFO.size:
            return None
        state, silent_ms = cast("tuple[int, int]", _INFO.unpack(info))
        if state != _ESTABLISHED:
            return None
        return now_s - silent_ms / 1000 - _TICK_S


def _suspended_s() -> float:
    """Returns for how long this VM was suspended since it started."""
    return boot_time_s() - time.monotonic()
