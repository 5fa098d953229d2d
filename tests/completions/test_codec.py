"""Tests of how the completion interface decodes responses."""

import pytest

from savorylift.completions.codec import CompletionCodec
from savorylift.exchange.request import Generation
from savorylift.wire.message import ResponseHead
from tests.exchange.factories import make_caller_request


@pytest.mark.parametrize(
    ("generation", "is_close_delimited"),
    [(Generation(10, 5), False), (None, True)],
    ids=["generation", "plain call"],
)
def test_only_generations_mark_their_end_without_framing(
    generation: Generation | None,
    is_close_delimited: bool,  # noqa: FBT001
) -> None:
    req = make_caller_request()._replace(generation=generation)
    head = ResponseHead(200, (), is_close_delimited=True)
    decoded = CompletionCodec().decode_answer_head(head, req)
    assert decoded.is_close_delimited is is_close_delimited
