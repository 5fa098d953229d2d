"""A fleet whose nodes are processes, which tests may pause or kill."""

import asyncio
import pathlib

import msgspec

from savorylift.front.settings import FrontSettings
from savorylift.wire.client_call import BrokenAnswerError, fetch
from tests.front.node_fleet import START_TIMEOUT_S, NodeFleet
from tests.harness.process import Process


class ProcessFleet(NodeFleet):
    """A limited fleet with a process for each node.

    Attributes:
        processes: The processes, by the address of their node.
        program: Module that the processes run.
    """

    program = "savorylift.front"

    def __init__(
        self, nodes: int, servers: int, directory: pathlib.Path
    ) -> None:
        super().__init__(nodes, servers)
        self._directory = directory
        self.processes = {
            ip: Process(f"node-{ip}", directory) for ip in self.ips
        }

    def start_node(self, ip: str) -> None:
        """Starts the process of a node that is not running."""
        path = self._directory / f"{ip}.json"
        path.write_bytes(self._encoded_settings(ip))
        self.processes[ip].start("-m", self.program, str(path))

    def _encoded_settings(self, ip: str) -> bytes:
        return msgspec.json.encode(_without_defaults(self._settings(ip)))

    async def _start_nodes(self) -> None:
        for ip in self.ips:
            self.start_node(ip)
        async with asyncio.timeout(START_TIMEOUT_S):
            for ip in self.ips:
                while not await self._is_ready(ip):
                    await asyncio.sleep(0.05)

    def _stop_nodes(self) -> None:
        for process in self.processes.values():
            process.kill()

    async def _is_ready(self, ip: str) -> bool:
        port = self._settings(ip).readiness_listen.rpartition(":")[2]
        try:
            response = await fetch(
                (ip, int(port)),
                "GET",
                "/readiness",
                timeout_s=1.0,
                connect_timeout_s=1.0,
            )
        except (OSError, BrokenAnswerError):
            return False
        return response.status == 200


def _without_defaults(cfg: FrontSettings) -> dict[str, object]:
    """Returns the settings that are not the default ones.

    Builds of other times read them too.
    """
    defaults = FrontSettings._field_defaults
    return {
        name: value
        for name, value in cfg._asdict().items()
        if name not in defaults or value != defaults[name]
    }
