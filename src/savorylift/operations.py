"""What the operators' commands do and print; one place for their texts."""

import json
import pathlib
import sys
import time
from collections.abc import Iterable
from typing import Any, NamedTuple, NoReturn

from prometheus_client import CollectorRegistry
from returns.result import Failure

from savorylift.explanation import explain_request
from savorylift.identity import new_id
from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log_client import HttpLog
from savorylift.operator_client import (
    ask_node,
    find_operators,
    read_statuses,
)
from savorylift.refusals.request import ReportRequest
from savorylift.refusals.request import answer as answer_report
from savorylift.rules import operations as rules
from savorylift.rules.check import byte_faults, check_rules, split_lines
from savorylift.rules.force import NodeAnswer, report_force
from savorylift.rules.inbox import OrderAction, OrderState
from savorylift.settings import Settings
from savorylift.settings_file import read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_UNKNOWN = 3
LOG_TIMEOUT_S = 5.0
FORCE_TIMEOUT_S = 7.0
FORCE_POLL_S = 0.1


class Target(NamedTuple):
    """What an order is about."""

    name: str
    is_domain: bool

    def __str__(self) -> str:
        """Returns `failure domain NAME` or `vm NAME`."""
        kind = "failure domain" if self.is_domain else "vm"
        return f"{kind} {self.name}"


def check(path: str) -> int:
    """Prints every fault of a rules file."""
    checked = check_rules(_read(path), path)
    if isinstance(checked, Failure):
        _report_all(str(fault) for fault in checked.failure())
        return EXIT_BAD_INPUT
    _say(f"{path}: no faults")
    return EXIT_OK


def show(settings_path: str) -> int:
    """Prints the accepted rules file."""
    shown = rules.show(_log(_settings(settings_path)), _deadline_s())
    if isinstance(shown, Failure):
        return _fail(f"can't read the log: {shown.failure()}")
    for line in shown.unwrap().lines:
        _say(line)
    return EXIT_OK


def diff(settings_path: str, path: str) -> int:
    """Prints what publishing a file would change."""
    log = _log(_settings(settings_path))
    text = _read(path)
    faults = list(byte_faults(split_lines(text), path))
    if faults:
        _report_all(str(fault) for fault in faults)
        return EXIT_BAD_INPUT
    changed = rules.diff(log, text, _deadline_s())
    if isinstance(changed, Failure):
        return _fail(f"can't read the log: {changed.failure()}")
    for line in changed.unwrap():
        _say(line)
    return EXIT_OK


def publish(
    settings_path: str, path: str, author: str, base: int | None
) -> int:
    """Publishes a file and waits until it is in force."""
    cfg = _settings(settings_path)
    req = rules.PublishRequest(_read(path), path, author, _deadline_s(), base)
    match rules.publish(_log(cfg), req):
        case rules.Published(version, changed):
            for line in changed:
                _say(line)
            _say(f"accepted as version {version}")
            return _report_force(cfg, version)
        case rules.NothingChanged(version):
            _say(f"nothing to change: version {version} is the same")
            return EXIT_OK
        case rules.FileFaulty(faults):
            _report_all(str(fault) for fault in faults)
            return EXIT_BAD_INPUT
        case rules.RaceLost(lost_base, winners, changed):
            for winner in winners:
                _say(f"version {winner.offset} by {winner.author} came first")
            for line in changed:
                _say(line)
            return _fail(f"not accepted: version {lost_base} is not the newest")
        case rules.Rejected(verdict):
            return _fail(f"not accepted: {verdict.value}")
        case rules.NotWritten(message):
            return _fail(f"not written: {message}")
        case rules.Unknown(record_id, message):
            _report(f"not known whether accepted: {message} ({record_id})")
            return EXIT_UNKNOWN


def order(
    settings_path: str,
    target: Target,
    *,
    is_out: bool,
    author: str,
    cause: str,
) -> int:
    """Takes a failure domain or VM out of service, or brings it back."""
    cfg = _settings(settings_path)
    action = OrderAction.OUT if is_out else OrderAction.BACK
    req = rules.OrderRequest(
        action, target.name, target.is_domain, author, cause, _deadline_s()
    )
    match rules.order(_log(cfg), req):
        case rules.OrderAccepted(offset):
            _say(f"{target} {action.value}: accepted at offset {offset}")
            return _report_force(cfg, offset)
        case rules.BackOverruled(by):
            cause = by.asked_by if by else "it has ended since"
            return _fail(f"{target} stays out: a newer order out ({cause})")
        case rules.UnknownTarget(name, known):
            return _fail(f"no failure domain {name}; known: {', '.join(known)}")
        case rules.NotWritten(message):
            _report(f"the log takes no order now: {message}")
            return _order_nodes(cfg, req, new_id("order"))
        case rules.Unknown(record_id, message):
            _report(f"not known whether accepted: {message}")
            return _order_nodes(cfg, req, record_id)


