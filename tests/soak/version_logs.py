"""What the logs of nodes say of messages and records, and of faults."""

import json
import pathlib
from collections import Counter
from collections.abc import Iterator
from typing import Any

LogLine = dict[str, Any]

# Events of messages and records that a node can't read.
UNREADABLE_EVENTS = frozenset(
    {
        "configuration_unreadable",
        "limit_message_unsound",
        "origin_message_unsound",
        "origin_record_unsound",
        "peer_message_unreadable",
        "peer_state_unreadable",
        "server_entry_unreadable",
        "version_record_unsound",
    }
)
# Events of errors in a node's own code.
INTERNAL_ERROR_EVENTS = frozenset({"connection_failed", "task_failed"})


def lines(directory: pathlib.Path) -> Iterator[LogLine]:
    """Yields the events that all nodes logged, a node after the other."""
    for path in sorted(directory.glob("node-*.log")):
        for text in path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(text)
            except ValueError:
                continue  # cut off as its node was killed, or a traceback
            if isinstance(fields, dict) and "event" in fields:
                yield fields


def count_events(directory: pathlib.Path) -> Counter[str]:
    """Counts the events that all nodes logged."""
    return Counter(str(line["event"]) for line in lines(directory))


def count_take_ups(directory: pathlib.Path) -> Counter[str]:
    """Counts what became of streams that were taken up, by its name."""
    return Counter(
        str(line["outcome"])
        for line in lines(directory)
        if line["event"] == "stream_take_up_ended"
    )


def bad_events(counts: Counter[str]) -> list[str]:
    """Returns the events that no run may hold, with their numbers."""
    bad = UNREADABLE_EVENTS | INTERNAL_ERROR_EVENTS
    return [f"{event}*{counts[event]}" for event in sorted(bad & set(counts))]
