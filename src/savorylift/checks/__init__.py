"""Checks of a configuration before it is sent, and what it would change."""
