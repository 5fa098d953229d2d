"""Compares two configurations as operators write them to the store."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from savorylift.checks.findings import Change, ChangeKind, Location
from savorylift.platform.configuration_record import ConfigurationRecord

# Members that lists of entries have under their names.
ENTRY_BY_LIST = {"routes": "route", "services": "service", "tenants": "team"}
# Their values are secrets: only how many came and went is shown.
SECRET_MEMBER = "apiKeys"
# Shown for a member that an entry doesn't have.
ABSENT = "none"


def compare_records(
    old: ConfigurationRecord, new: ConfigurationRecord
) -> tuple[Change, ...]:
    """Returns what differs in `new`, in its order, and then what is removed."""
    old_data, new_data = msgspec.to_builtins(old), msgspec.to_builtins(new)
    changes: list[Change] = []
    for member, entry in ENTRY_BY_LIST.items():
        changes += _compare_lists(
            member, entry, old_data[member] or [], new_data[member] or []
        )
    detail = _describe(old_data["limits"], new_data["limits"])
    if detail:
        location = Location(path="$.limits")
        changes.append(Change(ChangeKind.CHANGED, "limits", location, detail))
    if (old.tenants is None) != (new.tenants is None):
        detail = (
            "keys are required"
            if new.tenants is not None
            else ("no key is required")
        )
        location = Location(path="$.tenants")
        changes.append(Change(ChangeKind.CHANGED, "teams", location, detail))
    return tuple(changes)


def _compare_lists(
    member: str,
    entry: str,
    old: Sequence[Mapping[str, object]],
    new: Sequence[Mapping[str, object]],
) -> Iterable[Change]:
    old_by_name = {item["name"]: item for item in old}
    new_names = {item["name"] for item in new}
    for number, item in enumerate(new):
        label = f"{entry} {item['name']}"
        location = Location(path=f"$.{member}[{number}]")
        before = old_by_name.get(item["name"])
        if before is None:
            yield Change(ChangeKind.ADDED, label, location)
        elif detail := _describe(before, item):
            yield Change(ChangeKind.CHANGED, label, location, detail)
    for number, item in enumerate(old):
        if item["name"] not in new_names:
            location = Location(path=f"$.{member}[{number}]")
            label = f"{entry} {item['name']}"
            yield Change(ChangeKind.REMOVED, label, location)


def _describe(old: Mapping[str, object], new: Mapping[str, object]) -> str:
    """Returns the members that differ, with their values."""
    parts = []
    for name in dict.fromkeys((*old, *new)):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if name == SECRET_MEMBER:
            parts.append(_describe_secrets(before, after))
            continue
        parts.append(f"{name} {_render(before)} -> {_render(after)}")
    return ", ".join(parts)


def _describe_secrets(before: object, after: object) -> str:
    old = set(before) if isinstance(before, list) else set()
    new = set(after) if isinstance(after, list) else set()
    added, removed = len(new - old), len(old - new)
    return f"{SECRET_MEMBER}: {added} added, {removed} removed"


def _render(value: object) -> str:
    if value is None:
        return ABSENT
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return msgspec.json.encode(value).decode()
