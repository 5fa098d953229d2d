"""Tests of the platform codec: callers' requests and servers' responses."""

import pytest
from returns.pipeline import is_successful

from savorylift.backends.named_limits import NamedLimit
from savorylift.exchange.request import (
    ForwardingOptions,
    KvCopy,
)
from savorylift.platform.codec import (
    decode_answer_head,
    decode_request,
    encode_forwarded_headers,
    encode_refusal,
)
from savorylift.wire.message import Headers, Request, ResponseHead

BASE_HEADERS: Headers = (
    ("host", "H.example:80"),
    ("x-savorylift-attempt-id", "a1"),
)


def request(*headers: tuple[str, str]) -> Request:
    return Request("POST", "/a/b?c", BASE_HEADERS + headers, b"body", 5.0)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((), None),
        (("a0",), "a0"),
        (("a0", "a0"), "a0"),
        (("a0", "b0"), ""),
        (("a" * 201,), ""),
    ],
)
def test_attempt_that_a_request_resumes_is_decoded(
    values: tuple[str, ...], expected: str | None
) -> None:
    headers = [("resumes", value) for value in values]
    assert decode_request(request(*headers)).unwrap().resumes == expected


def test_generation_headers_are_decoded() -> None:
    decoded = decode_request(
        request(
            ("x-savorylift-token-counts", "1460,80"),
            ("x-savorylift-prompt-prefix", "5c:800,91:410"),
            ("x-savorylift-length-hint", "40"),
            ("x-savorylift-deadline-remaining", "39000"),
            ("x-api-key", "k"),
        )
    ).unwrap()
    assert (decoded.host, decoded.path, decoded.target) == (
        "h.example",
        "/a/b",
        "/a/b?c",
    )
    assert decoded.api_key == "k"
    assert decoded.time_left_s == 39.0
    assert decoded.generation is not None
    assert decoded.generation.prompt_tokens == 1460
    assert decoded.generation.max_output_tokens == 80
    assert decoded.generation.output_hint == 40
    assert decoded.generation.prompt_parts == (("5c", 800), ("91", 410))


@pytest.mark.parametrize("number", ["\xb2", "1" * 5000])
def test_number_that_cannot_be_converted_is_none(number: str) -> None:
    """The connection of its caller was reset."""
    unsized = request(("x-savorylift-token-counts", f"{number},80"))
    assert decode_request(unsized).unwrap().generation is None
    sized = request(
        ("x-savorylift-token-counts", "1460,80"),
        ("x-savorylift-prompt-prefix", f"5c:{number},91:410"),
        ("x-savorylift-length-hint", number),
    )
    generation = decode_request(sized).unwrap().generation
    assert generation is not None
    assert generation.output_hint is None
    assert generation.prompt_parts == (("91", 410),)


@pytest.mark.parametrize(
    "name",
    [
        "X-Api-Key",
        "X-Savorylift-Tenant",
        "X-Savorylift-Expected-Instance",
        "X-Savorylift-Request-Priority",
        "X-Savorylift-Hold",
        "X-Savorylift-Pin-Duration",
        "X-Savorylift-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Connection",
        "Transfer-Encoding",
        "X-Named",
    ],
)
def test_reserved_and_hop_by_hop_headers_are_removed(name: str) -> None:
    decoded = decode_request(
        request((name.lower(), "x-named"), ("connection", "x-named"))
    ).unwrap()
    assert name.lower() not in dict(decoded.headers)


def test_other_headers_are_forwarded() -> None:
    decoded = decode_request(
        request(("x-other", "1"), ("x-savorylift-model", "m"))
    ).unwrap()
    assert ("x-other", "1") in decoded.headers
    assert ("x-savorylift-model", "m") in decoded.headers
    assert ("x-savorylift-attempt-id", "a1") in decoded.headers


