"""Tests of how the completion interface decodes responses."""

import pytest

from savorylift.completions.caller_request import count_words
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


@pytest.mark.parametrize("word", ["a", "ab", "a" * 70_000, "\u00e9t\u00e9", ""])
@pytest.mark.parametrize("space", [" ", "\n\n", " " * 66_000])
@pytest.mark.parametrize("count", [0, 1, 3, 40_000])
def test_words_are_counted_in_pieces(word: str, space: str, count: int) -> None:
    text = (word + space) * min(count, 10_000_000 // len(word + space))
    assert count_words(text) == len(text.split())
    assert count_words(space + text) == len(text.split())
