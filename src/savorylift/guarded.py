"""Keeps what a decoder can't cope with from ending its caller.

All nodes read the same records, again and again: one that raises what nobody
foresees would keep all others of the same reading from being applied.
"""

import functools
from collections.abc import Callable
from typing import ParamSpec, TypeVar

import structlog
from returns.result import Failure, Result

from savorylift.metric import Counter

P = ParamSpec("P")
T = TypeVar("T")

DECODER_FAILURES = Counter(
    "savorylift_decoder_failures",
    "Records on which a decoder failed in an unforeseen way.",
    ["decoder"],
)

_log = structlog.get_logger()


def guard(decode: Callable[P, Result[T, str]]) -> Callable[P, Result[T, str]]:
    """Returns a decoder for which a record is unreadable if `decode` raises."""

    @functools.wraps(decode)
    def run(*args: P.args, **kwargs: P.kwargs) -> Result[T, str]:
        try:
            return decode(*args, **kwargs)
        except Exception as exc:
            DECODER_FAILURES.labels(decode.__qualname__).inc()
            _log.exception("decoder_failed", decoder=decode.__qualname__)
            return Failure(f"unforeseen {type(exc).__name__}: {exc}")

    return run
