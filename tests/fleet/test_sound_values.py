"""Tests of states with values that would fail wherever they are used."""

from typing import Any

import msgspec
import pytest
from returns.pipeline import is_successful

from savorylift.fleet.codec import decode, encode
from savorylift.fleet.pulse_messages import StatePatch
from savorylift.fleet.state import NodeState, ServerLoad
from savorylift.fleet.state_patches import apply_patch
from tests.fleet.test_membership import state

HUGE = 10**400
LOAD = ServerLoad("i-1", 1, 2, 3, 4, 5)
UNSOUND: list[tuple[str, Any]] = [
    *[("incarnation", n) for n in (HUGE, -HUGE, 1 << 64)],
    *[("sequence", n) for n in (HUGE, -HUGE, 1 << 64)],
    ("operators_version", HUGE),
    ("servers_version", (0, HUGE)),
    *[("interval_s", n) for n in (float("nan"), float("inf"), -1.0, 1e300)],
    *[("reading_age_s", n) for n in (float("nan"), float("inf"), 1e300)],
    ("servers_reading_age_s", float("inf")),
    *[("bulk_port", n) for n in (-1, 65_536, HUGE)],
    *[("loads", (LOAD._replace(requests=n),)) for n in (HUGE, -HUGE, 1 << 60)],
    ("loads", (LOAD._replace(tokens=HUGE),)),
]
NO_ADDRESSES = [
    "",
    "\0",
    "a..b",
    "a" * 300,
    "localhost",
    "10.0.0.256",
    "10.0.0",
    "10.0.0.1\n",
    "10.0.0.1 ",
    "0x7f.0.0.1",
    "\u0661.0.0.1",
    "::1",
]


@pytest.mark.parametrize(("field", "value"), UNSOUND)
def test_value_that_can_not_be_used_is_not_taken_from_a_state(
    field: str, value: object
) -> None:
    fields: dict[str, Any] = {field: value}
    message = state(2)._replace(**fields)
    assert not is_successful(decode(encode(message)))


@pytest.mark.parametrize(
    ("field", "value"),
    [u for u in UNSOUND if u[0] not in {"incarnation", "sequence"}],
)
def test_value_that_can_not_be_used_is_not_taken_from_a_patch(
    field: str, value: object
) -> None:
    position = NodeState._fields.index(field)
    fields = {position: msgspec.to_builtins(value)}
    assert apply_patch(state(2), StatePatch(2, 2, 1, 2, fields), 0.1) is None


@pytest.mark.parametrize("ip", NO_ADDRESSES)
def test_name_that_is_no_address_is_not_sent_to(ip: str) -> None:
    assert not is_successful(decode(encode(state(2)._replace(ip=ip))))
    peers = ("10.0.0.3", ip)
    assert not is_successful(decode(encode(state(2)._replace(peers=peers))))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("ip", "255.255.255.255"),
        ("ip", "0.0.0.0"),
        ("peers", ("127.0.0.1", "10.20.249.199")),
        ("incarnation", (1 << 48) - 1),
        ("operators_version", (1 << 60) - 1),
        ("interval_s", 0.0),
        ("interval_s", 60.0),
        ("reading_age_s", -0.001),
        ("reading_age_s", 1e6),
        ("bulk_port", 65_535),
        ("loads", (LOAD._replace(tokens=10**9),)),
    ],
)
def test_values_that_can_be_are_taken(field: str, value: object) -> None:
    fields: dict[str, Any] = {field: value}
    message = state(2)._replace(**fields)
    assert decode(encode(message)).unwrap() == message
