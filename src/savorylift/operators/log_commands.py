"""Commands that ask nodes or read their logs."""

import asyncio
import pathlib
import sys
from collections.abc import Iterable, Iterator

import msgspec

from savorylift.front.settings import FrontSettings
from savorylift.front.status import Status, encode_status
from savorylift.operators.explanation import explain as explain_lines
from savorylift.operators.nodes import read_statuses
from savorylift.operators.output import Exit, fail, say, say_all

STANDARD_INPUT = "-"


def explain(request_id: str, paths: Iterable[str]) -> Exit:
    """Prints what nodes logged about a request."""
    try:
        lines = explain_lines(_lines(paths), request_id)
    except OSError as exc:
        return fail(str(exc).lower(), Exit.BAD_INPUT)
    if not lines:
        return fail(f"nothing is known of {request_id}")
    say_all(lines)
    return Exit.DONE


def status(cfg: FrontSettings, *, is_full: bool) -> Exit:
    """Prints the state of every node."""
    statuses = asyncio.run(read_statuses(cfg))
    for ip, found in statuses.items():
        say(f"{ip}: no answer" if found is None else _line(found))
        if is_full and found is not None:
            say(msgspec.json.format(encode_status(found)).decode())
    return Exit.DONE if any(statuses.values()) else Exit.FAILED


def _line(found: Status) -> str:
    if found.is_leaving:
        phase = "leaving"
    else:
        phase = "ready" if found.is_ready else "starting"
    return (
        f"{found.vm}: {phase}, configuration {found.configuration_version} "
        f"(offset {found.operators_version}), "
        f"{found.open_requests} open requests, "
        f"{len(found.backend_servers)} backend servers, "
        f"hears {len(found.peers)} nodes"
    )


def _lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin
        else:
            with pathlib.Path(path).open(errors="replace") as file:
                yield from file
