"""Wakes the periodic tasks of a process together, so that it wakes less often.

The moment differs between processes, so that nodes don't wake all at once.
"""

import asyncio
import random

# Share of each interval by which the beats of this process are shifted.
_PHASE = random.random()
# Less than this share of an interval isn't worth a wake-up of its own.
MIN_SHARE = 0.5


async def wait_for_beat(interval_s: float) -> float:
    """Sleeps until the next beat that is half an interval away, or more.

    Args:
        interval_s: Time between beats. Tasks with the same one wake together.

    Returns:
        By how many seconds the sleep ended late.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    past_s = began_s - _PHASE * interval_s
    wait_s = interval_s - past_s % interval_s
    if wait_s < MIN_SHARE * interval_s:
        wait_s += interval_s
    await asyncio.sleep(wait_s)
    return loop.time() - began_s - wait_s
