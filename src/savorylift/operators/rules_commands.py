"""Commands about the rules file and what is out of service."""

import asyncio
import pathlib

from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.operators.nodes import wait_until_in_force
from savorylift.operators.output import Exit, fail, report, say, say_all
from savorylift.platform.store import StoreClient
from savorylift.rules import orders, publication
from savorylift.rules.check import byte_faults, check_rules, split_lines
from savorylift.rules.edits import render_diff
from savorylift.wire.address import split_address


def check(path: str) -> Exit:
    """Prints every fault of a rules file."""
    if _read_checked(path) is None:
        return Exit.BAD_INPUT
    say(f"{path}: no faults")
    return Exit.DONE


def show(cfg: FrontSettings) -> Exit:
    """Prints the newest rules file in the store."""
    stored = _read_stored(cfg)
    if stored is None:
        return Exit.FAILED
    say_all(stored.lines)
    return Exit.DONE


def diff(cfg: FrontSettings, path: str) -> Exit:
    """Prints what publishing a file would change."""
    text = _read(path)
    if text is None:
        return Exit.BAD_INPUT
    lines = split_lines(text)
    faults = tuple(byte_faults(lines, path))
    if faults:
        _report_faults(faults)
        return Exit.BAD_INPUT
    stored = _read_stored(cfg)
    if stored is None:
        return Exit.FAILED
    say_all(render_diff(stored.lines, lines))
    return Exit.DONE


def publish(
    cfg: FrontSettings, path: str, author: str, base: int | None
) -> Exit:
    """Publishes a file and waits until it is in force."""
    text = _read_checked(path)
    if text is None:
        return Exit.BAD_INPUT
    return asyncio.run(_publish(cfg, text, author, base))


async def _publish(
    cfg: FrontSettings, text: str, author: str, base: int | None
) -> Exit:
    outcome = await publication.publish(_store(cfg), text, author, base)
    match outcome:
        case publication.Published(version, offset, changed):
            say_all(changed)
            say(f"accepted as version {version}")
            return await wait_until_in_force(cfg, offset)
        case publication.NothingChanged(version):
            say(f"nothing to change: version {version} is the same")
            return Exit.DONE
        case publication.RaceLost(lost, winner, changed):
            say(f"version {winner.version} by {winner.author} came first")
            say_all(changed)
            return fail(f"not accepted: version {lost} is not the newest")
        case publication.NotWritten(message):
            return fail(f"not written: {message}")
        case publication.Unknown(message):
            message = f"not known whether accepted: {message}"
            return fail(message, Exit.UNKNOWN)


def order(cfg: FrontSettings, given: orders.Order) -> Exit:
    """Takes something out of service, or brings it back."""
    return asyncio.run(_order(cfg, given))


async def _order(cfg: FrontSettings, given: orders.Order) -> Exit:
    match await orders.give_order(_store(cfg), given):
        case orders.OrderAccepted(offset):
            direction = "out of service" if given.is_out else "back in service"
            say(f"{given.target} {direction}")
            return await wait_until_in_force(cfg, offset)
        case orders.UnknownTarget(name, known):
            return fail(f"no such target {name}; known: {', '.join(known)}")
        case publication.NotWritten(message):
            return fail(f"not written: {message}")
        case publication.Unknown(message):
            message = f"not known whether accepted: {message}; order again"
            return fail(message, Exit.UNKNOWN)


def _store(cfg: FrontSettings) -> StoreClient:
    return StoreClient(split_address(cfg.store))


def _read_stored(cfg: FrontSettings) -> publication.Stored | None:
    """Returns what the store has, or None once it has said why not."""
    read = asyncio.run(publication.read_rules(_store(cfg)))
    if is_successful(read):
        return read.unwrap()
    report(f"can't read the store: {read.failure().detail}")
    return None


def _read_checked(path: str) -> str | None:
    """Returns a file without faults, or None once it has named them."""
    text = _read(path)
    if text is None:
        return None
    checked = check_rules(text, path)
    if is_successful(checked):
        return text
    _report_faults(checked.failure())
    return None


def _read(path: str) -> str | None:
    """Returns a file whose bytes that aren't UTF-8 can still be named."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        report(f"{path}: {(exc.strerror or 'can not be read').lower()}")
        return None
    return data.decode("utf-8", "surrogateescape")


def _report_faults(faults: tuple[object, ...]) -> None:
    for fault in faults:
        report(str(fault))
