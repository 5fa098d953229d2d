"""Adapters for the users' platform: header names, formats and calls."""
