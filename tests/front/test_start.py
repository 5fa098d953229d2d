"""Tests of what a node loads before it serves."""

import importlib.util
import json
import os
import pathlib
import subprocess
import sys

REPOSITORY = pathlib.Path(__file__).parents[2]
PROCESS_TIMEOUT_S = 15.0
# As a node does with the settings of `deploy/settings.json`.
START = (
    "import json, sys;"
    "import savorylift.front.process;"
    "from savorylift.front.interface import _platform;"
    "_platform();"
    "print(json.dumps(sorted(sys.modules)))"
)
# Parts of the package that no node needs, and costly modules that are needed
# later, if at all.
NOT_AT_START = (
    "savorylift.client",
    "savorylift.completions",
    "savorylift.emulator",
    "savorylift.operators",
    "savorylift.rules",
    "prometheus_client",
    "http.server",
    "email.utils",
    "urllib.request",
    "importlib.resources",
)


def run_time_packages() -> set[str]:
    lines = (REPOSITORY / "deploy" / "requirements.txt").read_text().split()
    return {line.partition("==")[0] for line in lines}


def modules_at_start(directory: pathlib.Path) -> set[str]:
    """Returns the modules of a process with the run-time dependencies only."""
    for package in (*run_time_packages(), "savorylift"):
        spec = importlib.util.find_spec(package)
        assert spec is not None
        assert spec.origin is not None
        origin = pathlib.Path(spec.origin)
        if origin.name == "__init__.py":
            origin = origin.parent
        (directory / origin.name).symlink_to(origin)
    process = subprocess.run(
        [sys.executable, "-S", "-c", START],
        env={"PYTHONPATH": str(directory), "PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
        check=True,
    )
    return set(json.loads(process.stdout))


def test_node_starts_with_the_modules_that_its_settings_need(
    tmp_path: pathlib.Path,
) -> None:
    """A fleet that is started again as a whole pays for each of them."""
    loaded = modules_at_start(tmp_path)
    unneeded = [
        module
        for module in loaded
        for package in NOT_AT_START
        if f"{module}.".startswith(f"{package}.")
    ]
    assert unneeded == []
    third_party = {
        module
        for module in loaded
        if "." not in module
        and not module.startswith("_")
        and module not in sys.stdlib_module_names
    }
    assert third_party - {"savorylift"} <= run_time_packages()
