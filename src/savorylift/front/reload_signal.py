"""Records a reload request (SIGHUP) that arrives during start-up.

Without a handler, SIGHUP would end the process.
"""

import signal


class ReloadSignal:
    """Records SIGHUP until the node installs its own handler.

    Attributes:
        is_received: Whether a SIGHUP has arrived.
    """

    def __init__(self) -> None:
        """Installs the signal handler."""
        self.is_received = False
        signal.signal(signal.SIGHUP, self._on_sighup)

    def _on_sighup(self, _number: int, _frame: object) -> None:
        self.is_received = True


def record_reload_signal() -> ReloadSignal:
    """Installs the SIGHUP recorder unless there is one; returns it."""
    current = getattr(signal.getsignal(signal.SIGHUP), "__self__", None)
    return current if isinstance(current, ReloadSignal) else ReloadSignal()
