"""Measures how long streams stand still; `python -m bench.recovery`.

Callers read streams through whole nodes while a connection, an engine or a
node is lost. A row gives the longest gap between two tokens, as the client
library sees it, of the streams that the loss met: in the node's default
settings, then with short bounds on silence.
"""

import concurrent.futures
import itertools
import os
import pathlib
import tempfile
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from tests.harness import answers
from tests.harness.deployment import Deployment, Options
from tests.harness.plans import AJLOUN

from bench.processes import percentile
from savorylift.client import Client, ClientError, ClientOptions, Token
from savorylift.settings import Timing

STREAMS = 20
MIN_MET = 15
MAX_ROUNDS = 2  # of one case, until the loss has met `MIN_MET` streams
PLAN = AJLOUN._replace(runners=3, instances=1)
TEAM = PLAN.teams[0].name
INTERVAL_S = 0.033
LENGTH = 60
ENGINE = {
    "interval_s": INTERVAL_S,
    "first_token_s": 0.02,
    "starts_cold": False,
}
LOSS_AFTER_S = 1.2
CALLER_TIMEOUT_S = 20.0
SETTLE_S = 3.5  # a load report of every engine
TARGET_S = 1.0
NO_FAULT = ""


class Bounds(NamedTuple):
    """Bounds on silence of the nodes and of the client, in seconds."""

    name: str
    token_timeout_s: float
    silence_s: float


SETTINGS = (
    Bounds(
        "default",
        Timing().token_timeout_s,
        ClientOptions((), "").silence_s,
    ),
    Bounds("short", 0.5, 0.5),
)


class Got(NamedTuple):
    """What one caller got.

    Attributes:
        number: Number of its prompt.
        longest_s: Longest gap between two tokens.
        resumes: Times that the client went on at another node.
        fault: Code of the error, or why the answer isn't whole.
    """

    number: int
    longest_s: float
    resumes: int
    fault: str


class Round(NamedTuple):
    """One loss: what all callers got, and whom it met."""

    got: list[Got]
    is_met: Callable[[Got], bool]


Lose = Callable[["Scene"], Callable[[Got], bool]]


class Case(NamedTuple):
    """A loss and what bounds the gap.

    Attributes:
        name: Its name.
        lose: Brings it about; returns whether it met a caller.
        heal: Ends it once all streams have ended.
        bound: Setting or cause that the gap follows from.
        target_s: Target of the gap at p95; None for none.
    """

    name: str
    lose: Lose
    heal: Callable[["Scene"], None]
    bound: str
    target_s: float | None


class Scene:
    """A running deployment and its callers.

    Attributes:
        deployment: What runs.
        victim: The node or runner that was lost last.
    """

    def __init__(self, deployment: Deployment, bounds: Bounds) -> None:
        """Takes nodes that are ready."""
        self.deployment = deployment
        self.victim = ""
        self._silence_s = bounds.silence_s
        self._numbers = itertools.count(1)

    def run(self, lose: Lose) -> Round:
        """Reads streams during one loss."""
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            callers = [
                pool.submit(self._read, next(self._numbers))
                for _ in range(STREAMS)
            ]
            time.sleep(LOSS_AFTER_S)
            is_met = lose(self)
            return Round([caller.result() for caller in callers], is_met)

    def busiest_node(self) -> str:
        """Returns the live node with most callers."""
        in_flight = {
            vm: answers.request("GET", f"{node.operator_url}/v1/status").json()[
                "in_flight"
            ]
            for vm, node in self.deployment.nodes.items()
            if node.process.is_running
        }
        return max(in_flight, key=in_flight.__getitem__)

    def running_on(self, runner: str) -> set[int]:
        """Returns the numbers of the prompts that a runner works on."""
        generations = self.deployment.runners[runner].seen()["generations"]
        return {
            item["prompt_tokens"]
            for item in generations
            if not item["finish_reason"]
        }

    def _read(self, number: int) -> Got:
        nodes = self.deployment.nodes.values()
        seeds = tuple(
            node.caller_url for node in nodes if node.process.is_running
        )
        cfg = ClientOptions(
            seeds, TEAM, CALLER_TIMEOUT_S, silence_s=self._silence_s
        )
        # The engine notes the count of words, so they tell the number.
        words = ["w"] * (number - 1)
        prompt = " ".join([f"len={LENGTH}", *words])
        stream = Client(cfg).stream(PLAN.model, prompt, seed=number)
        times: list[float] = []
        fault = "cut"
        for item in stream:
            if isinstance(item, ClientError):
                fault = item.code
            elif isinstance(item, Token):
                times.append(time.monotonic())
                fault = NO_FAULT if item.finish_reason else fault
        return Got(number, _longest(times), stream.resumes, fault)


def main() -> None:
    """Prints a row a case, for both settings."""
    print(
        f"{PLAN.nodes} nodes, {PLAN.runners} engines, {STREAMS} streams of"
        f" {LENGTH} tokens, {1000 * INTERVAL_S:.0f} ms between tokens"
    )
    for bounds in SETTINGS:
        _measure(bounds)


