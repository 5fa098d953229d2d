"""Tests of what requests that crash servers are recognized by."""

import pytest

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.request import Generation
from savorylift.exchange.request_traits import find_traits
from savorylift.routing.configuration import Team
from tests.exchange.factories import (
    make_admitted_request,
    make_caller_request,
)


def admitted(team: str = "team", **changes: object) -> AdmittedRequest:
    req = make_caller_request()._replace(
        path="/a/x", target="/a/x", body=b"question"
    )
    request = make_admitted_request(req._replace(**changes))  # type: ignore[arg-type]
    return request._replace(team=Team(team, None))


@pytest.mark.parametrize(
    "repeat",
    [
        admitted(attempt_id="other"),
        admitted(target="/a/x?query=2"),
        admitted(headers=(("x-other", "2"),)),
        admitted(api_key="another key of the team"),
        admitted(method="PUT"),
        admitted(generation=Generation(10, 5, None, (("p", 5), ("q", 5)))),
    ],
)
def test_repeats_have_the_same_id(repeat: AdmittedRequest) -> None:
    assert find_traits(repeat).repeat_id == find_traits(admitted()).repeat_id


@pytest.mark.parametrize(
    "other",
    [
        admitted(body=b"question 2"),
        admitted(body=b""),
        admitted(path="/a/y"),
        admitted(host="other.example"),
        admitted(team="other"),
        # Fields don't run into each other.
        admitted(path="/a/xq", body=b"uestion"),
    ],
)
def test_other_requests_have_other_ids(other: AdmittedRequest) -> None:
    assert find_traits(other).repeat_id != find_traits(admitted()).repeat_id


@pytest.mark.parametrize(
    "other",
    [
        admitted(target="/a/x?query=2"),
        admitted(method="PUT"),
        admitted(generation=Generation(10, 5, None, (("p", 5), ("q", 5)))),
    ],
)
def test_exact_id_tells_requests_with_the_same_body_apart(
    other: AdmittedRequest,
) -> None:
    assert find_traits(other).exact_id != find_traits(admitted()).exact_id


def test_last_part_of_a_prompt_and_those_too_deep_are_no_traits() -> None:
    parts = tuple((f"p{number}", 10) for number in range(20))
    traits = find_traits(admitted(generation=Generation(10, 5, None, parts)))
    assert traits.prompt_parts == ("p0", "p1", "p2", "p3", "p4", "p5")
    parts = parts[:3]
    traits = find_traits(admitted(generation=Generation(10, 5, None, parts)))
    assert traits.all == ("p0", "p1", *traits.ids)
