"""Fixtures for the tests of the stand-ins."""

from tests.harness.fixtures import start_standin

__all__ = ["start_standin"]
