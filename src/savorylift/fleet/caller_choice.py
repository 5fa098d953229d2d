"""Chooses the nodes that may serve a caller or another node's requests."""

from collections.abc import Collection, Iterable, Sequence

from savorylift.fleet.state import NodeState

# Callers are kept from nodes that don't reach the servers as long as at least
# this share of the nodes remains for them.
MIN_REACHING_SHARE = 0.5


def find_usable(
    states: Sequence[NodeState],
    region: str | None,
    home_regions: Collection[str],
) -> Sequence[NodeState]:
    """Returns the nodes for a caller; none only if there are none.

    Args:
        states: Live nodes.
        region: Region of the caller; None for any node.
        home_regions: Regions that the caller's requests may be bound to.
    """
    serving = [s for s in states if s.is_ready and not s.is_leaving]
    staying = [s for s in states if not s.is_leaving]
    usable = serving or staying or states
    in_region = [s for s in usable if region in (None, s.region)]
    in_home_regions = [s for s in usable if s.region in home_regions]
    found = in_region or in_home_regions or usable
    reaching = [s for s in found if not s.unreached_services]
    if len(reaching) >= MIN_REACHING_SHARE * len(found):
        return reaching
    return found


def find_reaching(
    states: Iterable[NodeState],
    service: str,
    regions: Collection[str] | None,
) -> list[str]:
    """Returns the addresses of nodes that may serve a service's requests.

    They are ready, stay, and reach its servers as far as they have said.

    Args:
        states: Live nodes.
        service: Name of the service.
        regions: Regions that the requests must stay in; None for any.
    """
    return [
        state.ip
        for state in states
        if state.is_ready
        and not state.is_leaving
        and service not in state.unreached_services
        and (regions is None or state.region in regions)
    ]
