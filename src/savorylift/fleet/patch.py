"""Differences between two values of a record, to send instead of a value."""

import re
import zlib

from savorylift.fleet.store_records import Patch, Segment

# Values are compared by parts that end with this byte, which in JSON ends an
# object: a small change then changes few parts.
_PART = re.compile(rb"[^}]*}|[^}]+$")


def make_patch(key: str, old: bytes, new: bytes) -> Patch:
    """Returns what turns a record's value `old` into `new`."""
    old_parts = _PART.findall(old)
    positions = {part: index for index, part in enumerate(old_parts)}
    segments: list[Segment] = []
    for part in _PART.findall(new):
        last = segments[-1] if segments else Segment(0, 0, b"")
        end = last.first_part + last.part_count
        if last.part_count and end < len(old_parts) and old_parts[end] == part:
            segments[-1] = last._replace(part_count=last.part_count + 1)
        elif part in positions:
            segments.append(Segment(positions[part], 1, b""))
        elif last.literal:
            segments[-1] = last._replace(literal=last.literal + part)
        else:
            segments.append(Segment(0, 0, part))
    return Patch(key, zlib.crc32(old), tuple(segments))


def apply_patch(patch: Patch, old: bytes) -> bytes | None:
    """Returns the new value; None if the patch is for another old value."""
    if zlib.crc32(old) != patch.base_checksum:
        return None
    old_parts = _PART.findall(old)
    new_parts: list[bytes] = []
    for segment in patch.segments:
        end = segment.first_part + segment.part_count
        new_parts += [segment.literal, *old_parts[segment.first_part : end]]
    return b"".join(new_parts)
