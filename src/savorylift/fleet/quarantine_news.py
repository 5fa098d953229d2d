"""What nodes tell each other of requests that crash servers."""

from typing import NamedTuple


class CrashReport(NamedTuple):
    """A crash of a server, as seen by one node.

    Attributes:
        server_id: Identifier of the server.
        age_s: Time since the crash.
        requests: Traits of the requests that it had not answered yet: the IDs
            of the parts of their prompts without the last, and those of the
            requests themselves.
        sent_ages_s: Time since each of them was sent, in the same order;
            empty from builds that don't say.
    """

    server_id: str
    age_s: float
    requests: tuple[tuple[str, ...], ...]
    sent_ages_s: tuple[float, ...] = ()


class SoundPart(NamedTuple):
    """A trait of requests that a server survived.

    Attributes:
        part: ID of a part of prompts, or of a request.
        age_s: Time since a server last did so.
    """

    part: str
    age_s: float


class QuarantinedParts(NamedTuple):
    """Traits; requests that have all of them go to no server.

    Attributes:
        parts: IDs of parts of prompts, or of a request.
        age_s: Time since the quarantine began.
        remaining_s: Time until it ends.
    """

    parts: tuple[str, ...]
    age_s: float
    remaining_s: float


class QuarantineNews(NamedTuple):
    """What a node knows of requests that crash servers.

    Attributes:
        crash_reports: Crashes that the node has seen lately.
        sound_parts: Suspected traits that servers have survived.
        quarantined: Traits of requests that the node sends to no server.
    """

    crash_reports: tuple[CrashReport, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    quarantined: tuple[QuarantinedParts, ...] = ()
