"""Header names on the users' platform, in lower case."""

ATTEMPT_ID = "x-savorylift-attempt-id"
# Milliseconds for which the sender waits for the answer.
TIME_LEFT_MS = "x-savorylift-deadline-remaining"
API_KEY = "x-api-key"
TEAM = "x-savorylift-tenant"
# A server with another identifier rejects the request.
EXPECTED_SERVER = "x-savorylift-expected-instance"
NOT_RUN = "x-savorylift-not-executed"
# Opaque mark of a backend server's answer.
SEAL = "x-savorylift-response-seal"
RETRY_AFTER = "retry-after"
MODEL = "x-savorylift-model"
# Prompt tokens and the maximum of output tokens, separated by a comma.
TOKEN_COUNTS = "x-savorylift-token-counts"
PROMPT_PARTS = "x-savorylift-prompt-prefix"
OUTPUT_HINT = "x-savorylift-length-hint"
PRIORITY = "x-savorylift-request-priority"
LAST_EVENT_ID = "last-event-id"
HOLD = "x-savorylift-hold"
PIN = "x-savorylift-pin-duration"
BACKUP = "x-savorylift-kv-backup"
FETCH_MEMORY = "kv-fetch"
COPIED_MEMORY = "kv-from"

# Only the system sets these; what a caller sends under them is dropped.
SET_BY_SYSTEM = frozenset(
    {
        API_KEY,
        TEAM,
        EXPECTED_SERVER,
        NOT_RUN,
        PRIORITY,
        HOLD,
        PIN,
        BACKUP,
        FETCH_MEMORY,
        COPIED_MEMORY,
        TIME_LEFT_MS,
        LAST_EVENT_ID,
    }
)
