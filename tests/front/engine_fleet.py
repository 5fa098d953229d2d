"""Fleets whose nodes are processes, and the servers of one service too."""

import pathlib

from tests.front.engine_process import EngineProcess
from tests.front.node_fleet import GENERATION_PATHS
from tests.front.version_fleet import PATH, VersionProcessFleet
from tests.standins.platform_server import PlatformServer


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
        super().__init__(nodes, directory)
        self.path = path
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

    def _stop_nodes(self) -> None:
        super()._stop_nodes()
        for engine in self.engines:
            engine.close()
