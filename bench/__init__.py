"""Measurements of the package on one machine."""
