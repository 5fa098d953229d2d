"""Tests of the rate at which a node serves snapshots."""

import asyncio
import time

import freezegun

from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.snapshot_server import MAX_SEND_RATE, SnapshotServer
from savorylift.fleet.store_records import Snapshot
from savorylift.wire.message import Request, Response

SNAPSHOT = Snapshot(5, (7, 0), {"config": bytes(range(256)) * 400}, {})


def make_server() -> SnapshotServer:
    return SnapshotServer(lambda *_: SNAPSHOT, MessageAuthenticator())


def ask(server: SnapshotServer, ip: str) -> Response:
    req = Request("GET", f"/state?1.2.0.{ip}", (), b"", time.monotonic())
    return asyncio.run(server.handle(req))


def test_busy_node_refers_requesters_to_nodes_that_have_the_snapshot() -> None:
    with freezegun.freeze_time(real_asyncio=True):
        server = make_server()
        assert ask(server, "10.0.0.1").status == 200
        referred = ask(server, "10.0.0.2")
    assert (referred.status, referred.body) == (503, b"10.0.0.1")


def test_node_serves_again_once_its_link_has_carried_the_last_snapshot() -> (
    None
):
    with freezegun.freeze_time(real_asyncio=True) as clock:
        server = make_server()
        size = len(ask(server, "10.0.0.1").body)
        clock.tick(size / MAX_SEND_RATE * 0.9)
        assert ask(server, "10.0.0.2").status == 503
        clock.tick(size / MAX_SEND_RATE * 0.2)
        assert ask(server, "10.0.0.2").status == 200


def test_malformed_request_for_a_snapshot_is_refused() -> None:
    server = make_server()
    for target, status in [
        ("/other?1.2.0.ip", 404),
        ("/state", 404),
        ("/state?1.2.0", 404),
        ("/state?1.x.0.ip", 400),
    ]:
        req = Request("GET", target, (), b"", time.monotonic())
        assert asyncio.run(server.handle(req)).status == status
