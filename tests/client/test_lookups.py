"""Tests of looking up nodes at one that answers wrongly."""

import json
from collections.abc import Iterator

import pytest

from savorylift.client.connection_pool import make_pool
from savorylift.client.node_addresses import NodeAddresses
from tests.client.answering_node import AnsweringNode
from tests.standins.lying_server import STATUSES, lying_answer

OTHER = "127.0.0.1:9"
ENTRIES = json.dumps({"entries": [OTHER], "ttl_s": 60}).encode()


@pytest.fixture
def node() -> Iterator[AnsweringNode]:
    answering = AnsweringNode()
    yield answering
    answering.close()


def look_up(node: AnsweringNode, answer: bytes) -> list[str]:
    node.answer = answer
    addresses = NodeAddresses((node.url,), "t", make_pool(None))
    return list(addresses.in_order())


def test_answer_of_a_node_is_believed(node: AnsweringNode) -> None:
    answer = lying_answer("200", ENTRIES)
    assert look_up(node, answer) == [f"http://{OTHER}", node.url]


@pytest.mark.parametrize("status", [*STATUSES, "404", "503"])
def test_lookup_without_success_names_no_nodes(
    node: AnsweringNode, status: str
) -> None:
    """Addresses in refusals were believed."""
    assert look_up(node, lying_answer(status, ENTRIES)) == [node.url]


@pytest.mark.parametrize(
    "body", [b"[]", b"1", b'{"entries": 1, "ttl_s": 1}', b'{"entries": []}']
)
def test_lookup_that_is_no_directory_names_no_nodes(
    node: AnsweringNode, body: bytes
) -> None:
    """A list in its place ended the caller's program."""
    assert look_up(node, lying_answer("200", body)) == [node.url]
