"""The append-only log service; run as `python -m tests.standins.log_service`.

Control fields are those of `LogSettings`. `GET /control` shows counters and,
with `?stream=NAME`, every record that was ever appended to that stream.
"""

import random
import sys
import threading
import time
import urllib.parse
from collections import Counter
from collections.abc import Mapping

import msgspec

from tests.standins import control
from tests.standins.serving import Dropped, Reply, Request, error, run

RATE_WINDOW_S = 1.0
READ_LIMIT = 1000


class LogSettings(control.Settings):
    """Limits and faults of the log service.

    Attributes:
        append_rate: Append requests a second; more get 429. 0 for no limit.
        keep_records: Records kept per stream; 0 for all.
        keep_s: Age at which records are forgotten; 0 for never.
        trim: One-shot: stream name to the new first offset.
        outage: True answers every request with 503.
        no_answer: True closes every connection without an answer.
        append_delay_s: Time before an append takes effect.
        read_delay_s: Time before a read is answered.
        lose_answers: Number of next appends that take effect unanswered.
        lose_share: Share of further appends that take effect unanswered.
        lose_appends: Number of next appends dropped without effect or answer.
        older_copy_share: Share of reads answered from an older copy.
        older_copy_records: Records that the older copy lacks at its tail.
        seed: Seed of the random choices.
    """

    append_rate: int = 300
    keep_records: int = 0
    keep_s: float = 0.0
    trim: dict[str, int] = msgspec.field(default_factory=dict)
    outage: bool = False
    no_answer: bool = False
    append_delay_s: float = 0.0
    read_delay_s: float = 0.0
    lose_answers: int = 0
    lose_share: float = 0.0
    lose_appends: int = 0
    older_copy_share: float = 0.0
    older_copy_records: int = 0
    seed: int = 1


class Entry(msgspec.Struct, frozen=True):
    """A record as its writer sends it."""

    id: str
    kind: str
    body: str


class Append(msgspec.Struct, frozen=True):
    """Body of an append."""

    records: list[Entry]


class Record(msgspec.Struct, frozen=True):
    """A record as readers get it."""

    offset: int
    id: str
    kind: str
    body: str
    time_ms: int


class Stream:
    """The records of one stream and how far they are forgotten."""

    def __init__(self) -> None:
        """Starts empty."""
        self.records: list[Record] = []
        self.first_offset = 0

    def append(self, entries: list[Entry]) -> int:
        """Appends all entries and returns the first one's offset."""
        first = len(self.records)
        now_ms = int(time.time() * 1000)
        self.records += [
            Record(first + n, entry.id, entry.kind, entry.body, now_ms)
            for n, entry in enumerate(entries)
        ]
        return first

    def forget(self, cfg: LogSettings) -> None:
        """Applies retention by count and age."""
        if cfg.keep_records:
            self.trim(len(self.records) - cfg.keep_records)
        if not cfg.keep_s:
            return
        oldest_ms = (time.time() - cfg.keep_s) * 1000
        while (
            self.first_offset < len(self.records)
            and self.records[self.first_offset].time_ms < oldest_ms
        ):
            self.first_offset += 1

    def trim(self, offset: int) -> None:
        """Forgets the records before `offset`."""
        bounded = min(offset, len(self.records))
        self.first_offset = max(self.first_offset, bounded)

    def page(self, offset: int, limit: int, missing: int) -> dict[str, object]:
        """Returns a read's answer, without the `missing` newest records."""
        tail = max(self.first_offset, len(self.records) - missing)
        start = max(offset, self.first_offset)
        records = self.records[start : min(tail, start + limit)]
        return {
            "first_offset": self.first_offset,
            "next_offset": tail,
            "records": records,
        }


