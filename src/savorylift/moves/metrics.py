"""Prometheus metrics of planned moves."""

from savorylift.metric import Counter

MOVE_REPLIES = Counter(
    "savorylift_front_move_replies",
    "Replies of this node as the planner of moves off leaving engines.",
    ["outcome"],
)
MOVE_TURNS = Counter(
    "savorylift_front_move_turns",
    "Turns of this node's runs to be copied off leaving engines.",
    ["kind"],
)
RUNS_GIVEN_UP = Counter(
    "savorylift_front_runs_given_up",
    "Runs that were made again elsewhere, since a copy would be too late.",
    ["reason"],
)
