"""Header names of the platform that the nodes run on, in lower case."""

ATTEMPT_ID = "x-savorylift-attempt-id"
# Milliseconds for which the sender still waits for the response.
TIME_LEFT_MS = "x-savorylift-deadline-remaining"
API_KEY = "x-api-key"
TEAM = "x-savorylift-tenant"
# Id of the server that may run the request; any other rejects it.
EXPECTED_INSTANCE = "x-savorylift-expected-instance"
# Set by a server that rejected the request without running it.
NOT_EXECUTED = "x-savorylift-not-executed"
# Opaque signature of a backend server's response.
RESPONSE_SIGNATURE = "x-savorylift-response-seal"
RETRY_AFTER = "retry-after"
# Requests per second that a server in need takes from all nodes together.
SERVER_LIMIT = "server-limit"
# Rejections a second beyond which a server falls over.
SERVER_BRITTLE = "server-brittle"
# Set by a server that leaves, in all its answers.
SERVER_LEAVING = "server-leaving"
MODEL = "x-savorylift-model"
# Number of prompt tokens and maximum of output tokens, comma-separated.
TOKEN_COUNTS = "x-savorylift-token-counts"
# Parts of the prompt in order, as `ID:TOKENS`, comma-separated.
PROMPT_PREFIX = "x-savorylift-prompt-prefix"
# The caller's estimate of the number of output tokens.
LENGTH_HINT = "x-savorylift-length-hint"
PRIORITY = "x-savorylift-request-priority"
LAST_EVENT_ID = "last-event-id"
# Attempt that brought the first event of the stream that a caller resumes.
RESUMES = "resumes"
# The next four are never sent by a node, only removed.
HOLD = "x-savorylift-hold"
PIN_DURATION = "x-savorylift-pin-duration"
KV_BACKUP = "x-savorylift-kv-backup"
KV_FETCH = "kv-fetch"
# Copy of a KV cache to resume from, as `IP:PORT/HANDLE`.
KV_FROM = "kv-from"

# Headers that only the system sets; they are removed from callers' requests.
RESERVED = frozenset(
    {
        API_KEY,
        TEAM,
        EXPECTED_INSTANCE,
        NOT_EXECUTED,
        PRIORITY,
        HOLD,
        PIN_DURATION,
        KV_BACKUP,
        KV_FETCH,
        KV_FROM,
        TIME_LEFT_MS,
        LAST_EVENT_ID,
    }
)
