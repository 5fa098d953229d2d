"""Shapes of the soak of streams and software versions, by their names.

A shape says what the engines are like and which faults come about.
"""

from tests.front.stream_callers import Habits
from tests.soak.killed_shapes import KILLED_SHAPES
from tests.soak.shape import (
    BASE_FAULTS,
    EVENTS,
    STREAM_INTERVAL_S,
    Ending,
    Fault,
    Shape,
)

SHORT_EVENTS = 6
MANY_NODES = 9
MORE_NODES = 12
MOST_NODES = 24
# Streams of so many events take longer than a node serves after SIGTERM.
LONG_EVENTS = 220
LONG_STREAM_INTERVAL_S = 0.25
COPY_S = 0.05
BREAK_AFTER_EVENTS = 3
# Nodes that start again learn of each other and issue permits in between.
RARE_FAULT_INTERVAL_S = (2.0, 5.0)
# Under limits, streams after the last fault begin one after the other.
SPACED_STREAMS_S = 0.5
MAX_PAUSE_S = 2.0
LATE_ENTRY_DELAYS_S = (0.5,)
BEGIN_TRIES = 8
PRESSED_EVENTS = 60

PLAIN = Shape()
RELEASE = Shape(
    versions=("v1",) * 4,
    entry_delays_s=(0.5, 2.0),
    resets_after=BREAK_AFTER_EVENTS,
)
# Engines of another version join while some nodes are out of step. It counts
# until all nodes know both versions.
JOINED = RELEASE._replace(
    faults=(Fault.JOIN,), releases=("v2",), fault_interval_s=(1.0, 2.0)
)
LATE_SWAPS = Shape(entry_delays_s=LATE_ENTRY_DELAYS_S)
# One software version, whose engines all name a limit.
LIMITED = Shape(
    versions=("v1",) * 4,
    releases=("v1",),
    named_limit="4",
    after_interval_s=SPACED_STREAMS_S,
    max_pause_s=MAX_PAUSE_S,
)
LIMITED_KILLS = LIMITED._replace(
    faults=(Fault.KILL,), fault_interval_s=RARE_FAULT_INTERVAL_S
)
# Engines that say in their answers that they leave, or want a pause.
NOTICES = Shape(
    versions=("v1",) * 4,
    releases=("v1",),
    faults=(Fault.LEAVE, Fault.PAUSE),
)
# Callers come back until their streams begin: more than the limits let through.
PRESSED = LIMITED._replace(begin_tries=BEGIN_TRIES, events=PRESSED_EVENTS)
PRESSED_KILLS = PRESSED._replace(
    faults=(Fault.KILL,), fault_interval_s=RARE_FAULT_INTERVAL_S
)
ENGINE_FAULTS = (Fault.RESTART, Fault.RESTART, Fault.DRAIN)
# Callers keep their connections, engines replaced late, and nodes ended beside.
KEPT = LATE_SWAPS._replace(
    habits=Habits(),
    is_unframed=True,
    faults=(Fault.END, Fault.END, Fault.END, Fault.RESTART),
    fault_interval_s=(0.3, 0.9),
    events=LONG_EVENTS,
    stream_interval_s=LONG_STREAM_INTERVAL_S,
)
# The same, with every other fault of nodes.
KEPT_HARD = KEPT._replace(
    faults=(*KEPT.faults, Fault.END, Fault.KILL, Fault.FREEZE, Fault.CUT)
)
SHAPES = {
    "plain": PLAIN,
    "limited": Shape(
        named_limit="4",
        entry_delays_s=LATE_ENTRY_DELAYS_S,
        after_interval_s=SPACED_STREAMS_S,
    ),
    "limit-4-freezes": LIMITED._replace(faults=(Fault.FREEZE,)),
    "limit-8-freezes": LIMITED._replace(
        faults=(Fault.FREEZE,), named_limit="8"
    ),
    "limit-4-kills": LIMITED_KILLS,
    "limit-8-kills": LIMITED_KILLS._replace(named_limit="8"),
    "limit-4-kill-one": LIMITED_KILLS._replace(faults=(Fault.KILL_ONE,)),
    "limit-8-kill-one": LIMITED_KILLS._replace(
        faults=(Fault.KILL_ONE,), named_limit="8"
    ),
    "limit-4-rolls": LIMITED_KILLS._replace(faults=(Fault.ROLL,)),
    "pressed-4-freezes": PRESSED._replace(faults=(Fault.FREEZE,)),
    "pressed-8-kills": PRESSED_KILLS._replace(named_limit="8"),
    "pressed-8-freezes": PRESSED._replace(
        faults=(Fault.FREEZE,), named_limit="8"
    ),
    "pressed-2-freezes": PRESSED._replace(
        faults=(Fault.FREEZE,), named_limit="2"
    ),
    "pressed-16-freezes": PRESSED._replace(
        faults=(Fault.FREEZE,), named_limit="16"
    ),
    "pressed-8-ends": PRESSED_KILLS._replace(
        faults=(Fault.END,), named_limit="8"
    ),
    "pressed-8-restarts": PRESSED._replace(
        faults=ENGINE_FAULTS, named_limit="8"
    ),
    "pressed-4-freezes-9": PRESSED._replace(
        faults=(Fault.FREEZE,), nodes=MANY_NODES
    ),
    "pressed-4-freezes-24": PRESSED._replace(
        faults=(Fault.FREEZE,), nodes=MOST_NODES
    ),
    "limit-4-swaps": Shape(
        faults=ENGINE_FAULTS,
        named_limit="4",
        entry_delays_s=LATE_ENTRY_DELAYS_S,
        fault_interval_s=RARE_FAULT_INTERVAL_S,
        after_interval_s=SPACED_STREAMS_S,
        max_pause_s=MAX_PAUSE_S,
    ),
    "unsaid": Shape(says_born=False, entry_delays_s=LATE_ENTRY_DELAYS_S),
    "held": Shape(
        faults=(*BASE_FAULTS, Fault.HOLD, Fault.HOLD),
        entry_delays_s=LATE_ENTRY_DELAYS_S,
    ),
    "notices": NOTICES,
    "notices-store": NOTICES._replace(
        faults=(*NOTICES.faults, Fault.STORE_AWAY)
    ),
    "notices-two-builds": NOTICES._replace(other_nodes=1),
    "release": RELEASE,
    "joined": JOINED,
    "joined-9": JOINED._replace(nodes=MANY_NODES),
    "joined-kills": JOINED._replace(faults=(Fault.JOIN, Fault.KILL_ONE)),
    "drains": Shape(faults=(*BASE_FAULTS, Fault.DRAIN, Fault.DRAIN)),
    "short": Shape(events=SHORT_EVENTS, resets_after=BREAK_AFTER_EVENTS),
    "unframed": Shape(is_unframed=True),
    "crossed": LATE_SWAPS._replace(
        faults=(*BASE_FAULTS, Fault.CROSS, Fault.CROSS, Fault.CROSS),
        copy_delay_s=COPY_S,
    ),
    "twins": LATE_SWAPS._replace(
        twin_share=0.5, resets_after=BREAK_AFTER_EVENTS
    ),
    "moves": LATE_SWAPS._replace(
        versions=("v1", "v1", "v1", "v2"),
        releases=("v1", "v1", "v2"),
        faults=(Fault.MOVE,) * 16 + (Fault.RESTART, Fault.DRAIN),
        fault_interval_s=(0.08, 0.18),
        stream_interval_s=0.25,
    ),
    "freezes": LATE_SWAPS._replace(faults=(*ENGINE_FAULTS, Fault.FREEZE)),
    "cuts": LATE_SWAPS._replace(faults=(*BASE_FAULTS, Fault.CUT, Fault.CUT)),
    "release-cuts": RELEASE._replace(
        faults=(*ENGINE_FAULTS, Fault.CUT, Fault.CUT)
    ),
    "rolls": RELEASE._replace(faults=(*ENGINE_FAULTS, Fault.ROLL)),
    "store": RELEASE._replace(
        faults=(*BASE_FAULTS, Fault.STORE_AWAY, Fault.STORE_BACK)
    ),
    "many": LATE_SWAPS._replace(nodes=MANY_NODES),
    "unread": RELEASE._replace(
        faults=(Fault.UNREAD, Fault.UNREAD, Fault.KILL, Fault.CUT),
        entry_delays_s=(0.0, 0.5),
    ),
    "begins": LATE_SWAPS._replace(
        faults=(Fault.BEGIN, Fault.BEGIN, Fault.BEGIN, Fault.RESTART)
    ),
    "unsaid-release": RELEASE._replace(says_born=False),
    "two-builds-1": LATE_SWAPS._replace(other_nodes=1),
    "two-builds-2": LATE_SWAPS._replace(other_nodes=2),
    "release-two-builds-1": RELEASE._replace(other_nodes=1),
    "release-two-builds-2": RELEASE._replace(other_nodes=2),
    "orderly": KEPT._replace(
        faults=(Fault.RESTART,),
        ends_in_order=True,
        endings=(Ending.TERM,),
        events=EVENTS,
        stream_interval_s=STREAM_INTERVAL_S,
    ),
    "kept": KEPT,
    "kept-orderly": KEPT_HARD._replace(
        ends_in_order=True, endings=(Ending.TERM,)
    ),
    "kept-half": KEPT._replace(is_half_framed=True),
    "kept-hard": KEPT_HARD,
    "kept-hard-half": KEPT_HARD._replace(is_half_framed=True),
    "kept-many": KEPT_HARD._replace(nodes=MANY_NODES),
    "kept-more": KEPT_HARD._replace(nodes=MORE_NODES, is_half_framed=True),
    "kept-pipelined": KEPT_HARD._replace(
        habits=Habits(pipelined_share=0.5), is_half_framed=True
    ),
    "kept-old-http": KEPT_HARD._replace(
        habits=Habits(old_share=0.5), is_half_framed=True
    ),
    "kept-tls": KEPT_HARD._replace(has_tls=True),
    "kept-tls-half": KEPT_HARD._replace(has_tls=True, is_half_framed=True),
    "kept-moves": KEPT._replace(
        versions=("v1",) * 4,
        releases=("v1",),
        faults=(Fault.MOVE,) * 16 + (Fault.END,) * 3,
        fault_interval_s=(0.08, 0.18),
        is_half_framed=True,
    ),
    "kept-twins": KEPT_HARD._replace(
        twin_share=0.5,
        resets_after=BREAK_AFTER_EVENTS,
        is_half_framed=True,
    ),
    "kept-release": KEPT._replace(
        faults=(*ENGINE_FAULTS, Fault.RELEASE),
        is_half_framed=True,
        other_nodes=1,
    ),
    "kept-release-unframed": KEPT._replace(
        faults=(*ENGINE_FAULTS, Fault.RELEASE), other_nodes=1
    ),
    **KILLED_SHAPES,
}
