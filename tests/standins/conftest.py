"""Fixtures of the stand-ins' tests."""

from tests.harness.fixtures import start_standin

__all__ = ["start_standin"]
