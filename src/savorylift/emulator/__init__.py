"""Simulates a workload on the placement policy in virtual time."""
