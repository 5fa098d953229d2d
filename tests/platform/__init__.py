"""Tests of the adapters for the users' platform."""  # noqa: A005
