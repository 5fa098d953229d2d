"""The command that plays a load file on the policy."""

import pathlib

import msgspec
from returns.pipeline import is_successful

from savorylift.emulator.load_file import Load, read_load
from savorylift.emulator.policies import POLICIES
from savorylift.emulator.report import write_report
from savorylift.emulator.world import play_all
from savorylift.operators.output import Exit, fail, report, say, say_all
from savorylift.rules.check import check_rules


def emulate(path: str, folder: str, rules_path: str) -> Exit:
    """Plays a load and writes its report.

    Args:
        path: The load file.
        folder: Where table and plots go.
        rules_path: Rules file whose teams' weights are tried; empty for the
            load file's own.
    """
    read = read_load(path)
    if not is_successful(read):
        return fail(read.failure(), Exit.BAD_INPUT)
    load = read.unwrap()
    if rules_path:
        weighed = _weighed(load, rules_path)
        if weighed is None:
            return Exit.BAD_INPUT
        load = weighed
    policies = [policy(load.seed) for policy in POLICIES]
    say_all(write_report(play_all(load, policies), pathlib.Path(folder)))
    say(f"table and plots are in {folder}")
    return Exit.DONE


def _weighed(load: Load, rules_path: str) -> Load | None:
    """Returns the load with a rules file's weights; None if that is faulty."""
    try:
        text = pathlib.Path(rules_path).read_text(errors="surrogateescape")
    except OSError as exc:
        report(f"{rules_path}: {exc}")
        return None
    checked = check_rules(text, rules_path)
    if not is_successful(checked):
        for fault in checked.failure():
            report(str(fault))
        return None
    teams = checked.unwrap().teams.values()
    weights = {team.name: team.weight for team in teams}
    return msgspec.structs.replace(load, teams=weights)
