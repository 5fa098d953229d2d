"""Starts, watches and disturbs processes for tests and the demo."""
