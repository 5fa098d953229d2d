"""A demonstration of both deployments with faults."""
