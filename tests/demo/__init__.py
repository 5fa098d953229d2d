"""A demonstration of two deployments under load with injected faults."""
