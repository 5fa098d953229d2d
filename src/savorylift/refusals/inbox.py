"""Messages that the actors behind the refusal book receive."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from savorylift.identity import NodeRef
from savorylift.log_service.log import LogEntry, LogFault
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.messages import Batch
from savorylift.refusals.ranges import Range


class Write(NamedTuple):
    """A refusal to keep; `done` is set once it is copied."""

    refused: RefusedRequest
    done: threading.Event


class Hold(NamedTuple):
    """Copies that another node sent."""

    batch: Batch
    reply: Callable[[], None]


class Drop(NamedTuple):
    """Another node's refusals that are on the log."""

    source: NodeRef
    sequences: tuple[Range, ...]


class CopyEnded(NamedTuple):
    """A peer's answer to copies, or its timeout."""

    peer: NodeRef
    is_held: bool


class BatchAppended(NamedTuple):
    """How an append ended.

    Attributes:
        result: From the log.
        is_own: False for a batch published for another node.
    """

    result: Result[int, LogFault]
    is_own: bool


class Tick(NamedTuple):
    """Time to look at the roster and for due batches."""


class Flush(NamedTuple):
    """Appends without waiting from now on; answered with what is pending."""


class CountHeld(NamedTuple):
    """Asks how many refusals are held for other nodes."""


class AppendBatch(NamedTuple):
    """A record to append."""

    entry: LogEntry
    is_own: bool
