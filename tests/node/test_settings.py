"""What a node says about settings that it can't run with."""

import json
import pathlib
import socket
import subprocess
import sys

import pytest

from tests.test_settings_file import GOOD

pytestmark = pytest.mark.processes


def run(settings: object, folder: pathlib.Path) -> tuple[int, list[str]]:
    path = folder / "node.json"
    path.write_text(json.dumps(settings))
    ran = subprocess.run(
        [sys.executable, "-m", "savorylift", "node", "--settings", "node.json"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return ran.returncode, ran.stderr.splitlines()


def test_faults_come_one_a_line_before_anything_starts(
    tmp_path: pathlib.Path,
) -> None:
    bad = GOOD | {"color": 1, "caller_listen": "here:80"}
    code, lines = run({k: bad[k] for k in bad if k != "vm"}, tmp_path)
    assert code == 2
    assert [line.split(": ")[1] for line in lines] == [
        "color",
        "vm",
        "caller_listen",
    ]


def test_address_in_use_ends_the_process(tmp_path: pathlib.Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        code, lines = run(GOOD | {"operator_listen": address}, tmp_path)
    assert code == 1
    assert lines[-1].startswith(f"node.json: {address}: ")


def test_missing_tls_file_is_named(tmp_path: pathlib.Path) -> None:
    tls = {"certificate": "none.pem", "private_key": "none.pem"}
    code, lines = run(GOOD | {"caller_tls": tls}, tmp_path)
    assert code == 2
    assert lines[-1].startswith("node.json: tls: ")
