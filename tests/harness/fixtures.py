"""Fixtures that start processes and stop them after the test."""

import pathlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from tests.harness.deployment import Deployment, DeploymentOptions
from tests.harness.link import Relay
from tests.harness.plans import Plan
from tests.harness.standin import StandIn, StandInKind

StandInFactory = Callable[..., StandIn]
DeploymentFactory = Callable[..., Deployment]


@pytest.fixture
def start_standin(tmp_path: pathlib.Path) -> Iterator[StandInFactory]:
    """Returns `start(kind, name="", **settings)`, which starts a stand-in."""
    with ExitStack() as stack:

        def start(
            kind: StandInKind, name: str = "", **settings: object
        ) -> StandIn:
            standin = StandIn(kind, tmp_path, name, settings)
            stack.callback(standin.stop)
            return standin.start()

        yield start


@pytest.fixture
def deploy(tmp_path: pathlib.Path) -> Iterator[DeploymentFactory]:
    """Returns `deploy(plan, **options)`.

    It starts the stand-ins of a deployment, but not its nodes.
    """
    with ExitStack() as stack:

        def start(plan: Plan, **options: object) -> Deployment:
            directory = tmp_path / plan.name
            directory.mkdir()
            deployment_options = DeploymentOptions()._replace(**options)  # type: ignore[arg-type]
            return stack.enter_context(
                Deployment(plan, directory, deployment_options)
            )

        yield start


@pytest.fixture
def relay() -> Iterator[Relay]:
    """Returns a running relay, which creates links."""
    with Relay() as running:
        yield running
