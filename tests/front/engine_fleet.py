"""Fleets whose nodes are processes, and the servers of one service too."""

import asyncio
import pathlib

from tests.front.engine_process import EngineProcess
from tests.front.node_fleet import GENERATION_PATHS
from tests.front.version_fleet import PATH, VersionProcessFleet
from tests.harness.ports import free_addresses
from tests.standins.platform_server import PlatformServer

# What engines of a fleet have in common.
ENGINE_OPTIONS = (
    "answers_in_parts",
    "delay_s",
    "event_interval_s",
    "events_per_stream",
    "resets_after",
    "says_version",
)


class EngineProcessFleet(VersionProcessFleet):
    """A `VersionProcessFleet` with a process for each server of one service.

    Attributes:
        engines: These servers.
        engine_service: Name of their service.
    """

    def __init__(
        self, nodes: int, directory: pathlib.Path, path: str = PATH
    ) -> None:
        """Starts nothing yet.

        Args:
            nodes: Number of nodes.
            directory: Where the logs go.
            path: Path of the requests, which says what the service is.
        """
        # Start of the process that wrote the newest entry, by server.
        self._written: dict[str, int] = {}
        super().__init__(nodes, directory)
        self.path = path
        self._engine_logs = directory
        self.engines = [
            EngineProcess(server.server_id, directory)
            for server in self.service(path)
        ]
        servers: list[PlatformServer] = [*self.engines]
        if path.startswith(GENERATION_PATHS):
            self.engine_service, self.pool = "pool", servers
        else:
            self.engine_service, self.app = "app", servers
        for engine in self.engines:
            engine.says_version = True
            engine.answers_in_parts = True

    async def add_engine(self, version: str) -> EngineProcess:
        """Starts another engine, like the first one but for its version."""
        first, number = self.engines[0], len(self.engines)
        engine = EngineProcess(f"added-{number}", self._engine_logs)
        for name in ENGINE_OPTIONS:
            setattr(engine, name, getattr(first, name))
        engine.software_version = version
        self.engines.append(engine)
        (address,) = free_addresses(1)
        await engine.start(int(address.rpartition(":")[2]))
        return engine

    def publish_entry(
        self,
        server: PlatformServer,
        service: str,
        state: str = "ready",
        cold_ms: float = 0.0,
    ) -> None:
        """Writes a server's entry; its sequence begins anew at each start."""
        if self._written.get(server.server_id) != server.born:
            server.sequence = 0
        self._written[server.server_id] = server.born
        super().publish_entry(server, service, state, cold_ms)

    async def beat(self, interval_s: float) -> None:
        """Writes the entries of all servers again and again.

        Only a process that runs, and whose entry was written, does so.
        """
        while True:
            await asyncio.sleep(interval_s)
            for engine in self.engines:
                is_written = self._written.get(engine.server_id) == engine.born
                if engine.is_running and is_written:
                    state = "draining" if engine.is_leaving else "ready"
                    self.publish_entry(engine, self.engine_service, state)

    def _stop_nodes(self) -> None:
        super()._stop_nodes()
        for engine in self.engines:
            engine.close()
