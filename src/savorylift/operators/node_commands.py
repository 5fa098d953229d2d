"""Commands that query nodes or read their logs."""

import asyncio
import pathlib
import sys
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from savorylift.front.settings import FrontSettings
from savorylift.front.status import Status, encode_status
from savorylift.operators.explanation import explain_request
from savorylift.operators.nodes import read_statuses
from savorylift.operators.output import ExitCode, fail, print_line, print_lines

STANDARD_INPUT = "-"


def explain(request_id: str, paths: Iterable[str]) -> ExitCode:
    """Prints the log entries that explain a request.

    Args:
        request_id: Identifier of the request, as given by the caller.
        paths: Log files; `-` for standard input.
    """
    try:
        lines = explain_request(_read_lines(paths), request_id)
    except OSError as exc:
        return fail(str(exc).lower(), ExitCode.BAD_INPUT)
    if not lines:
        return fail(f"no log line mentions request {request_id}")
    print_lines(lines)
    return ExitCode.DONE


def status(cfg: FrontSettings, *, is_full: bool) -> ExitCode:
    """Prints the status of every node; the full status as JSON if asked."""
    statuses = asyncio.run(read_statuses(cfg))
    for ip, node_status in statuses.items():
        print_line(
            f"{ip}: no answer"
            if node_status is None
            else _format_status(node_status)
        )
        if is_full and node_status is not None:
            print_line(msgspec.json.format(encode_status(node_status)).decode())
    return ExitCode.DONE if any(statuses.values()) else ExitCode.FAILED


def _format_status(node_status: Status) -> str:
    if node_status.is_leaving:
        phase = "leaving"
    else:
        phase = "ready" if node_status.is_ready else "starting"
    reasons = Counter(node_status.blocked_servers.values())
    blocked = "".join(f", {n} blocked ({why})" for why, n in reasons.items())
    rollouts = "".join(
        f", roll-out of {service} {stage}"
        for service, stage in node_status.rollouts.items()
    )
    return (
        f"{node_status.vm}: {phase}, configuration "
        f"{node_status.configuration_version} "
        f"(offset {node_status.operators_version}), "
        f"{node_status.open_requests} open requests, "
        f"{len(node_status.backend_servers)} backend servers{blocked}, "
        f"hears from {len(node_status.peers)} other nodes"
        f"{rollouts}"
    )


def _read_lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin
        else:
            with pathlib.Path(path).open(errors="replace") as file:
                yield from file
