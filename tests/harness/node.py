"""A node process, its settings and its addresses."""

import pathlib
import time
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import urllib3

from tests.harness import http_client
from tests.harness.process import Process

POLL_INTERVAL_S = 0.05


class Ports(NamedTuple):
    """Listening ports, the same on every node of a deployment."""

    caller: int
    directory: int
    readiness: int
    peer: int
    metrics: int


class NodeLocation(NamedTuple):
    """VM, failure domain and addresses of one node."""

    vm: str
    region: str
    failure_domain: str
    ip: str
    ports: Ports

    def address(self, port: int) -> str:
        """Returns `ip:port` for one of the node's ports."""
        return f"{self.ip}:{port}"


def node_settings(
    location: NodeLocation,
    store: str,
    seeds: list[str],
    overrides: Mapping[str, object],
) -> dict[str, object]:
    """Returns a node's settings; `overrides` replaces or adds keys."""
    ports = location.ports
    return {
        "vm": location.vm,
        "region": location.region,
        "failure_domain": location.failure_domain,
        "caller_listen": location.address(ports.caller),
        "directory_listen": location.address(ports.directory),
        "readiness_listen": location.address(ports.readiness),
        "peer_port": ports.peer,
        "metrics_port": ports.metrics,
        "store": store,
        "seeds": seeds,
        "grace_period_s": 8.0,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 50,
        "entry_ttl_max_s": 5,
        "interface": "completions",
        **overrides,
    }


class Node:
    """One node process.

    Attributes:
        location: Its VM, failure domain and addresses.
        process: The process, which tests may kill or pause.
        settings_path: Its settings file.
    """

    def __init__(
        self,
        location: NodeLocation,
        settings: dict[str, object],
        directory: pathlib.Path,
    ) -> None:
        """Writes the settings file; `start` starts the process."""
        self.location = location
        self.process = Process(location.vm, directory)
        self.settings_path = directory / f"{location.vm}.json"
        self.settings_path.write_bytes(msgspec.json.encode(settings))

    @property
    def caller_url(self) -> str:
        """Base URL of the caller API."""
        return f"http://{self.location.address(self.location.ports.caller)}"

    @property
    def operator_url(self) -> str:
        """Base URL of the metrics and status endpoints."""
        return f"http://{self.location.address(self.location.ports.metrics)}"

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        settings = str(self.settings_path)
        self.process.start("-m", "savorylift", "node", "--settings", settings)

    def is_ready(self) -> bool:
        """Returns True if the readiness endpoint returns status 200."""
        url = f"http://{self.location.address(self.location.ports.readiness)}/readiness"
        try:
            response = http_client.request("GET", url, timeout_s=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def wait_ready(self, timeout_s: float) -> None:
        """Waits until the node is ready.

        Raises:
            TimeoutError: The node exited or is not ready after `timeout_s`; the
                message includes the end of its log.
        """
        deadline_s = time.monotonic() + timeout_s
        while not self.is_ready():
            if not self.process.is_running:
                tail = self.process.log_tail()
                raise TimeoutError(f"{self.location.vm} ended:\n{tail}")
            if time.monotonic() > deadline_s:
                tail = self.process.log_tail()
                raise TimeoutError(f"{self.location.vm} is not ready:\n{tail}")
            time.sleep(POLL_INTERVAL_S)
