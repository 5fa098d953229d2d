"""Messages about roll-outs: their stages, and how versions answer."""

import enum
from typing import NamedTuple


class RolloutPhase(enum.StrEnum):
    """How far a roll-out has come.

    Attributes:
        WATCH: Both versions get requests and are compared.
        SHIFT: Only the new version gets new requests.
        COMPLETED: The old servers may stop.
        ROLLED_BACK: The new version gets no more requests.
    """

    WATCH = "watch"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other phase follows."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class ClockMark(NamedTuple):
    """When an order came, by the boot clock of a VM.

    Attributes:
        host: The node, and the boot of its VM that the time counts from.
        ordered_s: Time of that clock.
    """

    host: str
    ordered_s: float


class Stage(NamedTuple):
    """Where a roll-out stands; also its record in the store.

    Attributes:
        service: Name of the service.
        order_id: The order; empty if it was withdrawn.
        version: The new version.
        duration_s: Time from the order to its deadline.
        phase: How far it has come.
        step: Number of the step, which never goes down.
        share: Share of the requests that may go to the new version.
        epoch: Number of times that a node has taken over roll-outs of this
            service.
        elapsed_s: Time since the order, when this was written or sent.
        banned: Versions that were rolled back earlier.
        reason: Why the last step was taken.
        is_recorded: Whether the store holds it.
        clock_marks: When the order came, by the clocks of the nodes that wrote
            last; only in the store.
        held_routes: Routes that keep the share of the phase WATCH during SHIFT
            for now: their requests are short, so they are shifted later.
    """

    service: str
    order_id: str
    version: str
    duration_s: float
    phase: RolloutPhase
    step: int
    share: float
    epoch: int
    elapsed_s: float
    banned: tuple[str, ...] = ()
    reason: str = ""
    is_recorded: bool = True
    clock_marks: tuple[ClockMark, ...] = ()
    held_routes: tuple[str, ...] = ()


class StageNews(NamedTuple):
    """Tells nodes where roll-outs stand.

    Attributes:
        stages: The stages, as of now.
    """

    stages: tuple[Stage, ...]


class AnswerCell(NamedTuple):
    """Answers of one version to requests on one route, in a slice of time.

    Attributes:
        slice_number: Number of the slice since the order.
        is_new: Whether the server is of the new version.
        server_id: Identifier of the server whose answers were lost; empty for
            those that weren't.
        series: Name of the route, or of what else is measured there.
        succeeded: Answers that are no failures.
        failed: Answers that are failures of the server.
        lost: Requests that ended without a whole answer.
        times: Histogram of durations: pairs of a duration class and its count.
        cut: The same for those known only to be longer (censored): the request
            ended early, or is still open.
    """

    slice_number: int
    is_new: bool
    server_id: str
    series: str
    succeeded: int
    failed: int
    lost: int
    times: tuple[tuple[int, int], ...]
    cut: tuple[tuple[int, int], ...] = ()


class RunTimes(NamedTuple):
    """How long requests on a route have run at the old version.

    Attributes:
        route: Name of the route.
        times: Histogram of all so far: pairs of a duration class and its count.
    """

    route: str
    times: tuple[tuple[int, int], ...]


class AnswerReport(NamedTuple):
    """Tells the deciding node how a service's servers have answered.

    Attributes:
        order_id: The order.
        service: Name of the service.
        source: Random number of the process that counted.
        cells: What it has counted, in full for each cell.
        run_times: How long requests have run at the old version, on some
            routes; others come with later reports.
    """

    order_id: str
    service: str
    source: int
    cells: tuple[AnswerCell, ...]
    run_times: tuple[RunTimes, ...] = ()


RolloutMessage = StageNews | AnswerReport
