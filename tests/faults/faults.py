"""Faults: how each is brought about and healed."""

import concurrent.futures
import enum
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.log_service.log import RULES_STREAM
from tests.faults.load import Caller, Got
from tests.faults.steps import Place
from tests.faults.world import PROBE_TEAM, ColdTurn, World, running
from tests.harness.link import Way

HOLD_S = 1.0
FREEZE_S = 2.5  # longer than `stale_after_s`
CLOSED_S = 4.0  # longer than the bound on new work after an order
BURST = 12
BURST_S = 2.5  # past the time in which the stand-in bears too much
STAYS_COLD = 1000  # requests
BURST_LENGTH = 30


class Fault(enum.StrEnum):
    """What goes wrong."""

    NODE_KILLED = "node killed"
    NODE_FROZEN = "node frozen, then woken"
    CALLER_SILENT = "caller's connection silent"
    BACKEND_SILENT = "backend link silent on open connections"
    BACKEND_CUT = "one-way cut to a backend server"
    NODE_CUT_FROM_LOG = "node cut from the log"
    LOG_DOWN = "log down for all"
    LOG_SLOW = "log slow"
    LOG_ANSWER_LOST = "log answer lost"
    LOG_TRIMMED = "log trimmed past a reader"
    ENGINE_COLD = "backend server cold without warning"
    ENGINE_KILLED = "backend server killed and back"
    ENGINE_RECLAIMED = "backend server reclaimed"
    VM_LIST_LATE = "vm list late and older"
    TWO_OPERATORS = "two operators at once"


Act = Callable[[World, Place], list[Got]]


class Doing(NamedTuple):
    """How a fault is done.

    Attributes:
        strike: Brings it about and holds it; returns what its own callers
            got.
        heal: Ends it.
    """

    strike: Act
    heal: Act


def do(fault: Fault) -> Doing:
    """Returns how a fault is done."""
    return _DOING[fault]


def _hold(_: World, __: Place) -> list[Got]:
    time.sleep(HOLD_S)
    return []


def _nothing(_: World, __: Place) -> list[Got]:
    return []


def _kill_node(world: World, place: Place) -> list[Got]:
    world.deployment.nodes[place.node].process.kill()
    return _hold(world, place)


def _freeze(world: World, place: Place) -> list[Got]:
    world.deployment.nodes[place.node].process.freeze()
    time.sleep(FREEZE_S)
    return []


def _thaw(world: World, place: Place) -> list[Got]:
    world.deployment.nodes[place.node].process.thaw()
    return []


def _silence_caller(world: World, place: Place) -> list[Got]:
    world.caller_links[place.node].silence_open()
    return _hold(world, place)


def _silence_backend(world: World, place: Place) -> list[Got]:
    world.deployment.links[place.server].silence_open()
    return _hold(world, place)


def _cut_backend(world: World, place: Place) -> list[Got]:
    world.deployment.links[place.server].cut(Way.FROM_TARGET)
    return _hold(world, place)


def _heal_backend(world: World, place: Place) -> list[Got]:
    world.deployment.links[place.server].heal()
    return []


def _cut_log(world: World, place: Place) -> list[Got]:
    world.deployment.links[f"{place.node}>log"].cut()
    time.sleep(FREEZE_S)
    return []


def _heal_log_link(world: World, place: Place) -> list[Got]:
    world.deployment.links[f"{place.node}>log"].heal()
    return []


def _log_with(**fields: object) -> Act:
    def strike(world: World, place: Place) -> list[Got]:
        world.deployment.log.control(**fields)
        return _hold(world, place)

    return strike


def _heal_log(world: World, _: Place) -> list[Got]:
    world.deployment.log.control(
        outage=False,
        append_delay_s=0.0,
        read_delay_s=0.0,
        lose_answers=0,
        lose_share=0.0,
    )
    return []


def _trim(world: World, place: Place) -> list[Got]:
    """Trims the rules and restarts a node, which can't read them all."""
    log = world.deployment.log
    world.deployment.nodes[place.node].process.kill()
    following = log.seen()["next_offsets"][RULES_STREAM]
    log.control(trim={RULES_STREAM: following})
    world.deployment.nodes[place.node].start()
    return _hold(world, place)


