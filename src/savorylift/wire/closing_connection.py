"""A connection that was closed, and whose caller has yet to read or reply."""

from collections.abc import Callable

from savorylift.wire.channel import Channel
from savorylift.wire.progress import Phase, Progress

# Most bytes of an answer in the buffer of the transport below TLS, which
# `Channel.unsent_bytes` doesn't count.
MAX_UNSEEN_BYTES = 65_536


class ClosingConnection:
    """What decides whether a connection is cut that was closed in order.

    It keeps its descriptor until what was written is sent and, over TLS, the
    caller has replied to the notice of the end. A caller that behaves needs
    only the time to read what may be left.

    Attributes:
        address: Address of the host that has opened it.
    """

    def __init__(self, channel: Channel, address: str) -> None:
        """Closes a connection.

        Args:
            channel: The connection.
            address: Address of the host that has opened it.
        """
        self.address = address
        self._channel = channel
        self._progress = Progress()
        self._progress.enter(Phase.CLOSING)
        self._unsent_at_start = channel.unsent_bytes
        channel.close()

    @property
    def progress(self) -> Progress:
        """How far its caller has come.

        Bytes that can't be counted are taken for read, so that a caller gets
        the time to read them before it counts as behind.
        """
        sent = self._unsent_at_start - self._channel.unsent_bytes
        self._progress.moved_bytes = MAX_UNSEEN_BYTES + sent
        return self._progress

    @property
    def held_bytes(self) -> int:
        """Output that is yet unsent."""
        return self._channel.unsent_bytes

    def abort(self) -> None:
        """Cuts the connection."""
        self._channel.abort()

    def call_when_lost(self, on_lost: Callable[[], None]) -> None:
        """Calls a function once its descriptor is free."""
        if self._channel.is_lost:
            on_lost()
        else:
            self._channel.on_lost = on_lost
