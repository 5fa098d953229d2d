"""Moves the traffic of services to servers of another software version."""
