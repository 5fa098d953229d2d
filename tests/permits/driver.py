"""Dispatches and finishes work of a cluster, and checks its recovery."""

from freezegun.api import FrozenDateTimeFactory

from savorylift.identity import NodeRef
from savorylift.permits.gate import Permit
from tests.permits.fakes import Cluster, FakeNode, request

MAX_ROUNDS = 100


class Driver:
    """The request path of every node of a cluster."""

    def __init__(self, cluster: Cluster, clock: FrozenDateTimeFactory) -> None:
        self.cluster = cluster
        self.clock = clock
        self.numbers = 0
        self.undispatched: list[tuple[FakeNode, str]] = []
        self.running: list[tuple[FakeNode, Permit]] = []
        self.killed: list[NodeRef] = []

    def acquire(self, node: FakeNode, *names: str) -> str:
        self.numbers += 1
        node.node.holder.acquire(request(self.numbers, *names))
        self.undispatched.append((node, f"p{self.numbers}"))
        return f"p{self.numbers}"

    def kill(self, node: FakeNode) -> None:
        node.is_dead = True
        self.killed.append(node.ref)

    def dispatch(self) -> None:
        for node, permit_id in list(self.undispatched):
            if node.is_frozen or permit_id not in node.answers:
                continue
            self.undispatched.remove((node, permit_id))
            if node.permit(permit_id) and not node.is_dead:
                permit = self.cluster.begin(node, permit_id)
                self.running.append((node, permit))

    def finish_all(self) -> None:
        for node, permit in list(self.running):
            is_answered = permit.permit_id in node.answers
            if node.is_frozen or not (is_answered or node.is_dead):
                continue
            self.running.remove((node, permit))
            if not node.is_dead:
                self.cluster.finish(node, permit)

    def assert_safe(self) -> None:
        for engine in self.cluster.engines.values():
            assert not engine.violations, engine.violations

    def recover(self) -> None:
        """All capacity comes back once faults end and work is done."""
        for node in self.cluster.nodes.values():
            node.is_frozen = False
        self.cluster.cut.clear()
        for ref in self.killed:
            self.cluster.gone(ref)
        self.killed.clear()
        for _ in range(MAX_ROUNDS):
            self.dispatch()
            self.finish_all()
            self.cluster.settle(self.clock, 1)
            if not self.undispatched and not self.running:
                break
        for engine in self.cluster.engines.values():
            engine.running.clear()
        self.cluster.settle(self.clock, 4)
        self.assert_safe()
        self._assert_whole()

    def _assert_whole(self) -> None:
        if all(m.leaving for m in self.cluster.roster.members.values()):
            return
        for name, engine in self.cluster.engines.items():
            kept = [
                node.node.keepers[name]
                for node in self.cluster.live()
                if name in node.node.keepers
            ]
            lots = [lot for keeper in kept for lot in keeper.status(()).lots]
            left = [permit for keeper in kept for permit in keeper.share.held()]
            assert not left, left
            assert not any(lot.unaccounted for lot in lots), lots
            shares = [keeper.status(()).share for keeper in kept]
            assert sum(shares) >= engine.rule.cold_limit, lots
            assert len({lot.number for lot in lots}) == len(lots), lots
