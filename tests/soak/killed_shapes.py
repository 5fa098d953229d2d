"""Shapes of engines that get SIGKILL or SIGTERM while they answer unframed.

What the end of an engine cuts off ends in order, as a whole answer does.
"""

from tests.front.stream_callers import Habits
from tests.soak.shape import Ending, Fault, Shape

EVENTS = 60
STREAM_INTERVAL_S = 0.1
DEATH_INTERVAL_S = (1.0, 3.0)
# From the end of an engine to its return at its address, and from there to its
# entry.
RETURN_S = (0.02, 0.3)
LATE_RETURN_S = (3.0, 3.0)
ENTRY_DELAY_S = 0.5
# From the end of an engine to the removal of its entry.
REMOVAL_S = 0.2
CLOSE_INTERVAL_S = 0.01
EVENT_BYTES = 20_000
SPACED_STREAMS_S = 0.5
DENSE_FAULT_INTERVAL_S = (0.1, 0.4)
BREAK_AFTER_EVENTS = 3
HEARTBEAT_S = 0.5
LATE_ENTRY_DELAYS_S = (0.5, 2.0, 4.0)
MOVING = (Fault.MOVE,) * 8
ALL_ENDINGS = (Ending.KILL, Ending.KILL, Ending.TERM, Ending.CUT_TERM)


def _limited(shape: Shape, limit: str) -> Shape:
    """Lets all answers name a limit; streams at the end begin in turn."""
    return shape._replace(named_limit=limit, after_interval_s=SPACED_STREAMS_S)


KILLED = Shape(
    versions=("v1",) * 4,
    releases=("v1",),
    faults=(Fault.RESTART,),
    entry_delays_s=(ENTRY_DELAY_S,),
    restart_s=RETURN_S,
    fault_interval_s=DEATH_INTERVAL_S,
    stream_interval_s=STREAM_INTERVAL_S,
    events=EVENTS,
    is_unframed=True,
    ends_in_order=True,
    path="/stream/x",
)
STOPPED = KILLED._replace(faults=(Fault.STOP,))
LIMITED = _limited(KILLED, "4")
STOPPED_LIMITED = _limited(STOPPED, "4")
RESUMABLE = KILLED._replace(path="/resumable/x")
# Whole streams must not be cut off, either, where nothing ends.
QUIET = KILLED._replace(faults=())
PLAIN = KILLED._replace(path="/once/x")
VERSIONS = RESUMABLE._replace(
    versions=("v1", "v1", "v2", "v2"), releases=("v1", "v2")
)
# Drains that end and drains that don't, restarts in series, and stopped nodes,
# also several at once.
MIXED = RESUMABLE._replace(
    faults=(*MOVING, Fault.RESTART, Fault.SERIES, Fault.STOP, Fault.DRAIN),
    fault_interval_s=DENSE_FAULT_INTERVAL_S,
    endings=ALL_ENDINGS,
    close_interval_s=CLOSE_INTERVAL_S,
)

# Servers without reports, in the first release of a version and later.
UNREPORTED = VERSIONS._replace(
    is_unframed=False,
    no_report_status=404,
    heartbeat_s=HEARTBEAT_S,
    resets_after=BREAK_AFTER_EVENTS,
)
UNREPORTED_RELEASE = UNREPORTED._replace(
    versions=("v1",) * 4, entry_delays_s=LATE_ENTRY_DELAYS_S
)

