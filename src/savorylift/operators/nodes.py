"""Queries the status of nodes."""

import asyncio
import time

from savorylift.front.settings import FrontSettings
from savorylift.front.status import (
    STATUS_PATH,
    Status,
    decode_status,
    nodes_behind,
)
from savorylift.operators.output import ExitCode, print_error, print_line
from savorylift.wire.address import split_address
from savorylift.wire.client_call import BrokenAnswerError, fetch

STATUS_TIMEOUT_S = 1.0
IN_FORCE_TIMEOUT_S = 7.0
IN_FORCE_POLL_INTERVAL_S = 0.1


async def read_statuses(cfg: FrontSettings) -> dict[str, Status | None]:
    """Returns the status of each node by IP address; None for no response.

    The node of the settings file is queried first, for the addresses of the
    other nodes. If it doesn't respond, the seeds of the settings file are
    queried instead.
    """
    own_ip, _ = split_address(cfg.caller_listen)
    statuses = {own_ip: await _fetch_status(own_ip, cfg.metrics_port)}
    own_status = statuses[own_ip]
    if own_status is None:
        addresses = [split_address(seed)[0] for seed in cfg.seeds]
    else:
        addresses = list(own_status.peers)
    other_ips = [ip for ip in addresses if ip not in statuses]
    other_statuses = await asyncio.gather(
        *(_fetch_status(ip, cfg.metrics_port) for ip in other_ips)
    )
    return statuses | dict(zip(other_ips, other_statuses, strict=True))


async def wait_until_in_force(cfg: FrontSettings, offset: int) -> ExitCode:
    """Waits until all nodes have read the records before `offset`.

    Prints the result, with the nodes that did not confirm in time.
    """
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        statuses = await read_statuses(cfg)
        answered = [s for s in statuses.values() if s is not None]
        behind = nodes_behind(offset, answered)
        unreachable = [ip for ip, status in statuses.items() if status is None]
        is_timed_out = time.monotonic() > deadline_s
        if is_timed_out or not (behind or unreachable):
            break
        await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)
    print_line(
        f"in force on {len(answered) - len(behind)} of {len(statuses)} nodes"
    )
    if not behind and not unreachable:
        return ExitCode.DONE
    print_error("not confirmed: " + ", ".join([*behind, *unreachable]))
    return ExitCode.UNCONFIRMED


async def _fetch_status(ip: str, port: int) -> Status | None:
    try:
        response = await fetch(
            (ip, port),
            "GET",
            STATUS_PATH,
            timeout_s=STATUS_TIMEOUT_S,
            connect_timeout_s=STATUS_TIMEOUT_S,
        )
    except (OSError, BrokenAnswerError) as exc:
        print_error(f"{ip}: no answer ({type(exc).__name__})")
        return None
    return decode_status(response.body)
