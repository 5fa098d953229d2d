"""Clock for permissions that expire while a VM is suspended, too."""

import pathlib
import time

BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")


def boot_time_s() -> float:
    """Returns the time since boot, including the time suspended.

    The monotonic clock stands still while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str | None:
    """Returns the ID that the kernel gave this boot; None if it is unknown."""
    try:
        return BOOT_ID_PATH.read_text(encoding="ascii").strip() or None
    except (OSError, ValueError):
        return None
