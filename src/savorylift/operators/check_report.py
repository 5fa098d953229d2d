"""Checks a configuration, whichever of the two formats it has."""

import enum
from collections.abc import Iterable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.checks.findings import (
    CheckReport,
    Finding,
    FindingKind,
    Location,
)
from savorylift.checks.rules_changes import compare_rules
from savorylift.checks.rules_file import find_in_rules
from savorylift.platform.configuration_record import ConfigurationRecord
from savorylift.platform.record_changes import compare_records
from savorylift.platform.record_findings import check_record
from savorylift.rules.check import (
    RulesFault,
    check_rules,
    parse_rules_leniently,
)


class FileFormat(enum.Enum):
    """Formats in which operators write a configuration.

    Attributes:
        RULES: Our own, a line for each rule.
        RECORD: That of the platform's store, in JSON.
    """

    RULES = "rules"
    RECORD = "record"


def find_format(data: bytes) -> FileFormat:
    """Returns the format of a file; no rule begins with a brace."""
    is_record = data.lstrip().startswith(b"{")
    return FileFormat.RECORD if is_record else FileFormat.RULES


def report(
    data: bytes, against: bytes | None, max_open_requests: int
) -> Result[CheckReport, str]:
    """Checks a configuration, and compares it with another version.

    Args:
        data: The configuration.
        against: The other version; None for none.
        max_open_requests: Most requests that a node serves at the same time.

    Returns:
        The report; an error message if the other version can't be read.
    """
    file_format = find_format(data)
    if against is not None and find_format(against) is not file_format:
        return Failure("it has another format")
    if file_format is FileFormat.RECORD:
        return _report_record(data, against)
    return Success(_report_rules(data, against, max_open_requests))


def _report_rules(
    data: bytes, against: bytes | None, max_open_requests: int
) -> CheckReport:
    text = _decode(data)
    checked = check_rules(text, "")
    if is_successful(checked):
        rule_set = checked.unwrap()
        findings = find_in_rules(rule_set, max_open_requests)
    else:
        # What differs is shown for the rules that can be read.
        rule_set, _ = parse_rules_leniently(text)
        findings = list(_to_findings(checked.failure()))
    if against is None:
        return CheckReport(tuple(findings))
    # Nodes leave out lines that they can't read, too.
    other, _ = parse_rules_leniently(_decode(against))
    return CheckReport(tuple(findings), compare_rules(other, rule_set))


def _decode(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")


def _to_findings(faults: Iterable[RulesFault]) -> Iterable[Finding]:
    for fault in faults:
        location = Location(fault.line, fault.column)
        yield Finding(FindingKind.UNREADABLE, location, fault.message)


def _report_record(
    data: bytes, against: bytes | None
) -> Result[CheckReport, str]:
    record, findings = check_record(data)
    if against is None:
        return Success(CheckReport(findings))
    other = check_record(against).record
    if other is None:
        return Failure("it is no configuration")
    if record is None:
        # What differs can't be told.
        return Success(CheckReport(findings))
    changes = compare_records(other, record)
    if changes:
        findings = (*findings, *_find_version_not_raised(other, record))
    return Success(CheckReport(findings, changes))


def _find_version_not_raised(
    other: ConfigurationRecord, record: ConfigurationRecord
) -> Iterable[Finding]:
    """Yields a finding if nodes would keep the version compared with."""
    if record.version <= other.version:
        yield Finding(
            FindingKind.CONTRADICTION,
            Location(path="$.version"),
            f"version {record.version} isn't above {other.version}, with which "
            "it is compared",
        )
