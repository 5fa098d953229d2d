"""The model engine; run as `python -m tests.standins.engine`.

Control fields are those of `engine_settings.EngineSettings`. `GET /control`
shows the engine's own record over all its incarnations.
"""

import asyncio
import sys
import time

import msgspec

from tests.standins import control
from tests.standins.engine_settings import Ask, EngineSettings
from tests.standins.engine_state import EngineState
from tests.standins.generation import Generation
from tests.standins.h11_server import Exchange, Request


class Engine:
    """Answers the engine's protocol."""

    def __init__(self, state: EngineState) -> None:
        """Answers for `state`."""
        self._state = state
        self._fencing = -1

    def handle(self, exchange: Exchange, req: Request) -> None:
        """Answers one request."""
        state = self._state
        parts = req.path.strip("/").split("/")
        if state.is_dead and parts != ["control"]:
            if not state.cfg.hang_when_dead:
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
                exchange.send_json(200, state.lagging_report())
            case ("GET", "v1", "cache-events"):
                start = int(req.query.get("from", "0"))
                lag_s = state.cfg.cache_lag_s
                exchange.send_json(200, state.cache_events.shown(start, lag_s))
            case ("POST", "v1", "orders"):
                self._order(exchange, msgspec.json.decode(req.body))
            case ("GET", "control"):
                exchange.send_json(200, state.seen())
            case ("POST", "control"):
                self._control(exchange, req)
            case _:
                _refuse(exchange, 404, "not_found")

    def _complete(self, exchange: Exchange, req: Request) -> None:
        try:
            ask = msgspec.json.decode(req.body, type=Ask)
        except msgspec.DecodeError as exc:
            _refuse(exchange, 400, "bad_request", str(exc))
            return
        refusal = self._refusal(ask)
        self._state.record.dispatch(
            ask, self._state.incarnation, refusal, self._state.batch
        )
        if refusal:
            self._refuse_start(exchange, *refusal)
            return
        gen = self._state.start(ask)
        if self._state.takes("lose_answers"):
            exchange.abort()
        else:
            exchange.start_events(self._state.headers())
            gen.listen(exchange, 0)
            self._cross(gen)
        self._state.batch.submit(gen)
        self._state.record.note_running(self._state.batch)

    def _refusal(self, ask: Ask) -> tuple[int, str] | None:
        state = self._state
        if state.cfg.leaving:
            return 503, "leaving"
        loaded = (state.cfg.model, state.cfg.version)
        if (ask.model, ask.version) != loaded:
            return 409, "wrong_model"
        if ask.generation_id in state.generations:
            return 409, "generation_exists"
        if len(ask.prompt.split()) >= state.cfg.kv_tokens:
            return 400, "prompt_too_long"
        if state.batch.is_past_cold_limit:
            return 503, "overloaded"
        if len(state.batch.waiting) >= state.cfg.max_waiting:
            return 503, "overloaded"
        return None

    def _refuse_start(self, exchange: Exchange, status: int, code: str) -> None:
        _refuse(exchange, status, code)
        if code == "overloaded" and self._state.batch.is_past_cold_limit:
            self._state.fall_over(exchange)

    def _resume(
        self, exchange: Exchange, generation_id: str, req: Request
    ) -> None:
        gen = self._state.generations.get(generation_id)
        if gen is None:
            _refuse(exchange, 404, "unknown_generation")
            return
        self._state.record.resumes += 1
        exchange.start_events(self._state.headers())
        gen.listen(exchange, int(req.query.get("from", "0")))

    def _cancel(self, exchange: Exchange, generation_id: str) -> None:
        gen = self._state.generations.get(generation_id)
        if gen is None:
            _refuse(exchange, 404, "unknown_generation")
            return
        is_running = not gen.finish_reason
        self._state.record.cancels.append((time.time(), generation_id))
        if is_running:
            self._state.batch.cancel(gen)
        exchange.send_json(200, {"cancelled": is_running})

    def _order(self, exchange: Exchange, order: dict[str, object]) -> None:
        fencing = int(str(order.get("fencing", -1)))
        is_old = fencing < self._fencing
        is_refused = is_old and self._state.cfg.checks_fencing
        noted = {**order, "time": time.time(), "accepted": not is_refused}
        self._state.record.orders.append(noted)
        if is_refused:
            _refuse(exchange, 409, "stale_fencing")
            return
        self._fencing = max(self._fencing, fencing)
        asyncio.get_running_loop().call_later(
            self._state.cfg.order_s, self._finish_order, exchange, order
        )

    def _finish_order(
        self, exchange: Exchange, order: dict[str, object]
    ) -> None:
        if order.get("order") == "load_model":
            self._state.cfg.model = str(order["name"])
            self._state.batch.turn_cold()
        if order.get("order") in ("load_model", "set_version"):
            self._state.cfg.version = str(order["version"])
        exchange.send_json(200, {"ok": True})

    def _cross(self, gen: Generation) -> None:
        running = self._state.batch.running
        others = [other for other in running if other.listeners]
        if not others or not self._state.takes("cross_answers"):
            return
        other = others[-1]
        gen.listeners, other.listeners = other.listeners, gen.listeners

    def _control(self, exchange: Exchange, req: Request) -> None:
        try:
            change = msgspec.json.decode(req.body or b"{}", type=dict)
            self._state.change(change, exchange)
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            _refuse(exchange, 400, "bad_control", str(exc))
            return
        exchange.send_json(200, msgspec.to_builtins(self._state.cfg))


def _refuse(
    exchange: Exchange, status: int, code: str, message: str = ""
) -> None:
    fault = {"code": code, "message": message or code.replace("_", " ")}
    exchange.send_json(status, {"error": fault})


async def serve(state: EngineState, port: int) -> None:
    """Serves an engine on loopback until the process ends."""
    engine = Engine(state)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Exchange(engine.handle, state.exchanges),
        "127.0.0.1",
        port,
        backlog=512,
    )
    control.announce(server.sockets[0].getsockname()[1])
    await state.run()


def main() -> None:
    """Runs the engine with the settings of the command line."""
    port, cfg = control.parse_command_line(EngineSettings, sys.argv[1:])
    asyncio.run(serve(EngineState(cfg), port))


if __name__ == "__main__":
    main()
