"""Tests of patches between two values of a record."""

import pytest

from savorylift.fleet.patch import apply_patch, make_patch

OLD = b'{"version":1,"a":[{"x":1},{"x":2},{"x":3}],"b":[{"y":1}]}'


@pytest.mark.parametrize(
    "new",
    [
        pytest.param(OLD, id="same"),
        pytest.param(OLD.replace(b'"version":1', b'"version":2'), id="start"),
        pytest.param(OLD.replace(b',{"x":2}', b""), id="part removed"),
        pytest.param(OLD.replace(b'{"x":2}', b'{"x":2},{"x":2}'), id="twice"),
        pytest.param(OLD.replace(b'{"x":3}', b'{"x":{}}'), id="part replaced"),
        pytest.param(OLD[::-1], id="nothing in common"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\x00", id="no object"),
    ],
)
def test_patch_gives_the_new_value(new: bytes) -> None:
    assert apply_patch(make_patch("config", OLD, new), OLD) == new


def test_patch_is_not_applied_to_another_value() -> None:
    patch = make_patch("config", OLD, OLD.replace(b"1", b"2"))
    assert apply_patch(patch, OLD.replace(b"3", b"4")) is None


def test_patch_of_a_small_change_is_small() -> None:
    parts = [b'{"name":"route-%d","path":"/%d/"}' % (n, n) for n in range(500)]
    old = b"[" + b",".join(parts) + b"]"
    new = old.replace(b'"/250/"', b'"/251/"')
    patch = make_patch("config", old, new)
    assert sum(len(s.literal) for s in patch.segments) < 100
