"""Tests of a running node that gets odd inputs of all kinds at once."""

import asyncio
import json
import random
import socket
from collections.abc import Callable, Iterator
from typing import Any

import cbor2
import msgspec
import pytest
from structlog.testing import capture_logs

from savorylift.fleet.codec import (
    LAYOUT_VERSION,
    MESSAGE_TYPES,
    Packing,
    encode,
)
from savorylift.fleet.record_codec import encode_record
from savorylift.platform.store import (
    NODES_TOPIC,
    OPERATORS_TOPIC,
    ORIGINS_TOPIC,
    REFUSALS_TOPIC,
    ROLLOUTS_TOPIC,
    SERVERS_TOPIC,
    VERSIONS_TOPIC,
)
from savorylift.wire.channel import Channel
from tests.fleet.test_codec import MESSAGES, ORIGIN, STAGE
from tests.fleet.test_membership import state
from tests.front.environment import (
    HOST,
    NodeEnvironment,
    configuration,
    run_in_environment,
)
from tests.harness.odd_values import mutate, mutate_bytes
from tests.wire.loopback import serve_bytes

ROUNDS = 15
DATAGRAMS_PER_ROUND = 60
# Longer than a node takes to read a record, and to do each periodic step.
NOTICE_S = 0.6
KEYS = ["app-9", "", "\0", "a\r\nb", "\u540d", "x" * 250]
LAST_VERSION = 10**6
FAILURES = {"task_failed", "callback_failed", "connection_failed"}
ANSWER = (
    "HTTP/1.1 {status} X\r\nretry-after: {value}\r\nserver-limit: {value}\r\n"
    "server-brittle: {value}\r\ndate: {value}\r\nconnection: close\r\n"
    "content-length: {size}\r\n\r\n{body}"
)
HEADER_VALUES = ["", "-1", "nan", "1e999", "9" * 4000, "\xb2", "Thu, 99", "("]
TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)


def on_loopback(value: Any) -> Any:  # noqa: ANN401
    """Returns a message whose nodes are on the loopback interface."""
    if isinstance(value, list | tuple):
        return [on_loopback(item) for item in value]
    if isinstance(value, str):
        return value.replace("10.0.0.", "127.0.0.")
    return value


def odd_datagrams(rng: random.Random) -> Iterator[bytes]:
    """Yields messages of all types with odd values, or broken bytes."""
    names = {cls: name for name, cls in MESSAGE_TYPES.items()}
    header = bytes([LAYOUT_VERSION, Packing.PLAIN])
    for number in range(DATAGRAMS_PER_ROUND):
        message = MESSAGES[number % len(MESSAGES)]
        fields = mutate(on_loopback(msgspec.to_builtins(message)), rng)
        yield header + cbor2.dumps([names[type(message)], fields])
        yield mutate_bytes(encode(message), rng)


def add_odd_records(env: NodeEnvironment, rng: random.Random) -> None:
    """Writes an odd record to each topic."""
    entry = mutate(env.app[0].entry("app", "z0", "ready"), rng)
    add(env, SERVERS_TOPIC, rng.choice(KEYS), entry)
    parts = configuration()
    # A larger version than the last one's would rightly go before it.
    parts["version"] = rng.randint(2, LAST_VERSION - 1)
    changed = rng.choice(sorted(parts.keys() - {"version"}))
    cfg = parts | {changed: mutate(parts[changed], rng)}
    add(env, OPERATORS_TOPIC, "config", cfg)
    order = mutate({"service": "app", "to": "v2", "durationS": 3.0}, rng)
    add(env, OPERATORS_TOPIC, "rollout/app", order)
    for topic, record in (
        (ROLLOUTS_TOPIC, STAGE),
        (ORIGINS_TOPIC, (ORIGIN,)),
        (VERSIONS_TOPIC, (("v1", "v2"), ())),
        (REFUSALS_TOPIC, ("a", 1)),
        (NODES_TOPIC, ("a",)),
    ):
        odd = mutate(msgspec.to_builtins(record), rng)
        value = mutate_bytes(encode_record(odd), rng)
        env.store.topic(topic).add(rng.choice(KEYS), value)


