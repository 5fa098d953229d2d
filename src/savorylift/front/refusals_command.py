"""Prints whose requests were refused in a period, and why.

Usage: python -m savorylift.front.refusals_command STORE SINCE UNTIL, with the
store's IP:PORT and both times in ISO 8601.
"""

import asyncio
import datetime as dt
import sys

from returns.pipeline import is_successful

from savorylift.account.report import Report, report
from savorylift.platform.store import REFUSALS, StoreClient
from savorylift.wire.address import parse_address


def main(words: list[str]) -> int:
    """Prints the report; returns the exit status."""
    if len(words) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    address = parse_address(words[0])
    if address is None:
        print(f"bad address {words[0]!r}, expected ip:port", file=sys.stderr)
        return 2
    try:
        since_s, until_s = (_unix_time(word) for word in words[1:])
    except ValueError as exc:
        print(str(exc).lower(), file=sys.stderr)
        return 2
    listed = asyncio.run(StoreClient(address).list_newest(REFUSALS))
    if not is_successful(listed):
        print(f"no answer: {listed.failure().detail}", file=sys.stderr)
        return 1
    values = [r.value for r in listed.unwrap().records if r.value]
    _print(report(values, since_s, until_s))
    return 0


def _unix_time(text: str) -> float:
    moment = dt.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return moment.timestamp()


def _print(found: Report) -> None:
    print(f"{'team':<24} {'reason':<20} {'status':>6} {'requests':>9}")
    for line in found.lines:
        team = line.team or "(unknown)"
        row = f"{team:<24} {line.reason:<20} {line.status:>6}"
        print(f"{row} {line.requests:>9}")
    if found.unreadable:
        print(f"{found.unreadable} records could not be read")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
