"""Divides nodes into groups, one node of which forwards a message."""

import math
import random

# Up to this many nodes, a delta is sent to each of them. A larger fleet is
# divided into about as many groups as a group has nodes, and one node of each
# group forwards the delta, so that no link carries it to the whole fleet.
MAX_DIRECT_NODES = 16


def relay_groups(ips: list[str]) -> list[list[str]]:
    """Divides nodes into groups, each of which starts with the node to send to.

    The groups differ between calls, so that a node that loses messages is not
    always the one that others depend on.
    """
    if len(ips) <= MAX_DIRECT_NODES:
        return [[ip] for ip in ips]
    random.shuffle(ips)
    count = math.isqrt(len(ips))
    return [ips[start::count] for start in range(count)]