KILLED_SHAPES = {
    "quiet": QUIET,
    "quiet-limit-2": _limited(QUIET, "2"),
    "quiet-limit-8": _limited(QUIET, "8"),
    "killed": KILLED,
    "killed-gone": KILLED._replace(removal_s=REMOVAL_S),
    "killed-gone-at-once": KILLED._replace(removal_s=0.0),
    "killed-late": KILLED._replace(restart_s=LATE_RETURN_S),
    "killed-limit-2": _limited(KILLED, "2"),
    "killed-limit-4": LIMITED,
    "killed-limit-8": _limited(KILLED, "8"),
    "killed-limit-4-late": LIMITED._replace(restart_s=LATE_RETURN_S),
    "killed-limit-2-half-9": _limited(KILLED, "2")._replace(
        is_half_framed=True, nodes=9
    ),
    "killed-limit-4-6": LIMITED._replace(nodes=6),
    "killed-9": KILLED._replace(nodes=9),
    "killed-half": KILLED._replace(is_half_framed=True),
    "killed-kept": KILLED._replace(habits=Habits()),
    "killed-limit-8-kept": _limited(KILLED, "8")._replace(habits=Habits()),
    "killed-retry-after": KILLED._replace(retry_after="5"),
    "killed-brittle": KILLED._replace(brittle_at=5),
    "killed-slow": KILLED._replace(
        endings=(Ending.KILL, Ending.TERM),
        event_bytes=EVENT_BYTES,
        slow_share=0.5,
    ),
    "killed-stop": STOPPED,
    "killed-stop-limit-2": _limited(STOPPED, "2"),
    "killed-stop-limit-4": STOPPED_LIMITED,
    "killed-stop-limit-8": _limited(STOPPED, "8"),
    "killed-stop-limit-4-resumable": STOPPED_LIMITED._replace(
        path="/resumable/x"
    ),
    "killed-stop-limit-4-late": STOPPED_LIMITED._replace(
        restart_s=LATE_RETURN_S
    ),
    "killed-stop-6-resumable": STOPPED._replace(
        nodes=6, path="/resumable/x", faults=(Fault.STOP, Fault.RESTART)
    ),
    "killed-term-limit-4": STOPPED_LIMITED._replace(
        faults=(Fault.STOP, Fault.END)
    ),
    "killed-resumable": RESUMABLE,
    "killed-limit-4-resumable": _limited(RESUMABLE, "4"),
    "killed-versions": VERSIONS,
    "killed-versions-limit-4": _limited(VERSIONS, "4"),
    "killed-plain": PLAIN,
    "killed-plain-limit-4": _limited(PLAIN, "4"),
    "killed-plain-stop": PLAIN._replace(faults=(Fault.STOP,)),
    "terminated-at-once": KILLED._replace(endings=(Ending.TERM,)),
    "terminated": KILLED._replace(
        endings=(Ending.TERM,), close_interval_s=CLOSE_INTERVAL_S
    ),
    "terminated-limit-4": LIMITED._replace(
        endings=(Ending.TERM,), close_interval_s=CLOSE_INTERVAL_S
    ),
    "terminated-cut": KILLED._replace(
        endings=(Ending.CUT_TERM,), close_interval_s=CLOSE_INTERVAL_S
    ),
    "killed-moves": RESUMABLE._replace(
        faults=(*MOVING, Fault.RESTART, Fault.DRAIN),
        fault_interval_s=DENSE_FAULT_INTERVAL_S,
    ),
    "reported": UNREPORTED._replace(no_report_status=None),
    "unreported": UNREPORTED,
    "unreported-release": UNREPORTED_RELEASE,
    "unreported-400": UNREPORTED._replace(no_report_status=400),
    "unreported-501": UNREPORTED._replace(no_report_status=501),
    "unreported-silent-store": UNREPORTED._replace(heartbeat_s=None),
    "unreported-unframed": UNREPORTED._replace(
        is_unframed=True, resets_after=None
    ),
    "unsaid-killed": UNREPORTED._replace(
        no_report_status=None, says_born=False
    ),
    "unsaid-killed-release": UNREPORTED_RELEASE._replace(
        no_report_status=None, says_born=False
    ),
    "unreported-nodes": UNREPORTED._replace(
        faults=(
            *(Fault.RESTART,) * 4,
            Fault.KILL_ONE,
            Fault.FREEZE,
            Fault.CUT,
            Fault.END,
        ),
    ),
    "unreported-lost": UNREPORTED._replace(
        faults=(Fault.RESTART, Fault.RESTART, Fault.KILL)
    ),
    "unreported-9": UNREPORTED._replace(nodes=9),
    "unreported-limit-8": _limited(UNREPORTED, "8"),
    "unreported-store": UNREPORTED._replace(
        faults=(*(Fault.RESTART,) * 4, Fault.STORE_AWAY, Fault.STORE_BACK)
    ),
    "unreported-moves": UNREPORTED_RELEASE._replace(
        faults=(*MOVING, Fault.RESTART, Fault.DRAIN),
        fault_interval_s=DENSE_FAULT_INTERVAL_S,
    ),
    "killed-mixed": MIXED,
    "killed-mixed-limit-4": _limited(MIXED, "4"),
    "killed-mixed-versions": MIXED._replace(
        versions=VERSIONS.versions, releases=VERSIONS.releases
    ),
    "killed-mixed-nodes": MIXED._replace(
        faults=(*MIXED.faults, Fault.END, Fault.FREEZE, Fault.KILL_ONE)
    ),
}
