"""Makes the fixtures of the process harness available."""

from tests.harness.fixtures import deploy as deploy
