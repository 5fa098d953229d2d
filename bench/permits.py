"""Capacity and cost of permits, in virtual time and on the real clock.

Capacity: place-seconds used in a pool under more load than it bears, compared
with a single dispatcher that knows everything and needs no messages, on the
same arrivals. Cost: processor time per permit and memory per permit held and
per backend server kept.
"""

import argparse
import heapq
import itertools
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

import freezegun
from freezegun.api import FrozenDateTimeFactory
from returns.result import Failure, Result, Success
from tests.permits.fakes import Cluster, FakeNode, member, server

from savorylift.identity import NodeRef
from savorylift.outcomes import Refusal
from savorylift.peers.link import Message
from savorylift.peers.view import RosterView
from savorylift.permits.gate import Permit, PermitRequest, PermitUse
from savorylift.permits.lots import KeeperChoice
from savorylift.permits.options import PermitOptions

NODE_COUNTS = (3, 6, 9, 27)
COST_SIZES = (10, 100, 1_000, 10_000)
SEEDS = range(1, 11)
MEMBERS = (9, 27, 81, 350)
CHOICE_SERVERS = 600
CHOICE_DOMAINS = 6
TARGET = 0.95
SERVERS = 5
COLD_LIMIT = 4
WARM_LIMIT = 16
DOMAINS = 4
LATENCY_S = 0.0015
MEAN_WORK_S = 7.4  # 223 tokens at 33 ms
FIRST_TOKEN_S = 0.66
PATIENCE_S = 3.0
OVERLOAD = 1.2
WARM_UP_S = 20.0
END_S = 60.0
TICK_S = 0.05
LOAD_S = 0.25


class Arrival(NamedTuple):
    """A request of the generated load, times in seconds."""

    at_s: float
    work_s: float
    node: float


class Pool(NamedTuple):
    """A pool of equal engines."""

    name: str
    is_cold: bool

    @property
    def limit(self) -> int:
        """Requests that one engine bears."""
        return COLD_LIMIT if self.is_cold else WARM_LIMIT


