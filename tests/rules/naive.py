"""Simpler ways to agree on rules, which must fail the oracle."""

import sys

from savorylift.log_service.log import LogRecord
from savorylift.rules.edits import are_applicable
from savorylift.rules.fold import ConfigFold, Verdict
from savorylift.rules.messages import Edit, OrderBack, RecordKind
from savorylift.rules.snapshot import join_parts, read_mark
from savorylift.rules.stream import RulesStream


class LastWriteWinsFold(ConfigFold):
    """Takes every edit that fits, whatever version it was made from."""

    def _judge(self, edit: Edit) -> Verdict:
        is_fit = are_applicable(edit.edits, len(self.lines()))
        return Verdict.ACCEPTED if is_fit else Verdict.MISFIT


class LastOrderWinsFold(ConfigFold):
    """Lets an order back lift orders out that its writer did not know."""

    def _apply_back(self, order: OrderBack, record_id: str) -> None:
        newest = order._replace(known_offset=sys.maxsize)
        super()._apply_back(newest, record_id)


class AnySnapshotStream(RulesStream):
    """Loads each snapshot when it is read, whatever it stands for."""

    def _apply(self, record: LogRecord) -> None:
        super()._apply(record)
        if record.kind != RecordKind.SNAPSHOT or read_mark(record) is None:
            return
        dumps = join_parts((record,))
        dumps.map(lambda found: self._load_folds(found))


class NoIdsStream(RulesStream):
    """Applies a record each time it is read."""

    def _remember(self, record_id: str) -> None:
        pass
