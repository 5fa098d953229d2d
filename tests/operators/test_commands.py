"""What the operators' commands say of a running deployment."""

import pathlib
import re
import time

import pytest

from tests.harness.answers import Answer, request
from tests.harness.deployment import Deployment
from tests.harness.fixtures import Deploy
from tests.harness.plans import AJLOUN

pytestmark = pytest.mark.processes
PLAN = AJLOUN._replace(nodes=2, runners=2, instances=1)
WAIT_S = 12.0
WHO = ("--author", "operator", "--cause", "storm")


@pytest.fixture
def deployment(deploy: Deploy) -> Deployment:
    running = deploy(PLAN)
    running.put_first_rules()
    running.start_nodes()
    return running


def run(deployment: Deployment, *arguments: str) -> tuple[int, str]:
    settings = str(deployment.nodes["entry-1"].settings_path)
    ran = deployment.command(*arguments, "--settings", settings)
    return ran.returncode, ran.stdout + ran.stderr


def ask(deployment: Deployment, request_id: str, team: str) -> Answer:
    url = deployment.nodes["entry-2"].caller_url
    return request(
        "POST",
        f"{url}/v1/completions",
        json={"model": PLAN.model, "prompt": "report len=3"},
        headers={"X-Team": team, "X-Request-Id": request_id},
    )


def test_commands_tell_what_nodes_do(deployment: Deployment) -> None:
    assert ask(deployment, "wanted-1", PLAN.teams[0].name).status == 200
    assert ask(deployment, "refused-1", "nobody").status == 401
    logs = [str(node.process.log_path) for node in deployment.nodes.values()]
    ran = deployment.command("explain", "wanted-1", *logs)
    assert ran.returncode == 0, ran.stderr
    assert re.search(r"entry-2 sent .*server=runner-\d", ran.stdout)
    assert "entry-2 stream_complete" in ran.stdout
    assert "configuration version=1" in ran.stdout
    ran = deployment.command("explain", "refused-1", *logs)
    assert "reason=unknown_team" in ran.stdout
    assert deployment.command("explain", "no-such", *logs).returncode == 1
    code, text = run(deployment, "status")
    assert (code, text.count("ready, configuration 1")) == (0, 2), text
    deadline_s = time.monotonic() + WAIT_S
    while "unknown_team" not in text and time.monotonic() < deadline_s:
        code, text = run(deployment, "refusals", "--from", "1h")
    assert code == 0
    assert re.search(r"-\s+not_run\s+unknown_team\s+401", text), text


def test_orders_and_versions_are_in_force_on_every_node(
    deployment: Deployment, tmp_path: pathlib.Path
) -> None:
    code, text = run(deployment, "domain", "out", "anjara", *WHO)
    assert (code, "in force on 2 of 2 nodes" in text) == (0, True), text
    assert '"anjara"' in run(deployment, "status", "--full")[1]
    code, text = run(deployment, "domain", "out", "nowhere", *WHO)
    assert (code, "known: ain-janna" in text) == (1, True), text
    code, text = run(deployment, "vm", "out", "runner-1", *WHO)
    assert code == 0, text
    code, text = run(deployment, "domain", "back", "anjara", *WHO)
    assert code == 0, text
    path = tmp_path / "rules.txt"
    path.write_text(deployment.rules_path.read_text() + "set a 1 # desk\n")
    assert "set a 1 # desk" in run(deployment, "rules", "diff", str(path))[1]
    publish = ("rules", "publish", str(path), "--author", "operator")
    code, text = run(deployment, *publish, "--base", "1")
    assert (code, "accepted as version 2" in text) == (0, True), text
    assert "in force on 2 of 2 nodes" in text
    code, text = run(deployment, *publish, "--base", "1")
    assert (code, "by operator came first" in text) == (1, True), text
    assert "set a 1 # desk" in run(deployment, "rules", "show")[1]
    deployment.nodes["entry-2"].process.kill()
    code, text = run(deployment, "domain", "out", "anjara", *WHO)
    assert code in (0, 3), text


def test_store_that_is_away_takes_no_order(deployment: Deployment) -> None:
    deployment.store.control(status=503)
    code, text = run(deployment, "domain", "out", "anjara", *WHO)
    assert (code, "not written" in text) == (1, True), text


@pytest.mark.parametrize(
    ("text", "code", "expected"),
    [
        ("model vine version v1 # desk\n", 0, "no faults"),
        ("model vine version v1\n", 2, "rules.txt:1:"),
        ("nonsense # desk\nmodel vine # desk\n", 2, "rules.txt:2:"),
    ],
)
def test_rules_check_names_file_line_and_column(
    deploy: Deploy,
    tmp_path: pathlib.Path,
    text: str,
    code: int,
    expected: str,
) -> None:
    path = tmp_path / "rules.txt"
    path.write_text(text)
    plan = PLAN._replace(runners=0, instances=0, nodes=0)
    ran = deploy(plan).command("rules", "check", str(path))
    assert ran.returncode == code
    assert expected in ran.stdout + ran.stderr
