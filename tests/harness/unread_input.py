"""What sockets have received and their process hasn't read."""

import contextlib
import pathlib

LISTENING = "0A"
# Columns of /proc/PID/net/tcp.
ADDRESSES = slice(1, 3)
STATE_COLUMN = 3
QUEUES_COLUMN = 4
INODE_COLUMN = 9


def unread_bytes(pid: int | str = "self", port: int | None = None) -> int:
    """Returns the bytes that a process's connections hold unread in all.

    Args:
        pid: The process.
        port: Port at either end of the connections that count; None for all.
    """
    inodes = set()
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(str(entry.readlink()))
    total = 0
    lines = pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()
    for line in lines[1:]:
        fields = line.split()
        is_own = f"socket:[{fields[INODE_COLUMN]}]" in inodes
        if port is not None and port not in map(_port, fields[ADDRESSES]):
            continue
        if is_own and fields[STATE_COLUMN] != LISTENING:
            total += int(fields[QUEUES_COLUMN].partition(":")[2], 16)
    return total


def _port(address: str) -> int:
    """Returns the port of an address as the system writes it."""
    return int(address.rpartition(":")[2], 16)
