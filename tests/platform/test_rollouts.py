"""Tests of the operators' orders of roll-outs, and of their status."""

import pytest
from returns.pipeline import is_successful

from savorylift.fleet.rollout_messages import RolloutPhase
from savorylift.platform.rollouts import (
    decode_order,
    decode_orders,
    encode_status,
)
from tests.rollouts.test_version_rules import STAGE

ORDER = b'{"service":"s","to":"v2","durationS":12}'


def test_an_order_names_service_version_and_time() -> None:
    order = decode_order("rollout/s", ORDER).unwrap()
    assert (order.service, order.version, order.duration_s) == ("s", "v2", 12.0)
    other = decode_order("rollout/s", ORDER.replace(b"12", b"13")).unwrap()
    assert order.order_id != other.order_id


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("rollout/t", ORDER),
        ("rollout/s", b"{"),
        ("rollout/s", b'{"service":"s","to":"","durationS":12}'),
        ("rollout/s", b'{"service":"s","to":"v2","durationS":0}'),
        ("rollout/s", b'{"service":"s","to":"v2","durationS":1e999}'),
        ("rollout/s", b'{"service":"s","to":"v2"}'),
    ],
)
def test_unsound_orders_are_left_out(key: str, value: bytes) -> None:
    assert not is_successful(decode_order(key, value))
    assert decode_orders({key: value, "evacuate/z": b"{}"}) == []


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (RolloutPhase.WATCH, b"running"),
        (RolloutPhase.SHIFT, b"running"),
        (RolloutPhase.COMPLETED, b"completed"),
        (RolloutPhase.ROLLED_BACK, b"rolled_back"),
    ],
)
def test_the_status_says_state_and_version(
    phase: RolloutPhase, state: bytes
) -> None:
    record = encode_status(STAGE._replace(phase=phase))
    assert record is not None
    assert record.key == "rollout/s"
    assert record.value == b'{"state":"' + state + b'","to":"v2"}'


def test_a_service_with_too_long_a_name_has_no_status() -> None:
    assert encode_status(STAGE._replace(service="s" * 255)) is None
