"""Lines that explain what was decided about one request."""

import datetime as dt
from typing import Any

from returns.result import Failure

from savorylift.log_service.log import Log
from savorylift.operator_client import ask_node, find_operators
from savorylift.refusals.query import FoundRow, find_request
from savorylift.settings import Settings


def explain_request(cfg: Settings, log: Log, request_id: str) -> list[str]:
    """Returns one line a decision in order of time, from nodes and log."""
    lines: list[str] = []
    for vm, address in find_operators(cfg).items():
        path = f"/v1/requests/{request_id}"
        decisions = ask_node(cfg, address, "GET", path, None)
        lines += [_decision_line(vm, item) for item in decisions or ()]
    found = find_request(log, request_id)
    if isinstance(found, Failure):
        lines.append(f"the log can't be read: {found.failure().message}")
    else:
        lines += [_refusal_line(item) for item in found.unwrap()]
    return sorted(lines)


def _decision_line(vm: str, decision: dict[str, Any]) -> str:
    parts = [
        _time_text(decision["time_ms"]),
        vm,
        decision["what"],
        f"rules offset {decision['rules_offset']}",
    ]
    if decision["backend_server"]:
        parts.append(f"backend server {decision['backend_server']}")
    if decision["keeper"]:
        parts.append(f"permit from {decision['keeper']}")
    if decision["detail"]:
        parts.append(decision["detail"])
    return ", ".join(parts)


def _refusal_line(found: FoundRow) -> str:
    row = found.row
    rule = f", rule: {row.rule} ({row.asked_by})" if row.rule else ""
    return (
        f"{_time_text(row.time_ms)}, {found.source.vm}, on the log: "
        f"{row.ending}, {row.reason}{rule}"
    )


def _time_text(time_ms: int) -> str:
    moment = dt.datetime.fromtimestamp(time_ms / 1000, dt.UTC)
    return moment.isoformat(timespec="milliseconds")
