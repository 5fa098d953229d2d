"""Checks the numbers in messages about limits before they are used."""

import math

from savorylift.fleet.limit_messages import (
    LimitMessage,
    LimitNews,
    LimitReport,
    PermitRequest,
)


def is_sound(message: LimitMessage) -> bool:
    """Whether all numbers of a message are finite and not negative."""
    if isinstance(message, LimitNews):
        return all(map(_is_sound_report, message.reports))
    if isinstance(message, PermitRequest):
        age_s = message.start_age_s
        return (
            _is_sound_report(message.limit)
            and _is_sound_number(message.max_wait_s)
            and (age_s is None or _is_sound_number(age_s))
        )
    return _is_sound_number(message.wait_s)


def _is_sound_report(report: LimitReport) -> bool:
    limit = report.requests_per_s
    return _is_sound_number(report.age_s) and (
        limit is None or _is_sound_number(limit)
    )


def _is_sound_number(number: float) -> bool:
    return math.isfinite(number) and number >= 0
