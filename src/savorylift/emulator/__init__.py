"""Simulates a workload under placement policies in virtual time."""
