"""The completion interface: JSON requests by model and team."""
