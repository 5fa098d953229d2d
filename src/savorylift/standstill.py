"""Notices that this process didn't run for a while.

It was stopped, or its VM was suspended: what it knows of others is old then,
and what has come meanwhile isn't read yet.
"""

from savorylift.boot_clock import boot_time_s

# A process that didn't run for this long may have missed much.
STOOD_STILL_S = 0.7


class StandstillWatch:
    """Tells whether this process stood still since the last question."""

    def __init__(self) -> None:
        """Begins to watch."""
        # Boot time at which this process was last seen to run.
        self._ran_s = boot_time_s()

    def has_stood_still(self) -> bool:
        """Whether it did; to be asked periodically, and before it decides."""
        last_s, self._ran_s = self._ran_s, boot_time_s()
        return self._ran_s - last_s >= STOOD_STILL_S
