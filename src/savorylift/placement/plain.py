"""Chooses a backend server for a call to a plain service.

Calls to plain services are short and of similar length. So the choice is the
server with the fewest requests relative to its slots. Unhealthy and cold
servers are used only if there are no others.
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
    """Returns the server for a call, or None if there are no candidates.

    Ties are broken at random. Otherwise nodes that see the same loads would
    all send to the same server.
    """

    def cost(server: Known) -> tuple[bool, bool, float, float]:
        load = loads.get(server.entry.server_id, Load())
        return (
            load.is_unhealthy,
            server.is_cold(now_s),
            load.requests / server.entry.slots,
            rng.random(),
        )

    return min(candidates, key=cost, default=None)
