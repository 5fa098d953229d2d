"""Counters of the calls slice."""

from prometheus_client import Counter

CALLS = Counter("savorylift_calls", "Calls by how they ended.", ["ending"])
CALL_REFUSALS = Counter(
    "savorylift_call_refusals",
    "Calls that ended without an answer.",
    ["ending", "reason"],
)
CALL_RETRIES = Counter(
    "savorylift_call_retries", "Further dispatches by cause.", ["reason"]
)
CLAIMS = Counter("savorylift_claims", "Claims by verdict.", ["verdict"])
CLAIM_APPENDS = Counter(
    "savorylift_claim_appends", "Appends to claim shards.", ["result"]
)
CLAIM_RECORDS = Counter(
    "savorylift_claim_records", "Records appended to claim shards."
)
