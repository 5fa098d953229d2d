"""Commands that work on the rules file and on out-of-service orders."""

import asyncio
import pathlib

from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.operators.nodes import wait_until_in_force
from savorylift.operators.output import (
    ExitCode,
    fail,
    print_error,
    print_line,
    print_lines,
)
from savorylift.platform.store import StoreClient
from savorylift.rules import orders, publication
from savorylift.rules.check import check_rules, find_byte_faults, split_lines
from savorylift.rules.edits import render_diff
from savorylift.wire.address import split_address


def show(cfg: FrontSettings) -> ExitCode:
    """Prints the newest version of the rules file."""
    stored = _read_stored_rules(cfg)
    if stored is None:
        return ExitCode.FAILED
    print_lines(stored.lines)
    return ExitCode.DONE


def diff(cfg: FrontSettings, path: str) -> ExitCode:
    """Prints the lines that publishing a file would remove and add."""
    text = _read_file(path)
    if text is None:
        return ExitCode.BAD_INPUT
    lines = split_lines(text)
    faults = tuple(find_byte_faults(lines, path))
    if faults:
        _report_faults(faults)
        return ExitCode.BAD_INPUT
    stored = _read_stored_rules(cfg)
    if stored is None:
        return ExitCode.FAILED
    print_lines(render_diff(stored.lines, lines))
    return ExitCode.DONE


def publish(
    cfg: FrontSettings, path: str, author: str, base: int | None
) -> ExitCode:
    """Publishes a file and waits until all nodes have applied it."""
    text = _read_valid_file(path)
    if text is None:
        return ExitCode.BAD_INPUT
    return asyncio.run(_publish_text(cfg, text, author, base))


async def _publish_text(
    cfg: FrontSettings, text: str, author: str, base: int | None
) -> ExitCode:
    result = await publication.publish(_store_client(cfg), text, author, base)
    match result:
        case publication.PublishedVersion(version, offset, changed_lines):
            print_lines(changed_lines)
            print_line(f"accepted as version {version}")
            return await wait_until_in_force(cfg, offset)
        case publication.UnchangedRules(version):
            print_line(
                f"nothing to publish: the file is the same as version {version}"
            )
            return ExitCode.DONE
        case publication.VersionConflict(base_version, newest, changed_lines):
            print_line(
                f"version {newest.version} by {newest.author} came first"
            )
            print_lines(changed_lines)
            return fail(
                f"not accepted: version {base_version} is not the newest"
            )
        case publication.WriteFailure(message):
            return fail(f"not written: {message}")
        case publication.UnconfirmedWrite(message):
            message = f"not known whether accepted: {message}"
            return fail(message, ExitCode.UNCONFIRMED)


def submit_order(
    cfg: FrontSettings, order: orders.OutOfServiceOrder
) -> ExitCode:
    """Takes a target out of service or brings it back."""
    return asyncio.run(_submit_order(cfg, order))


async def _submit_order(
    cfg: FrontSettings, order: orders.OutOfServiceOrder
) -> ExitCode:
    match await orders.submit_order(_store_client(cfg), order):
        case orders.AcceptedOrder(offset):
            new_state = "out of service" if order.is_out else "back in service"
            print_line(f"{order.target} {new_state}")
            return await wait_until_in_force(cfg, offset)
        case orders.UnknownTarget(name, known_targets):
            return fail(
                f"no target is called {name}; known: {', '.join(known_targets)}"
            )
        case publication.WriteFailure(message):
            return fail(f"not written: {message}")
        case publication.UnconfirmedWrite(message):
            message = (
                f"not known whether accepted: {message}; run the command again"
            )
            return fail(message, ExitCode.UNCONFIRMED)


def _store_client(cfg: FrontSettings) -> StoreClient:
    return StoreClient(split_address(cfg.store))


def _read_stored_rules(cfg: FrontSettings) -> publication.StoredRules | None:
    """Returns the stored rules; on an error, prints it and returns None."""
    read = asyncio.run(publication.read_rules(_store_client(cfg)))
    if is_successful(read):
        return read.unwrap()
    print_error(f"could not read from the store: {read.failure().detail}")
    return None


def _read_valid_file(path: str) -> str | None:
    """Returns the text of a valid file; otherwise prints its faults."""
    text = _read_file(path)
    if text is None:
        return None
    checked = check_rules(text, path)
    if is_successful(checked):
        return text
    _report_faults(checked.failure())
    return None


def _read_file(path: str) -> str | None:
    """Returns the text of a file; on an error, prints it and returns None.

    Bytes that aren't UTF-8 are kept by `surrogateescape`, so that they can be
    reported with their line and column.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        print_error(f"{path}: {(exc.strerror or 'cannot be read').lower()}")
        return None
    return data.decode("utf-8", "surrogateescape")


def _report_faults(faults: tuple[object, ...]) -> None:
    for fault in faults:
        print_error(str(fault))
