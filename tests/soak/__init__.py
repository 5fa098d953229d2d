"""Soak test: random faults injected into nodes that run as processes."""
