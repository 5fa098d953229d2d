"""Asks other nodes whether the process of a server lives on.

The issuer of a server's permits knows which nodes have connections to it. What
arrives on one of them after the question shows that the process that it was
opened to still lives, without a request to the server.
"""

import asyncio
import contextlib
import random
from collections.abc import Collection
from typing import NamedTuple

from savorylift.boot_clock import boot_time_s
from savorylift.exchange.known_processes import KnownProcesses
from savorylift.exchange.permit_client import SendLimitMessage
from savorylift.fleet.limit_messages import LifeQuery, LifeReply

# Nodes of which it is remembered that they got a permit, for each server; and
# how many of them, the last ones, are asked.
MAX_NODES = 8
MAX_ASKED = 3
# How long nodes wait for what a server sends: several intervals of tokens.
WAIT_S = 0.1
POLL_S = 0.01
# How long to wait for replies: the same, and many round trips between nodes.
REPLY_TIMEOUT_S = 0.15
# Queries that a node answers at once; more are dropped.
MAX_ANSWERING = 200
NUMBER_BITS = 48


class _Query(NamedTuple):
    """A question to other nodes.

    Attributes:
        server: Name of the server.
        asked_s: Boot time before it was sent.
        is_shown: Set once a node has shown that the known process lives.
    """

    server: str
    asked_s: float
    is_shown: asyncio.Event


class ProcessWitnesses:
    """Asks the nodes that last got permits, and answers such questions."""

    def __init__(
        self,
        send: SendLimitMessage,
        processes: KnownProcesses,
        rng: random.Random,
    ) -> None:
        """Asks nobody yet.

        Args:
            send: Sends messages to other nodes.
            processes: What connections of this node show, and what is known of
                the processes of servers.
            rng: Chooses the first number of queries, so that replies to an
                earlier process of this node match none.
        """
        self._send = send
        self._processes = processes
        # The nodes that got permits, the last one at the end, by server ID.
        self._nodes: dict[str, dict[str, None]] = {}
        self._queries: dict[int, _Query] = {}
        self._answering: set[asyncio.Task[None]] = set()
        self._next_number = rng.getrandbits(NUMBER_BITS)

    def add(self, server_id: str, ip: str) -> None:
        """Remembers that a node got a permit for a server."""
        nodes = self._nodes.setdefault(server_id, {})
        nodes.pop(ip, None)
        nodes[ip] = None
        if len(nodes) > MAX_NODES:
            del nodes[next(iter(nodes))]

    def has_nodes(self, server_id: str) -> bool:
        """Whether there are nodes to ask."""
        return bool(self._nodes.get(server_id))

    def forget(self, limited_ids: Collection[str]) -> None:
        """Forgets the servers that name no limit any more."""
        for server_id in self._nodes.keys() - set(limited_ids):
            del self._nodes[server_id]

    async def ask(self, server_id: str, server: str) -> None:
        """Asks whether a process lives on; `KnownProcesses` learns it.

        Args:
            server_id: ID of the server.
            server: Its name among the connections.
        """
        asked = list(self._nodes.get(server_id, ()))[-MAX_ASKED:]
        self._next_number += 1
        message = LifeQuery(self._next_number, server)
        query = _Query(server, boot_time_s(), asyncio.Event())
        self._queries[message.number] = query
        try:
            for ip in asked:
                self._send(message, ip)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    await query.is_shown.wait()
        finally:
            del self._queries[message.number]

    def receive(self, message: LifeQuery | LifeReply, ip: str) -> None:
        """Handles a message from another node."""
        if isinstance(message, LifeReply):
            self._receive_reply(message)
        elif len(self._answering) < MAX_ANSWERING:
            task = asyncio.get_running_loop().create_task(
                self._answer(message, ip)
            )
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)

    def _receive_reply(self, reply: LifeReply) -> None:
        """Ends a query if the reply is of the process that is known.

        Its connection was opened no later than its age says now.
        """
        query = self._queries.get(reply.number)
        if query is None:
            return
        opened_s = boot_time_s() - reply.open_age_s
        if self._processes.record_span(query.server, opened_s, query.asked_s):
            query.is_shown.set()

    async def _answer(self, query: LifeQuery, ip: str) -> None:
        """Replies once something has arrived that shows a process."""
        asked_s = boot_time_s()
        while self._processes.has_any(query.server):
            opened_s = self._processes.find_opened(query.server, asked_s)
            if opened_s is not None:
                age_s = boot_time_s() - opened_s
                self._send(LifeReply(query.number, age_s), ip)
                return
            if boot_time_s() - asked_s > WAIT_S:
                return
            await asyncio.sleep(POLL_S)
