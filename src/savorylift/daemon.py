"""Runs one node as a process until it is told to end."""

import signal
import sys
from types import FrameType

import structlog
from returns.result import Failure

from savorylift.logs import configure_logs
from savorylift.node import Node
from savorylift.settings_file import read_settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

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
        node = Node(cfg)
    except OSError as exc:
        print(f"{settings_path}: tls: {exc}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    started = node.start()
    if isinstance(started, Failure):
        print(f"{settings_path}: {started.failure()}", file=sys.stderr)
        return EXIT_FAILED
    _Signals(node, second_signal_stops=second_signal_stops).install()
    node.serve()
    node.drain()
    node.stop()
    return 0


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
            raise SystemExit(EXIT_FAILED)
        self._node.begin_shutdown()
