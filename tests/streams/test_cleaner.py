"""Tests of the thread that ends abandoned generations."""

import time

from returns.result import Failure, Result, Success

from savorylift.permits.gate import Permit
from savorylift.rules.view import RulesSource, RulesView
from savorylift.streams.cleaner import Cleaner, Remnant
from savorylift.streams.engine_control import CancelOutcome, EngineControl
from tests.streams.fakes import OWN, FakeGate, engine_rule

TIMEOUT_S = 0.2


class SlowControl(EngineControl):
    """An engine that never answers, beside one that does."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def cancel(
        self, address: str, generation_id: str
    ) -> Result[CancelOutcome, str]:
        self.asked.append(address)
        if address == "dead":
            time.sleep(TIMEOUT_S)
            return Failure("timed out")
        return Success(CancelOutcome.STOPPED)


def test_dead_engine_holds_up_no_other() -> None:
    names = ("dead", "live")
    servers = {name: engine_rule(name, name) for name in names}
    gate, control = FakeGate(), SlowControl()
    rules = RulesSource(RulesView(backend_servers=servers))
    cleaner = Cleaner(gate, rules, control)
    for number in range(20):
        name = "live" if number == 19 else "dead"
        permit = Permit(f"p{number}", name, f"g{number}", OWN, False)
        gate.held.add(permit.permit_id)
        now_s = time.monotonic()
        cleaner.end(Remnant(permit, permit.stream_id, now_s, 0))
    cleaner.start()
    deadline_s = time.monotonic() + 5 * TIMEOUT_S
    while "p19" in gate.held and time.monotonic() < deadline_s:
        time.sleep(0.01)
    cleaner.stop()
    assert "p19" not in gate.held
    assert control.asked.count("dead") == 1
    assert len(gate.held) == 19, "what runs on it is not given up"
