"""Wakes the periodic tasks of a process together, so that it wakes less often.

Nodes wake at different moments, also those that share a machine.
"""

import asyncio
import random

_PHASE = random.random()
# Less than this share of an interval isn't worth a wake-up of its own.
MIN_SHARE = 0.5


async def wait_for_beat(interval_s: float) -> float:
    """Sleeps until the next beat that is half an interval away, or more.

    Args:
        interval_s: Time between beats. Tasks with the same one wake together.

    Returns:
        How late it has ended, in seconds.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    past_s = began_s - _PHASE * interval_s
    wait_s = interval_s - past_s % interval_s
    if wait_s < MIN_SHARE * interval_s:
        wait_s += interval_s
    await asyncio.sleep(wait_s)
    return loop.time() - began_s - wait_s
