"""Runs one node as a process until it is told to end."""

import logging
import os
import signal
import sys
import threading
from types import FrameType

import structlog
from returns.result import Failure

from savorylift.composition import compose
from savorylift.logs import configure_logs
from savorylift.node import Node
from savorylift.settings_file import read_settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_BROKEN = 70

log = structlog.get_logger()


def run_node(settings_path: str, *, second_signal_stops: bool) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code.

    Args:
        settings_path: JSON settings file.
        second_signal_stops: True lets a second signal cut requests short.
    """
    read = read_settings(settings_path)
    if isinstance(read, Failure):
        for fault in read.failure():
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    cfg = read.unwrap()
    configure_logs(cfg.log_format, cfg.log_level, cfg.vm)
    try:
        parts = compose(cfg)
    except OSError as exc:
        print(f"{settings_path}: tls: {exc}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    node = Node(parts)
    _end_on_broken_invariants()
    started = node.start()
    if isinstance(started, Failure):
        print(f"{settings_path}: {started.failure()}", file=sys.stderr)
        sys.stderr.flush()
        os._exit(EXIT_FAILED)  # actors run already and serve nobody
    _Signals(node, second_signal_stops=second_signal_stops).install()
    node.serve()
    node.drain()
    node.stop()
    return 0


def _end_on_broken_invariants() -> None:
    """Ends the process when a thread or actor dies of an exception.

    A node that lost one of them would hold its callers without an answer;
    once it is gone they resume elsewhere.
    """
    threading.excepthook = lambda args: _end_process(args.exc_value)
    logging.getLogger("pykka").addHandler(_ActorDeaths(logging.ERROR))


class _ActorDeaths(logging.Handler):
    """Ends the process on an actor's unhandled exception."""

    def emit(self, record: logging.LogRecord) -> None:
        """Takes what pykka reports of an actor that has died."""
        if record.exc_info:
            _end_process(record.exc_info[1])


def _end_process(exc: BaseException | None) -> None:
    log.critical("broken invariant", exc_info=exc)
    sys.stderr.flush()
    os._exit(EXIT_BROKEN)


class _Signals:
    """The first signal drains; a further one ends at once if allowed."""

    def __init__(self, node: Node, *, second_signal_stops: bool) -> None:
        self._node = node
        self._second_signal_stops = second_signal_stops
        self._count = 0

    def install(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle)

    def _handle(self, number: int, _: FrameType | None) -> None:
        self._count += 1
        log.info("signal", number=number, count=self._count)
        if self._count > 1 and self._second_signal_stops:
            # Leaving main would wait for the threads that serve requests.
            sys.stderr.flush()
            os._exit(EXIT_FAILED)
        self._node.begin_shutdown()
