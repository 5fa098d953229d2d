"""Makes the memory of large bodies return to the system when they are freed."""

import ctypes

# `M_MMAP_THRESHOLD` of glibc's `mallopt`: blocks from this size have pages of
# their own.
MMAP_THRESHOLD_OPTION = -3
LARGE_BLOCK_BYTES = 131_072


def keep_large_blocks_apart() -> None:
    """Gives each large block pages of its own, for as long as the process runs.

    By default, glibc raises the size from which it does so with each large
    block that is freed, up to 32 MiB. Bodies that grow side by side then leave
    gaps in the heap. With other C libraries, nothing is changed.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MMAP_THRESHOLD_OPTION, LARGE_BLOCK_BYTES)
