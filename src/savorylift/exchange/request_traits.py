"""What requests that crash servers can be recognized by."""

import hashlib
from typing import NamedTuple

from savorylift.backends.traits import REQUEST_PREFIX, Traits
from savorylift.exchange.admission import AdmittedRequest

# Enough that digests of different requests don't coincide.
DIGEST_BYTES = 12
# Parts of a prompt beyond these are too special to tell requests apart.
MAX_PROMPT_PARTS = 6
LENGTH_BYTES = 8


class RequestTraits(NamedTuple):
    """What a request has in common with its repeats and with others.

    Attributes:
        attempt_id: The caller's ID for this attempt.
        prompt_parts: IDs of the parts of its prompt that others may share.
        repeat_id: Digest of caller, host, path and body, in which repeats of
            a request agree; their query and headers may differ.
        exact_id: Digest of all that, and of method, query and prompt.
    """

    attempt_id: str
    prompt_parts: tuple[str, ...]
    repeat_id: str
    exact_id: str

    @property
    def ids(self) -> tuple[str, str]:
        """The digests that stand for the request itself."""
        return self.repeat_id, self.exact_id

    @property
    def all(self) -> Traits:
        """All traits, from the most general to the most special one."""
        return self.prompt_parts + self.ids


def find_traits(admitted: AdmittedRequest) -> RequestTraits:
    """Returns the traits of a request."""
    req = admitted.req
    caller = "" if admitted.team is None else admitted.team.name
    repeat_id = _digest(
        caller.encode(), req.host.encode(), req.path.encode(), req.body
    )
    generation = req.generation
    parts = () if generation is None else generation.prompt_parts
    prompt = ",".join(part for part, _ in parts)
    exact_id = _digest(
        repeat_id.encode(),
        req.method.encode(),
        req.target.encode(),
        prompt.encode(),
    )
    shared = tuple(part for part, _ in parts[:-1])
    return RequestTraits(
        req.attempt_id, shared[:MAX_PROMPT_PARTS], repeat_id, exact_id
    )


def _digest(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()
