"""Generator for the rules file of a deployment."""

from collections.abc import Mapping

from tests.harness.plans import Plan

# Numbers of concurrent requests that a backend server can handle while it is
# cold and once it is warm, and tokens that fit into the KV cache of an engine.
RUNNER_COLD_LIMIT = 4
RUNNER_WARM_LIMIT = 32
RUNNER_KV_TOKENS = 8192
INSTANCE_COLD_LIMIT = 2
INSTANCE_WARM_LIMIT = 16


def rules_text(plan: Plan, addresses: Mapping[str, str]) -> str:
    """Returns the text of the rules file.

    Args:
        plan: Plan of the deployment.
        addresses: `ip:port` of each backend server by VM name.
    """
    methods = ",".join(plan.repeatable)
    lines = [
        *(
            f"failure_domain {domain} in region {plan.region}  # platform"
            for domain in plan.failure_domains
        ),
        f"model {plan.model} version {plan.version}  # model desk",
        f"service {plan.service} repeatable {methods}  # service desk",
        *_runner_lines(plan, addresses),
        *_instance_lines(plan, addresses),
        *(
            f"team {team.name} weight {team.weight} models *  # {team.asked_by}"
            for team in plan.teams
        ),
    ]
    return "\n".join(lines) + "\n"


def _runner_lines(plan: Plan, addresses: Mapping[str, str]) -> list[str]:
    return [
        f"backend_server {name} at {addresses[name]}"
        f" in {plan.domain_of(number)} serves model {plan.model}"
        f" cold {RUNNER_COLD_LIMIT} warm {RUNNER_WARM_LIMIT}"
        f" kv {RUNNER_KV_TOKENS}"
        f"{' checks fencing' if number % 2 else ''}  # model desk"
        for number, name in enumerate(plan.runner_names(), start=1)
    ]


def _instance_lines(plan: Plan, addresses: Mapping[str, str]) -> list[str]:
    return [
        f"backend_server {name} at {addresses[name]}"
        f" in {plan.domain_of(number)} serves service {plan.service}"
        f" cold {INSTANCE_COLD_LIMIT} warm {INSTANCE_WARM_LIMIT}"
        "  # service desk"
        for number, name in enumerate(plan.instance_names(), start=1)
    ]
