"""Tests of how calls to the store carry records."""

import pytest

from savorylift.platform.store_record import (
    MAX_KEY_BYTES,
    Record,
    decode_records,
    encode_record,
)

HEADER = bytes(16)


@pytest.mark.parametrize(
    "record",
    [
        Record("k", b"v"),
        Record("k", None),
        Record("", b"v"),
        Record("ä" * (MAX_KEY_BYTES // 2), b"\x00" * 70_000),
    ],
)
def test_record_is_read_as_it_was_written(record: Record) -> None:
    assert decode_records(HEADER + encode_record(record)) == [record]


def test_record_that_is_cut_off_is_left_for_the_next_call() -> None:
    whole, cut = Record("a", b"1"), encode_record(Record("b", b"2"))
    for length in range(len(cut)):
        data = HEADER + encode_record(whole) + cut[:length]
        assert decode_records(data) == [whole]


def test_response_without_a_whole_header_has_no_records() -> None:
    assert decode_records(HEADER[:-1]) is None
    assert decode_records(HEADER) == []
