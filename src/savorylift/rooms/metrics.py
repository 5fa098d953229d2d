"""Prometheus metrics of the keeper of engines' room."""

from savorylift.metric import Counter, Gauge

# Teams that have counters of their own; the others share one.
MAX_TEAMS = 40
OTHER_TEAMS = "other"

ROOM_REPLIES = Counter(
    "savorylift_front_room_replies",
    "Replies of this node as the keeper of engines' room.",
    ["outcome"],
)
ROOM_WAITING = Gauge(
    "savorylift_front_room_waiting",
    "Generations of all nodes that wait at this node as the keeper of room.",
)
ROOM_SERVICES = Gauge(
    "savorylift_front_room_services",
    "Rooms that this node keeps: services, or groups of their engines.",
)
ROOM_ROLES = Counter(
    "savorylift_front_room_roles",
    "Rooms that this node began or ceased to keep, by why.",
    ["reason"],
)
ROOM_ALONE = Counter(
    "savorylift_front_room_alone",
    "Requests that this node as the keeper left to their nodes, by why.",
    ["reason"],
)
ROOM_DROPPED = Counter(
    "savorylift_front_room_dropped",
    "Generations that waited at the keeper until their time was over, or whose "
    "node fell silent.",
)
ROOM_RETURNS = Counter(
    "savorylift_front_room_returns",
    "Refused requests that came again, by when they came.",
    ["when"],
)
ROOM_TEAM_TOKENS = Counter(
    "savorylift_front_room_team_tokens",
    "Tokens of the generations that the keeper granted or refused, by team.",
    ["team", "outcome"],
)

_teams: set[str] = set()


def count_team(team: str, outcome: str, tokens: int) -> None:
    """Counts the tokens of a decision under its team, or under the others'."""
    if team not in _teams:
        if len(_teams) >= MAX_TEAMS:
            team = OTHER_TEAMS
        else:
            _teams.add(team)
    ROOM_TEAM_TOKENS.labels(team, outcome).inc(tokens)
