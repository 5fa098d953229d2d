"""Asks other nodes whether the process of a server lives on.

The issuer of a server's permits knows which nodes have connections to it. What
arrives on one of them after the question shows that the process that it was
opened to still lives, without a request to the server.
"""

import asyncio
import random
from collections.abc import Collection

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
        # When the connection was opened that shows a process, by query.
        self._queries: dict[int, asyncio.Future[float]] = {}
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
        fut: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._queries[message.number] = fut
        asked_s = boot_time_s()
        try:
            for ip in asked:
                self._send(message, ip)
            await asyncio.wait((fut,), timeout=REPLY_TIMEOUT_S)
        finally:
            del self._queries[message.number]
        if fut.done():
            self._processes.record_span(server, fut.result(), asked_s)

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
        """Takes the first reply: its connection was opened no later."""
        fut = self._queries.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(boot_time_s() - reply.open_age_s)

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
