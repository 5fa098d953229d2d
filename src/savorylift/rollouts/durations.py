"""Classes of durations, narrow enough to compare and few enough to send."""

import math

SHORTEST_S = 0.001
# Each class reaches this much further than the one before it.
CLASS_RATIO = 1.25
# The last class is that of all longer durations.
CLASS_COUNT = 52


def duration_class(duration_s: float) -> int:
    """Returns the class of a duration."""
    if duration_s <= SHORTEST_S:
        return 0
    exact = math.log(duration_s / SHORTEST_S) / math.log(CLASS_RATIO)
    return min(int(exact) + 1, CLASS_COUNT - 1)


def longest_duration_s(class_number: int) -> float:
    """Returns the longest duration of a class; the last one has no longest."""
    return SHORTEST_S * CLASS_RATIO**class_number
