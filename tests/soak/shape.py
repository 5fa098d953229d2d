"""What a shape of the soak of streams and software versions consists of."""

import enum
from typing import NamedTuple

from tests.front.stream_callers import Habits

EVENTS = 90
NODES = 3
RESUMABLE_PATH = "/resumable/x"
RESTART_S = (0.3, 0.3)
FAULT_INTERVAL_S = (0.3, 1.5)
STREAM_INTERVAL_S = 0.12
# When the entry of an engine that starts again is written: before it serves,
# with it, and after.
ENTRY_DELAYS_S = (-0.3, 0.0, 0.5)


class Fault(enum.StrEnum):
    """What may befall a fleet.

    Attributes:
        RESTART: An engine ends and starts again under its ID.
        SERIES: An engine does so several times, before its entry is written.
        STOP: A node is stopped for a while, and then an engine ends and starts
            again.
        KILL: One node, two, or all of them are killed and start again.
        KILL_ONE: One node is killed and starts again.
        UNREAD: An engine starts again at another version, serves, and crashes
            before its entry is written; then it is back at the earlier one.
        BEGIN: An engine crashes as a stream begins, and starts again at another
            version.
        HOLD: An engine rejects everything and says for how long.
        LEAVE: An engine says in its answers that it leaves; its entry doesn't.
        PAUSE: An engine rejects everything and says for how long; who heeds it
            is judged.
        DRAIN: An engine drains, ends, and starts again under its ID.
        MOVE: An engine drains and takes requests again, without an end.
        CROSS: Two engines move runs to each other and start again meanwhile.
        FREEZE: Some nodes stop for some seconds.
        CUT: Some nodes hear no other node for some seconds.
        ROLL: All nodes are ended and started again, one by one.
        RELEASE: The same; each node starts again with the other build.
        JOIN: Some nodes hear neither others nor the store for some seconds, or
            stand still; meanwhile an engine of another version joins.
        END: A node gets SIGTERM, and other signals before it ends; then it
            starts again. Several nodes may do so at once.
        STORE_AWAY: The store refuses or hangs for some seconds.
        STORE_BACK: The store comes back from a copy.
    """

    RESTART = "restart"
    SERIES = "series"
    STOP = "stop"
    KILL = "kill"
    KILL_ONE = "kill one"
    UNREAD = "unread"
    BEGIN = "begin"
    HOLD = "hold"
    LEAVE = "leave"
    PAUSE = "pause"
    DRAIN = "drain"
    MOVE = "move"
    CROSS = "cross"
    FREEZE = "freeze"
    CUT = "cut"
    ROLL = "roll"
    RELEASE = "release"
    JOIN = "join"
    END = "end"
    STORE_AWAY = "store away"
    STORE_BACK = "store back"


class Ending(enum.StrEnum):
    """How the process of an engine ends.

    Attributes:
        KILL: By SIGKILL.
        TERM: By SIGTERM; it closes its connections one after the other.
        CUT_TERM: By SIGTERM, and by SIGKILL before it has closed them all.
    """

    KILL = "SIGKILL"
    TERM = "SIGTERM"
    CUT_TERM = "SIGTERM and SIGKILL"


BASE_FAULTS = (Fault.RESTART, Fault.RESTART, Fault.KILL)


class Shape(NamedTuple):
    """What the engines are like, and their faults.

    Attributes:
        versions: Software version of each engine at the start.
        releases: Versions that engines start again at.
        faults: Faults that come about, each as often as it is named; empty
            for none.
        entry_delays_s: When the entry of an engine that starts again is
            written, after it began to serve.
        removal_s: Time from the end of an engine until its entry is removed;
            None to leave it.
        restart_s: Range of the times that an engine which ends is down for.
        endings: How engines end, each as often as it is named.
        close_interval_s: Time from one connection to the next that an engine
            closes after SIGTERM.
        fault_interval_s: Range of the times between the beginnings of faults.
        stream_interval_s: Time between the beginnings of streams.
        events: Number of events of each stream.
        resets_after: Event after which streams that begin break off; None for
            none.
        named_limit: Limit on requests a second that all answers name.
        brittle_at: Number of rejections in a second that all answers name.
        retry_after: When to return, as all answers say; None not to say.
        event_bytes: Most bytes that an event is filled up with.
        says_born: Whether reports say when the engine started.
        no_report_status: What engines answer that have no reports; None if
            they have.
        heartbeat_s: Time between two entries of an engine; None for an entry
            at each start only.
        is_unframed: Whether streams end with their connection.
        ends_in_order: Whether the connections of engines that end are closed
            in order, so that answers that are cut off end as whole ones do;
            those without a length or chunks are reset otherwise.
        is_half_framed: Whether those of every other engine don't all the same.
        after_interval_s: Time between the streams that must end whole after
            the last fault.
        copy_delay_s: How long an engine takes to copy a run.
        twin_share: Share of the attempts to take a stream up that go to two
            nodes at once.
        begin_tries: Attempts to begin a stream, if none begins it.
        max_pause_s: Pause after which callers abandon a stream; None for none.
        nodes: Number of nodes.
        other_nodes: Number of nodes that run another build, if one is given.
        habits: What callers do who keep their connections; None for callers
            who use each for one request.
        has_tls: Whether callers use TLS.
        slow_share: Share of the requests whose callers read slowly.
        path: Path of the requests: of streams, or of plain answers that come
            in as many parts.
    """

    versions: tuple[str, ...] = ("v1", "v1", "v2", "v2")
    releases: tuple[str, ...] = ("v1", "v2")
    faults: tuple[Fault, ...] = BASE_FAULTS
    entry_delays_s: tuple[float, ...] = ENTRY_DELAYS_S
    removal_s: float | None = None
    restart_s: tuple[float, float] = RESTART_S
    endings: tuple[Ending, ...] = (Ending.KILL,)
    close_interval_s: float = 0.0
    fault_interval_s: tuple[float, float] = FAULT_INTERVAL_S
    stream_interval_s: float = STREAM_INTERVAL_S
    events: int = EVENTS
    resets_after: int | None = None
    named_limit: str | None = None
    brittle_at: int | None = None
    retry_after: str | None = None
    event_bytes: int = 0
    says_born: bool = True
    no_report_status: int | None = None
    heartbeat_s: float | None = None
    is_unframed: bool = False
    ends_in_order: bool = False
    is_half_framed: bool = False
    after_interval_s: float = 0.0
    copy_delay_s: float = 0.0
    twin_share: float = 0.0
    begin_tries: int = 1
    max_pause_s: float | None = None
    nodes: int = NODES
    other_nodes: int = 0
    habits: Habits | None = None
    has_tls: bool = False
    slow_share: float = 0.0
    path: str = RESUMABLE_PATH
