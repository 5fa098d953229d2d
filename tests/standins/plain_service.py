"""A simulated plain service; run as `python -m tests.standins.plain_service`.

`POST /control` changes fields of `ServiceSettings`; `GET /control` returns its
state and the record of its calls.
"""

import secrets
import sys
import threading
import time
from collections import Counter
from collections.abc import Mapping

from tests.standins import control
from tests.standins.threaded_server import (
    DropConnection,
    Reply,
    Request,
    error_reply,
    serve,
)

HANG_POLL_INTERVAL_S = 0.1


class ServiceSettings(control.Settings):
    """Capacity and injected faults of a plain service.

    Attributes:
        run_s: Duration of a call while warm.
        cold_limit: Maximum number of concurrent calls while cold; one more
            crashes the service.
        starts_cold: Whether each incarnation starts cold.
        cold_calls: Completed calls that end a cold phase.
        cold_factor: Multiplier of the duration of a call while cold.
        restart_s: Downtime after a crash from an excess of `cold_limit`.
        turn_cold: One-shot: starts a cold phase in the same incarnation.
        hides_cold: Whether the service reports itself as warm while cold.
        leaving: Whether the service drains: it refuses new calls with 503
            `leaving`.
        die_s: One-shot: crashes the service for this long, after which a new
            incarnation answers; a negative value means until `revive`.
        revive: One-shot: ends the downtime of a crash.
        hang_when_dead: Whether calls hang instead of being dropped while the
            service is down.
        lose_answers: Number of upcoming calls that run although the connection
            is closed without a response.
        lose_requests: Number of upcoming calls whose connection is closed
            before they run.
        delay_s: Delay of a response after the call ran.
        delay_answers: Number of upcoming calls that `delay_s` applies to.
        wrong_ids: Number of upcoming calls that get the response to the
            previous call.
    """

    run_s: float = 0.01
    cold_limit: int = 2
    starts_cold: bool = True
    cold_calls: int = 4
    cold_factor: float = 3.0
    restart_s: float = 1.0
    turn_cold: bool = False
    hides_cold: bool = False
    leaving: bool = False
    die_s: float = 0.0
    revive: bool = False
    hang_when_dead: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    delay_s: float = 0.0
    delay_answers: int = 0
    wrong_ids: int = 0


