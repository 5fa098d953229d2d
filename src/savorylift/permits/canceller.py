"""Ends work at a backend server that nobody waits for."""

from typing import Protocol

from returns.result import Result


class StreamCanceller(Protocol):
    """Cancels generations and calls; called on a thread of its own."""

    def cancel(self, backend_server: str, stream_id: str) -> Result[None, str]:
        """Returns success only if the work surely runs no more.

        Work unknown to the backend server counts as finished. Work that
        can't be cancelled, as a plain service's call, is a failure.
        """
