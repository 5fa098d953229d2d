"""Decoded requests of callers, and how they are forwarded."""

from typing import NamedTuple

from savorylift.backends.named_limits import NamedLimit
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice
from savorylift.outcomes import Reason
from savorylift.wire.message import Headers

EVENT_STREAM_TYPE = "text/event-stream"


class Generation(NamedTuple):
    """Size of a generation, as far as the request tells.

    Attributes:
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Maximum number of output tokens.
        output_hint: The caller's estimate of the number of output tokens.
        prompt_parts: ID and number of tokens of each part of the prompt, in
            order. Requests can share a prefix of parts.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_hint: int | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()


class KnownRun(NamedTuple):
    """A run that may go on at its server without the node that began it.

    Attributes:
        run_id: ID of the run at the server.
        server_id: ID of the server.
    """

    run_id: str
    server_id: str


class CallerRequest(NamedTuple):
    """A decoded request from a caller.

    Attributes:
        attempt_id: The caller's ID for this attempt; unique per attempt.
        method: Upper-case method.
        host: Host in lower case, without a port.
        target: Path and query as sent.
        path: Path without the query.
        api_key: API key of the team, if sent.
        arrived_s: Monotonic time at which the first byte arrived.
        time_left_s: How long after `arrived_s` the caller waits for the
            response; None if it does not say.
        resume_after: ID of the last event that the caller has, if it resumes
            a stream.
        generation: Size of the generation; None for a plain call.
        headers: Headers to forward unchanged.
        body: Body to forward.
        priority: Scheduling priority set by the caller, 0 first; None for
            that of its team or route.
        wants_single_response: Whether a generation is returned in a single
            response instead of a stream.
        no_route_reason: Reason of the refusal if no route matches.
        resumes: ID of the attempt that brought the first event of the stream
            that it resumes; None if it names none.
        known_run: Run that sent the last event that the caller has; None if it
            names none.
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
    wants_single_response: bool = False
    no_route_reason: Reason = Reason.NOT_FOUND
    resumes: str | None = None
    known_run: KnownRun | None = None

    def has_run_at(self, server_id: str) -> bool:
        """Whether the caller names a run at this server."""
        return self.known_run is not None and (
            self.known_run.server_id == server_id
        )


class KvCopy(NamedTuple):
    """Copy of a run's KV cache, from which another engine can resume it.

    Attributes:
        source: Address of the engine that the KV cache was copied from.
        handle: ID of the copy at that engine.
    """

    source: tuple[str, int]
    handle: str


class ForwardingOptions(NamedTuple):
    """What is added to a request when it is forwarded.

    Attributes:
        server_id: ID of the only backend server that may run the request.
        time_left_s: Time until the response is of no use to the caller.
        team: Team of the caller, if the route requires an API key.
        priority: Scheduling priority from 0, which is first, to 9; None for
            the default.
        resume_after: ID of the event after which the stream resumes.
        kv_copy: KV cache to resume from.
        model_version: Required model version, if any.
    """

    server_id: str
    time_left_s: float
    team: str | None
    priority: int | None = None
    resume_after: str | None = None
    kv_copy: KvCopy | None = None
    model_version: str | None = None


class AnswerHead(NamedTuple):
    """Decoded head of a backend server's response.

    Attributes:
        status: Status code.
        headers: Headers to forward, without `content-length`.
        matches_request: Whether it responds to the request that was sent.
        is_not_run: Whether the server declares that it did not run the
            request.
        is_signed: Whether it has the signature of a backend server; True if
            the protocol has no signatures.
        named_limit: Limit on its requests that the server names, if any.
        is_close_delimited: Whether nothing but the close of the connection
            marks the end of the body, so that it may be incomplete.
        promises_not_run: Whether its status tells callers that the request
            did not run.
        is_from_brittle: Whether the server says that it falls over if it has
            to reject much.
        notice: What the server says of its plans.
    """

    status: int
    headers: Headers
    matches_request: bool
    is_not_run: bool
    is_signed: bool
    named_limit: NamedLimit | None = None
    is_close_delimited: bool = False
    promises_not_run: bool = False
    is_from_brittle: bool = False
    notice: ServerNotice = NO_NOTICE

    @property
    def is_event_stream(self) -> bool:
        """Whether its content type is that of a stream of events."""
        types = [text for name, text in self.headers if name == "content-type"]
        return any(text.startswith(EVENT_STREAM_TYPE) for text in types)

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
