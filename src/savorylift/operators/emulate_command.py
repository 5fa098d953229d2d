"""The `emulate` command: simulates a workload under placement policies."""

import pathlib

import msgspec
from returns.pipeline import is_successful

from savorylift.emulator.load_file import Workload, read_workload
from savorylift.emulator.policies import POLICIES
from savorylift.emulator.report import write_report
from savorylift.emulator.simulation import simulate_all
from savorylift.operators.output import (
    ExitCode,
    fail,
    print_error,
    print_line,
    print_lines,
)
from savorylift.rules.check import check_rules


def emulate(load_path: str, output_folder: str, rules_path: str) -> ExitCode:
    """Simulates a workload under each policy and writes the report.

    Args:
        load_path: Path of the load file.
        output_folder: Folder to which the table and the plots are written.
        rules_path: Path of a rules file whose team weights replace those of
            the load file; empty to keep the latter.
    """
    read = read_workload(load_path)
    if not is_successful(read):
        return fail(read.failure(), ExitCode.BAD_INPUT)
    workload = read.unwrap()
    if rules_path:
        reweighted = _with_team_weights(workload, rules_path)
        if reweighted is None:
            return ExitCode.BAD_INPUT
        workload = reweighted
    policies = [policy(workload.seed) for policy in POLICIES]
    print_lines(
        write_report(
            simulate_all(workload, policies), pathlib.Path(output_folder)
        )
    )
    print_line(f"table and plots were written to {output_folder}")
    return ExitCode.DONE


def _with_team_weights(workload: Workload, rules_path: str) -> Workload | None:
    """Returns the workload with the team weights of a rules file.

    Prints the faults and returns None if the file is unreadable or invalid.
    """
    try:
        text = pathlib.Path(rules_path).read_text(errors="surrogateescape")
    except OSError as exc:
        print_error(f"{rules_path}: {exc}")
        return None
    checked = check_rules(text, rules_path)
    if not is_successful(checked):
        for fault in checked.failure():
            print_error(str(fault))
        return None
    teams = checked.unwrap().teams.values()
    weights = {team.name: team.weight for team in teams}
    return msgspec.structs.replace(workload, teams=weights)
