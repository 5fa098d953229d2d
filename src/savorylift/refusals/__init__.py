"""The account of requests that were turned away."""