def status(settings_path: str, *, is_full: bool) -> int:
    """Prints the state of every node."""
    cfg = _settings(settings_path)
    answers = read_statuses(cfg)
    if is_full:
        _say(json.dumps(answers, indent=2, sort_keys=True))
    for vm, answer in answers.items():
        _say(_status_line(vm, answer))
    return EXIT_OK if any(answers.values()) else EXIT_FAILED


def refusals(settings_path: str, wanted: ReportRequest) -> int:
    """Prints who was turned away in a period, and why."""
    printed = answer_report(_log(_settings(settings_path)), wanted)
    if isinstance(printed, Failure):
        return _fail(printed.failure())
    _say(printed.unwrap())
    return EXIT_OK


def explain(settings_path: str, request_id: str) -> int:
    """Prints which node decided what about a request, and by which rule."""
    cfg = _settings(settings_path)
    lines = explain_request(cfg, _log(cfg), request_id)
    for line in lines:
        _say(line)
    return EXIT_OK if lines else _fail(f"nothing is known of {request_id}")


def _status_line(vm: str, answer: dict[str, Any] | None) -> str:
    if answer is None:
        return f"{vm}: no answer"
    may = "yes" if answer["peers"]["may_dispatch"] else "no"
    return (
        f"{vm}: {answer['phase']}, takes new work: {may}, "
        f"rules version {answer['rules_version']} "
        f"(offset {answer['rules_offset']}), "
        f"in flight {answer['in_flight']}, "
        f"permits held {answer['permits']['held']}"
    )


def _order_nodes(cfg: Settings, req: rules.OrderRequest, record_id: str) -> int:
    """Gives an order to the nodes themselves while the log is down.

    All get the same record identifier, so that the order counts once.
    """
    body = {
        "action": req.action.value,
        "target": req.target,
        "is_domain": req.is_domain,
        "author": req.author,
        "cause": req.cause,
        "record_id": record_id,
    }
    taken: list[str] = []
    silent: list[str] = []
    for vm, address in find_operators(cfg).items():
        receipt = ask_node(cfg, address, "POST", "/v1/orders", body)
        state = receipt and receipt.get("state")
        is_taken = state not in (None, OrderState.REFUSED, OrderState.UNKNOWN)
        (taken if is_taken else silent).append(vm)
    if not taken:
        return _fail("no node has taken the order")
    if req.action is OrderAction.OUT:
        _say("applied but not yet accepted; acting on: " + ", ".join(taken))
    else:
        _say("held until the log is back; not in force yet")
    if silent:
        _say("not confirmed: " + ", ".join(silent))
    return EXIT_UNKNOWN


def _report_force(cfg: Settings, offset: int) -> int:
    """Waits until `offset` is in force on all nodes, and says on which."""
    deadline_s = time.monotonic() + FORCE_TIMEOUT_S
    while True:
        statuses = read_statuses(cfg)
        answers = [
            NodeAnswer(vm, status["rules_offset"])
            for vm, status in statuses.items()
            if status is not None
        ]
        report = report_force(offset, statuses, answers)
        if report.is_everywhere() or time.monotonic() > deadline_s:
            break
        time.sleep(FORCE_POLL_S)
    _say(f"in force on {len(report.confirmed)} of {len(statuses)} nodes")
    if report.is_everywhere():
        return EXIT_OK
    missing = [f"{node.vm} (at offset {node.offset})" for node in report.behind]
    missing += [f"{vm} (no answer)" for vm in report.silent]
    _say("not confirmed: " + ", ".join(missing))
    return EXIT_UNKNOWN


def _log(cfg: Settings) -> HttpLog:
    client = ClientConfig(cfg.log_urls)
    return HttpLog(client, PlatformCounters(CollectorRegistry()))


def _deadline_s() -> float:
    return time.monotonic() + LOG_TIMEOUT_S


def _settings(path: str) -> Settings:
    read = read_settings(path)
    if isinstance(read, Failure):
        _report_all(str(fault) for fault in read.failure())
        _leave(EXIT_BAD_INPUT)
    return read.unwrap()


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(
            encoding="utf-8", errors="surrogateescape"
        )
    except OSError as exc:
        _report(f"{path}: {exc}")
        _leave(EXIT_BAD_INPUT)


def _leave(code: int) -> NoReturn:
    raise SystemExit(code)


def _fail(message: str) -> int:
    _report(message)
    return EXIT_FAILED


def _say(text: str) -> None:
    print(text)


def _report(text: str) -> None:
    print(text, file=sys.stderr)


def _report_all(texts: Iterable[str]) -> None:
    for text in texts:
        _report(text)
