"""Tests of streams whose model gets another version."""

import asyncio

import pytest

from savorylift.platform.store import StoreClient
from savorylift.rules.publication import PublishedVersion, publish
from savorylift.wire.address import split_address
from tests.completions.environment import (
    VERSION,
    NodeEnvironment,
    events,
    expected,
    run_in_environment,
    text_of,
)

PROMPT = "report len=30"
NEXT_VERSION = "v2"
# Time after which a change in the store has reached the node.
PUBLISHED_S = 1.0
SEEN = 10


async def publish_version(
    environment: NodeEnvironment, version: str, earlier: int
) -> None:
    """Gives all engines another version of the model, and says so."""
    for state in environment.engines:
        state.cfg.version = version
    rules = environment.rules.replace(
        f"version {VERSION}", f"version {version}"
    )
    client = StoreClient(split_address(environment.addresses[0]))
    published = await publish(client, rules, "test", earlier)
    assert isinstance(published, PublishedVersion), published
    await asyncio.sleep(PUBLISHED_S)


@pytest.mark.parametrize("version", [VERSION, NEXT_VERSION])
def test_stream_goes_on_only_at_the_version_of_its_model(version: str) -> None:
    """The rest of another model's output was appended."""

    async def scenario(environment: NodeEnvironment) -> None:
        begun = await environment.complete(
            PROMPT, {"x-request-id": "r1"}, stream=True
        )
        seen = "".join(
            event["choices"][0]["text"] for event in events(begun)[:SEEN]
        )
        if version != VERSION:
            await publish_version(environment, version, 1)
        rest = await environment.complete(
            PROMPT,
            {"x-request-id": "r1", "last-event-id": str(SEEN - 1)},
            stream=True,
        )
        if version == VERSION:
            assert seen + text_of(rest) == expected(PROMPT)
            return
        assert b"[DONE]" not in rest.body
        (event,) = events(rest)
        assert event["error"]["code"] == "version_gone"

    run_in_environment(scenario)
