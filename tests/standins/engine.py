"""A simulated model engine; run as `python -m tests.standins.engine`.

`POST /control` changes fields of `engine_settings.EngineSettings`.
`GET /control` returns its state and its record over all its incarnations.
"""

import asyncio
import sys
import time

import msgspec

from tests.standins import control
from tests.standins.engine_settings import CompletionRequest, EngineSettings
from tests.standins.engine_state import EngineState
from tests.standins.generation import Generation
from tests.standins.h11_server import HttpConnection, Request


class Engine:
    """HTTP request handler of the engine."""

    def __init__(self, state: EngineState) -> None:
        """Creates a handler that serves `state`."""
        self._state = state
        self._highest_fencing = -1

    def handle(self, conn: HttpConnection, req: Request) -> None:
        """Handles one request."""
        state = self._state
        parts = req.path.strip("/").split("/")
        conn.notice = (
            {"Savorylift-Draining": "1"} if state.cfg.says_leaving else {}
        )
        conn.retry_after = state.cfg.retry_after
        if state.is_dead and parts != ["control"]:
            if not state.cfg.hang_when_dead:
                conn.abort()
            return
        match (req.method, *parts):
            case ("POST", "v1", "completions"):
                self._complete(conn, req)
            case ("GET", "v1", "generations", generation_id, "events"):
                self._resume(conn, generation_id, req)
            case ("DELETE", "v1", "generations", generation_id):
                self._cancel(conn, generation_id)
            case ("GET", "v1", "load"):
                conn.send_json(200, state.delayed_report())
            case ("GET", "v1", "cache-events"):
                start = int(req.query.get("from", "0"))
                lag_s = state.cfg.cache_lag_s
                conn.send_json(200, state.cache_events.read(start, lag_s))
            case ("POST", "v1", "orders"):
                self._order(conn, msgspec.json.decode(req.body))
            case ("GET", "control"):
                conn.send_json(200, state.snapshot())
            case ("POST", "control"):
                self._control(conn, req)
            case _:
                _send_error(conn, 404, "not_found")

    def _complete(self, conn: HttpConnection, req: Request) -> None:
        try:
            completion = msgspec.json.decode(req.body, type=CompletionRequest)
        except msgspec.DecodeError as exc:
            _send_error(conn, 400, "bad_request", str(exc))
            return
        refusal = self._refusal(completion)
        self._state.record.record_dispatch(
            completion, self._state.incarnation, refusal, self._state.batch
        )
        if refusal:
            self._reject_completion(conn, *refusal)
            return
        gen = self._state.create_generation(completion)
        if self._state.consume_fault("lose_answers"):
            conn.abort()
        else:
            conn.start_events(self._state.stream_headers())
            gen.subscribe(conn, 0)
            self._swap_subscribers(gen)
        self._state.batch.submit(gen)
        self._state.record.update_peaks(self._state.batch)

    def _refusal(self, completion: CompletionRequest) -> tuple[int, str] | None:
        state = self._state
        if state.cfg.leaving:
            return 503, "leaving"
        loaded = (state.cfg.model, state.cfg.version)
        if (completion.model, completion.version) != loaded:
            return 409, "wrong_model"
        if completion.generation_id in state.generations:
            return 409, "generation_exists"
        if len(completion.prompt.split()) >= state.cfg.kv_tokens:
            return 400, "prompt_too_long"
        if state.batch.is_at_cold_limit:
            return 503, "overloaded"
        if len(state.batch.waiting) >= state.cfg.max_waiting:
            return 503, "overloaded"
        return None

    def _reject_completion(
        self, conn: HttpConnection, status: int, code: str
    ) -> None:
        _send_error(conn, status, code)
        if code == "overloaded" and self._state.batch.is_at_cold_limit:
            self._state.crash_on_cold_overload(conn)

    def _resume(
        self, conn: HttpConnection, generation_id: str, req: Request
    ) -> None:
        gen = self._state.generations.get(generation_id)
        if gen is None:
            _send_error(conn, 404, "unknown_generation")
            return
        self._state.record.resumes += 1
        conn.start_events(self._state.stream_headers())
        gen.subscribe(conn, int(req.query.get("from", "0")))

    def _cancel(self, conn: HttpConnection, generation_id: str) -> None:
        gen = self._state.generations.get(generation_id)
        if gen is None:
            _send_error(conn, 404, "unknown_generation")
            return
        is_unfinished = not gen.finish_reason
        self._state.record.cancels.append((time.time(), generation_id))
        if is_unfinished:
            self._state.batch.cancel(gen)
        conn.send_json(200, {"cancelled": is_unfinished})

    def _order(self, conn: HttpConnection, order: dict[str, object]) -> None:
        fencing = int(str(order.get("fencing", -1)))
        is_stale = fencing < self._highest_fencing
        is_refused = is_stale and self._state.cfg.checks_fencing
        entry = {**order, "time": time.time(), "accepted": not is_refused}
        self._state.record.orders.append(entry)
        if is_refused:
            _send_error(conn, 409, "stale_fencing")
            return
        self._highest_fencing = max(self._highest_fencing, fencing)
        asyncio.get_running_loop().call_later(
            self._state.cfg.order_s, self._finish_order, conn, order
        )

    def _finish_order(
        self, conn: HttpConnection, order: dict[str, object]
    ) -> None:
        if order.get("order") == "load_model":
            self._state.cfg.model = str(order["name"])
            self._state.batch.start_cold_phase()
        if order.get("order") in ("load_model", "set_version"):
            self._state.cfg.version = str(order["version"])
        conn.send_json(200, {"ok": True})

    def _swap_subscribers(self, gen: Generation) -> None:
        running = self._state.batch.running
        others = [other for other in running if other.subscribers]
        if not others or not self._state.consume_fault("cross_answers"):
            return
        other = others[-1]
        gen.subscribers, other.subscribers = other.subscribers, gen.subscribers

    def _control(self, conn: HttpConnection, req: Request) -> None:
        try:
            change = msgspec.json.decode(req.body or b"{}", type=dict)
            self._state.change(change, conn)
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            _send_error(conn, 400, "bad_control", str(exc))
            return
        conn.send_json(200, msgspec.to_builtins(self._state.cfg))


def _send_error(
    conn: HttpConnection, status: int, code: str, message: str = ""
) -> None:
    error = {"code": code, "message": message or code.replace("_", " ")}
    conn.send_json(status, {"error": error})


async def serve(state: EngineState, port: int) -> None:
    """Serves the engine on the loopback interface until the process ends."""
    engine = Engine(state)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: HttpConnection(engine.handle, state.connections),
        "127.0.0.1",
        port,
        backlog=512,
    )
    control.print_ready_line(server.sockets[0].getsockname()[1])
    await state.run()


def main() -> None:
    """Runs the engine with settings from the command line."""
    port, cfg = control.parse_command_line(EngineSettings, sys.argv[1:])
    asyncio.run(serve(EngineState(cfg), port))


if __name__ == "__main__":
    main()
