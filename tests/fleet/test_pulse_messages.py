"""Tests of the messages that show which nodes live, as they are sent."""

import pytest
from returns.pipeline import is_successful

from savorylift.fleet.codec import decode, encode
from savorylift.fleet.pulse_messages import (
    Pulse,
    PulseMessage,
    SilenceNews,
    SilenceReport,
    StatePatch,
    StateQuery,
)

REPORT = SilenceReport("10.0.0.2", 5, 17)


@pytest.mark.parametrize(
    "message",
    [
        StatePatch(5, 17, 12, 15, {}),
        StatePatch(5, 17, 12, 15, {6: 17, 7: False}),
        StateQuery(5),
        StateQuery(5, names_peers=True),
        Pulse(5, 17, goes_on=True),
        Pulse(5, 17, goes_on=False),
        SilenceNews(()),
        SilenceNews((REPORT, REPORT._replace(ip="10.0.0.3"))),
    ],
)
def test_message_arrives_as_it_was_sent(message: PulseMessage) -> None:
    decoded = decode(encode(message))
    assert is_successful(decoded), decoded
    assert decoded.unwrap() == message
    assert type(decoded.unwrap()) is type(message)
