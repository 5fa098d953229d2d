"""Adapters for the platform that the nodes run on.

The platform provides a store, a directory and model engines. This package has
its header names, its formats and the calls to its parts.
"""
