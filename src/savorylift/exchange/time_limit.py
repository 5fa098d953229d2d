"""Lets a time limit pass before its time."""

import asyncio


def end_now(limit: asyncio.Timeout | None) -> bool:
    """Lets a time limit pass now, which ends what runs within it.

    Args:
        limit: The limit; None if nothing runs within it yet.

    Returns:
        Whether it passes by this; False if it had passed, or there is none.
    """
    if limit is None or limit.expired():
        return False
    limit.reschedule(asyncio.get_running_loop().time())
    return True
