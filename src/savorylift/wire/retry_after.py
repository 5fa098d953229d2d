"""Parses the `Retry-After` header of responses (RFC 9110, 10.2.3)."""

import datetime as dt
import re
from collections.abc import Iterable

# Seconds, also fractions, without sign or exponent.
SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")


def parse_retry_after(
    values: Iterable[str], sent_date: str | None
) -> float | None:
    """Returns the longest delay in seconds that the values name.

    Args:
        values: Values of the header: seconds or dates. Others don't count.
        sent_date: The `Date` of the response, which dates are counted from;
            without it they don't count.
    """
    delays_s = [_parse(value.strip(), sent_date) for value in values]
    return max((d for d in delays_s if d is not None and d > 0), default=None)


def _parse(value: str, sent_date: str | None) -> float | None:
    if SECONDS_PATTERN.fullmatch(value):
        return float(value)
    sent, until = _parse_date(sent_date or ""), _parse_date(value)
    if sent is None or until is None:
        return None
    return (until - sent).total_seconds()


def _parse_date(value: str) -> dt.datetime | None:
    # Imported late, for a faster start: servers mostly name seconds.
    import email.utils

    try:
        date = email.utils.parsedate_to_datetime(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return date if date.tzinfo else date.replace(tzinfo=dt.UTC)
