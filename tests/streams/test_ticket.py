"""Tests of resume tickets."""

import time

import pytest
from returns.pipeline import is_successful

from savorylift.outcomes import Reason
from savorylift.settings import Key
from savorylift.streams.ticket import (
    Ticket,
    expiry_ms,
    open_ticket,
    sign_ticket,
)

OLD = Key("old", "0123456789abcdef")
NEW = Key("new", "fedcba9876543210")
OTHER = Key("new", "another secret, same name")


def ticket(expires_ms: int) -> Ticket:
    return Ticket(
        answer_id="a",
        generation_id="g",
        backend_server="runner-1",
        backend_address="127.0.0.1:1",
        model="m",
        version="v1",
        seed=1,
        team="desk",
        permit_id="p",
        keeper_vm="entry-1",
        keeper_incarnation="i",
        is_cold=False,
        expires_ms=expires_ms,
    )


def test_ticket_of_either_key_opens_while_keys_rotate() -> None:
    for signer in (OLD, NEW):
        text = sign_ticket(ticket(expiry_ms()), (signer,))
        assert is_successful(open_ticket(text, (NEW, OLD), "desk"))


@pytest.mark.parametrize(
    ("keys", "team", "age_ms", "reason"),
    [
        ((OTHER,), "desk", 0, Reason.BAD_TICKET),
        ((OLD,), "desk", 0, Reason.BAD_TICKET),
        ((NEW,), "other", 0, Reason.BAD_TICKET),
        ((NEW,), "desk", 7_200_000, Reason.TICKET_EXPIRED),
    ],
)
def test_forged_foreign_and_old_tickets_are_refused(
    keys: tuple[Key, ...], team: str, age_ms: int, reason: Reason
) -> None:
    text = sign_ticket(ticket(expiry_ms() - age_ms), (NEW,))
    assert open_ticket(text, keys, team).failure().reason is reason


def test_any_changed_character_is_refused() -> None:
    text = sign_ticket(ticket(int(time.time() * 1000) + 60_000), (NEW,))
    for position in range(0, len(text), 7):
        changed = text[:position] + "~" + text[position + 1 :]
        assert not is_successful(open_ticket(changed, (NEW,), "desk"))
    for broken in ("", "x", "é.é.é", "a.b.c", "." * 5000):
        assert not is_successful(open_ticket(broken, (NEW,), "desk"))