class Events:
    """A queue of calls in virtual time that moves the frozen clock."""

    def __init__(self, clock: FrozenDateTimeFactory) -> None:
        """Starts at 0 s."""
        self.now_s = 0.0
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls `call` in `delay_s`."""
        item = (self.now_s + delay_s, next(self._numbers), call)
        heapq.heappush(self._heap, item)

    def every(self, interval_s: float, call: Callable[[], None]) -> None:
        """Calls `call` in each interval."""

        def repeat() -> None:
            call()
            self.after(interval_s, repeat)

        self.after(interval_s, repeat)

    def run(self, until_s: float) -> None:
        """Runs what is due up to `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            at_s, _, call = heapq.heappop(self._heap)
            self._clock.tick(at_s - self.now_s)
            self.now_s = at_s
            call()


class TimedCluster(Cluster):
    """Delivers messages after the links' latency and runs the work."""

    def __init__(self, nodes: int, pool: Pool, events: Events) -> None:
        """Starts `nodes` nodes before engines that are all cold or warm."""
        self.events = events
        self.busy_s = 0.0
        self.work_s: dict[str, float] = {}
        rules = [
            server(f"runner-{n}", COLD_LIMIT, WARM_LIMIT)
            for n in range(SERVERS)
        ]
        cfg = PermitOptions(load_lag_s=0.0)
        super().__init__(*rules, nodes=nodes, domains=DOMAINS, cfg=cfg)
        for node in self.nodes.values():
            node.resolve = self._resolver(node)  # type: ignore
        if not pool.is_cold:
            for engine in self.engines.values():
                engine.warm_up()
        for node in self.live():
            self.sync(node)
        events.every(TICK_S, self.tick)
        events.every(LOAD_S, self.report_loads)

    def post(self, sender: NodeRef, to: NodeRef, msg: Message) -> None:
        """Delivers a message later."""
        delay_s = 0.0 if sender == to else LATENCY_S
        node = self.nodes[to].node
        self.events.after(delay_s, lambda: node.receive(sender, msg))

    def arrive(self, number: int, arrival: Arrival) -> None:
        """Asks for a permit on one node."""
        names = list(self.engines)
        random.Random(number).shuffle(names)
        node = list(self.nodes.values())[int(arrival.node * len(self.nodes))]
        self.work_s[f"p{number}"] = arrival.work_s
        node.node.holder.acquire(
            PermitRequest(
                f"p{number}",
                tuple(names),
                f"s{number}",
                "team",
                1,
                0,
                0,
                time.monotonic() + PATIENCE_S,
            )
        )

    def _resolver(
        self, node: FakeNode
    ) -> Callable[[str, Result[Permit, Refusal]], None]:
        def resolve(_: str, answer: Result[Permit, Refusal]) -> None:
            if isinstance(answer, Success):
                self._run(node, answer.unwrap())
            else:
                assert isinstance(answer, Failure), "an answer is one of both"

        return resolve

    def _run(self, node: FakeNode, permit: Permit) -> None:
        self.engines[permit.backend_server].begin(node.ref, permit)
        work_s = self.work_s.pop(permit.permit_id)
        first_s = min(FIRST_TOKEN_S, work_s)
        self.events.after(first_s, lambda: self.first_token(node, permit))
        self.events.after(work_s, lambda: self.finish(node, permit))
        self.busy_s += measured_part_s(self.events.now_s, work_s)


class IdealDispatcher:
    """One queue before all engines, with no delay between them."""

    def __init__(self, pool: Pool, events: Events) -> None:
        """Starts with every place free."""
        self.busy_s = 0.0
        self._free = SERVERS * pool.limit
        self._events = events
        self._queue: list[tuple[float, Arrival]] = []

    def arrive(self, _: int, arrival: Arrival) -> None:
        """Starts the work, or queues it."""
        self._queue.append((self._events.now_s + PATIENCE_S, arrival))
        self._serve()

    def _serve(self) -> None:
        now_s = self._events.now_s
        self._queue = [item for item in self._queue if item[0] >= now_s]
        while self._free and self._queue:
            _, arrival = self._queue.pop(0)
            self._free -= 1
            self._events.after(arrival.work_s, self._complete)
            self.busy_s += measured_part_s(now_s, arrival.work_s)

    def _complete(self) -> None:
        self._free += 1
        self._serve()


def measured_part_s(start_s: float, work_s: float) -> float:
    """Returns how much of the work falls into the measured time."""
    end_s = min(start_s + work_s, END_S)
    return max(0.0, end_s - max(start_s, WARM_UP_S))


def arrivals_of(seed: int, pool: Pool) -> list[Arrival]:
    """Returns random arrivals at `OVERLOAD` times what the pool bears."""
    rng = random.Random(seed)
    rate = OVERLOAD * SERVERS * pool.limit / MEAN_WORK_S
    arrivals = []
    at_s = 0.5
    while at_s < END_S:
        at_s += rng.expovariate(rate)
        work_s = rng.expovariate(1 / MEAN_WORK_S)
        arrivals.append(Arrival(at_s, work_s, rng.random()))
    return arrivals


def busy_s_of(
    make: Callable[[Events], TimedCluster | IdealDispatcher],
    arrivals: list[Arrival],
) -> float:
    """Returns the place-seconds in use while measured."""
    with freezegun.freeze_time("2026-01-01") as clock:
        assert isinstance(clock, FrozenDateTimeFactory), "the clock stands"
        events = Events(clock)
        dispatcher = make(events)
        for number, arrival in enumerate(arrivals):
            events.after(arrival.at_s, _arrive(dispatcher, number, arrival))
        events.run(END_S)
    if isinstance(dispatcher, TimedCluster):
        for engine in dispatcher.engines.values():
            assert not engine.violations, engine.violations
    return dispatcher.busy_s


def _arrive(
    dispatcher: TimedCluster | IdealDispatcher, number: int, arrival: Arrival
) -> Callable[[], None]:
    return lambda: dispatcher.arrive(number, arrival)


def measure_capacity(node_counts: list[int], seeds: list[int]) -> None:
    """Prints the ratio of place-seconds used for each pool and size."""
    print(f"seeds {seeds}; target {TARGET} with 6 to 9 nodes")
    print("pool nodes median worst")
    for pool in (Pool("cold", is_cold=True), Pool("warm", is_cold=False)):
        loads = {seed: arrivals_of(seed, pool) for seed in seeds}
        ideal = {
            seed: busy_s_of(lambda ev: IdealDispatcher(pool, ev), load)  # noqa: B023
            for seed, load in loads.items()
        }
        for nodes in node_counts:
            ratios = [
                busy_s_of(lambda ev: TimedCluster(nodes, pool, ev), load)  # noqa: B023
                / ideal[seed]
                for seed, load in loads.items()
            ]
            median = statistics.median(ratios)
            print(f"{pool.name} {nodes} {median:.3f} {min(ratios):.3f}")


def measure_cost(sizes: list[int]) -> None:
    """Prints a keeper's processor time and memory on the real clock."""
    print("held us_per_permit bytes_per_permit_held bytes_per_server_kept")
    for size in sizes:
        cluster = Cluster(server(cold=size + 1, warm=size + 1), nodes=1)
        _settle(cluster)
        permit_bytes = _traced(lambda: _hold(cluster, size)) / size  # noqa: B023
        micros = _permit_micros(cluster)
        rules = [server(f"runner-{n}") for n in range(size)]
        server_bytes = _traced(lambda: _settle(Cluster(*rules, nodes=1)))  # noqa: B023
        print(
            f"{size} {micros:.0f} {permit_bytes:.0f} {server_bytes / size:.0f}"
        )


def measure_choice(node_counts: list[int]) -> None:
    """Prints the time to choose all keepers after a change of the roster."""
    print(f"nodes ms_to_choose_keepers_of_{CHOICE_SERVERS}_servers")
    for count in node_counts:
        refs = [NodeRef(f"vm-{n}", "1") for n in range(count)]
        members = {
            ref.vm: member(ref, 0, f"d{number % CHOICE_DOMAINS}")
            for number, ref in enumerate(refs)
        }
        roster = RosterView(0, members)
        started_s = time.process_time()
        choice = KeeperChoice(roster)
        for number in range(CHOICE_SERVERS):
            choice.keepers_of(f"runner-{number}", 3)
        print(f"{count} {(time.process_time() - started_s) * 1e3:.0f}")


def _settle(cluster: Cluster) -> Cluster:
    for node in cluster.live():
        cluster.sync(node)
    for _ in range(3):
        cluster.tick()
        cluster.deliver_all()
        cluster.report_loads()
    return cluster


def _hold(cluster: Cluster, count: int) -> list[str]:
    node = cluster.live()[0]
    for number in range(count):
        _acquire(cluster, node, f"held-{number}")
        permit = node.permit(f"held-{number}")
        assert permit is not None, "there is room"
        node.node.holder.holdings.started(permit, "1", 0.1, is_cold=True)
    cluster.deliver_all()
    return list(node.answers)


def _permit_micros(cluster: Cluster, count: int = 300) -> float:
    node = cluster.live()[0]
    use = PermitUse(
        finished=True,
        completed=True,
        first_token_s=0.1,
        output_tokens=1,
        overloaded=False,
        incarnation="1",
    )
    started_s = time.process_time()
    for number in range(count):
        _acquire(cluster, node, f"timed-{number}")
        permit = node.permit(f"timed-{number}")
        assert permit is not None, "there is room"
        node.node.holder.holdings.started(permit, "1", 0.1, is_cold=True)
        node.node.holder.holdings.release(permit, use)
        cluster.deliver_all()
    return (time.process_time() - started_s) / count * 1e6


def _acquire(cluster: Cluster, node: FakeNode, permit_id: str) -> None:
    deadline_s = time.monotonic() + 60
    node.node.holder.acquire(
        PermitRequest(
            permit_id, ("runner-1",), permit_id, "team", 1, 0, 0, deadline_s
        )
    )
    cluster.deliver_all()


def _traced(make: Callable[[], object]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return after - before


def main() -> None:
    """Measures everything, or less by the arguments."""
    parser = argparse.ArgumentParser(description="Measures permits.")
    parser.add_argument("--nodes", type=int, nargs="*", default=NODE_COUNTS)
    parser.add_argument("--seeds", type=int, nargs="*", default=SEEDS)
    parser.add_argument("--sizes", type=int, nargs="*", default=COST_SIZES)
    parser.add_argument("--members", type=int, nargs="*", default=MEMBERS)
    args = parser.parse_args()
    measure_capacity(list(args.nodes), list(args.seeds))
    measure_cost(list(args.sizes))
    measure_choice(list(args.members))


if __name__ == "__main__":
    main()
