"""Tests of what roll-outs leave in the store."""

import asyncio

from savorylift.fleet.rollout_messages import RolloutPhase
from savorylift.platform.rollouts import encode_status
from savorylift.platform.store import ROLLOUTS_TOPIC, STATUS_TOPIC
from savorylift.platform.store_record import Record
from savorylift.rollouts.recorder import StageRecorder
from tests.rollouts.memory_store import MemoryStore, MemoryStoreClient
from tests.rollouts.test_version_rules import STAGE

COMPLETED = STAGE._replace(phase=RolloutPhase.COMPLETED, step=5)
KEY = "rollout/s"


def make_recorder(store: MemoryStore) -> StageRecorder:
    return StageRecorder(MemoryStoreClient(store), encode_status)


def test_a_node_that_others_have_taken_over_from_writes_nothing() -> None:
    async def scenario() -> None:
        store = MemoryStore()
        first, second = make_recorder(store), make_recorder(store)
        assert await first.load()
        assert await first.write(STAGE)
        assert await second.load()
        assert second.find("s") == first.find("s")
        assert await second.write(STAGE._replace(epoch=2))
        assert await first.write(COMPLETED) is None
        assert not first.is_loaded
        assert len(store.topics[ROLLOUTS_TOPIC]) == 2

    asyncio.run(scenario())


def test_the_status_of_an_earlier_stage_is_not_written() -> None:
    async def scenario() -> None:
        store = MemoryStore()
        first, second = make_recorder(store), make_recorder(store)
        assert await first.load()
        running = await first.write(STAGE)
        assert running is not None
        assert await second.load()
        done = await second.write(COMPLETED._replace(epoch=2))
        assert done is not None
        assert await second.write_status(done)
        assert await first.write_status(running)
        assert store.values(STATUS_TOPIC, KEY) == [
            b'{"state":"completed","to":"v2"}'
        ]

    asyncio.run(scenario())


def test_a_status_is_written_once() -> None:
    async def scenario() -> None:
        store = MemoryStore()
        recorder = make_recorder(store)
        assert await recorder.load()
        running = await recorder.write(STAGE)
        assert running is not None
        assert await recorder.write_status(running)
        assert await recorder.write_status(running)
        assert len(store.topics[STATUS_TOPIC]) == 1

    asyncio.run(scenario())


def test_unreadable_records_are_left_out() -> None:
    async def scenario() -> None:
        store = MemoryStore()
        store.topics[ROLLOUTS_TOPIC] = [Record("s", b"\xff"), Record("t", b"")]
        recorder = make_recorder(store)
        assert await recorder.load()
        assert recorder.find("s") is None
        assert await recorder.write(STAGE)

    asyncio.run(scenario())
