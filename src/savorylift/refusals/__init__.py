"""Counts of refused requests in the platform's store, and reports on them."""
