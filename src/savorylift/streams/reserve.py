"""How much of an output's uncertain length to reserve memory for."""

import math
import threading
import time
from typing import NamedTuple

from savorylift.streams.policy_settings import PolicySettings

BASE_SHARE = 0.68
SHARE_PER_WEIGHT = 0.03
QUEUED_SHARE = 0.32  # less while requests wait
MISSING_SHARE = 0.3  # more while engines are out
MIN_SHARE = 0.1
MAX_SHARE = 1.0  # above it a reserve could fall as an output grows
PREEMPTION_STEP = 0.05
DECAY_S = 60.0  # time constant of the return to the base


class Crowding(NamedTuple):
    """How crowded the engines of a model are.

    Attributes:
        missing: Part of them that takes no new work.
        queued: Part of the others at which requests wait.
    """

    missing: float
    queued: float


CALM = Crowding(0.0, 0.0)


class Headroom:
    """Share of the expected rest of outputs to reserve, of one model.

    It rises with each preemption that engines report and returns to its base
    while there are none. Any number of threads may call it.
    """

    def __init__(self) -> None:
        """Starts at the base."""
        self._lock = threading.Lock()
        self._raised = 0.0
        self._noted_s = time.monotonic()

    def note_preemptions(self, rate: float, cfg: PolicySettings) -> None:
        """Raises the share for `rate` preemptions per engine seen now."""
        with self._lock:
            raised = self._decayed()
            step = PREEMPTION_STEP * cfg.preemption_weight
            self._raised = min(MAX_SHARE - MIN_SHARE, raised + step * rate)
            self._noted_s = time.monotonic()

    def share(self, cfg: PolicySettings, crowding: Crowding) -> float:
        """Returns the share to reserve under the weights in force."""
        return min(MAX_SHARE, base_share(cfg, crowding) + self._decayed())

    def _decayed(self) -> float:
        age_s = max(0.0, time.monotonic() - self._noted_s)
        return self._raised * math.exp(-age_s / DECAY_S)


def base_share(cfg: PolicySettings, crowding: Crowding) -> float:
    """Returns the share without preemptions."""
    weights = cfg.stall_weight + cfg.preemption_weight + cfg.token_tail_weight
    share = BASE_SHARE + SHARE_PER_WEIGHT * (weights - 3.0)
    share += MISSING_SHARE * crowding.missing * cfg.domain_change_weight
    share -= QUEUED_SHARE * crowding.queued
    return min(MAX_SHARE, max(MIN_SHARE, share))
