"""Time between tokens of each model, as its streams show it."""

import threading
import time
from collections import OrderedDict
from typing import NamedTuple

DEFAULT_INTERVAL_S = 0.033
MIN_TOKENS = 8
SMOOTHING = 0.05
MAX_STREAMS = 4096


class _Mark(NamedTuple):
    at_s: float
    produced: int


class Pace:
    """Smoothed seconds a token, for any number of threads."""

    def __init__(self) -> None:
        """Starts with the default interval."""
        self._lock = threading.Lock()
        self._marks: OrderedDict[str, _Mark] = OrderedDict()
        self._interval_s: dict[str, float] = {}

    def note_progress(self, request_id: str, produced: int) -> None:
        """Notes how far a running stream is; the first mark counts."""
        if request_id in self._marks:
            return
        with self._lock:
            self._marks[request_id] = _Mark(time.monotonic(), produced)
            if len(self._marks) > MAX_STREAMS:
                self._marks.popitem(last=False)

    def note_finished(self, request_id: str, model: str, produced: int) -> None:
        """Learns the pace of a completed stream."""
        with self._lock:
            mark = self._marks.pop(request_id, None)
            if mark is None or produced - mark.produced < MIN_TOKENS:
                return
            took_s = time.monotonic() - mark.at_s
            sample_s = took_s / (produced - mark.produced)
            usual_s = self._interval_s.get(model, sample_s)
            self._interval_s[model] = usual_s + SMOOTHING * (sample_s - usual_s)

    def interval_s(self, model: str) -> float:
        """Returns the usual time between tokens."""
        return self._interval_s.get(model, DEFAULT_INTERVAL_S)
