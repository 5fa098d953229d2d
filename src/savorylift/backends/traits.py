"""Traits of requests, by which those that crash servers are recognized."""

# Begins the traits that stand for whole requests. IDs of parts have no colon.
REQUEST_PREFIX = "request:"

# IDs of the parts of a request's prompt in order, without the last one, and
# then those that stand for the request itself, the most general one first.
Traits = tuple[str, ...]


def is_request(trait: str) -> bool:
    """Whether a trait stands for a whole request, not a part of prompts."""
    return trait.startswith(REQUEST_PREFIX)
