"""A deployment whose listeners all speak TLS, by settings alone."""

import pathlib
import time
from typing import Any

import pytest
import urllib3
from returns.pipeline import is_successful

from savorylift.client import Client, ClientOptions, Token
from tests.harness.deployment import Deployment
from tests.harness.fixtures import Deploy
from tests.harness.plans import AJLOUN
from tests.peers.test_tls import write_certificate

pytestmark = pytest.mark.processes
READY_S = 15.0
PLAN = AJLOUN._replace(nodes=2, runners=2, instances=1)


@pytest.fixture
def authority(tmp_path: pathlib.Path) -> str:
    return write_certificate(tmp_path)[0]


@pytest.fixture
def deployment(
    deploy: Deploy, tmp_path: pathlib.Path, authority: str
) -> Deployment:
    files: dict[str, Any] = {
        "certificate": authority,
        "private_key": str(tmp_path / "key.pem"),
        "authorities": authority,
    }
    names = ("caller_tls", "operator_tls", "peer_tls")
    return deploy(PLAN, node_changes=dict.fromkeys(names, files))


def wait_ready(deployment: Deployment, authority: str) -> None:
    """Starts all nodes; their operators' listener speaks TLS."""
    pool = urllib3.PoolManager(ca_certs=authority)
    deployment.put_first_rules()
    deadline_s = time.monotonic() + READY_S
    for node in deployment.nodes.values():
        node.start()
    for node in deployment.nodes.values():
        url = f"https://{node.place.operator_address}/readyz"
        while True:
            assert node.process.is_running, node.process.log_tail()
            assert time.monotonic() < deadline_s, node.process.log_tail()
            try:
                if pool.request("GET", url, retries=False).status == 200:
                    break
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)


def test_streams_calls_and_commands_work_over_tls(
    deployment: Deployment, authority: str
) -> None:
    wait_ready(deployment, authority)
    seeds = tuple(
        f"https://{node.place.caller_address}"
        for node in deployment.nodes.values()
    )
    client = Client(
        ClientOptions(seeds, PLAN.teams[0].name, 20.0, authorities=authority)
    )
    items = list(client.stream(PLAN.model, "report len=30"))
    assert all(isinstance(item, Token) for item in items), items[-1]
    assert len(items) == 31
    assert is_successful(client.call(PLAN.service, "GET", "/shifts"))
    settings = deployment.directory / "entry-1.json"
    ran = deployment.command("status", "--settings", str(settings))
    assert ran.stdout.count("takes new work: yes") == 2, ran.stdout


def test_plain_http_gets_nothing(
    deployment: Deployment, authority: str
) -> None:
    wait_ready(deployment, authority)
    address = deployment.nodes["entry-1"].place.caller_address
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request("GET", f"http://{address}/v1/entry", retries=False)