def add(env: NodeEnvironment, topic: str, key: str, value: object) -> None:
    env.store.add(topic, key, json.loads(json.dumps(value, default=str)))


def send_known_datagrams(send: Callable[[bytes], object]) -> None:
    """Sends states whose addresses can't be sent to."""
    for number, name in enumerate(["\0", "a..b", "x" * 300, ""]):
        peers = ("127.0.0.9", name)
        sound = state(9)._replace(ip="127.0.0.9", incarnation=number + 1)
        send(encode(sound._replace(peers=peers)))
        send(encode(sound._replace(ip=name)))


def add_known_records(env: NodeEnvironment) -> None:
    """Writes sound records but for one text that nothing can use."""
    entry = env.app[0].entry("app", "z0", "ready")
    endless = entry | {"address": f"{HOST}:{'9' * 5000}"}
    add(env, SERVERS_TOPIC, "app-9", endless)
    for key in KEYS[1:]:
        add(env, SERVERS_TOPIC, key, entry | {"slots": 1000})
    cfg = configuration(2)
    cfg["tenants"] = [{"name": "\u540d", "apiKeys": ["key"]}]
    add(env, OPERATORS_TOPIC, "config", cfg)


async def serve_odd_answers(env: NodeEnvironment, rng: random.Random) -> None:
    """Adds a server to the plain service whose answers are odd."""

    async def serve(channel: Channel) -> None:
        await channel.read()
        body = json.dumps(mutate({"born": 1, "state": "ready"}, rng))
        text = ANSWER.format(
            status=rng.choice([200, 421, 429, 500, 503]),
            value=rng.choice(HEADER_VALUES),
            size=len(body),
            body=body,
        )
        channel.write(text.encode("latin-1"))
        await channel.close_gracefully()

    _, port = await serve_bytes(serve)
    entry = env.app[0].entry("app", "z0", "ready")
    entry |= {"address": f"{HOST}:{port}", "slots": 1000}
    env.store.add(SERVERS_TOPIC, "odd", entry)


async def call_all(env: NodeEnvironment, attempt: str) -> list[int]:
    """Returns the statuses of answers to one request for each route."""
    calls = [
        env.call(path, attempt + path[1:3], TOKEN_COUNTS)
        for path in ("/safe/x", "/once/x", "/stream/x", "/resumable/x")
    ]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return [getattr(answer, "status", 0) for answer in answers]


async def check_goes_on(env: NodeEnvironment) -> None:
    assert env.node_task is not None
    assert not env.node_task.done()
    assert await env.is_ready()
    env.store.add(SERVERS_TOPIC, "odd", None)
    for key in KEYS:
        env.store.add(SERVERS_TOPIC, key, None)
    env.store.add(OPERATORS_TOPIC, "config", configuration(LAST_VERSION))
    await env.wait_for_version(LAST_VERSION)
    await asyncio.sleep(NOTICE_S)
    assert await call_all(env, "z") == [200] * 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_node_serves_and_learns_whatever_records_and_messages_say(
    seed: int,
) -> None:
    rng = random.Random(seed)

    async def scenario(env: NodeEnvironment) -> None:
        await serve_odd_answers(env, rng)
        peer = HOST, env.ports[8]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            add_known_records(env)
            send_known_datagrams(lambda data: sender.sendto(data, peer))
            await asyncio.sleep(NOTICE_S)
            await call_all(env, "known")
            for number in range(ROUNDS):
                for data in odd_datagrams(rng):
                    sender.sendto(data, peer)
                add_odd_records(env, rng)
                await asyncio.sleep(0.01)
                if number % 5 == 0:
                    await call_all(env, str(number))
        await asyncio.sleep(NOTICE_S)
        await check_goes_on(env)

    with capture_logs() as logged:
        run_in_environment(scenario)
    assert not [line for line in logged if line["event"] in FAILURES]
