"""Fixtures of the tests against real processes."""

from tests.harness.fixtures import start_standin

__all__ = ["start_standin"]
