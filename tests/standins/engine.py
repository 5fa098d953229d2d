"""The model engine; run as `python -m tests.standins.engine`.

Control fields are those of `batch.EngineSettings`. `GET /control` shows the
engine's own record over all its incarnations.
"""

import asyncio
import itertools
import random
import secrets
import sys
import time

import msgspec

from tests.standins import control
from tests.standins.batch import Ask, Batch, EngineSettings, Generation
from tests.standins.h11_server import Exchange, Request
from tests.standins.record import EngineRecord
from tests.standins.tokens import Text

KEEP_FINISHED_S = 60.0


class Engine:
    """Answers the engine's protocol; runs on one event loop."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Starts a first incarnation."""
        self.cfg = cfg
        self.exchanges: set[Exchange] = set()
        self.record = EngineRecord()
        self._random = random.Random(cfg.seed)
        self._dead_until_s = 0.0
        self._reports: list[tuple[float, dict[str, object]]] = []
        self._cache_events: list[tuple[float, dict[str, object]]] = []
        self._cache_seq = itertools.count()
        self._fencing = -1
        self._begin()

    async def run(self) -> None:
        """Produces tokens until the process ends."""
        next_s = time.monotonic()
        while True:
            next_s = max(next_s + self.cfg.interval_s, time.monotonic())
            await asyncio.sleep(next_s - time.monotonic())
            if not self._is_dead and not self.cfg.stall:
                self.batch.step()
            self._after_step()

    def handle(self, exchange: Exchange, req: Request) -> None:
        """Answers one request."""
        parts = req.path.strip("/").split("/")
        if parts == ["control"]:
            self._control(exchange, req)
            return
        if self._is_dead:
            if not self.cfg.hang_when_dead:
                exchange.abort()
            return
        match (req.method, *parts):
            case ("POST", "v1", "completions"):
                self._complete(exchange, req)
            case ("GET", "v1", "generations", generation_id, "events"):
                self._resume(exchange, generation_id, req)
            case ("DELETE", "v1", "generations", generation_id):
                self._cancel(exchange, generation_id)
            case ("GET", "v1", "load"):
                exchange.send_json(200, self._lagging_report())
            case ("GET", "v1", "cache-events"):
                self._show_cache(exchange, int(req.query.get("from", "0")))
            case ("POST", "v1", "orders"):
                self._order(exchange, msgspec.json.decode(req.body))
            case _:
                _refuse(exchange, 404, "not_found")

    def _complete(self, exchange: Exchange, req: Request) -> None:
        try:
            ask = msgspec.json.decode(req.body, type=Ask)
        except msgspec.DecodeError as exc:
            _refuse(exchange, 400, "bad_request", str(exc))
            return
        refusal = self._refusal(ask)
        self.record.dispatch(ask, self._incarnation, refusal, self.batch)
        if refusal:
            self._refuse_start(exchange, *refusal)
            return
        gen = Generation(ask, self._text(ask), self._shown_id(ask))
        self._generations[ask.generation_id] = gen
        self.record.generations.append(gen)
        if self._takes("lose_answers"):
            exchange.abort()
        else:
            exchange.start_events(self._headers())
            gen.listen(exchange, 0)
            self._cross(gen)
        self.batch.submit(gen)
        self.record.note_running(self.batch)

    def _refusal(self, ask: Ask) -> tuple[int, str] | None:
        if self.cfg.leaving:
            return 503, "leaving"
        if (ask.model, ask.version) != (self.cfg.model, self.cfg.version):
            return 409, "wrong_model"
        if ask.generation_id in self._generations:
            return 409, "generation_exists"
        if len(ask.prompt.split()) >= self.cfg.kv_tokens:
            return 400, "prompt_too_long"
        if self._is_past_cold_limit():
            return 503, "overloaded"
        if len(self.batch.waiting) >= self.cfg.max_waiting:
            return 503, "overloaded"
        return None

    def _refuse_start(self, exchange: Exchange, status: int, code: str) -> None:
        _refuse(exchange, status, code)
        if code == "overloaded" and self._is_past_cold_limit():
            self.record.overrun(self.batch, self._cold_since_s)
            if time.monotonic() >= self._grace_until_s:
                self._fall(self.cfg.restart_s, spared=exchange)

    def _is_past_cold_limit(self) -> bool:
        is_full = self.batch.unfinished >= self.cfg.cold_limit
        return self.batch.is_cold and is_full

    def _resume(
        self, exchange: Exchange, generation_id: str, req: Request
    ) -> None:
        gen = self._generations.get(generation_id)
        if gen is None:
            _refuse(exchange, 404, "unknown_generation")
            return
        self.record.resumes += 1
        exchange.start_events(self._headers())
        gen.listen(exchange, int(req.query.get("from", "0")))

    def _cancel(self, exchange: Exchange, generation_id: str) -> None:
        gen = self._generations.get(generation_id)
        if gen is None:
            _refuse(exchange, 404, "unknown_generation")
            return
        is_running = not gen.finish_reason
        self.record.cancels.append((time.time(), generation_id))
        if is_running:
            self.batch.cancel(gen)
        exchange.send_json(200, {"cancelled": is_running})

    def _show_cache(self, exchange: Exchange, start: int) -> None:
        newest_s = time.monotonic() - self.cfg.cache_lag_s
        shown = [e for at, e in self._cache_events if at <= newest_s]
        events = [e for e in shown if int(str(e["seq"])) >= start]
        following = int(str(shown[-1]["seq"])) + 1 if shown else 0
        body = {"events": events, "next": max(start, following)}
        exchange.send_json(200, body)

    def _order(self, exchange: Exchange, order: dict[str, object]) -> None:
        fencing = int(str(order.get("fencing", -1)))
        is_old = fencing < self._fencing
        is_refused = is_old and self.cfg.checks_fencing
        noted = {**order, "time": time.time(), "accepted": not is_refused}
        self.record.orders.append(noted)
        if is_refused:
            _refuse(exchange, 409, "stale_fencing")
            return
        self._fencing = max(self._fencing, fencing)
        if order.get("order") == "load_model":
            self.cfg.model = str(order["name"])
        if order.get("order") in ("load_model", "set_version"):
            self.cfg.version = str(order["version"])
        exchange.send_json(200, {"ok": True})

    def _control(self, exchange: Exchange, req: Request) -> None:
        if req.method == "GET":
            exchange.send_json(200, self._seen())
            return
        try:
            change = msgspec.json.decode(req.body or b"{}", type=dict)
            self.cfg = control.changed(self.cfg, change)
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            _refuse(exchange, 400, "bad_control", str(exc))
            return
        self.batch.cfg = self.cfg
        self._apply_faults(exchange)
        exchange.send_json(200, msgspec.to_builtins(self.cfg))

    def _apply_faults(self, asking: Exchange) -> None:
        cfg = self.cfg
        others = self.exchanges - {asking}
        if cfg.silence_open:
            for exchange in others:
                exchange.is_silent = True
        if cfg.drop_connections:
            for exchange in others:
                exchange.abort()
        if cfg.turn_cold:
            self._turn_cold()
            self._grace_until_s = time.monotonic() + cfg.cold_grace_s
        if cfg.die_s:
            down_s = cfg.die_s if cfg.die_s > 0 else float("inf")
            self._fall(down_s, spared=asking)
        if cfg.revive:
            self._dead_until_s = 0.0
        cfg.silence_open = cfg.drop_connections = cfg.turn_cold = False
        cfg.die_s, cfg.revive = 0.0, False

    def _seen(self) -> dict[str, object]:
        state = {
            **self._report(),
            "cold": self.batch.is_cold,
            "dead": self._is_dead,
            "cold_limit": self.cfg.cold_limit,
            "version": self.cfg.version,
            "connections": len(self.exchanges),
        }
        return {**state, **self.record.shown()}

    def _headers(self) -> dict[str, str]:
        headers = {"X-Incarnation": self._incarnation}
        if self.batch.is_cold and not self.cfg.hides_cold:
            headers["X-Cold"] = "true"
        return headers

    def _report(self) -> dict[str, object]:
        return {
            "incarnation": self._incarnation,
            "cold": self.batch.is_cold and not self.cfg.hides_cold,
            "leaving": self.cfg.leaving,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_used": self.batch.kv_used,
            "kv_total": self.cfg.kv_tokens,
            "preemptions": self.batch.preemptions,
            "models": [[self.cfg.model, self.cfg.version]],
        }

    def _lagging_report(self) -> dict[str, object]:
        at = time.monotonic() - self.cfg.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= at:
            self._reports.pop(0)
        return self._reports[0][1] if self._reports else self._report()

    def _after_step(self) -> None:
        now = time.monotonic()
        self._reports.append((now, self._report()))
        self._lagging_report()
        self._note_cache(now)
        self.record.note_running(self.batch)
        self._warm_up(now)
        for generation_id, gen in list(self._generations.items()):
            if gen.finish_reason and now - gen.finished_s > KEEP_FINISHED_S:
                del self._generations[generation_id]

    def _note_cache(self, now: float) -> None:
        for kind, key in self.batch.cache_changes:
            seq = next(self._cache_seq)
            if self._random.random() >= self.cfg.cache_gap_share:
                event = {"seq": seq, "kind": kind, "prefix_hash": key}
                self._cache_events.append((now, event))
        self.batch.cache_changes.clear()

    def _warm_up(self, now: float) -> None:
        cfg = self.cfg
        done = self.batch.completed - self._completed_when_cold
        is_through = 0 < cfg.cold_requests <= done
        if is_through or 0 < cfg.cold_s <= now - self._cold_since_s:
            self.batch.is_cold = False

    def _text(self, ask: Ask) -> Text:
        salt = secrets.token_hex(4) if self.cfg.nondeterministic else ""
        bounds = (self.cfg.min_length, self.cfg.max_length)
        return Text(ask.prompt, ask.seed, ask.version, bounds, salt)

    def _shown_id(self, ask: Ask) -> str:
        is_wrong = self._takes("wrong_ids")
        return "gen-of-another" if is_wrong else ask.generation_id

    def _cross(self, gen: Generation) -> None:
        others = [g for g in self.batch.running if g.listeners]
        if not others or not self._takes("cross_answers"):
            return
        other = others[-1]
        gen.listeners, other.listeners = other.listeners, gen.listeners

    def _takes(self, field: str) -> bool:
        left: int = getattr(self.cfg, field)
        if left <= 0:
            return False
        setattr(self.cfg, field, left - 1)
        return True

    @property
    def _is_dead(self) -> bool:
        return time.monotonic() < self._dead_until_s

    def _fall(self, down_s: float, spared: Exchange) -> None:
        self._dead_until_s = time.monotonic() + down_s
        for exchange in self.exchanges - {spared}:
            if self.cfg.hang_when_dead:
                exchange.is_silent = True
            else:
                exchange.abort()
        self._begin()

    def _begin(self) -> None:
        self._incarnation = secrets.token_hex(4)
        self._generations: dict[str, Generation] = {}
        self.batch = Batch(self.cfg)
        self.record.incarnations.append((time.time(), self._incarnation))
        self._reports.clear()
        self._grace_until_s = 0.0
        self._turn_cold()
        self.batch.is_cold = self.cfg.starts_cold

    def _turn_cold(self) -> None:
        self.batch.is_cold = True
        self._cold_since_s = time.monotonic()
        self._completed_when_cold = self.batch.completed


def _refuse(
    exchange: Exchange, status: int, code: str, message: str = ""
) -> None:
    fault = {"code": code, "message": message or code.replace("_", " ")}
    exchange.send_json(status, {"error": fault})


async def serve(engine: Engine, port: int) -> None:
    """Serves `engine` on loopback until the process ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Exchange(engine.handle, engine.exchanges),
        "127.0.0.1",
        port,
        backlog=512,
    )
    control.announce(server.sockets[0].getsockname()[1])
    await engine.run()


def main() -> None:
    """Runs the engine with the settings of the command line."""
    port, cfg = control.parse_command_line(EngineSettings, sys.argv[1:])
    asyncio.run(serve(Engine(cfg), port))


if __name__ == "__main__":
    main()
