"""Shows the report of a check to operators, as text and as JSON."""

import json
import unicodedata
from collections.abc import Callable, Iterable
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from savorylift.checks.findings import (
    Change,
    CheckReport,
    Finding,
    FindingKind,
    Location,
)

# Unicode categories of control characters, of format characters (which change
# the order of text, or can't be seen) and of separators of lines.
UNSHOWN_CATEGORIES = frozenset({"Cc", "Cf", "Zl", "Zp"})


class RenderedText(NamedTuple):
    """A report as lines.

    Attributes:
        faults: What keeps the file from being published.
        lines: The rest.
    """

    faults: tuple[str, ...]
    lines: tuple[str, ...]


class _LocationJson(TypedDict):
    line: NotRequired[int]
    column: NotRequired[int]
    path: NotRequired[str]


class _FindingJson(_LocationJson):
    kind: str
    message: str
    asked_by: str


class _ChangeJson(_LocationJson):
    kind: str
    entry: str
    detail: str
    asked_by: str


class _ReportJson(TypedDict):
    file: str
    format: str
    findings: list[_FindingJson]
    changes: list[_ChangeJson] | None
    exit_code: int


def render_text(file: str, report: CheckReport) -> RenderedText:
    """Returns the report as lines, which begin as those of compilers do.

    Control characters are shown as Python's escapes: a file could otherwise
    move the cursor of a terminal, and hide or forge a finding.
    """
    faults, lines = [], []
    for finding in report.findings:
        if finding.kind is FindingKind.UNREADABLE:
            faults.append(
                f"{_place(file, finding.location)}: {finding.message}"
            )
        else:
            lines.append(_render_finding(file, finding))
    if not report.findings:
        lines.append(f"{file}: no faults")
    if report.changes is not None:
        lines.extend(_render_changes(report.changes))
    return RenderedText(
        tuple(map(_to_shown, faults)), tuple(map(_to_shown, lines))
    )


def render_json(
    file: str, file_format: str, report: CheckReport, exit_code: int
) -> bytes:
    """Returns the report as one JSON object.

    Control characters are escaped as JSON does, so that programs read them as
    they are in the file.
    """
    changes = report.changes
    data = _ReportJson(
        file=_to_encodable(file),
        format=file_format,
        findings=[_finding_json(finding) for finding in report.findings],
        changes=None
        if changes is None
        else [_change_json(change) for change in changes],
        exit_code=exit_code,
    )
    # Outside strings there are no such characters.
    text = msgspec.json.encode(data).decode()
    return _escape(text, _to_json_escape).encode()


def _render_finding(file: str, finding: Finding) -> str:
    place = _place(file, finding.location)
    asked_by = f" (asked for by {finding.asked_by})" if finding.asked_by else ""
    return f"{place}: {finding.kind}: {finding.message}{asked_by}"


def _place(file: str, location: Location) -> str:
    """Returns `FILE:LINE:COLUMN`, `FILE:LINE` or `FILE: PATH`."""
    separator = ": " if location.path else ":"
    return f"{file}{separator}{location}"


def _render_changes(changes: Iterable[Change]) -> Iterable[str]:
    lines = [_render_change(change) for change in changes]
    return lines or ["no difference"]


def _render_change(change: Change) -> str:
    place = change.location.path or f"line {change.location.line}"
    if change.asked_by:
        place += f", asked for by {change.asked_by}"
    detail = f": {change.detail}" if change.detail else ""
    return f"{change.kind} {change.entry} ({place}){detail}"


def _finding_json(finding: Finding) -> _FindingJson:
    return {
        "kind": finding.kind.value,
        "message": _to_encodable(finding.message),
        "asked_by": _to_encodable(finding.asked_by),
        **_location_json(finding.location),
    }


def _change_json(change: Change) -> _ChangeJson:
    return {
        "kind": change.kind.value,
        "entry": _to_encodable(change.entry),
        "detail": _to_encodable(change.detail),
        "asked_by": _to_encodable(change.asked_by),
        **_location_json(change.location),
    }


def _location_json(location: Location) -> _LocationJson:
    """Returns the members of a location that the file's format has."""
    members = _LocationJson()
    if location.path:
        members["path"] = location.path
    if location.line:
        members["line"] = location.line
    if location.column:
        members["column"] = location.column
    return members


def _to_encodable(text: str) -> str:
    """Returns a text with a mark for each byte that isn't UTF-8.

    Rules files are decoded with `surrogateescape`; such text can't be written.
    """
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")


def _to_shown(text: str) -> str:
    """Returns a text as a terminal may show it."""
    return _escape(_to_encodable(text), _to_python_escape)


def _escape(text: str, to_escape: Callable[[str], str]) -> str:
    """Returns a text with an escape for each character that isn't shown."""
    return "".join(
        to_escape(char)
        if unicodedata.category(char) in UNSHOWN_CATEGORIES
        else char
        for char in text
    )


def _to_python_escape(char: str) -> str:
    return char.encode("unicode_escape").decode("ascii")


def _to_json_escape(char: str) -> str:
    return json.dumps(char)[1:-1]
