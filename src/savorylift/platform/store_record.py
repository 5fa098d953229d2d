"""Records of the store's topics, and how its calls carry them."""

import struct
from typing import NamedTuple

# The length of a key is one byte.
MAX_KEY_BYTES = 255
_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class Record(NamedTuple):
    """A record of a topic.

    Attributes:
        key: Key of the record, without the topic.
        value: Value of the record; None if the record removes the key.
    """

    key: str
    value: bytes | None


def encode_record(record: Record) -> bytes:
    """Encodes a record as its length, key length (one byte), key and value."""
    name = record.key.encode()
    content = bytes([len(name)]) + name + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def decode_records(data: bytes) -> list[Record | None] | None:
    """Decodes complete records; None in place of an unreadable one.

    Returns None if `data` has no complete header.
    """
    if len(data) < _READ_HEADER.size:
        return None
    position = _READ_HEADER.size
    records: list[Record | None] = []
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        start = position + _LENGTH.size
        if start + length > len(data):
            break
        records.append(_decode_record(data[start : start + length]))
        position = start + length
    return records


def _decode_record(record: bytes) -> Record | None:
    if not record or len(record) < 1 + record[0]:
        return None
    key = record[1 : 1 + record[0]]
    value = record[1 + record[0] :]
    try:
        return Record(key.decode(), value or None)
    except UnicodeDecodeError:
        return None
