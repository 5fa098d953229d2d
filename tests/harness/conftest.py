"""Fixtures of the harness's tests."""

from tests.harness.fixtures import deploy, relay, start_standin

__all__ = ["deploy", "relay", "start_standin"]
