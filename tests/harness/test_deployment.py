"""Deployments without their nodes' programs."""

import pytest
from prometheus_client import CollectorRegistry
from returns.pipeline import is_successful

from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log import RULES_STREAM
from savorylift.log_service.log_client import HttpLog
from savorylift.rules.check import check_rules
from savorylift.rules.fold import ConfigFold
from savorylift.settings_file import check_settings
from tests.harness.answers import request
from tests.harness.fixtures import Deploy, StartStandIn
from tests.harness.node_settings import NodePlace, node_settings
from tests.harness.plans import AJLOUN, HARMATTAN, Plan
from tests.harness.rules_text import rules_text
from tests.harness.standin import Kind

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
    address = "127.0.0.1:9001"
    place = NodePlace("entry-1", plan.domain_of(1), address, address, address)
    settings = node_settings(
        place, "http://127.0.0.1:1", "http://127.0.0.1:2", [address], {}
    )
    assert is_successful(check_settings(settings, "entry-1.json"))


def test_relayed_deployment(deploy: Deploy) -> None:
    deployment = deploy(AJLOUN._replace(nodes=2), relayed=True)
    assert len(deployment.links) == 5 + 4 + 2 * 2
    link = deployment.links["entry-2>vms"]
    vms = request("GET", f"http://{link.address}/v1/vms").json()["vms"]
    assert {vm["vm"] for vm in vms} == {
        *deployment.backend_servers,
        *deployment.nodes,
    }
    deployment.set_leaving("runner-1")
    deployment.remove_vm("runner-2")
    deployment.replace_vm("entry-1")
    seen = {vm["vm"]: vm for vm in deployment.vm_list.seen()["vms"]}
    assert seen["runner-1"]["leaving"]
    assert "runner-2" not in seen
    assert seen["entry-1"]["incarnation"] == "2"
    runner = deployment.links["runner-1"].address
    load = request("GET", f"http://{runner}/v1/load").json()
    assert load["models"] == [["rota-writer", "v3"]]


def test_first_rules_are_accepted(deploy: Deploy) -> None:
    deployment = deploy(HARMATTAN._replace(runners=1, nodes=0))
    deployment.put_first_rules()
    log = HttpLog(
        ClientConfig((deployment.log.url,)),
        PlatformCounters(CollectorRegistry()),
    )
    fold = ConfigFold()
    for record in log.read(RULES_STREAM, 0).unwrap().records:
        fold.apply(record)
    log.close()
    assert fold.version == 0
    assert "\n".join(fold.lines()) + "\n" == deployment.rules_path.read_text()


def test_node_that_ends_is_reported(deploy: Deploy) -> None:
    changes = {"vm": "not a name"}
    plan = AJLOUN._replace(runners=0, instances=0, nodes=1)
    deployment = deploy(plan, node_changes=changes)
    with pytest.raises(TimeoutError, match="entry-1 ended"):
        deployment.start_nodes()


def test_processes_freeze_and_restart_at_their_address(
    start_standin: StartStandIn,
) -> None:
    service = start_standin(Kind.PLAIN_SERVICE)
    service.process.freeze()
    with pytest.raises(Exception, match="timed out"):
        request("GET", f"{service.url}/v1/load", timeout_s=0.2)
    service.process.thaw()
    before = service.seen()["incarnation"]
    service.process.kill()
    assert not service.process.is_running
    service.start()
    assert service.seen()["incarnation"] != before
