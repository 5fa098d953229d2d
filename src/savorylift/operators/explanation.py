"""What nodes logged about one request, in order of time."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

# On every line, or said elsewhere on it.
SHOWN_FIRST = ("timestamp", "vm", "event")
LEFT_OUT = frozenset({*SHOWN_FIRST, "request", "level"})
# What is logged of a server or a dependency explains a request that met it.
ABOUT_SERVERS = frozenset({"server_changed", "server_removed", "server_lapsed"})
ABOUT_NODES = frozenset(
    {
        "start",
        "leaving",
        "stop",
        "store_lost",
        "store_regained",
        "store_trimmed",
        "configuration",
        "evacuation",
        "task_failed",
    }
)
SERVER_FIELDS = ("server", "source", "destination")

Line = Mapping[str, Any]


def explain(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns what happened to a request and around it.

    Args:
        lines: Log lines of any nodes, in any order.
        request_id: The caller's name for the request.

    Returns:
        Lines about the request, and those about servers and nodes that it
        met from its first to its last line; empty if nothing names it.
    """
    decoded = [line for line in map(_decode, lines) if line is not None]
    decoded.sort(key=lambda line: str(line.get("timestamp", "")))
    own = [line for line in decoded if line.get("request") == request_id]
    if not own:
        return []
    until = str(own[-1].get("timestamp", ""))
    vms = {line.get("vm") for line in own}
    servers = {line.get(field) for line in own for field in SERVER_FIELDS}
    kept = [
        line
        for line in decoded
        if line.get("request") == request_id
        or (
            str(line.get("timestamp", "")) <= until
            and _is_near(line, vms, servers)
        )
    ]
    return [_shown(line) for line in kept]


def _is_near(line: Line, vms: set[Any], servers: set[Any]) -> bool:
    if line.get("vm") not in vms:
        return False
    if line.get("event") in ABOUT_SERVERS:
        return line.get("server") in servers
    return line.get("event") in ABOUT_NODES


def _decode(text: str) -> Line | None:
    """Returns a line's fields; None for text that is no log line."""
    start = text.find("{")
    try:
        found = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return found if isinstance(found, dict) and "event" in found else None


def _shown(line: Line) -> str:
    first = " ".join(str(line.get(field, "-")) for field in SHOWN_FIRST)
    rest = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in LEFT_OUT
    )
    return f"{first} {rest}".rstrip()
