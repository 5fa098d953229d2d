"""Prints a report as a table, JSON or CSV."""

import csv
import enum
import io

import msgspec

from savorylift.account.report import Line, Report

COLUMNS = Line._fields
NONE_TEXT = "-"


class Format(enum.StrEnum):
    """How a report is printed."""

    TABLE = "table"
    JSON = "json"
    CSV = "csv"


def print_report(report: Report, fmt: Format) -> str:
    """Returns the report as text that ends with a newline."""
    if fmt == Format.JSON:
        return _to_json(report)
    if fmt == Format.CSV:
        return _to_csv(report)
    return _to_table(report)


def _to_json(report: Report) -> str:
    body = {
        "refusals": [line._asdict() for line in report.lines],
        "total": report.total,
        "unreadable": report.unreadable,
    }
    return msgspec.json.encode(body).decode() + "\n"


def _to_csv(report: Report) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(COLUMNS)
    writer.writerows(report.lines)
    return text.getvalue()


def _to_table(report: Report) -> str:
    rows = [COLUMNS, *(_cells(line) for line in report.lines)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [_row(row, widths) for row in rows]
    lines.append(f"total {report.total}")
    if report.unreadable:
        lines.append(f"{report.unreadable} records could not be read")
    return "\n".join(lines) + "\n"


def _cells(line: Line) -> tuple[str, ...]:
    return tuple(NONE_TEXT if cell == "" else str(cell) for cell in line)


def _row(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = (cell.ljust(w) for cell, w in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
