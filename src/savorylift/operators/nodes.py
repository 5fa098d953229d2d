"""Asks nodes for their status."""

import asyncio
import time

from savorylift.front.settings import FrontSettings
from savorylift.front.status import (
    STATUS_PATH,
    Status,
    decode_status,
    missing,
)
from savorylift.operators.output import Exit, report, say
from savorylift.wire.address import split_address
from savorylift.wire.client_call import BrokenAnswerError, fetch

ANSWER_S = 1.0
FORCE_S = 7.0
FORCE_POLL_S = 0.1


async def read_statuses(cfg: FrontSettings) -> dict[str, Status | None]:
    """Returns the status of each node, by address; None for no answer.

    The node of the settings file names the others; seeds do if it is away.
    """
    own, _ = split_address(cfg.caller_listen)
    asked = {own: await _ask(own, cfg.metrics_port)}
    first = asked[own]
    if first is None:
        addresses = [split_address(seed)[0] for seed in cfg.seeds]
    else:
        addresses = list(first.peers)
    new = [ip for ip in addresses if ip not in asked]
    found = await asyncio.gather(*(_ask(ip, cfg.metrics_port) for ip in new))
    return asked | dict(zip(new, found, strict=True))


async def wait_until_in_force(cfg: FrontSettings, offset: int) -> Exit:
    """Waits until all nodes know the records before `offset`; says so."""
    deadline_s = time.monotonic() + FORCE_S
    while True:
        statuses = await read_statuses(cfg)
        known = [s for s in statuses.values() if s is not None]
        behind = missing(offset, known)
        silent = [ip for ip, status in statuses.items() if status is None]
        is_over = time.monotonic() > deadline_s
        if is_over or not (behind or silent):
            break
        await asyncio.sleep(FORCE_POLL_S)
    say(f"in force on {len(known) - len(behind)} of {len(statuses)} nodes")
    if not behind and not silent:
        return Exit.DONE
    report("not confirmed: " + ", ".join([*behind, *silent]))
    return Exit.UNKNOWN


async def _ask(ip: str, port: int) -> Status | None:
    try:
        answer = await fetch(
            (ip, port),
            "GET",
            STATUS_PATH,
            timeout_s=ANSWER_S,
            connect_s=ANSWER_S,
        )
    except (OSError, BrokenAnswerError) as exc:
        report(f"{ip}: no answer ({type(exc).__name__})")
        return None
    return decode_status(answer.body)
