"""Serves text generations of unknown length on crowded model engines."""
