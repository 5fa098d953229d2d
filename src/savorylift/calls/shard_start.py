"""Where a starting node begins to read a claim stream."""

from returns.result import Failure, Result, Success

from savorylift.calls.key import KeyWindow
from savorylift.log_service.log import Log, LogFault, LogPage


def find_start(
    log: Log, stream: str, window: KeyWindow
) -> Result[int, LogFault]:
    """Returns an offset before every record that a live key can have.

    Searches by the log's own record times, so that a node need not read all
    that the log keeps.
    """
    head = log.read(stream, 0)
    if isinstance(head, Failure):
        return head
    page: LogPage = head.unwrap()
    low, high = page.first_offset, page.next_offset - 1
    if low >= high:
        return Success(low)
    newest = _time_at(log, stream, high)
    if isinstance(newest, Failure):
        return newest
    oldest_ms = newest.unwrap() - window.age_ms - 2 * window.skew_ms
    found = _search(log, stream, low, high, oldest_ms)
    return found.map(lambda offset: max(offset - 1, page.first_offset))


def _search(
    log: Log, stream: str, low: int, high: int, oldest_ms: int
) -> Result[int, LogFault]:
    """Returns the first offset not older than `oldest_ms`, at most `high`."""
    while low < high:
        middle = (low + high) // 2
        found = _time_at(log, stream, middle)
        if isinstance(found, Failure):
            return found
        if found.unwrap() < oldest_ms:
            low = middle + 1
        else:
            high = middle
    return Success(low)


def _time_at(log: Log, stream: str, offset: int) -> Result[int, LogFault]:
    read = log.read(stream, offset)
    if isinstance(read, Failure):
        return read
    page: LogPage = read.unwrap()
    if not page.records:
        return Failure(LogFault(False, "the stream was trimmed meanwhile"))
    return Success(page.records[0].time_ms)
