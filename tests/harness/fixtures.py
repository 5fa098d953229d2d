"""Fixtures that start processes and end them after the test."""

import pathlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from tests.harness.deployment import Deployment, Options
from tests.harness.link import Relay
from tests.harness.plans import Plan
from tests.harness.standin import Kind, StandIn

StartStandIn = Callable[..., StandIn]
Deploy = Callable[..., Deployment]


@pytest.fixture
def start_standin(tmp_path: pathlib.Path) -> Iterator[StartStandIn]:
    """Returns `start(kind, name="", **settings)`."""
    with ExitStack() as stack:

        def start(kind: Kind, name: str = "", **settings: object) -> StandIn:
            standin = StandIn(kind, tmp_path, name, settings)
            stack.callback(standin.stop)
            return standin.start()

        yield start


@pytest.fixture
def deploy(tmp_path: pathlib.Path) -> Iterator[Deploy]:
    """Returns `deploy(plan, **options)`; only stand-ins run at first."""
    with ExitStack() as stack:

        def start(plan: Plan, **options: object) -> Deployment:
            directory = tmp_path / plan.name
            directory.mkdir()
            chosen = Options()._replace(**options)  # type: ignore[arg-type]
            return stack.enter_context(Deployment(plan, directory, chosen))

        yield start


@pytest.fixture
def relay() -> Iterator[Relay]:
    """Returns a relay for links."""
    with Relay() as running:
        yield running
