"""Tests of the memory of large blocks, in a process of their own."""

import subprocess
import sys

import pytest

# Each kept block lies behind a large one that is freed, which is a gap in the
# heap unless the large one had pages of its own.
PROGRAM = """
import pathlib
from savorylift.front.large_blocks import keep_large_blocks_apart

def resident_kb():
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])

keep_large_blocks_apart()
# By default, blocks of up to this size lie in the heap from now on.
first = bytearray(8_000_000)
del first
large, kept = [], []
for _ in range(20):
    large.append(b"x" * 1_000_000)
    kept.append(b"x" * 100_000)
held_kb = resident_kb()
large.clear()
print(held_kb - resident_kb())
"""
FREED_KB = 18_000


@pytest.mark.skipif(sys.platform != "linux", reason="an option of glibc")
def test_freed_blocks_return_to_the_system_between_kept_ones() -> None:
    """They stayed with the process, and counted toward its memory."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        check=True,
        capture_output=True,
        text=True,
    )
    assert int(done.stdout) > FREED_KB
