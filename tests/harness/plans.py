"""Plans of the two deployments that the tests and the demo run."""

from typing import NamedTuple


class TeamPlan(NamedTuple):
    """One team and its share of the capacity.

    Attributes:
        name: Name of the team.
        weight: Weight in the fair-share scheduling between teams.
        asked_by: Requester, written as the comment of the team's rule.
    """

    name: str
    weight: int
    asked_by: str


class Plan(NamedTuple):
    """Size and names of one organisation's deployment.

    Attributes:
        name: Short name, used for the deployment's directory.
        region: Region of all the failure domains.
        failure_domains: Failure domains; VMs are assigned round-robin.
        model: Model that the runners serve.
        version: Version of the model.
        runners: Number of runners, VMs with one model engine each.
        service: Name of the plain service.
        instances: Number of instances of the service.
        repeatable: Methods whose calls to the service may be retried.
        teams: Teams, by descending weight.
        nodes: Number of entry VMs, each running one node.
        domain_delay_s: One-way network delay between failure domains; not
            simulated.
        caller_delay_s: One-way network delay between callers and nodes; not
            simulated.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    model: str
    version: str
    runners: int
    service: str
    instances: int
    repeatable: tuple[str, ...]
    teams: tuple[TeamPlan, ...]
    nodes: int
    domain_delay_s: float
    caller_delay_s: float

    def domain_of(self, number: int) -> str:
        """Returns the failure domain of the VM with this number, from 1 on."""
        return self.failure_domains[(number - 1) % len(self.failure_domains)]

    def node_names(self) -> list[str]:
        """Returns the names of the entry VMs."""
        return [f"entry-{n}" for n in range(1, self.nodes + 1)]

    def runner_names(self) -> list[str]:
        """Returns the names of the runners."""
        return [f"runner-{n}" for n in range(1, self.runners + 1)]

    def instance_names(self) -> list[str]:
        """Returns the names of the service's instances."""
        return [f"{self.service}-{n}" for n in range(1, self.instances + 1)]


AJLOUN = Plan(
    name="ajloun",
    region="ajloun",
    failure_domains=("anjara", "kufranjah", "ain-janna", "rajib"),
    model="rota-writer",
    version="v3",
    runners=5,
    service="crew",
    instances=4,
    repeatable=("GET", "HEAD"),
    teams=(
        TeamPlan("rota-desk", 8, "rota desk, drafts before dawn"),
        TeamPlan("vine-reports", 6, "growers, summaries of vine reports"),
        TeamPlan("field-crews", 4, "crew app, shifts"),
        TeamPlan("anjara-growers", 1, "growers of anjara"),
        TeamPlan("kufranjah-growers", 1, "growers of kufranjah"),
        TeamPlan("ain-janna-growers", 1, "growers of ain-janna"),
        TeamPlan("rajib-growers", 1, "growers of rajib"),
        TeamPlan("pollinators", 1, "hand-pollinators"),
        TeamPlan("terrace-water", 1, "terrace water office"),
        TeamPlan("seed-bank", 1, "seed bank"),
    ),
    nodes=6,
    domain_delay_s=0.0015,
    caller_delay_s=0.001,
)

HARMATTAN = Plan(
    name="harmattan",
    region="ng-southwest",
    failure_domains=("ikeja-a", "lekki-b", "apapa-c", "yaba-d"),
    model="invoice-explainer",
    version="v2",
    runners=7,
    service="ledger",
    instances=4,
    repeatable=("GET", "HEAD"),
    teams=(
        TeamPlan("estate-managers", 8, "estate managers, explanations"),
        TeamPlan("collections", 6, "collections desk, postings"),
        TeamPlan("dispute-clerks", 4, "clerks, dispute tags"),
        TeamPlan("tenant-helpline", 4, "helpline, balances"),
        TeamPlan("lagos-estates", 1, "estates in Lagos"),
        TeamPlan("abuja-estates", 1, "estates in Abuja"),
        TeamPlan("rival-a-ledger", 1, "first absorbed biller"),
        TeamPlan("rival-b-ledger", 1, "second absorbed biller"),
        TeamPlan("rival-c-ledger", 1, "third absorbed biller"),
        TeamPlan("metering", 1, "metering"),
    ),
    nodes=6,
    domain_delay_s=0.0005,
    caller_delay_s=0.003,
)
