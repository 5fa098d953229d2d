"""How times grow with the number of nodes.

What each node does every so often, to all others or to the store, would grow
with the fleet. Up to a size the time between is the same, and beyond it grows
in proportion, so that the work in all stays about the same.
"""

# Up to this number of nodes, times are those of a small fleet.
SMALL_FLEET_NODES = 16


def scale_with_nodes(base_s: float, nodes: int) -> float:
    """Returns a time for a number of nodes.

    Args:
        base_s: The time in a small fleet.
        nodes: Number of live nodes.
    """
    return base_s * max(1.0, nodes / SMALL_FLEET_NODES)
