"""Random identifiers for requests and records."""

import secrets


def new_id(prefix: str) -> str:
    """Returns a random identifier such as `req-5f0c...`."""
    return f"{prefix}-{secrets.token_hex(8)}"
