"""Tests of messages between nodes with their authentication codes."""

import pytest
from returns.pipeline import is_successful

from savorylift.fleet.codec import encode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.signed_messages import decode_signed
from tests.fleet.test_membership import state

KEY = "k" * 16
OTHER_KEY = "o" * 16


@pytest.mark.parametrize("keys", [(), (KEY,)])
def test_message_with_a_known_key_is_read(keys: tuple[str, ...]) -> None:
    authenticator = MessageAuthenticator(keys)
    message = state()
    data = authenticator.sign(encode(message))
    assert decode_signed(data, authenticator).unwrap() == message


@pytest.mark.parametrize("data", [b"", b"x" * 100])
def test_message_without_a_known_key_is_not_taken(data: bytes) -> None:
    signed = MessageAuthenticator((OTHER_KEY,)).sign(data)
    for received in (data, signed):
        taken = decode_signed(received, MessageAuthenticator((KEY,)))
        assert not is_successful(taken)
