"""Chooses a backend server for a call to a plain service.

Calls to plain services are short and of similar length. So the choice is the
server at which a call ends first, by the requests that it has relative to its
slots and by how much longer than others it takes. Unhealthy and cold servers
are used only if there are no others.
"""

import random
from collections.abc import Callable, Iterable, Mapping

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.placement.server_speed import usual_speed

# Share of the calls for which speeds don't count, so that a slow server shows
# when it is quick again.
TRY_SHARE = 0.02


def choose_plain_server(
    candidates: Iterable[BackendServer],
    loads: Mapping[str, Load],
    now_s: float,
    rng: random.Random,
    slowdown: Callable[[str], float] = usual_speed,
) -> BackendServer | None:
    """Returns the server for a call, or None if there are no candidates.

    Ties are broken at random. Otherwise nodes that see the same loads would
    all send to the same server.
    """
    if rng.random() < TRY_SHARE:
        slowdown = usual_speed

    def cost(server: BackendServer) -> tuple[bool, bool, float, float]:
        load = loads.get(server.entry.server_id, Load())
        return (
            load.is_unhealthy,
            server.is_cold(now_s),
            slowdown(server.entry.server_id)
            * (1 + load.requests / server.entry.slots),
            rng.random(),
        )

    return min(candidates, key=cost, default=None)
