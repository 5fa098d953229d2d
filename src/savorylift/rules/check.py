"""Checks a whole rules file and reports all of its faults in one run."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.rules.line import Kind, ParsedLine, kind_of
from savorylift.rules.parser import parse_line
from savorylift.rules.tables import build_tables, number_rule, view_of
from savorylift.rules.view import BackendServer, FailureDomain, RulesView

# How `surrogateescape` stands for a byte that can't be decoded.
ESCAPED_FIRST = "\udc80"
ESCAPED_LAST = "\udcff"
ESCAPED_OFFSET = 0xDC00


class Fault(NamedTuple):
    """One fault of a rules file.

    Attributes:
        file: Name of the file as the operator gave it.
        line: Line number, from 1.
        column: Column in characters, from 1.
        message: What is wrong.
    """

    file: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        """Returns `FILE:LINE:COL: message`."""
        return f"{self.file}:{self.line}:{self.column}: {self.message}"


def check_rules(
    text: str, file_name: str
) -> Result[RulesView, tuple[Fault, ...]]:
    """Returns the file's rules, or its faults by line and column.

    Args:
        text: The file, decoded with `surrogateescape`, so that bytes that
            aren't UTF-8 are faults beside the others.
        file_name: Name of the file for the faults.
    """
    lines = split_lines(text)
    parsed = [parse_line(line) for line in lines]
    faults = [
        *byte_faults(lines, file_name),
        *_line_faults(parsed, file_name),
        *_name_faults(parsed, file_name),
        *_shared_name_faults(parsed, file_name),
        *_reference_faults(parsed, file_name),
    ]
    if faults:
        return Failure(tuple(sorted(faults)))
    rules = [
        number_rule(line.rule, number)
        for number, line in enumerate(parsed, start=1)
        if line.rule is not None
    ]
    return Success(view_of(build_tables(rules)))


def readable_rules(text: str) -> tuple[RulesView, tuple[int, ...]]:
    """Returns the rules that can be read, and the numbers of other lines.

    A node that meets a line of a newer release keeps the rest in force. Of
    rules with the same name the first counts.
    """
    rules = []
    unread = []
    for number, line in enumerate(split_lines(text), start=1):
        parsed = parse_line(line)
        if parsed.faults:
            unread.append(number)
        elif parsed.rule is not None:
            rules.append(number_rule(parsed.rule, number))
    return view_of(build_tables(rules)), tuple(unread)


def split_lines(text: str) -> list[str]:
    """Returns the lines of a file; a line break at its end adds no line."""
    if not text:
        return []
    return text.replace("\r\n", "\n").removesuffix("\n").split("\n")


def byte_faults(lines: Iterable[str], file_name: str) -> Iterable[Fault]:
    """Yields a fault for each byte that isn't UTF-8."""
    for number, line in enumerate(lines, start=1):
        for column, char in enumerate(line, start=1):
            if ESCAPED_FIRST <= char <= ESCAPED_LAST:
                byte = ord(char) - ESCAPED_OFFSET
                message = f"byte 0x{byte:02x} is not UTF-8"
                yield Fault(file_name, number, column, message)


def _line_faults(parsed: list[ParsedLine], file_name: str) -> Iterable[Fault]:
    for number, line in enumerate(parsed, start=1):
        for fault in line.faults:
            yield Fault(file_name, number, fault.column, fault.message)


def _name_faults(parsed: list[ParsedLine], file_name: str) -> Iterable[Fault]:
    first_lines: dict[tuple[Kind, str], int] = {}
    for number, line in enumerate(parsed, start=1):
        if line.rule is None:
            continue
        kind = kind_of(line.rule)
        first = first_lines.setdefault((kind, line.rule.name), number)
        if first != number:
            message = (
                f"{kind} '{line.rule.name}' already stands on line {first}"
            )
            yield Fault(file_name, number, line.name_column, message)


def _shared_name_faults(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[Fault]:
    # Orders name their target alone, so the two kinds must not share names.
    domains = {
        line.rule.name
        for line in parsed
        if isinstance(line.rule, FailureDomain)
    }
    for number, line in enumerate(parsed, start=1):
        if isinstance(line.rule, BackendServer) and line.rule.name in domains:
            message = f"'{line.rule.name}' is also a failure_domain"
            yield Fault(file_name, number, line.name_column, message)


def _reference_faults(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[Fault]:
    known = {
        (kind_of(line.rule), line.rule.name)
        for line in parsed
        if line.rule is not None
    }
    for number, line in enumerate(parsed, start=1):
        for ref in line.references:
            if (ref.kind, ref.name) not in known:
                message = f"unknown {ref.kind} '{ref.name}'"
                yield Fault(file_name, number, ref.column, message)