class LogService:
    """Answers appends and reads."""

    def __init__(self, settings: LogSettings) -> None:
        """Starts without any stream."""
        self.settings = settings
        self.lock = threading.Lock()
        self._appended = threading.Condition(self.lock)
        self._streams: dict[str, Stream] = {}
        self._append_times: list[float] = []
        self._counts: Counter[str] = Counter()
        self._random = random.Random(settings.seed)

    def on_change(self) -> None:
        """Applies a trim and wakes waiting reads."""
        for name, offset in self.settings.trim.items():
            self._stream(name).trim(offset)
        self.settings.trim = {}
        self._random = random.Random(self.settings.seed)
        self._appended.notify_all()

    def seen(self, query: Mapping[str, str]) -> object:
        """Returns counters, stream sizes and the records asked for."""
        shown: dict[str, object] = {
            "counts": dict(self._counts),
            "next_offsets": {
                name: len(stream.records)
                for name, stream in self._streams.items()
            },
        }
        if "stream" in query:
            shown["records"] = self._stream(query["stream"]).records
        return shown

    def handle(self, req: Request) -> Reply | Dropped:
        """Answers one append or read."""
        parts = req.path.strip("/").split("/")
        if parts[:2] != ["v1", "streams"] or parts[3:] != ["records"]:
            return error(404, "not_found")
        if self.settings.no_answer:
            return Dropped()
        if self.settings.outage:
            with self.lock:
                self._counts["outage"] += 1
            return error(503, "outage")
        name = urllib.parse.unquote(parts[2])
        if req.method == "POST":
            return self._append(name, req)
        if req.method == "GET":
            return self._read(name, req)
        return error(405, "method_not_allowed")

    def _append(self, name: str, req: Request) -> Reply | Dropped:
        try:
            entries = msgspec.json.decode(req.body, type=Append).records
        except msgspec.DecodeError as exc:
            return error(400, "bad_request", str(exc))
        time.sleep(self.settings.append_delay_s)
        with self.lock:
            if not self._has_room():
                self._counts["over_rate"] += 1
                return error(429, "over_rate")
            if self.settings.lose_appends > 0:
                self.settings.lose_appends -= 1
                self._counts["lost_appends"] += 1
                return Dropped()
            first = self._stream(name).append(entries)
            self._counts["appends"] += 1
            self._appended.notify_all()
            if self._loses_answer():
                self._counts["lost_answers"] += 1
                return Dropped()
        return Reply(200, {"first_offset": first})

    def _read(self, name: str, req: Request) -> Reply | Dropped:
        offset = int(req.query.get("from", "0"))
        wait_s = int(req.query.get("wait_ms", "0")) / 1000
        limit = int(req.query.get("limit", str(READ_LIMIT)))
        time.sleep(self.settings.read_delay_s)
        with self.lock:
            self._counts["reads"] += 1
            stream = self._stream(name)
            self._appended.wait_for(
                lambda: offset < len(stream.records) or self._is_down(), wait_s
            )
            if self._is_down():
                return error(503, "outage")
            stream.forget(self.settings)
            return Reply(200, stream.page(offset, limit, self._missing()))

    def _is_down(self) -> bool:
        return self.settings.outage or self.settings.no_answer

    def _has_room(self) -> bool:
        now = time.monotonic()
        self._append_times = [
            t for t in self._append_times if now - t < RATE_WINDOW_S
        ]
        if 0 < self.settings.append_rate <= len(self._append_times):
            return False
        self._append_times.append(now)
        return True

    def _loses_answer(self) -> bool:
        if self.settings.lose_answers > 0:
            self.settings.lose_answers -= 1
            return True
        return self._random.random() < self.settings.lose_share

    def _missing(self) -> int:
        is_older = self._random.random() < self.settings.older_copy_share
        return self.settings.older_copy_records if is_older else 0

    def _stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream())


def main() -> None:
    """Runs the service with the settings of the command line."""
    port, settings = control.parse_command_line(LogSettings, sys.argv[1:])
    run(LogService(settings), port)


if __name__ == "__main__":
    main()
