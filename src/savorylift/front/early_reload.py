"""Keeps a reload that is asked for while the program still starts.

SIGHUP ends a process that has no handler for it.
"""

import signal


class EarlyReload:
    """Notes SIGHUP until the node handles it.

    Attributes:
        is_asked: Whether one came.
    """

    def __init__(self) -> None:
        """Handles SIGHUP from now on."""
        self.is_asked = False
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, _number: int, _frame: object) -> None:
        self.is_asked = True


def hold_reloads() -> EarlyReload:
    """Returns what notes SIGHUP from now on, or already does."""
    current = getattr(signal.getsignal(signal.SIGHUP), "__self__", None)
    return current if isinstance(current, EarlyReload) else EarlyReload()
