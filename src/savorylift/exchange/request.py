"""What callers ask for, and how it is passed on."""

from typing import NamedTuple

from savorylift.outcomes import Reason
from savorylift.wire.message import Headers


class Generation(NamedTuple):
    """What a request for a generation says about its size.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens of the answer.
        output_hint: The caller's estimate of the answer's tokens.
        prompt_parts: Identifier and tokens of each part of the prompt, in
            order; requests share leading parts.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_hint: int | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()


class CallerRequest(NamedTuple):
    """A caller's request, decoded.

    Attributes:
        attempt_id: The caller's name for this try, unique to it.
        method: Upper-case method.
        host: Host in lower case, without a port.
        target: Path and query as sent.
        path: Path without the query.
        api_key: Key of the team, if sent.
        arrived_s: Steady time of its first byte.
        time_left_s: How long the caller waits from then on, if it says so.
        resume_after: Last event of a stream that the caller has.
        generation: Size of a generation, if the request is for one.
        headers: Headers to pass on as they are.
        body: The body to pass on.
        priority: Rank that the caller asks for, 0 first; None for its
            team's or route's.
        wants_whole: Whether a generation is answered whole, not streamed.
        if_no_route: What it means that no route matches.
    """

    attempt_id: str
    method: str
    host: str
    target: str
    path: str
    api_key: str | None
    arrived_s: float
    time_left_s: float | None
    resume_after: str | None
    generation: Generation | None
    headers: Headers
    body: bytes
    priority: int | None = None
    wants_whole: bool = False
    if_no_route: Reason = Reason.NOT_FOUND


class Continuation(NamedTuple):
    """Memory from which a run goes on at another engine.

    Attributes:
        source: Address of the engine that the memory was copied from.
        handle: Name of the copy there.
    """

    source: tuple[str, int]
    handle: str


class Forwarding(NamedTuple):
    """What the system adds to a request that it passes on.

    Attributes:
        server_id: The only backend server that may run it.
        time_left_s: How long the answer is of use.
        team: Team of the caller, if routes ask for keys.
        priority: Rank, 0 first, up to 9; None for the usual one.
        resume_after: Event after which a stream goes on.
        continuation: Memory from which a run goes on.
        model_version: Version of the model that must answer, if one must.
    """

    server_id: str
    time_left_s: float
    team: str | None
    priority: int | None = None
    resume_after: str | None = None
    continuation: Continuation | None = None
    model_version: str | None = None


class AnswerHead(NamedTuple):
    """What the head of a backend server's answer says.

    Attributes:
        status: Status code.
        headers: Headers to pass on, without a length.
        is_ours: Whether it answers the request that was sent.
        is_not_run: Whether the server declares that it didn't run it.
        is_signed: Whether it carries the server's mark.
    """

    status: int
    headers: Headers
    is_ours: bool
    is_not_run: bool
    is_signed: bool

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
