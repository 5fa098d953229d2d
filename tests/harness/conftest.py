"""Fixtures for the tests of the harness."""

from tests.harness.fixtures import deploy, relay, start_standin

__all__ = ["deploy", "relay", "start_standin"]
