"""What takes the place of a transport once its connection is lost."""

import asyncio


class LostTransport(asyncio.Transport):
    """A transport that is closed, and refers to nothing.

    Over TLS, the protocol of a lost connection refers to its user, and that
    one to its transport. With this in the transport's place, the buffers of TLS
    are freed at once, and not only by the garbage collector.
    """

    def is_closing(self) -> bool:
        """Returns True."""
        return True

    def close(self) -> None:
        """Does nothing."""

    def abort(self) -> None:
        """Does nothing."""

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drops `data`."""

    def can_write_eof(self) -> bool:
        """Returns False."""
        return False

    def get_write_buffer_size(self) -> int:
        """Returns 0: nothing is sent anymore."""
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Does nothing."""
