"""Formats a report as a table, JSON or CSV."""

import csv
import enum
import io

import msgspec

from savorylift.refusals.report import RefusalReport, ReportLine

COLUMNS = ReportLine._fields
EMPTY_CELL = "-"


class ReportFormat(enum.StrEnum):
    """Output format of a report."""

    TABLE = "table"
    JSON = "json"
    CSV = "csv"


def format_report(report: RefusalReport, fmt: ReportFormat) -> str:
    """Returns the report as text that ends with a newline."""
    if fmt == ReportFormat.JSON:
        return _format_json(report)
    if fmt == ReportFormat.CSV:
        return _format_csv(report)
    return _format_table(report)


def _format_json(report: RefusalReport) -> str:
    body = {
        "refusals": [line._asdict() for line in report.lines],
        "total": report.total,
        "unreadable": report.unreadable,
    }
    return msgspec.json.encode(body).decode() + "\n"


def _format_csv(report: RefusalReport) -> str:
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(COLUMNS)
    writer.writerows(report.lines)
    return output.getvalue()


def _format_table(report: RefusalReport) -> str:
    rows = [COLUMNS, *(_format_cells(line) for line in report.lines)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [_format_row(row, widths) for row in rows]
    lines.append(f"total {report.total}")
    if report.unreadable:
        lines.append(f"{report.unreadable} records could not be read")
    return "\n".join(lines) + "\n"


def _format_cells(line: ReportLine) -> tuple[str, ...]:
    return tuple(EMPTY_CELL if cell == "" else str(cell) for cell in line)


def _format_row(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return "  ".join(padded).rstrip()
