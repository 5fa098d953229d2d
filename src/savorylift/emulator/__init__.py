"""Plays a load on the placement policy in virtual time."""
