"""How long a new keeper or planner waits until it has heard the others."""

# After a change of the live nodes, or after it stood still, a keeper waits
# until others have told what they have: at least this time.
HANDOVER_HOLD_S = 1.5
# The same, as a multiple of the interval between the nodes' messages.
HANDOVER_INTERVALS = 1.5


def handover_hold_s(message_interval_s: float) -> float:
    """Returns for how long it grants nothing."""
    return max(HANDOVER_HOLD_S, HANDOVER_INTERVALS * message_interval_s)
