"""The completion interface: JSON API for generations and service calls."""
