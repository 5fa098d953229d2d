"""Tests of a completions node under prompts of legal size and many parts."""

import asyncio
import pathlib
from collections.abc import Callable

import pytest

from savorylift.front.settings import FrontSettings
from savorylift.platform.store import StoreClient
from savorylift.rules.publication import PublishedVersion, publish
from tests.front.misbehaving_callers import (
    MAX_BODY_BYTES,
    CrowdedFleet,
    Place,
    Script,
)
from tests.front.test_misbehaving_callers import (
    ENOUGH_DESCRIPTORS,
    MAX_NODE_KB,
    MEMORY_MB,
    SEND_S,
    SOME_CALLERS,
)

RULES = """\
failure_domain z0 in region r # tests
model vine version v1 # tests
backend_server engine-0 at 127.0.0.1:{port} in z0 serves model vine cold 2 \
warm 16 kv 8000 # tests
team desk weight 4 models * # tests
"""
# The limit of a configuration that names none.
BODY_BYTES = MAX_BODY_BYTES - 1000

pytestmark = [pytest.mark.processes, pytest.mark.alone]


class CompletionsFleet(CrowdedFleet):
    """One node that serves completions."""

    def _settings(self, ip: str) -> FrontSettings:
        return super()._settings(ip)._replace(interface="completions")

    async def _start_nodes(self) -> None:
        client = StoreClient(("127.0.0.1", self._node_ports[0]))
        rules = RULES.format(port=self.app[0].port)
        published = await publish(client, rules, "test", None)
        assert isinstance(published, PublishedVersion), published
        await super()._start_nodes()

    def places(self) -> list[Place]:
        caller = self.caller_port
        return [
            Place(
                "completions",
                caller,
                "/v1/completions",
                (("X-Team", "desk"), ("X-Deadline-Ms", "30000")),
                "POST",
                frozenset({400}),
            ),
            Place("entry", caller, "/v1/entry"),
        ]


def _send(place: Place, body: bytes) -> Script:
    yield place.head(f"Content-Length: {len(body)}") + body


def send_many_words(place: Place) -> Script:
    """Sends a prompt of words of two letters."""
    words = b"ab " * (BODY_BYTES // 3)
    return _send(place, b'{"model":"vine","prompt":"%b"}' % words)


def send_many_members(place: Place) -> Script:
    """Sends an object of members that nobody knows."""
    members = b',"a":[]' * (BODY_BYTES // 7)
    return _send(place, b'{"model":"vine","prompt":"a"%b}' % members)


def send_deep_body(place: Place) -> Script:
    """Sends lists within lists without an end."""
    return _send(place, b'{"model":' + b"[" * BODY_BYTES)


@pytest.mark.parametrize(
    "way", [send_many_words, send_many_members, send_deep_body]
)
def test_prompts_of_many_parts_leave_a_node_its_memory(
    way: Callable[[Place], Script], tmp_path: pathlib.Path
) -> None:
    """A node that made a list of a prompt's words ran out of memory."""

    async def scenario() -> None:
        changes = {"memory_mb": MEMORY_MB}
        fleet = CompletionsFleet(tmp_path, ENOUGH_DESCRIPTORS, changes)
        async with fleet.running():
            seen = await fleet.watch_crowd(SOME_CALLERS, way, SEND_S)
            assert seen.peak_kb < MAX_NODE_KB
            assert seen.answered == {place.name for place in fleet.places()}

    asyncio.run(scenario())
