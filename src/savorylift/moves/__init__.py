"""Moves of runs off engines that are draining."""
