"""Tests of the adapters for the platform that the nodes run on."""  # noqa: A005
