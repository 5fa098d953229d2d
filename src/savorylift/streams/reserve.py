"""How much of an output's uncertain length to reserve memory for."""

import math
import threading
import time

from savorylift.streams.policy_settings import PolicySettings

BASE_LEVEL = 0.28
MIN_LEVEL = 0.1
MAX_LEVEL = 0.95
PREEMPTION_STEP = 0.012
DECAY_S = 60.0  # time constant of the return to the base level


class Headroom:
    """Quantile level of the reserve of one model, for any thread.

    It rises with each preemption that engines report and returns to the base
    level while there are none.
    """

    def __init__(self) -> None:
        """Starts at the base level."""
        self._lock = threading.Lock()
        self._raised = 0.0
        self._noted_s = time.monotonic()

    def note_preemptions(self, rate: float, cfg: PolicySettings) -> None:
        """Raises the level for `rate` preemptions per engine seen now."""
        with self._lock:
            raised = self._decayed()
            step = PREEMPTION_STEP * cfg.preemption_weight
            self._raised = min(MAX_LEVEL - MIN_LEVEL, raised + step * rate)
            self._noted_s = time.monotonic()

    def level(self, cfg: PolicySettings) -> float:
        """Returns the quantile level to reserve at."""
        base = base_level(cfg)
        return min(MAX_LEVEL, base + self._decayed())

    def _decayed(self) -> float:
        age_s = max(0.0, time.monotonic() - self._noted_s)
        return self._raised * math.exp(-age_s / DECAY_S)


def base_level(cfg: PolicySettings) -> float:
    """Returns the level without preemptions; stalls weighed more raise it."""
    level = BASE_LEVEL + 0.05 * (cfg.stall_weight - 1.0)
    return min(MAX_LEVEL, max(MIN_LEVEL, level))
