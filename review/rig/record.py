"""Writes what a script has sent, got and run to `record.txt`."""

import pathlib
import time


class Record:
    """Lines with the seconds since the start of the script."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begins a new `record.txt` in the folder of a case."""
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **fields: object) -> None:
        """Writes a line: the time, what happened, and its details."""
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s:8.3f} {what} {details}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
