"""Which nodes a team's callers should use."""

from savorylift.peers.view import Member, RosterView
from savorylift.rendezvous import rank
from savorylift.rules.view import RulesView

ENTRIES_PER_TEAM = 3


def entries_for(
    team: str, roster: RosterView, rules: RulesView
) -> tuple[str, ...]:
    """Returns callers' addresses for a team, best first.

    A team keeps the same few nodes while the roster holds them, in different
    failure domains where there are enough.
    """
    usable = {
        name: member
        for name, member in roster.members.items()
        if _is_usable(member, rules)
    }
    ranked = [usable[name] for name in rank(team, usable)]
    chosen = _spread(ranked)[:ENTRIES_PER_TEAM]
    return tuple(member.info.caller_address for member in chosen)


def _is_usable(member: Member, rules: RulesView) -> bool:
    out = rules.out_of_service
    info = member.info
    is_out = info.failure_domain in out or info.ref.vm in out
    return not member.leaving and not is_out


def _spread(ranked: list[Member]) -> list[Member]:
    """Moves members of failure domains already seen to the end."""
    seen: set[str] = set()
    first: list[Member] = []
    later: list[Member] = []
    for member in ranked:
        domain = member.info.failure_domain
        (later if domain in seen else first).append(member)
        seen.add(domain)
    return first + later