@pytest.mark.parametrize(
    "headers",
    [
        (("x-savorylift-attempt-id", "a2"),),
        (("x-api-key", "a"), ("x-api-key", "b")),
        (("x-savorylift-deadline-remaining", "soon"),),
        (("x-savorylift-deadline-remaining", "-1"),),
    ],
)
def test_invalid_or_repeated_header_is_rejected(headers: Headers) -> None:
    assert not is_successful(decode_request(request(*headers)))


def test_forwarded_request_carries_system_headers() -> None:
    decoded = decode_request(request()).unwrap()
    forwarding = ForwardingOptions(
        "i-1",
        1.5,
        "team",
        priority=2,
        resume_after="7",
        kv_copy=KvCopy(("10.0.0.1", 80), "h9"),
    )
    headers = dict(encode_forwarded_headers(decoded, forwarding))
    assert headers["x-savorylift-expected-instance"] == "i-1"
    assert headers["x-savorylift-deadline-remaining"] == "1500"
    assert headers["x-savorylift-tenant"] == "team"
    assert headers["x-savorylift-request-priority"] == "2"
    assert headers["last-event-id"] == "7"
    assert headers["kv-from"] == "10.0.0.1:80/h9"


@pytest.mark.parametrize(
    ("status", "headers", "is_not_run"),
    [
        (200, (), False),
        (503, (), False),
        (503, (("x-savorylift-not-executed", "1"),), True),
        (429, (("x-savorylift-not-executed", "1"),), True),
        (421, (), True),
        (500, (), False),
    ],
)
def test_status_and_header_decide_whether_request_ran(
    status: int, headers: Headers, *, is_not_run: bool
) -> None:
    head = decode_answer_head(ResponseHead(status, headers), "a1")
    assert head.is_not_run is is_not_run


def test_response_is_matched_by_attempt_id() -> None:
    head = ResponseHead(200, (("x-savorylift-attempt-id", "a1"),))
    assert decode_answer_head(head, "a1").matches_request
    assert not decode_answer_head(head, "a2").matches_request
    assert not decode_answer_head(ResponseHead(200, ()), "a1").matches_request


@pytest.mark.parametrize(
    ("values", "requests_per_s"),
    [
        (("1.8",), 1.8),
        (("0",), 0.0),
        ((".5",), 0.5),
        (("2.90000000000000000000000000000000000000000000000000",), 2.9),
        (("3", "2"), 2.0),
        (("3", "soon"), 3.0),
        (("soon",), None),
        (("",), None),
        (("-1",), None),
        (("nan",), None),
        (("inf",), None),
        (("1e3",), None),
        (("9" * 5000,), None),
    ],
)
def test_named_limit_is_decoded(
    values: tuple[str, ...], requests_per_s: float | None
) -> None:
    headers = tuple(("server-limit", value) for value in values)
    head = decode_answer_head(ResponseHead(200, headers), "a1")
    assert head.named_limit == NamedLimit(requests_per_s)


def test_response_without_limit_names_none() -> None:
    assert decode_answer_head(ResponseHead(200, ()), "a1").named_limit is None


def test_refusal_has_retry_after_only_if_known() -> None:
    headers, body = encode_refusal("full", 0.25)
    assert ("retry-after", "0.250") in headers
    assert body == b'{"error":"full"}'
    assert "retry-after" not in dict(encode_refusal("no", None)[0])


@pytest.mark.parametrize(
    ("team", "values"),
    [
        ("team", ["team"]),
        ("a b", ["a b"]),
        ("\xe9", ["\xe9"]),
        ("\u540d", ["\u540d".encode().decode("latin-1")]),
        ("a\r\nb: c", []),
        ("\0", []),
        (" a", []),
    ],
)
def test_team_whose_name_no_header_can_hold_is_served_without(
    team: str, values: list[str]
) -> None:
    decoded = decode_request(request()).unwrap()
    forwarding = ForwardingOptions("i", 1.0, team, None, None, None)
    headers = encode_forwarded_headers(decoded, forwarding)
    found = [value for name, value in headers if name.endswith("-tenant")]
    assert found == values
