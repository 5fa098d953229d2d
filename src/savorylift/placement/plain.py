"""Chooses a backend server for a call to a plain service.

Answers the load of short calls of similar length: the shortest queue for the
server's size, with grey and cold servers only when nothing else is left.
"""

import random
from collections.abc import Iterable, Mapping

from savorylift.backends.registry import Known
from savorylift.backends.work import Load


def choose_plain(
    candidates: Iterable[Known],
    loads: Mapping[str, Load],
    now_s: float,
    rng: random.Random,
) -> Known | None:
    """Returns the server to use, or None if there is none.

    Ties are broken at random, so that nodes that see the same loads don't
    all send to the same server.
    """

    def cost(server: Known) -> tuple[bool, bool, float, float]:
        load = loads.get(server.entry.server_id, Load())
        return (
            load.is_grey,
            server.is_cold(now_s),
            load.requests / server.entry.slots,
            rng.random(),
        )

    return min(candidates, key=cost, default=None)
