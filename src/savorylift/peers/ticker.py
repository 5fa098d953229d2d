"""A thread that calls a function at a steady interval."""

import threading
from collections.abc import Callable


class Ticker:
    """Calls a function at a steady interval until stopped."""

    def __init__(
        self,
        interval_s: float,
        func: Callable[[], None],
        name: str,
        *,
        is_immediate: bool = False,
    ) -> None:
        """Prepares the thread; `is_immediate` calls at the start as well."""
        self._interval_s = interval_s
        self._func = func
        self._is_immediate = is_immediate
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 2.0) -> bool:
        """Ends the thread; False if it did not end in time."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        if self._is_immediate and not self._stop.is_set():
            self._func()
        while not self._stop.wait(self._interval_s):
            self._func()
