"""Which nodes keep a backend server by the rules and roster in force."""

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterSource
from savorylift.permits.lots import KeeperChoice, lot_count
from savorylift.rules.view import RulesSource


class KeeperDirectory:
    """Remembers the choices made by the newest roster."""

    def __init__(self, rules: RulesSource, roster: RosterSource) -> None:
        """Starts without choices."""
        self._rules = rules
        self._roster = roster
        self._choice = KeeperChoice(roster.current())
        self._choices_offset: int | None = None
        self._choices: dict[tuple[str, int], list[NodeRef]] = {}

    def keepers_of(self, server: str) -> list[NodeRef]:
        """Returns the keeper of each lot by the roster seen now."""
        roster = self._roster.current()
        if roster.offset != self._choices_offset:
            self._choices_offset = roster.offset
            self._follow(KeeperChoice(roster))
        rule = self._rules.current().backend_servers.get(server)
        key = (server, lot_count(rule.cold_limit) if rule else 0)
        if key not in self._choices:
            self._choices[key] = self._choice.keepers_of(*key)
        return self._choices[key]

    def _follow(self, choice: KeeperChoice) -> None:
        """Forgets the choices that a new roster may change.

        Choosing anew for hundreds of backend servers from hundreds of nodes
        would hold up every permit for as long.
        """
        changes = choice.changes_since(self._choice)
        self._choice = choice
        if changes is None:
            self._choices = {}
            return
        self._choices = {
            key: keepers
            for key, keepers in self._choices.items()
            if not choice.may_differ(key[0], keepers, changes)
        }
