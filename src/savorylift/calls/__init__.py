"""Calls to plain services, at most once where they must be."""
