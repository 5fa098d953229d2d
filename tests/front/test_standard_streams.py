"""Tests of processes whose standard streams are closed."""

import os
import pathlib
import subprocess
import sys

import pytest

CODE = (
    "import os, sys;"
    "sys.path.insert(0, sys.argv[1]);"
    "from savorylift.front.standard_streams import open_standard_streams;"
    "open_standard_streams();"
    "free = os.open(os.devnull, os.O_RDONLY);"
    "os.write(1, b'x');"
    "os.write(2, b'x');"
    "sys.exit(free)"
)
SOURCE = pathlib.Path(__file__).parents[2] / "src"
PROCESS_TIMEOUT_S = 15.0


@pytest.mark.parametrize(
    "closed", [(), (0,), (1,), (2,), (0, 2), (1, 2), (0, 1, 2)]
)
def test_closed_streams_are_given_to_nothing_else(
    closed: tuple[int, ...],
) -> None:
    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    process = subprocess.run(
        [sys.executable, "-S", "-c", CODE, str(SOURCE)],
        preexec_fn=close,
        capture_output=not closed,
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == 3
