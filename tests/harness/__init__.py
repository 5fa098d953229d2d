"""Runs deployments as local processes and injects faults into them."""