def _measure(bounds: Bounds) -> None:
    timing = {"token_timeout_s": bounds.token_timeout_s}
    options = Options(engine=ENGINE, node_changes={"timing": timing})
    print(
        f"{bounds.name} settings: token_timeout_s {bounds.token_timeout_s:g},"
        f" client's silence_s {bounds.silence_s:g}; times in ms"
    )
    print(
        f"{'lost':24} met  failed  gap p50   p95   max  load  target; bound by"
    )
    with (
        tempfile.TemporaryDirectory() as directory,
        Deployment(PLAN, pathlib.Path(directory), options) as deployment,
    ):
        deployment.put_first_rules()
        deployment.start_nodes()
        time.sleep(SETTLE_S)
        scene = Scene(deployment, bounds)
        for case in CASES:
            _report(case, _run_case(scene, case))


def _run_case(scene: Scene, case: Case) -> list[Got]:
    """Returns what the callers got whom the loss met."""
    met: list[Got] = []
    for _ in range(MAX_ROUNDS):
        ended = scene.run(case.lose)
        case.heal(scene)
        met += [got for got in ended.got if ended.is_met(got)]
        if len(met) >= MIN_MET:
            return met
    return met


def _report(case: Case, met: list[Got]) -> None:
    whole_s = [got.longest_s for got in met if not got.fault]
    load = os.getloadavg()[0]
    cells = f"{case.name:24} {len(met):3}  {len(met) - len(whole_s):6}"
    if not whole_s:
        print(f"{cells}  no whole answer  {load:4.1f}{_codes(met)}", flush=True)
        return
    p95_s = percentile(whole_s, 0.95)
    shares_s = (percentile(whole_s, 0.5), p95_s, max(whole_s))
    shares = " ".join(f"{1000 * share_s:5.0f}" for share_s in shares_s)
    print(
        f"{cells}    {shares}  {load:4.1f}"
        f"  {_verdict(case, p95_s)}; {case.bound}{_codes(met)}",
        flush=True,
    )


def _verdict(case: Case, p95_s: float) -> str:
    if case.target_s is None:
        return "no target"
    verdict = "met" if p95_s < case.target_s else "missed"
    return f"p95 < {case.target_s:.0f} s: {verdict}"


def _codes(met: Iterable[Got]) -> str:
    """Returns how answers failed, which none may."""
    codes = sorted({got.fault for got in met if got.fault})
    return f"; whole answers: missed, {', '.join(codes)}" if codes else ""


def _longest(times: list[float]) -> float:
    gaps = (after - before for before, after in itertools.pairwise(times))
    return max(gaps, default=0.0)


def _meets_all(_: Got) -> bool:
    return True


def _is_resumed(got: Got) -> bool:
    return got.resumes > 0


def _nothing(_: Scene) -> None:
    return


def _drop_connections(scene: Scene) -> Callable[[Got], bool]:
    for runner in scene.deployment.runners.values():
        runner.control(drop_connections=True)
    return _meets_all


def _silence_connections(scene: Scene) -> Callable[[Got], bool]:
    for runner in scene.deployment.runners.values():
        runner.control(silence_open=True)
    return _meets_all


def _kill_engine(scene: Scene) -> Callable[[Got], bool]:
    running = {name: scene.running_on(name) for name in PLAN.runner_names()}
    scene.victim = max(running, key=lambda name: len(running[name]))
    scene.deployment.runners[scene.victim].process.kill()
    return lambda got: got.number in running[scene.victim]


def _restart_engine(scene: Scene) -> None:
    scene.deployment.runners[scene.victim].start()
    time.sleep(SETTLE_S)


def _freeze_node(scene: Scene) -> Callable[[Got], bool]:
    scene.victim = scene.busiest_node()
    scene.deployment.nodes[scene.victim].process.freeze()
    return _is_resumed


def _thaw_node(scene: Scene) -> None:
    scene.deployment.nodes[scene.victim].process.thaw()
    time.sleep(SETTLE_S)


def _kill_node(scene: Scene) -> Callable[[Got], bool]:
    scene.victim = scene.busiest_node()
    scene.deployment.nodes[scene.victim].process.kill()
    return _is_resumed


CASES = (
    Case(
        "connections to engines",
        _drop_connections,
        _nothing,
        "the reconnection",
        TARGET_S,
    ),
    Case(
        "engines' links silent",
        _silence_connections,
        _nothing,
        "token_timeout_s",
        TARGET_S,
    ),
    Case(
        "engine killed",
        _kill_engine,
        _restart_engine,
        "tokens made again, if within silence_s",
        None,
    ),
    Case(
        "node frozen",
        _freeze_node,
        _thaw_node,
        "client's silence_s",
        TARGET_S,
    ),
    Case(
        "node killed",
        _kill_node,
        _nothing,
        "the client's reconnection",
        TARGET_S,
    ),
)


if __name__ == "__main__":
    main()
