"""Records of the claim streams and the messages between nodes about them."""

import enum
from typing import NamedTuple

import msgspec

from savorylift.calls.request import CallAnswer, Headers
from savorylift.log_service.log import CLAIMS_STREAM, LogEntry

CLAIM_KIND = "claims.claim"
VOID_KIND = "claims.void"
OUTCOME_KIND = "claims.outcome"
MARK_KIND = "claims.mark"

KEPT_ANSWER_BYTES = 2 * 1024


class ClaimBody(NamedTuple):
    """Body of a claim; the record's identifier is the claim's.

    Attributes:
        key: The idempotency key, 16 bytes.
        fingerprint: Hash of the call.
        vm: VM of the claimant.
        incarnation: Incarnation of the claimant.
        request_id: Request that the claim is for.
    """

    key: bytes
    fingerprint: str
    vm: str
    incarnation: str
    request_id: str


class VoidBody(NamedTuple):
    """Body of a void: the claimant will never run the call."""

    key: bytes
    claim_id: str


class OutcomeBody(NamedTuple):
    """Body of an outcome: the call was sent.

    Attributes:
        key: The idempotency key.
        claim_id: The claim under which it was sent.
        backend_server: Backend server that answered, or an empty string.
        status: HTTP status; None if the answer was lost.
        headers: Headers of the answer.
        body: Body of the answer; None if the answer is larger than is kept.
    """

    key: bytes
    claim_id: str
    backend_server: str
    status: int | None
    headers: Headers
    body: bytes | None


class ClaimState(enum.StrEnum):
    """What a shard says about a claim."""

    WON = "won"
    RUNNING = "running"
    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    MISMATCH = "mismatch"
    TOO_OLD = "too_old"
    TOO_NEW = "too_new"
    NOT_READY = "not_ready"
    LOG_DOWN = "log_down"


class ClaimAsk(NamedTuple):
    """Asks a node that serves a shard to append and judge a claim.

    Attributes:
        shard: Number of the shard.
        claim_id: Identifier of the claim; stays the same when several nodes
            are asked.
        claim: Body of the record.
        wait_ms: How long the asking node will wait.
    """

    shard: int
    claim_id: str
    claim: ClaimBody
    wait_ms: int


class ClaimAnswer(NamedTuple):
    """The verdict on a claim.

    Attributes:
        state: The verdict.
        vm: VM of the node that holds the key, or an empty string.
        incarnation: That node's incarnation, or an empty string.
        outcome_offset: Offset of the outcome record; -1 for none.
    """

    state: ClaimState
    vm: str = ""
    incarnation: str = ""
    outcome_offset: int = -1


class ConcludeAsk(NamedTuple):
    """Asks a node that serves a shard to append a void or an outcome."""

    shard: int
    record_id: str
    kind: str
    body: str


class ConcludeAnswer(NamedTuple):
    """Says whether the record is on the log."""

    is_appended: bool


def stream_of(shard: int) -> str:
    """Returns the name of a shard's stream."""
    return CLAIMS_STREAM if shard == 0 else f"{CLAIMS_STREAM}-{shard}"


def shard_of(key: bytes, shards: int) -> int:
    """Returns the shard of a key; `shards` must never change in a window."""
    return int.from_bytes(key[-4:], "big") % shards


def claim_entry(claim_id: str, body: ClaimBody) -> LogEntry:
    """Returns the record of a claim."""
    return LogEntry(claim_id, CLAIM_KIND, encode(body))


def void_entry(claim_id: str, key: bytes) -> LogEntry:
    """Returns the record that voids a claim."""
    return LogEntry(
        f"void-{claim_id}", VOID_KIND, encode(VoidBody(key, claim_id))
    )


def outcome_entry(
    claim_id: str, key: bytes, answer: CallAnswer | None
) -> LogEntry:
    """Returns the record of an answer, or of a lost one."""
    if answer is None:
        body = OutcomeBody(key, claim_id, "", None, (), None)
    else:
        is_kept = _size(answer) <= KEPT_ANSWER_BYTES
        body = OutcomeBody(
            key,
            claim_id,
            answer.backend_server,
            answer.status,
            answer.headers if is_kept else (),
            answer.body if is_kept else None,
        )
    return LogEntry(f"outcome-{claim_id}", OUTCOME_KIND, encode(body))


def _size(answer: CallAnswer) -> int:
    header_bytes = sum(len(name) + len(text) for name, text in answer.headers)
    return header_bytes + len(answer.body)


def encode(body: ClaimBody | VoidBody | OutcomeBody) -> str:
    """Returns the JSON text of a record's body."""
    return msgspec.json.encode(body).decode()
