"""Tests of the deployment harness and its processes."""

import asyncio

import pytest
from returns.pipeline import is_successful

from savorylift.front.settings import FrontSettings
from savorylift.platform.store import StoreClient
from savorylift.rules.check import check_rules
from savorylift.rules.publication import read_rules
from savorylift.settings_file import check_settings
from savorylift.wire.address import split_address
from tests.harness.fixtures import DeploymentFactory, StandInFactory
from tests.harness.http_client import request
from tests.harness.node import NodeLocation, Ports, node_settings
from tests.harness.plans import AJLOUN, HARMATTAN, Plan
from tests.harness.rules_text import rules_text
from tests.harness.standin import StandInKind

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("plan", [AJLOUN, HARMATTAN], ids=lambda p: p.name)
def test_rules_and_settings_are_accepted(plan: Plan) -> None:
    servers = [*plan.runner_names(), *plan.instance_names()]
    text = rules_text(plan, dict.fromkeys(servers, "127.0.0.1:9000"))
    checked = check_rules(text, "rules.txt")
    assert is_successful(checked), checked.failure()
    view = checked.unwrap()
    assert (len(view.teams), len(view.failure_domains)) == (10, 4)
    assert len(view.backend_servers) == plan.runners + plan.instances
    ports = Ports(9001, 9002, 9003, 9004, 9005)
    location = NodeLocation("vm-1", "r", plan.domain_of(1), "127.0.0.1", ports)
    settings = node_settings(location, "127.0.0.1:9", ["127.0.0.2:1"], {})
    assert is_successful(check_settings(settings, "s.json", FrontSettings))


def test_relayed_deployment_has_all_links(deploy: DeploymentFactory) -> None:
    deployment = deploy(AJLOUN._replace(nodes=2), is_relayed=True)
    assert len(deployment.links) == 5 + 4 + 2
    runner = deployment.links["runner-1"].address
    load = request("GET", f"http://{runner}/v1/load").json()
    assert load["models"] == [["rota-writer", "v3"]]


def test_initial_rules_are_stored(deploy: DeploymentFactory) -> None:
    deployment = deploy(HARMATTAN._replace(runners=1, nodes=0))
    deployment.publish_initial_rules()
    store = StoreClient(split_address(deployment.store.address))
    stored = asyncio.run(read_rules(store)).unwrap()
    assert stored.newest is not None
    assert stored.newest.text == deployment.rules_path.read_text()


def test_node_that_exits_during_start_is_reported(
    deploy: DeploymentFactory,
) -> None:
    overrides = {"vm": "not a name"}
    plan = AJLOUN._replace(runners=0, instances=0, nodes=1)
    deployment = deploy(plan, node_overrides=overrides)
    with pytest.raises(TimeoutError, match="entry-1 ended"):
        deployment.start_nodes()


def test_paused_and_restarted_processes_keep_their_address(
    start_standin: StandInFactory,
) -> None:
    service = start_standin(StandInKind.PLAIN_SERVICE)
    service.process.pause()
    with pytest.raises(Exception, match="timed out"):
        request("GET", f"{service.url}/v1/load", timeout_s=0.2)
    service.process.resume()
    before = service.fetch_record()["incarnation"]
    service.process.kill()
    assert not service.process.is_running
    service.start()
    assert service.fetch_record()["incarnation"] != before
