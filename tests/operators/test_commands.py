"""Tests of the operator commands against a running deployment."""

import pathlib
import re
import time

import pytest

from tests.harness.deployment import Deployment
from tests.harness.fixtures import DeploymentFactory
from tests.harness.http_client import Response, request
from tests.harness.plans import AJLOUN

pytestmark = pytest.mark.processes
PLAN = AJLOUN._replace(nodes=2, runners=2, instances=1)
REPORT_TIMEOUT_S = 12.0
ORDER_ARGUMENTS = ("--author", "operator", "--cause", "storm")


@pytest.fixture
def deployment(deploy: DeploymentFactory) -> Deployment:
    running = deploy(PLAN)
    running.publish_initial_rules()
    running.start_nodes()
    return running


def run_command(deployment: Deployment, *arguments: str) -> tuple[int, str]:
    settings = str(deployment.nodes["entry-1"].settings_path)
    completed = deployment.run_command(*arguments, "--settings", settings)
    return completed.returncode, completed.stdout + completed.stderr


def send_completion(
    deployment: Deployment, request_id: str, team: str
) -> Response:
    url = deployment.nodes["entry-2"].caller_url
    return request(
        "POST",
        f"{url}/v1/completions",
        json={"model": PLAN.model, "prompt": "report len=3"},
        headers={"X-Team": team, "X-Request-Id": request_id},
    )


def test_explain_status_and_refusals_report_requests(
    deployment: Deployment,
) -> None:
    assert (
        send_completion(deployment, "wanted-1", PLAN.teams[0].name).status
        == 200
    )
    assert send_completion(deployment, "refused-1", "nobody").status == 401
    logs = [str(node.process.log_path) for node in deployment.nodes.values()]
    completed = deployment.run_command("explain", "wanted-1", *logs)
    assert completed.returncode == 0, completed.stderr
    assert re.search(r"entry-2 sent .*server=runner-\d", completed.stdout)
    assert "entry-2 stream_complete" in completed.stdout
    assert "configuration version=1" in completed.stdout
    completed = deployment.run_command("explain", "refused-1", *logs)
    assert "reason=unknown_team" in completed.stdout
    assert deployment.run_command("explain", "no-such", *logs).returncode == 1
    code, text = run_command(deployment, "status")
    assert (code, text.count("ready, configuration 1")) == (0, 2), text
    deadline_s = time.monotonic() + REPORT_TIMEOUT_S
    while "unknown_team" not in text and time.monotonic() < deadline_s:
        code, text = run_command(deployment, "refusals", "--from", "1h")
    assert code == 0
    assert re.search(r"-\s+not_run\s+unknown_team\s+401", text), text


def test_orders_and_versions_are_in_force_on_every_node(
    deployment: Deployment, tmp_path: pathlib.Path
) -> None:
    code, text = run_command(
        deployment, "domain", "out", "anjara", *ORDER_ARGUMENTS
    )
    assert (code, "in force on 2 of 2 nodes" in text) == (0, True), text
    assert '"anjara"' in run_command(deployment, "status", "--full")[1]
    code, text = run_command(
        deployment, "domain", "out", "nowhere", *ORDER_ARGUMENTS
    )
    assert (code, "known: ain-janna" in text) == (1, True), text
    code, text = run_command(
        deployment, "vm", "out", "runner-1", *ORDER_ARGUMENTS
    )
    assert code == 0, text
    code, text = run_command(
        deployment, "domain", "back", "anjara", *ORDER_ARGUMENTS
    )
    assert code == 0, text
    path = tmp_path / "rules.txt"
    path.write_text(deployment.rules_path.read_text() + "set a 1 # desk\n")
    assert (
        "set a 1 # desk"
        in run_command(deployment, "rules", "diff", str(path))[1]
    )
    publish = ("rules", "publish", str(path), "--author", "operator")
    code, text = run_command(deployment, *publish, "--base", "1")
    assert (code, "accepted as version 2" in text) == (0, True), text
    assert "in force on 2 of 2 nodes" in text
    code, text = run_command(deployment, *publish, "--base", "1")
    assert (code, "by operator came first" in text) == (1, True), text
    assert "set a 1 # desk" in run_command(deployment, "rules", "show")[1]
    deployment.nodes["entry-2"].process.kill()
    code, text = run_command(
        deployment, "domain", "out", "anjara", *ORDER_ARGUMENTS
    )
    assert code in (0, 3), text


def test_order_fails_while_store_is_unavailable(deployment: Deployment) -> None:
    deployment.store.control(status=503)
    code, text = run_command(
        deployment, "domain", "out", "anjara", *ORDER_ARGUMENTS
    )
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
    deploy: DeploymentFactory,
    tmp_path: pathlib.Path,
    text: str,
    code: int,
    expected: str,
) -> None:
    path = tmp_path / "rules.txt"
    path.write_text(text)
    plan = PLAN._replace(runners=0, instances=0, nodes=0)
    completed = deploy(plan).run_command("rules", "check", str(path))
    assert completed.returncode == code
    assert expected in completed.stdout + completed.stderr
