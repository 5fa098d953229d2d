"""A plain service; run as `python -m tests.standins.plain_service`.

Control fields are those of `ServiceSettings`. `GET /control` shows every run.
"""

import secrets
import sys
import threading
import time
from collections import Counter
from collections.abc import Mapping

from tests.standins import control
from tests.standins.serving import (
    Dropped,
    Reply,
    Request,
    error,
    run,
)

HANG_STEP_S = 0.1


class ServiceSettings(control.Settings):
    """Capacity and faults of a plain service.

    Attributes:
        run_s: Time that a call takes.
        cold_limit: Concurrent calls it bears while cold.
        starts_cold: True starts each incarnation cold.
        cold_calls: Completed calls until it is warm.
        cold_factor: How much longer a call takes while cold.
        restart_s: Time without answers after it fell over.
        turn_cold: One-shot: cold again, in the same incarnation.
        hides_cold: True reports warm while cold.
        leaving: True refuses new calls with 503 `leaving`.
        die_s: One-shot: time without answers before a new incarnation;
            below 0 until `revive`.
        revive: One-shot: ends a `die_s` below 0.
        hang_when_dead: True leaves calls unanswered while dead.
        lose_answers: Number of next calls that run unanswered.
        lose_requests: Number of next calls dropped before they run.
        delay_s: Time that an answer waits after the call ran.
        delay_answers: Number of next calls that `delay_s` applies to.
        wrong_ids: Number of next calls that get the answer before theirs.
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
    """Echoes calls and counts how often each ran."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Starts a first incarnation, cold unless told otherwise."""
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
        self._begin()

    def on_change(self) -> None:
        """Applies the one-shot faults."""
        cfg = self.settings
        if cfg.turn_cold:
            self._calls_until_warm = cfg.cold_calls
        if cfg.die_s:
            self._fall(cfg.die_s if cfg.die_s > 0 else float("inf"))
        if cfg.revive:
            self._dead_until_s = 0.0
        cfg.turn_cold, cfg.die_s, cfg.revive = False, 0.0, False

    def seen(self, query: Mapping[str, str]) -> object:
        """Returns runs, dispatches and concurrency."""
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

    def handle(self, req: Request) -> Reply | Dropped:
        """Answers a load request or runs a call."""
        if self._is_dead():
            return self._drop()
        if (req.method, req.path) == ("GET", "/v1/load"):
            with self.lock:
                return Reply(200, self._load())
        return self._call(req)

    def _call(self, req: Request) -> Reply | Dropped:
        with self.lock:
            if self._takes("lose_requests"):
                return Dropped()
            refusal = self._refusal()
            if refusal:
                return refusal
            incarnation, running = self._incarnation, self._running
            cold = self._calls_until_warm > 0
            self._note(req, is_cold=cold)
            factor = self.settings.cold_factor if cold else 1.0
            run_s = self.settings.run_s * factor
            token = object()
            running.add(token)
            self._max_running = max(self._max_running, len(running))
        time.sleep(run_s)
        with self.lock:
            running.discard(token)
        return self._answer(req, incarnation)

    def _answer(self, req: Request, incarnation: str) -> Reply | Dropped:
        if incarnation != self._incarnation:
            return self._drop()
        reply = _echo(req, incarnation)
        with self.lock:
            self._calls_until_warm = max(0, self._calls_until_warm - 1)
            is_lost = self._takes("lose_answers")
            is_delayed = self._takes("delay_answers")
            is_wrong = self._takes("wrong_ids")
            previous, self._last_reply = self._last_reply, reply
        time.sleep(self.settings.delay_s if is_delayed else 0.0)
        if is_lost:
            return Dropped()
        return previous if is_wrong else reply

    def _refusal(self) -> Reply | None:
        if self.settings.leaving:
            return error(503, "leaving")
        if not self._calls_until_warm:
            return None
        offered = len(self._running) + 1
        self._max_cold_offered = max(self._max_cold_offered, offered)
        if offered <= self.settings.cold_limit:
            return None
        self._overruns.append(time.time())
        self._fall(self.settings.restart_s)
        return error(503, "overloaded")

    def _note(self, req: Request, *, is_cold: bool) -> None:
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

    def _load(self) -> dict[str, object]:
        cfg = self.settings
        return {
            "incarnation": self._incarnation,
            "cold": self._calls_until_warm > 0 and not cfg.hides_cold,
            "leaving": cfg.leaving,
            "running": len(self._running),
        }

    def _takes(self, field: str) -> bool:
        left: int = getattr(self.settings, field)
        if left <= 0:
            return False
        setattr(self.settings, field, left - 1)
        return True

    def _drop(self) -> Dropped:
        while self.settings.hang_when_dead and self._is_dead():
            time.sleep(HANG_STEP_S)
        return Dropped()

    def _is_dead(self) -> bool:
        return time.monotonic() < self._dead_until_s

    def _fall(self, down_s: float) -> None:
        self._dead_until_s = time.monotonic() + down_s
        self._begin()

    def _begin(self) -> None:
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
    """Runs the service with the settings of the command line."""
    port, settings = control.parse_command_line(ServiceSettings, sys.argv[1:])
    run(PlainService(settings), port)


if __name__ == "__main__":
    main()
