"""The rate-limited store of weights.

Run as `python -m tests.standins.weight_store`; control fields are those of
`WeightSettings`.
"""

import sys
import threading
import time
from collections.abc import Mapping

from tests.standins import control
from tests.standins.serving import Dropped, Reply, Request, error, run


class WeightSettings(control.Settings):
    """Limits and faults of the store.

    Attributes:
        rate: Reads a second, with a burst of as many.
        size_bytes: Size that every answer gives.
        delay_s: Time before an answer.
        outage: True answers every request with 503.
    """

    rate: float = 2.0
    size_bytes: int = 1 << 30
    delay_s: float = 0.0
    outage: bool = False


class WeightStore:
    """Answers reads within its rate."""

    def __init__(self, settings: WeightSettings) -> None:
        """Starts with a full allowance."""
        self.settings = settings
        self.lock = threading.Lock()
        self._allowance = settings.rate
        self._updated_s = time.monotonic()
        self._served: list[tuple[float, str]] = []
        self._refused = 0

    def on_change(self) -> None:
        """Needs nothing but the new settings."""

    def seen(self, query: Mapping[str, str]) -> object:
        """Returns each read with its time, and the number refused."""
        return {"served": self._served, "refused": self._refused}

    def handle(self, req: Request) -> Reply | Dropped:
        """Answers `GET /v1/weights/{model}/{version}`."""
        if self.settings.outage:
            return error(503, "outage")
        if req.method != "GET" or not req.path.startswith("/v1/weights/"):
            return error(404, "not_found")
        time.sleep(self.settings.delay_s)
        with self.lock:
            if not self._is_within_rate():
                self._refused += 1
                return error(429, "over_rate")
            self._served.append((time.time(), req.path))
        return Reply(200, {"bytes": self.settings.size_bytes})

    def _is_within_rate(self) -> bool:
        now = time.monotonic()
        gained = (now - self._updated_s) * self.settings.rate
        self._allowance = min(self._allowance + gained, self.settings.rate)
        self._updated_s = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def main() -> None:
    """Runs the store with the settings of the command line."""
    port, settings = control.parse_command_line(WeightSettings, sys.argv[1:])
    run(WeightStore(settings), port)


if __name__ == "__main__":
    main()
