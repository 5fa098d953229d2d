"""Keeps the stages of roll-outs in the store, and the status for operators.

Each write depends on what was read before it, so that a node that others have
taken over from can't undo what they decided.
"""

from collections.abc import Callable

import structlog
from returns.pipeline import is_successful

from savorylift.fleet.record_codec import decode_record, encode_record
from savorylift.fleet.rollout_messages import Stage
from savorylift.platform.store import (
    ROLLOUTS_TOPIC,
    STATUS_TOPIC,
    StoreClient,
)
from savorylift.platform.store_record import MAX_KEY_BYTES, Record
from savorylift.rollouts.message_check import is_sound_stage

_log = structlog.get_logger()


class StageRecorder:
    """Reads and writes the stages."""

    def __init__(
        self,
        store: StoreClient,
        encode_status: Callable[[Stage], Record | None],
    ) -> None:
        """Makes no call yet.

        Args:
            store: The store.
            encode_status: Returns the record of the status of a stage.
        """
        self._store = store
        self._encode_status = encode_status
        # Position after the last record that was read or written.
        self._end: int | None = None
        self._stages: dict[str, Stage] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the stages are known, as far as this node can tell."""
        return self._end is not None

    def find(self, service: str) -> Stage | None:
        """Returns the stage of a service, as last read or written."""
        return self._stages.get(service)

    async def load(self) -> bool:
        """Reads all stages; returns whether that succeeded."""
        listed = await self._store.list_newest(ROLLOUTS_TOPIC)
        if not is_successful(listed):
            self._end = None
            detail = listed.failure().detail
            _log.warning("rollouts_not_loaded", detail=detail)
            return False
        batch = listed.unwrap()
        self._stages = {}
        for record in batch.records:
            decoded = decode_record(record.value or b"", Stage)
            if not is_successful(decoded):
                _log_unsound(record.key, decoded.failure())
            elif not is_sound_stage(decoded.unwrap()):
                _log_unsound(record.key, "a number that can't be")
            else:
                self._stages[record.key] = decoded.unwrap()
        self._end = batch.next_offset
        return True

    async def write(self, stage: Stage) -> Stage | None:
        """Writes a stage if nobody has written since the last reading.

        Returns:
            The stage as written; None if it wasn't, or may not have been.
            Then the stages have to be read again.
        """
        if self._end is None or len(stage.service.encode()) > MAX_KEY_BYTES:
            return None
        recorded = stage._replace(is_recorded=True)
        record = Record(stage.service, encode_record(recorded))
        written = await self._store.append(ROLLOUTS_TOPIC, [record], self._end)
        is_written = is_successful(written)
        _log.info(
            "rollout_stage_saved",
            service=stage.service,
            phase=stage.phase.value,
            step=stage.step,
            epoch=stage.epoch,
            is_saved=is_written,
            detail=None if is_written else written.failure().detail,
        )
        if not is_written:
            self._end = None
            return None
        self._end = written.unwrap() + 1
        self._stages[stage.service] = recorded
        return recorded

    async def write_status(self, stage: Stage) -> bool:
        """Writes the status of a recorded stage, unless a later one stands.

        Returns:
            Whether the status is written, or isn't this node's to write.
        """
        record = self._encode_status(stage)
        if record is None:
            return True
        listed = await self._store.list_newest(STATUS_TOPIC)
        if not is_successful(listed):
            return False
        batch = listed.unwrap()
        if record in batch.records:
            return True
        if not await self.load():
            return False
        known = self._stages.get(stage.service)
        if known is None or not _is_same_step(known, stage):
            return True
        written = await self._store.append(
            STATUS_TOPIC, [record], batch.next_offset
        )
        _log.info(
            "rollout_status_saved",
            service=stage.service,
            phase=stage.phase.value,
            is_saved=is_successful(written),
        )
        return is_successful(written)


def _log_unsound(service: str, detail: str) -> None:
    _log.warning("rollout_record_unsound", service=service, detail=detail)


def _is_same_step(known: Stage, stage: Stage) -> bool:
    """Whether two stages differ at most in when and why they were written."""
    return (
        known.service,
        known.order_id,
        known.version,
        known.duration_s,
        known.phase,
        known.step,
        known.share,
        known.epoch,
    ) == (
        stage.service,
        stage.order_id,
        stage.version,
        stage.duration_s,
        stage.phase,
        stage.step,
        stage.share,
        stage.epoch,
    )
