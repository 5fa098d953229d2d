"""Selects the log entries of nodes that explain what happened to a request."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

# Printed first on every line, without their keys.
LEADING_FIELDS = ("timestamp", "vm", "event")
OMITTED_FIELDS = frozenset({*LEADING_FIELDS, "request", "level"})
# Entries about a backend server or a node also explain the requests that were
# sent to that server or handled by that node.
SERVER_EVENTS = frozenset(
    {
        "server_changed",
        "server_removed",
        "server_lapsed",
        "server_leaves",
        "server_hold",
        "server_hold_ended",
    }
)
NODE_EVENTS = frozenset(
    {
        "start",
        "leaving",
        "stop",
        "store_lost",
        "store_regained",
        "store_trimmed",
        "configuration",
        "evacuation",
        "servers_unreached",
        "servers_reached",
        "service_brittle",
        "task_failed",
    }
)
SERVER_FIELDS = ("server", "source", "destination")
# Fields whose values are objects by server.
SERVER_MAP_FIELDS = ("servers",)

LogEntry = Mapping[str, Any]


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the log entries that explain a request, as text.

    Args:
        lines: Log lines of any nodes, in any order.
        request_id: Identifier of the request, as given by the caller.

    Returns:
        Entries of the request, and what the nodes that handled it logged up
        to its last entry about themselves and about the backend servers that
        it used, ordered by time; empty if no entry belongs to the request.
    """
    entries = [
        entry for entry in map(_decode_entry, lines) if entry is not None
    ]
    entries.sort(key=lambda entry: str(entry.get("timestamp", "")))
    request_entries = [
        entry for entry in entries if entry.get("request") == request_id
    ]
    if not request_entries:
        return []
    last_timestamp = str(request_entries[-1].get("timestamp", ""))
    vms = {entry.get("vm") for entry in request_entries}
    servers = {
        entry.get(field) for entry in request_entries for field in SERVER_FIELDS
    }
    servers |= {
        server
        for entry in request_entries
        for field in SERVER_MAP_FIELDS
        if isinstance(entry.get(field), dict)
        for server in entry[field]
    }
    relevant_entries = [
        entry
        for entry in entries
        if entry.get("request") == request_id
        or (
            str(entry.get("timestamp", "")) <= last_timestamp
            and _is_related(entry, vms, servers)
        )
    ]
    return [_format_entry(entry) for entry in relevant_entries]


def _is_related(entry: LogEntry, vms: set[Any], servers: set[Any]) -> bool:
    if entry.get("vm") not in vms:
        return False
    if entry.get("event") in SERVER_EVENTS:
        return entry.get("server") in servers
    return entry.get("event") in NODE_EVENTS


def _decode_entry(text: str) -> LogEntry | None:
    """Returns the fields of a log line; None if `text` is not a log line.

    Text before the JSON object, such as a prefix of a log collector, is
    ignored.
    """
    start = text.find("{")
    try:
        entry = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return entry if isinstance(entry, dict) and "event" in entry else None


def _format_entry(entry: LogEntry) -> str:
    leading_fields = " ".join(
        str(entry.get(field, "-")) for field in LEADING_FIELDS
    )
    other_fields = " ".join(
        f"{key}={value}"
        for key, value in entry.items()
        if key not in OMITTED_FIELDS
    )
    return f"{leading_fields} {other_fields}".rstrip()
