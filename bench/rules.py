"""Cost of the rules at four sizes: full load, edits, snapshots, memory.

Run as `python -m bench.rules`. Sizes are measured smallest first in one
process; memory is what `tracemalloc` counts for the fold, in a separate
pass that the times leave out.
"""

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from returns.result import Success

from savorylift.log_service.log import LogPage, LogRecord
from savorylift.rules.check import check_rules
from savorylift.rules.edits import apply_edits, hash_lines, make_edits
from savorylift.rules.fold import CONFIG_FOLD, ConfigFold
from savorylift.rules.messages import Edit, LineEdit, RecordKind, encode
from savorylift.rules.stream import RulesStream

SIZES = (1_500, 3_000, 6_000, 12_000)  # teams
CHANGES = 2_600  # a day's
INSERT_SHARE = 0.1  # of changes that add or remove a line
SEED = 20300101
DAY_S = 24 * 3600
MIB = 1024 * 1024

T = TypeVar("T")


class Row(NamedTuple):
    """Figures of one size.

    Attributes:
        teams: Number of teams.
        text_bytes: Size of the rules file.
        check_s: Seconds to check the whole file, as an operator does.
        load_s: Seconds to fold in the first publish of the file.
        restore_s: Seconds to take a snapshot's state in a new reader.
        reload_s: The same in a reader that has a similar version.
        peak_bytes: Peak memory of loading the file.
        kept_bytes: Memory kept after it.
        replace_us: Median microseconds for an edit that replaces a line.
        insert_us: Median microseconds for one that moves lines.
        worst_us: Longest edit in microseconds.
        edit_bytes: Mean body of an edit record.
        day_s: Seconds for all changes of a day.
        snapshot_bytes: All bodies of one snapshot.
    """

    teams: int
    text_bytes: int
    check_s: float
    load_s: float
    restore_s: float
    reload_s: float
    peak_bytes: int
    kept_bytes: int
    replace_us: float
    insert_us: float
    worst_us: float
    edit_bytes: float
    day_s: float
    snapshot_bytes: int


COLUMNS: tuple[tuple[str, Callable[[Row], str]], ...] = (
    ("teams", lambda row: f"{row.teams}"),
    ("file KB", lambda row: f"{row.text_bytes / 1000:.0f}"),
    ("check s", lambda row: f"{row.check_s:.2f}"),
    ("load s", lambda row: f"{row.load_s:.2f}"),
    ("restore s", lambda row: f"{row.restore_s:.2f}"),
    ("reload s", lambda row: f"{row.reload_s:.3f}"),
    ("peak MiB", lambda row: f"{row.peak_bytes / MIB:.1f}"),
    ("kept MiB", lambda row: f"{row.kept_bytes / MIB:.1f}"),
    ("replace us", lambda row: f"{row.replace_us:.0f}"),
    ("insert us", lambda row: f"{row.insert_us:.0f}"),
    ("worst us", lambda row: f"{row.worst_us:.0f}"),
    ("edit B", lambda row: f"{row.edit_bytes:.0f}"),
    ("day s", lambda row: f"{row.day_s:.1f}"),
    ("core %", lambda row: f"{100 * row.day_s / DAY_S:.4f}"),
    ("snapshot KB", lambda row: f"{row.snapshot_bytes / 1000:.0f}"),
)


def main() -> None:
    """Prints the table."""
    rows = [_measure(teams) for teams in SIZES]
    print(f"{CHANGES} changes, seed {SEED}")
    print(" ".join(f"{name:>11}" for name, _ in COLUMNS))
    for row in rows:
        print(" ".join(f"{show(row):>11}" for _, show in COLUMNS))


def _measure(teams: int) -> Row:
    rng = random.Random(SEED)
    lines = _make_lines(teams, rng)
    text = "\n".join(lines) + "\n"
    checked, check_s = _timed(lambda: check_rules(text, "rules"))
    assert isinstance(checked, Success)
    first = _first_publish(lines)
    peak_bytes, kept_bytes = _memory(first)
    stream = RulesStream({CONFIG_FOLD: ConfigFold()})
    _, load_s = _timed(lambda: stream.take_page(_page(first)))
    replace_us, insert_us, edit_bytes = _run_changes(stream, lines, rng)
    restore_s, reload_s = _time_restores(stream, first)
    snapshot_bytes = sum(len(entry.body) for entry in stream.snapshot())
    every_us = replace_us + insert_us
    return Row(
        teams=teams,
        text_bytes=len(text),
        check_s=check_s,
        load_s=load_s,
        restore_s=restore_s,
        reload_s=reload_s,
        peak_bytes=peak_bytes,
        kept_bytes=kept_bytes,
        replace_us=statistics.median(replace_us),
        insert_us=statistics.median(insert_us),
        worst_us=max(every_us),
        edit_bytes=edit_bytes,
        day_s=sum(every_us) / 1e6,
        snapshot_bytes=snapshot_bytes,
    )


