"""Shows the report of a check to operators, as text and as JSON."""

from collections.abc import Iterable
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from savorylift.checks.findings import (
    Change,
    CheckReport,
    Finding,
    FindingKind,
    Location,
)


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
    """Returns the report as lines, which begin as those of compilers do."""
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
        tuple(map(_to_printable, faults)), tuple(map(_to_printable, lines))
    )


def render_json(
    file: str, file_format: str, report: CheckReport, exit_code: int
) -> bytes:
    """Returns the report as one JSON object."""
    changes = report.changes
    data = _ReportJson(
        file=_to_printable(file),
        format=file_format,
        findings=[_finding_json(finding) for finding in report.findings],
        changes=None
        if changes is None
        else [_change_json(change) for change in changes],
        exit_code=exit_code,
    )
    return msgspec.json.encode(data)


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
        "message": _to_printable(finding.message),
        "asked_by": _to_printable(finding.asked_by),
        **_location_json(finding.location),
    }


def _change_json(change: Change) -> _ChangeJson:
    return {
        "kind": change.kind.value,
        "entry": _to_printable(change.entry),
        "detail": _to_printable(change.detail),
        "asked_by": _to_printable(change.asked_by),
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


def _to_printable(text: str) -> str:
    """Returns a text with a mark for each byte that isn't UTF-8.

    Rules files are decoded with `surrogateescape`; such text can't be written.
    """
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")