class PlainService:
    """Echoes each call; counts the runs by idempotency key and request id.

    Attributes:
        settings: Current settings and faults.
        lock: Guards the settings and the counters.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        """Starts the first incarnation."""
        self.settings = settings
        self.lock = threading.Lock()
        self._runs_by_key: Counter[str] = Counter()
        self._runs_by_id: Counter[str] = Counter()
        self._dispatches: list[dict[str, object]] = []
        self._overruns: list[float] = []
        self._max_running = 0
        self._max_cold_offered = 0
        self._last_reply = Reply(200, {}, {"X-Request-Id": "of-another"})
        self._dead_until_s = 0.0
        self._start_incarnation()

    def on_settings_changed(self) -> None:
        """Applies the one-shot faults."""
        cfg = self.settings
        if cfg.turn_cold:
            self._calls_until_warm = cfg.cold_calls
        if cfg.die_s:
            self._crash(cfg.die_s if cfg.die_s > 0 else float("inf"))
        if cfg.revive:
            self._dead_until_s = 0.0
        cfg.turn_cold, cfg.die_s, cfg.revive = False, 0.0, False

    def snapshot(self, query: Mapping[str, str]) -> object:
        """Returns the current state and the record of the started calls."""
        return {
            "incarnation": self._incarnation,
            "cold": self._calls_until_warm > 0,
            "running": len(self._running),
            "max_running": self._max_running,
            "max_cold_offered": self._max_cold_offered,
            "cold_limit": self.settings.cold_limit,
            "overruns": self._overruns,
            "runs_by_key": dict(self._runs_by_key),
            "runs_by_id": dict(self._runs_by_id),
            "dispatches": self._dispatches,
        }

    def handle(self, req: Request) -> Reply | DropConnection:
        """Returns the load report, or runs a call."""
        if self._is_dead():
            return self._hang_then_drop()
        if (req.method, req.path) == ("GET", "/v1/load"):
            with self.lock:
                return Reply(200, self._load_report())
        return self._call(req)

    def _call(self, req: Request) -> Reply | DropConnection:
        with self.lock:
            if self._consume_fault("lose_requests"):
                return DropConnection()
            refusal = self._admit_or_crash()
            if refusal:
                return refusal
            incarnation, running = self._incarnation, self._running
            is_cold = self._calls_until_warm > 0
            self._record_dispatch(req, is_cold=is_cold)
            duration_factor = self.settings.cold_factor if is_cold else 1.0
            run_s = self.settings.run_s * duration_factor
            running_call = object()
            running.add(running_call)
            self._max_running = max(self._max_running, len(running))
        time.sleep(run_s)
        with self.lock:
            running.discard(running_call)
        return self._answer(req, incarnation)

    def _answer(self, req: Request, incarnation: str) -> Reply | DropConnection:
        if incarnation != self._incarnation:
            return self._hang_then_drop()
        reply = _echo(req, incarnation)
        with self.lock:
            self._calls_until_warm = max(0, self._calls_until_warm - 1)
            is_lost = self._consume_fault("lose_answers")
            is_delayed = self._consume_fault("delay_answers")
            is_wrong = self._consume_fault("wrong_ids")
            previous, self._last_reply = self._last_reply, reply
        time.sleep(self.settings.delay_s if is_delayed else 0.0)
        if is_lost:
            return DropConnection()
        return previous if is_wrong else reply

    def _admit_or_crash(self) -> Reply | None:
        """Returns a refusal, or None if the call may run.

        A call beyond the cold limit is recorded as an overrun and crashes the
        service.
        """
        if self.settings.leaving:
            return error_reply(503, "leaving")
        if not self._calls_until_warm:
            return None
        offered = len(self._running) + 1
        self._max_cold_offered = max(self._max_cold_offered, offered)
        if offered <= self.settings.cold_limit:
            return None
        self._overruns.append(time.time())
        self._crash(self.settings.restart_s)
        return error_reply(503, "overloaded")

    def _record_dispatch(self, req: Request, *, is_cold: bool) -> None:
        key = req.headers.get("idempotency-key", "")
        request_id = req.headers.get("x-request-id", "")
        if key:
            self._runs_by_key[key] += 1
        self._runs_by_id[request_id] += 1
        self._dispatches.append(
            {
                "request_id": request_id,
                "key": key,
                "time": time.time(),
                "cold": is_cold,
                "incarnation": self._incarnation,
            }
        )

    def _load_report(self) -> dict[str, object]:
        cfg = self.settings
        return {
            "incarnation": self._incarnation,
            "cold": self._calls_until_warm > 0 and not cfg.hides_cold,
            "leaving": cfg.leaving,
            "running": len(self._running),
        }

    def _consume_fault(self, field: str) -> bool:
        remaining: int = getattr(self.settings, field)
        if remaining <= 0:
            return False
        setattr(self.settings, field, remaining - 1)
        return True

    def _hang_then_drop(self) -> DropConnection:
        while self.settings.hang_when_dead and self._is_dead():
            time.sleep(HANG_POLL_INTERVAL_S)
        return DropConnection()

    def _is_dead(self) -> bool:
        return time.monotonic() < self._dead_until_s

    def _crash(self, down_s: float) -> None:
        self._dead_until_s = time.monotonic() + down_s
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(4)
        cfg = self.settings
        self._calls_until_warm = cfg.cold_calls if cfg.starts_cold else 0
        self._running: set[object] = set()


def _echo(req: Request, incarnation: str) -> Reply:
    request_id = req.headers.get("x-request-id", "")
    echo = {
        "method": req.method,
        "path": req.path,
        "body": req.body.decode(errors="replace"),
        "request_id": request_id,
    }
    headers = {"X-Request-Id": request_id, "X-Incarnation": incarnation}
    return Reply(200, echo, headers)


def main() -> None:
    """Runs the service with settings from the command line."""
    port, settings = control.parse_command_line(ServiceSettings, sys.argv[1:])
    serve(PlainService(settings), port)


if __name__ == "__main__":
    main()
