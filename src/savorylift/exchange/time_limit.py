"""Ends what runs within a time limit, before its time."""

import asyncio


def end_now(limit: asyncio.Timeout | None) -> bool:
    """Lets a time limit pass now, if it has not passed.

    Args:
        limit: The limit; None if nothing runs within it yet.

    Returns:
        Whether it was left.
    """
    if limit is None or limit.expired():
        return False
    limit.reschedule(asyncio.get_running_loop().time())
    return True
