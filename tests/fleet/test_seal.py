"""Tests of the marks on messages between nodes."""

import pytest

from savorylift.fleet.seal import Seal

OLD, NEW, OTHER = ("k" * 16 + name for name in ("old", "new", "other"))


@pytest.mark.parametrize(
    ("sender", "receiver", "is_taken"),
    [
        ([], [], True),
        ([OLD], [OLD], True),
        ([OLD, NEW], [NEW, OLD], True),
        ([NEW, OLD], [OLD], False),
        ([OTHER], [OLD, NEW], False),
        ([], [OLD], False),
    ],
)
def test_messages_of_the_fleet_are_taken(
    sender: list[str], receiver: list[str], *, is_taken: bool
) -> None:
    opened = Seal(receiver).open(Seal(sender).close(b"message"))
    assert opened == (b"message" if is_taken else None)


def test_changed_messages_are_not() -> None:
    seal = Seal([OLD])
    closed = bytearray(seal.close(b"message"))
    closed[-1] ^= 1
    assert seal.open(bytes(closed)) is None
    assert seal.open(b"") is None
