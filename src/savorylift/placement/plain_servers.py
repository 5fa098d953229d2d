"""Chooses a backend server for a call to a plain service.

Calls to plain services are short and of similar length. So the choice is the
server with the fewest requests relative to its slots. Unhealthy and cold
servers are used only if there are no others.
"""

import random
from collections.abc import Iterable, Mapping

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer


def choose_plain_server(
    candidates: Iterable[BackendServer],
    loads: Mapping[str, Load],
    now_s: float,
    rng: random.Random,
) -> BackendServer | None:
    """Returns the server for a call, or None if there are no candidates.

    Ties are broken at random. Otherwise nodes that see the same loads would
    all send to the same server.
    """

    def cost(server: BackendServer) -> tuple[bool, bool, float, float]:
        load = loads.get(server.entry.server_id, Load())
        return (
            load.is_unhealthy,
            server.is_cold(now_s),
            load.requests / server.entry.slots,
            rng.random(),
        )

    return min(candidates, key=cost, default=None)
