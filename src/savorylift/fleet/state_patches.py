"""Patches of a node's state: what differs from what all nodes got before.

Most of a state stays the same for seconds. Patches are all made against one
whole state, so that one that is lost is made up for by the next.
"""

import typing
from typing import Any

import msgspec

from savorylift.fleet.known_fields import keep_known_fields
from savorylift.fleet.pulse_messages import StatePatch
from savorylift.fleet.state import NodeState

_TYPES = tuple(typing.get_type_hints(NodeState, include_extras=True).values())
_POSITIONS = {name: n for n, name in enumerate(NodeState._fields)}
# Not in patches: they name the node, or each message has values of its own.
_OMITTED = frozenset(
    _POSITIONS[name]
    for name in ("node", "ip", "incarnation", "sequence", "peers")
)
# They grow with time, so a receiver works them out.
_AGES = frozenset(
    _POSITIONS[name]
    for name in ("reading_age_s", "servers_reading_age_s", "store_up_age_s")
)
# Ages told at two times are of the same reading if they fit within this.
AGE_SLACK_S = 0.005


class PatchMaker:
    """Compares this node's states with the last that all nodes got."""

    def __init__(self) -> None:
        """Starts without such a state."""
        self._base: NodeState | None = None
        self._base_s = 0.0
        self._fields: dict[int, Any] = {}
        self._changed_sequence = 0

    def begin(self, state: NodeState, now_s: float) -> None:
        """Makes the next patches against a state that is sent to all now."""
        self._note_change(state, now_s)
        self._base, self._base_s = state, now_s
        self._fields = {}

    def make(self, state: NodeState, now_s: float) -> StatePatch | None:
        """Returns the patch for a state; None before the first base."""
        base = self._base
        if base is None:
            return None
        self._note_change(state, now_s)
        return StatePatch(
            state.incarnation,
            state.sequence,
            base.sequence,
            self._changed_sequence,
            self._fields,
        )

    def _note_change(self, state: NodeState, now_s: float) -> None:
        if self._base is None:
            self._changed_sequence = state.sequence
            return
        fields = _differences(self._base, state, now_s - self._base_s)
        if fields != self._fields:
            self._changed_sequence = state.sequence
        self._fields = fields


def apply_patch(
    base: NodeState, patch: StatePatch, base_age_s: float
) -> NodeState | None:
    """Returns the state that a patch stands for; None if it is unsound.

    Args:
        base: The message that the patch was made against.
        patch: The patch. Fields of newer builds are left out.
        base_age_s: Time since that message.
    """
    values: list[Any] = list(base)
    for position in _AGES:
        age_s = values[position]
        values[position] = None if age_s is None else age_s + base_age_s
    try:
        for position, value in patch.fields.items():
            if 0 <= position < len(values) and position not in _OMITTED:
                values[position] = _convert(value, _TYPES[position])
    except (msgspec.ValidationError, TypeError, ValueError):
        return None
    values[_POSITIONS["sequence"]] = patch.sequence
    values[_POSITIONS["peers"]] = ()
    return NodeState._make(values)


def _differences(
    base: NodeState, state: NodeState, base_age_s: float
) -> dict[int, Any]:
    found: dict[int, Any] = {}
    for position, (old, new) in enumerate(zip(base, state, strict=True)):
        if old == new or position in _OMITTED:
            continue
        if position in _AGES and _is_same_age(old, new, base_age_s):
            continue
        found[position] = new
    return found


def _is_same_age(old_s: object, new_s: object, elapsed_s: float) -> bool:
    if not isinstance(old_s, float) or not isinstance(new_s, float):
        return False
    return abs(old_s + elapsed_s - new_s) < AGE_SLACK_S


def _convert(value: object, cls: object) -> object:
    try:
        return msgspec.convert(value, type=cls)
    except msgspec.ValidationError:
        return msgspec.convert(keep_known_fields(value, cls), type=cls)
