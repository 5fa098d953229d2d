"""Signals that a running node handles."""

import asyncio
import signal
from collections.abc import Callable

from savorylift.front.reload_signal import ReloadSignal


def handle_signals(
    leave: Callable[[], None],
    reload: Callable[[], None],
    reload_signal: ReloadSignal | None,
) -> None:
    """Handles the signals of this process on the running event loop.

    Args:
        leave: Called on SIGTERM and SIGINT.
        reload: Called on SIGHUP, and now if one has been recorded.
        reload_signal: Records a SIGHUP that arrived before the call.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, leave)
    loop.add_signal_handler(signal.SIGINT, leave)
    loop.add_signal_handler(signal.SIGHUP, reload)
    if reload_signal is not None and reload_signal.is_received:
        reload()
