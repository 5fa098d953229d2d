"""Tests of translation of the users' platform."""  # noqa: A005
