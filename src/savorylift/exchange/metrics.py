"""Prometheus metrics of requests."""

from savorylift.metric import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0, 40.0
)  # fmt: skip

ANSWERS = Counter(
    "savorylift_front_answers", "Final answers by status.", ["status"]
)
REFUSALS = Counter(
    "savorylift_front_refusals", "Own final answers by reason.", ["reason"]
)
RETRIES = Counter(
    "savorylift_front_retries", "Requests sent once more by reason.", ["reason"]
)
RETRIES_DENIED = Counter(
    "savorylift_front_retries_denied",
    "Retries that the budget kept.",
    ["service"],
)
BODY_BYTES = Gauge(
    "savorylift_front_body_bytes",
    "Memory that the bodies of requests may take at most, in bytes.",
)
BODIES_HELD = Counter(
    "savorylift_front_bodies_held",
    "Bodies that waited until there was memory to read them.",
)
ANSWERS_CUT = Counter(
    "savorylift_front_answers_cut",
    "Answers cut since callers read too slowly for the memory left.",
)
RESPONSES_CUT = Counter(
    "savorylift_front_responses_cut",
    "Responses cut off by the end of the node, by whether they look whole.",
    ["looks_whole"],
)
CALLERS_GONE = Counter(
    "savorylift_front_callers_gone", "Requests whose caller left."
)
ENGINE_CRASHES = Counter(
    "savorylift_front_engine_crashes",
    "Requests whose engine crashed before it had answered them.",
)
QUARANTINES = Counter(
    "savorylift_front_quarantines",
    "Parts of prompts that this node stopped sending to engines.",
)
SERVER_CHECKS = Counter(
    "savorylift_front_server_checks",
    "Connections to servers whose answer ended with nothing but a close.",
    ["outcome"],
)
ANSWER_ENDS = Counter(
    "savorylift_front_answer_ends",
    "Answers that ended with nothing but a close, by what is known of the"
    " process of their server.",
    ["verdict"],
)
IDLE_CONNECTIONS = Counter(
    "savorylift_front_idle_connections",
    "Connections without a request, to servers that answer without framing.",
    ["outcome"],
)
PROCESS_WITNESSES = Counter(
    "savorylift_front_process_witnesses",
    "What connections to servers without reports show of their processes.",
    ["outcome"],
)
REPLACED_SERVERS = Counter(
    "savorylift_front_replaced_servers",
    "Answers that ended with nothing but a close while another process had"
    " taken the place of their server.",
)
STREAM_ORIGINS = Counter(
    "savorylift_front_stream_origins",
    "Resumed streams, by how this node knows where they began.",
    ["outcome"],
)
STREAM_TAKE_UPS = Counter(
    "savorylift_front_stream_take_ups",
    "Streams that callers took up, by what became of them.",
    ["outcome"],
)
SERVER_LIVES = Counter(
    "savorylift_front_server_lives",
    "Checks whether a server has started again since its entry was read.",
    ["outcome"],
)
LEAVING_NOTICES = Counter(
    "savorylift_front_leaving_notices",
    "Servers that said that they leave, by where this node heard it.",
    ["source"],
)
UNPLACED_NOTICES = Counter(
    "savorylift_front_unplaced_notices",
    "Notices of earlier processes than those of the entries known then.",
)
SUCCESSOR_CHECKS = Counter(
    "savorylift_front_successor_checks",
    "Servers that started again after a notice, by what their process said.",
    ["outcome"],
)
SERVER_HOLDS = Counter(
    "savorylift_front_server_holds",
    "Servers that began to want nothing from this node for a while.",
)
SERVERS_BLOCKED = Counter(
    "savorylift_front_servers_blocked",
    "Servers that requests found closed when none took them, by why.",
    ["reason"],
)
UNREACHED_SERVICES = Gauge(
    "savorylift_front_unreached_services",
    "Services of which this node reaches no backend server.",
)
RELAYED = Counter(
    "savorylift_front_relayed",
    "Requests handed over to other nodes.",
    ["outcome"],
)
ROOMS = Counter(
    "savorylift_front_rooms",
    "Generations of this node by what the keeper of their engines' room said.",
    ["outcome"],
)
MOVES = Counter(
    "savorylift_front_moves", "Runs continued at another engine.", ["outcome"]
)
BROKEN_STREAMS = Counter(
    "savorylift_front_broken_streams", "Streams that ended early.", ["reason"]
)
ANSWER_TIME = Histogram(
    "savorylift_front_answer_seconds",
    "Time to a whole answer, or to a stream's first event.",
    ["kind"],
    buckets=LATENCY_BUCKETS_S,
)
EVENT_GAP = Histogram(
    "savorylift_front_event_gap_seconds",
    "Longest pause between a stream's events.",
    buckets=LATENCY_BUCKETS_S,
)
OPEN_REQUESTS = Gauge("savorylift_front_open_requests", "Requests under way.")
WAITING = Gauge("savorylift_front_waiting", "Generations that wait for room.")
