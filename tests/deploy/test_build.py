"""Tests of the build while processes of an earlier one start."""

import os
import pathlib
import shutil
import subprocess
import time

REPOSITORY = pathlib.Path(__file__).parents[2]
BUILD_TIMEOUT_S = 30.0
INSTALLING_S = 0.5
# Stands for the interpreter: installs a dependency, slowly.
INTERPRETER = f"""#!/bin/sh
if [ "$2" = pip ]; then
    while [ "$1" != --target ]; do shift; done
    mkdir -p "$2"
    sleep {INSTALLING_S}
    echo new > "$2/dependency.py"
fi
"""


def prepare(directory: pathlib.Path) -> dict[str, str]:
    """Copies the build, without its tools; returns its environment."""
    shutil.copytree(REPOSITORY / "deploy", directory / "deploy")
    package = directory / "src" / "savorylift"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    tools = directory / "tools"
    tools.mkdir()
    (tools / "python3").write_text(INTERPRETER)
    (tools / "python3").chmod(0o755)
    return {"PATH": f"{tools}{os.pathsep}{os.environ['PATH']}"}


def test_earlier_build_is_whole_until_the_next_one_is(
    tmp_path: pathlib.Path,
) -> None:
    env = prepare(tmp_path)
    built = tmp_path / "target" / "deps"
    built.mkdir(parents=True)
    (built / "dependency.py").write_text("old\n")
    began_s = time.monotonic()
    build = subprocess.Popen(["sh", "deploy/build.sh"], cwd=tmp_path, env=env)
    try:
        while time.monotonic() - began_s < INSTALLING_S / 2:
            assert (built / "dependency.py").read_text() == "old\n"
        assert build.wait(BUILD_TIMEOUT_S) == 0
    finally:
        build.kill()
    assert (built / "dependency.py").read_text() == "new\n"
    assert (built / "savorylift" / "__init__.py").exists()
    assert [path.name for path in built.parent.iterdir()] == ["deps"]


def test_first_build_needs_nothing_of_an_earlier_one(
    tmp_path: pathlib.Path,
) -> None:
    env = prepare(tmp_path)
    subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=tmp_path,
        env=env,
        check=True,
        timeout=BUILD_TIMEOUT_S,
    )
    assert (tmp_path / "target" / "deps" / "dependency.py").exists()
