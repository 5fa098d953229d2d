"""Fixtures of the process harness."""

from tests.harness.fixtures import deploy as deploy
