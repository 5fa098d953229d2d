"""A stand-in process and the client of its control endpoint."""

import enum
import pathlib
import urllib.parse
from collections.abc import Mapping
from typing import Any

import msgspec

from tests.harness import http_client
from tests.harness.ports import free_addresses
from tests.harness.process import Process


class StandInKind(enum.StrEnum):
    """Kinds of stand-ins; the values are modules in `tests.standins`."""

    STORE = "platform_store"
    ENGINE = "engine"
    PLAIN_SERVICE = "plain_service"


class StandIn:
    """One stand-in process, which replaces an external system in tests.

    Attributes:
        process: The process, which tests may kill or pause.
        address: `ip:port`; it stays the same after a restart.
    """

    def __init__(
        self,
        kind: StandInKind,
        directory: pathlib.Path,
        name: str = "",
        settings: Mapping[str, object] | None = None,
    ) -> None:
        """Chooses a free address; `start` starts the process."""
        self.process = Process(name or kind, directory)
        (self.address,) = free_addresses(1)
        self._kind = kind
        self._settings = dict(settings or {})

    @property
    def url(self) -> str:
        """Base URL of the stand-in."""
        return f"http://{self.address}"

    def start(self) -> "StandIn":
        """Starts the process and waits until it is listening."""
        self.launch()
        self.wait_ready()
        return self

    def launch(self) -> None:
        """Starts the process without waiting until it is listening."""
        port = self.address.rpartition(":")[2]
        arguments = ["-m", f"tests.standins.{self._kind}", "--port", port]
        for field, setting in self._settings.items():
            flag = "--" + field.replace("_", "-")
            arguments += [flag, msgspec.json.encode(setting).decode()]
        self._output = self.process.start_piped(*arguments)

    def wait_ready(self) -> None:
        """Waits until the process has reported that it is listening."""
        line = self._output.readline()
        assert line.startswith("ready "), self.process.log_tail()

    def control(self, **fields: object) -> None:
        """Changes settings or triggers faults of the running stand-in."""
        response = http_client.request(
            "POST", f"{self.url}/control", json=fields
        )
        assert response.status == 200, response.body.decode()

    def fetch_record(self, **query: str) -> dict[str, Any]:
        """Returns what the stand-in has recorded about its requests."""
        encoded_query = urllib.parse.urlencode(query)
        response = http_client.request(
            "GET", f"{self.url}/control?{encoded_query}"
        )
        assert response.status == 200, response.body.decode()
        return response.json()

    def stop(self) -> None:
        """Kills the process; a stand-in needs no graceful shutdown."""
        self.process.kill()
