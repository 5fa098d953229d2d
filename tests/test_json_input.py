"""Tests of decoding JSON that other programs wrote."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
from returns.pipeline import is_successful
from returns.result import Success

from savorylift.json_input import decode_json


class Point(msgspec.Struct):
    """A type to decode."""

    x: int
    y: list[float] = []


def test_value_of_the_type_is_decoded() -> None:
    decoded = decode_json(b'{"x": 1, "y": [2]}', Point)
    assert decoded == Success(Point(1, [2.0]))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"{",
        b"[" * 100_000,
        b'{"x":' * 100_000,
        b'{"x":1,"z":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"x":1e400}',
        b'{"x":' + b"9" * 10_000 + b"}",
        b'{"x":1,"y":[1e999]}',
        b'{"x":"\\ud800"}',
    ],
)
def test_odd_input_raises_nothing(data: bytes) -> None:
    assert not is_successful(decode_json(data, Point))


@hypothesis.given(st.binary(max_size=200))
def test_any_input_raises_nothing(data: bytes) -> None:
    decode_json(data, Point)
    decode_json(data, dict)
