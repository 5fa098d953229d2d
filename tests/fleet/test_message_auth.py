"""Tests of message authentication between nodes."""

import pytest

from savorylift.fleet.message_auth import MessageAuthenticator

OLD, NEW, OTHER = ("k" * 16 + name for name in ("old", "new", "other"))


@pytest.mark.parametrize(
    ("sender", "receiver", "is_accepted"),
    [
        ([], [], True),
        ([OLD], [OLD], True),
        ([OLD, NEW], [NEW, OLD], True),
        ([NEW, OLD], [OLD], False),
        ([OTHER], [OLD, NEW], False),
        ([], [OLD], False),
    ],
)
def test_messages_signed_with_a_known_key_are_accepted(
    sender: list[str], receiver: list[str], *, is_accepted: bool
) -> None:
    verified = MessageAuthenticator(receiver).verify(
        MessageAuthenticator(sender).sign(b"message")
    )
    assert verified == (b"message" if is_accepted else None)


def test_modified_messages_are_rejected() -> None:
    authenticator = MessageAuthenticator([OLD])
    signed = bytearray(authenticator.sign(b"message"))
    signed[-1] ^= 1
    assert authenticator.verify(bytes(signed)) is None
    assert authenticator.verify(b"") is None
