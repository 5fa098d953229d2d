"""Validates a rules file and reports all of its faults at once."""

from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from savorylift.rules.parsed_line import ParsedLine, RuleKind, kind_of
from savorylift.rules.parser import parse_line
from savorylift.rules.rule_types import (
    BackendServerRule,
    FailureDomainRule,
    RuleSet,
)
from savorylift.rules.tables import (
    build_tables,
    to_rule_set,
    with_line_number,
)

# `surrogateescape` decodes an invalid byte B as the code point U+DC00 + B;
# only bytes from 0x80 to 0xff can be invalid.
FIRST_SURROGATE = "\udc80"
LAST_SURROGATE = "\udcff"
SURROGATE_OFFSET = 0xDC00


class RulesFault(NamedTuple):
    """One fault of a rules file.

    Attributes:
        file: Name of the file, as given on the command line.
        line: Line number, starting at 1.
        column: Column in characters, starting at 1.
        message: Description of the fault.
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
) -> Result[RuleSet, tuple[RulesFault, ...]]:
    """Returns the rules of a file, or its faults sorted by line and column.

    Args:
        text: Content of the file, decoded with `surrogateescape`, so that
            bytes that aren't UTF-8 are reported along with other faults.
        file_name: File name to show in the faults.
    """
    lines = split_lines(text)
    parsed = [parse_line(line) for line in lines]
    faults = [
        *find_byte_faults(lines, file_name),
        *_find_line_faults(parsed, file_name),
        *_find_duplicate_names(parsed, file_name),
        *_find_ambiguous_targets(parsed, file_name),
        *_find_unknown_references(parsed, file_name),
    ]
    if faults:
        return Failure(tuple(sorted(faults)))
    rules = [
        with_line_number(line.rule, number)
        for number, line in enumerate(parsed, start=1)
        if line.rule is not None
    ]
    return Success(to_rule_set(build_tables(rules)))


def parse_rules_leniently(text: str) -> tuple[RuleSet, tuple[int, ...]]:
    """Returns the valid rules of a file and the numbers of invalid lines.

    Nodes use this, so that a line that only a newer release understands
    doesn't disable the rest of the file. If several rules of a kind have the
    same name, the first one is used.
    """
    rules = []
    unread_lines = []
    for number, line in enumerate(split_lines(text), start=1):
        parsed = parse_line(line)
        if parsed.faults:
            unread_lines.append(number)
        elif parsed.rule is not None:
            rules.append(with_line_number(parsed.rule, number))
    return to_rule_set(build_tables(rules)), tuple(unread_lines)


def split_lines(text: str) -> list[str]:
    """Splits a file into lines; a final line break adds no empty line."""
    if not text:
        return []
    return text.replace("\r\n", "\n").removesuffix("\n").split("\n")


def find_byte_faults(
    lines: Iterable[str], file_name: str
) -> Iterable[RulesFault]:
    """Yields a fault for each byte that is not valid UTF-8."""
    for number, line in enumerate(lines, start=1):
        for column, char in enumerate(line, start=1):
            if FIRST_SURROGATE <= char <= LAST_SURROGATE:
                byte = ord(char) - SURROGATE_OFFSET
                message = f"byte 0x{byte:02x} is not UTF-8"
                yield RulesFault(file_name, number, column, message)


def _find_line_faults(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[RulesFault]:
    for number, line in enumerate(parsed, start=1):
        for fault in line.faults:
            yield RulesFault(file_name, number, fault.column, fault.message)


def _find_duplicate_names(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[RulesFault]:
    first_line_by_name: dict[tuple[RuleKind, str], int] = {}
    for number, line in enumerate(parsed, start=1):
        if line.rule is None:
            continue
        kind = kind_of(line.rule)
        first_line = first_line_by_name.setdefault(
            (kind, line.rule.name), number
        )
        if first_line != number:
            message = (
                f"{kind} '{line.rule.name}' is already defined "
                f"on line {first_line}"
            )
            yield RulesFault(file_name, number, line.name_column, message)


def _find_ambiguous_targets(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[RulesFault]:
    # An out-of-service order gives only the name of its target, so a failure
    # domain and a backend server must not share a name.
    domain_names = {
        line.rule.name
        for line in parsed
        if isinstance(line.rule, FailureDomainRule)
    }
    for number, line in enumerate(parsed, start=1):
        if (
            isinstance(line.rule, BackendServerRule)
            and line.rule.name in domain_names
        ):
            message = f"'{line.rule.name}' is also a failure_domain"
            yield RulesFault(file_name, number, line.name_column, message)


def _find_unknown_references(
    parsed: list[ParsedLine], file_name: str
) -> Iterable[RulesFault]:
    defined_names = {
        (kind_of(line.rule), line.rule.name)
        for line in parsed
        if line.rule is not None
    }
    for number, line in enumerate(parsed, start=1):
        for reference in line.references:
            if (reference.kind, reference.name) not in defined_names:
                message = f"unknown {reference.kind} '{reference.name}'"
                yield RulesFault(file_name, number, reference.column, message)