def _turn_cold(world: World, place: Place) -> list[Got]:
    """Turns a server cold, under more requests than it then bears."""
    is_service = place.server in world.deployment.instances
    server = world.deployment.backend_servers[place.server]
    until_warm = "cold_calls" if is_service else "cold_requests"
    server.control(turn_cold=True, **{until_warm: STAYS_COLD})
    world.cold_turns.append(ColdTurn(place.server, time.time()))
    until_s = time.monotonic() + BURST_S
    callers = [world.caller(PROBE_TEAM) for _ in range(BURST)]

    def ask(caller: Caller) -> list[Got]:
        got: list[Got] = []
        while time.monotonic() < until_s:
            number = next(world.numbers)
            if is_service:
                got.append(caller.call("GET", number))
            else:
                got.append(caller.stream(number, BURST_LENGTH))
        return got

    with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
        return [got for each in pool.map(ask, callers) for got in each]


def _let_warm(world: World, place: Place) -> list[Got]:
    is_service = place.server in world.deployment.instances
    server = world.deployment.backend_servers[place.server]
    if is_service:
        server.control(turn_cold=True, cold_calls=4)
    else:
        server.control(cold_requests=8)
    return []


def _kill_engine(world: World, place: Place) -> list[Got]:
    world.deployment.backend_servers[place.server].control(die_s=HOLD_S)
    return _hold(world, place)


def _reclaim(world: World, place: Place) -> list[Got]:
    world.deployment.backend_servers[place.server].control(leaving=True)
    world.deployment.set_leaving(place.server)
    world.note_leaving(place.server)
    time.sleep(CLOSED_S)
    return []


def _heal_reclaimed(world: World, place: Place) -> list[Got]:
    world.note_live(place.server)
    server = world.deployment.backend_servers[place.server]
    server.control(leaving=False, die_s=0.1)
    world.deployment.replace_vm(place.server)
    return []


def _delay_list(world: World, place: Place) -> list[Got]:
    """Lists a server as leaving where half of the answers don't show it."""
    vm_list = world.deployment.vm_list
    vm_list.control(older_copy_share=0.5, older_copy_s=60.0)
    world.deployment.set_leaving(place.server)
    world.note_leaving(place.server)
    time.sleep(CLOSED_S)
    return []


def _heal_list(world: World, place: Place) -> list[Got]:
    world.note_live(place.server)
    vm_list = world.deployment.vm_list
    vm_list.control(older_copy_share=0.0, older_copy_s=0.0)
    world.deployment.replace_vm(place.server)
    return []


def _two_operators(world: World, _: Place) -> list[Got]:
    """Publishes two files made from one version; one of them must win."""
    directory = world.deployment.directory
    text = world.deployment.rules_path.read_text()
    status = world.status(world.plan.node_names()[-1])
    assert status is not None
    base = str(status["rules_version"])
    said: list[int] = []

    def publish(name: str) -> None:
        path = directory / f"{name}.txt"
        line = f"team {name} weight 1 models *  # operator {name}\n"
        path.write_text(text + line)
        ran = world.command(
            "rules",
            "publish",
            str(path),
            "--author",
            name,
            "--base",
            base,
        )
        said.append(ran.stdout.count("accepted as version"))

    stamp = time.monotonic_ns()
    with (
        running(lambda: publish(f"a{stamp}")),
        running(lambda: publish(f"b{stamp}")),
    ):
        pass
    assert sum(said) == 1, f"{sum(said)} operators were told to have won"
    return []


_DOING = {
    Fault.NODE_KILLED: Doing(_kill_node, _nothing),
    Fault.NODE_FROZEN: Doing(_freeze, _thaw),
    Fault.CALLER_SILENT: Doing(_silence_caller, _nothing),
    Fault.BACKEND_SILENT: Doing(_silence_backend, _nothing),
    Fault.BACKEND_CUT: Doing(_cut_backend, _heal_backend),
    Fault.NODE_CUT_FROM_LOG: Doing(_cut_log, _heal_log_link),
    Fault.LOG_DOWN: Doing(_log_with(outage=True), _heal_log),
    Fault.LOG_SLOW: Doing(
        _log_with(append_delay_s=0.3, read_delay_s=0.3), _heal_log
    ),
    Fault.LOG_ANSWER_LOST: Doing(
        _log_with(lose_answers=2, lose_share=0.5), _heal_log
    ),
    Fault.LOG_TRIMMED: Doing(_trim, _nothing),
    Fault.ENGINE_COLD: Doing(_turn_cold, _let_warm),
    Fault.ENGINE_KILLED: Doing(_kill_engine, _nothing),
    Fault.ENGINE_RECLAIMED: Doing(_reclaim, _heal_reclaimed),
    Fault.VM_LIST_LATE: Doing(_delay_list, _heal_list),
    Fault.TWO_OPERATORS: Doing(_two_operators, _nothing),
}
