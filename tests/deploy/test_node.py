"""Tests of the program that the deploy file starts."""

import pathlib
import subprocess
import sys
import tomllib

REPOSITORY = pathlib.Path(__file__).parents[2]
PROGRAM = "deploy/node.py"
PROCESS_TIMEOUT_S = 15.0
# Stands for the node: tells what it was started with.
NODE = """
import sys
LOADED = sorted(sys.modules)
import signal
def main():
    print(signal.getsignal(signal.SIGHUP).name, *LOADED)
    return 7
"""
# Modules that take longest of a start.
LATER = {"enum", "signal", "asyncio", "savorylift.front.process"}


def test_sighup_is_ignored_before_anything_is_imported(
    tmp_path: pathlib.Path,
) -> None:
    package = tmp_path / "savorylift" / "front"
    package.mkdir(parents=True)
    (package / "__main__.py").write_text(NODE)
    process = subprocess.run(
        [sys.executable, "-S", PROGRAM, "settings.json"],
        cwd=REPOSITORY,
        env={"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"},
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == 7
    action, *loaded = process.stdout.split()
    assert action == "SIG_IGN"
    assert LATER.isdisjoint(loaded)


def test_deploy_file_starts_the_program() -> None:
    text = (REPOSITORY / "deploy" / "system.toml").read_text()
    run = tomllib.loads(text)["roles"]["node"]["run"].split()
    assert run[:3] == ["python3", "-S", PROGRAM]
