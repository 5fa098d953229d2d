"""Tests of the platform clients."""  # noqa: A005
