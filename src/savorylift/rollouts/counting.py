"""Counts the answers of services that are rolled out, and reports them."""

import time
from collections.abc import Callable

from savorylift.fleet.rollout_messages import (
    AnswerCell,
    AnswerReport,
    RunTimes,
)
from savorylift.rollouts.answer_log import AnswerLog
from savorylift.rollouts.answers import AnswerObserver
from savorylift.rollouts.evidence import FleetEvidence
from savorylift.rollouts.order import RolloutOrder

# The time since an order is cut into slices: each at least so long, and at
# most so many until its deadline.
MIN_SLICE_S = 1.0
MAX_SLICES = 40
REPORT_INTERVAL_S = 0.5
# Cells in one report, which is a datagram, and reports at the same time; the
# rest comes with the next.
MAX_REPORTED_CELLS = 20
MAX_REPORTS = 8
# Routes whose run times are told at the same time; others come with the next.
MAX_REPORTED_ROUTES = 4
# What was reported is repeated once after this time, since it may be lost.
REPEAT_S = 2.0


class Counting:
    """What this node has counted for one order, and who was told."""

    def __init__(
        self, order: RolloutOrder, elapsed_s: float, source: int
    ) -> None:
        """Starts without answers.

        Args:
            order: The order.
            elapsed_s: Time since it.
            source: Random number of this process.
        """
        self.order_id = order.order_id
        self._service = order.service
        self._source = source
        slice_s = max(MIN_SLICE_S, order.duration_s / MAX_SLICES)
        self.log = AnswerLog(order.version, slice_s, elapsed_s)
        self._told_ip: str | None = None
        self._next_report_s = 0.0
        self._next_repeat_s = 0.0

    def report(
        self, ip: str, send: Callable[[AnswerReport, str], None]
    ) -> bool:
        """Tells the deciding node what is new, if it is time for that.

        Args:
            ip: Address of that node.
            send: Sends a message to an address.

        Returns:
            Whether there was something to tell.
        """
        now_s = time.monotonic()
        if ip != self._told_ip:
            self.log.mark_all_changed()
            self._told_ip = ip
        elif now_s >= self._next_repeat_s:
            self.log.repeat_taken()
            self._next_repeat_s = now_s + REPEAT_S
        if now_s < self._next_report_s:
            return False
        cells = self.log.take_changed(MAX_REPORTED_CELLS * MAX_REPORTS)
        if not cells:
            return False
        self._next_report_s = now_s + REPORT_INTERVAL_S
        run_times = self.log.take_run_times(MAX_REPORTED_ROUTES)
        for first in range(0, len(cells), MAX_REPORTED_CELLS):
            part = cells[first : first + MAX_REPORTED_CELLS]
            send(self._make_report(part, run_times if first == 0 else ()), ip)
        return True

    def add_to(self, evidence: FleetEvidence) -> None:
        """Adds what this node has counted itself."""
        evidence.merge(self._source, self.log.all_cells())
        evidence.runs.merge(self._source, self.log.run_times())

    def _make_report(
        self,
        cells: tuple[AnswerCell, ...],
        run_times: tuple[RunTimes, ...],
    ) -> AnswerReport:
        return AnswerReport(
            self.order_id, self._service, self._source, cells, run_times
        )


class CountingBook:
    """The counts of this node, by service."""

    def __init__(self, answers: AnswerObserver, source: int) -> None:
        """Counts nothing yet.

        Args:
            answers: Follows the requests.
            source: Random number of this process.
        """
        self._answers = answers
        self._source = source
        self._countings: dict[str, Counting] = {}

    def begin(self, order: RolloutOrder, elapsed_s: float) -> Counting:
        """Returns the counts for an order; begins them if it is new."""
        known = self._countings.get(order.service)
        if known is not None and known.order_id == order.order_id:
            return known
        counting = Counting(order, elapsed_s, self._source)
        self._countings[order.service] = counting
        self._answers.set_log(order.service, counting.log)
        return counting

    def end(self, service: str) -> None:
        """Ends the counts for a service."""
        if self._countings.pop(service, None) is not None:
            self._answers.set_log(service, None)