def _time_restores(
    stream: RulesStream, first: LogRecord
) -> tuple[float, float]:
    state = stream.state_text()
    fresh = RulesStream({CONFIG_FOLD: ConfigFold()})
    _, restore_s = _timed(lambda: fresh.take_state(state))
    behind = RulesStream({CONFIG_FOLD: ConfigFold()})
    behind.take_page(_page(first))
    _, reload_s = _timed(lambda: behind.take_state(state))
    return restore_s, reload_s


def _make_lines(teams: int, rng: random.Random) -> list[str]:
    lines = [
        f"failure_domain d{n} in region r{n % 2} # op: n" for n in range(6)
    ]
    lines += [f"model m{n} version v1 # op: steady use" for n in range(9)]
    lines += [
        f"backend_server runner-{n} at 10.0.{n // 250}.{n % 250 + 1}:9000"
        f" in d{n % 6} serves model m{n % 9} cold 2 warm 16 kv 40000"
        f" # op: rack {n // 8}"
        for n in range(teams // 20)
    ]
    return lines + [_team(n, rng) for n in range(teams)]


def _team(number: int, rng: random.Random) -> str:
    asked = rng.randrange(10**6)
    return (
        f"team customer-{number:05d} weight {rng.randint(1, 9)} models"
        f" m{rng.randrange(9)},m{rng.randrange(9)} in_flight"
        f" {rng.choice((16, 64, 256))} # operator-{rng.randrange(40)}:"
        f" asked for in ticket {asked}"
    )


def _first_publish(lines: list[str]) -> LogRecord:
    edit = Edit(-1, (LineEdit(0, 0, tuple(lines)),), hash_lines(lines), "op")
    return LogRecord(0, "edit-0", RecordKind.EDIT, encode(edit), 0)


def _page(record: LogRecord) -> LogPage:
    return LogPage(0, record.offset + 1, (record,))


def _memory(first: LogRecord) -> tuple[int, int]:
    gc.collect()
    tracemalloc.start()
    stream = RulesStream({CONFIG_FOLD: ConfigFold()})
    stream.take_page(_page(first))
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert stream.next_offset == 1
    return peak, kept


def _run_changes(
    stream: RulesStream, lines: list[str], rng: random.Random
) -> tuple[list[float], list[float], float]:
    replace_us: list[float] = []
    insert_us: list[float] = []
    edit_bytes = 0
    for offset in range(1, CHANGES + 1):
        is_insert = rng.random() < INSERT_SHARE
        changed = _change(lines, rng, offset, is_insert=is_insert)
        edits = make_edits(lines, changed)
        lines = apply_edits(lines, edits)
        body = encode(Edit(offset - 1, edits, hash_lines(lines), "op"))
        record = LogRecord(offset, f"edit-{offset}", RecordKind.EDIT, body, 0)
        seconds = _time_record(stream, record)
        (insert_us if is_insert else replace_us).append(seconds * 1e6)
        edit_bytes += len(body)
    assert stream.mark is None
    return replace_us, insert_us, edit_bytes / CHANGES


def _change(
    lines: list[str], rng: random.Random, offset: int, *, is_insert: bool
) -> list[str]:
    changed = list(lines)
    index = rng.randrange(len(lines) // 2, len(lines))
    if not is_insert:
        number = int(lines[index].split()[1].rpartition("-")[2])
        changed[index] = _team(number, rng)
    elif offset % 2:
        changed.insert(index, _team(50_000 + offset, rng))
    else:
        del changed[index]
    return changed


def _time_record(stream: RulesStream, record: LogRecord) -> float:
    return _timed(lambda: stream.take_records((record,)))[1]


def _timed(func: Callable[[], T]) -> tuple[T, float]:
    start_s = time.perf_counter()
    result = func()
    return result, time.perf_counter() - start_s


if __name__ == "__main__":
    main()
