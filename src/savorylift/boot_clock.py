"""Clock for permissions that expire while a VM is suspended, too."""

import time


def boot_time_s() -> float:
    """Returns the time since boot, including the time suspended.

    The monotonic clock stands still while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
