"""A running node and where it listens."""

import pathlib
import time
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
import urllib3

from tests.harness import answers
from tests.harness.process import Process

POLL_S = 0.05


class Ports(NamedTuple):
    """Ports, the same on every node of a deployment."""

    caller: int
    directory: int
    ready: int
    peer: int
    metrics: int


class NodePlace(NamedTuple):
    """Where one node runs and listens."""

    vm: str
    region: str
    failure_domain: str
    ip: str
    ports: Ports

    def address(self, port: int) -> str:
        """Returns `ip:port`."""
        return f"{self.ip}:{port}"


def node_settings(
    place: NodePlace,
    store: str,
    seeds: list[str],
    changes: Mapping[str, object],
) -> dict[str, object]:
    """Returns a node's settings, with the keys in `changes` replaced."""
    ports = place.ports
    return {
        "vm": place.vm,
        "region": place.region,
        "failure_domain": place.failure_domain,
        "caller_listen": place.address(ports.caller),
        "directory_listen": place.address(ports.directory),
        "readiness_listen": place.address(ports.ready),
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
        **changes,
    }


class Node:
    """One node process.

    Attributes:
        place: Its VM and addresses.
        process: The process, to kill or freeze.
        settings_path: Its settings file.
    """

    def __init__(
        self,
        place: NodePlace,
        settings: dict[str, object],
        directory: pathlib.Path,
    ) -> None:
        """Writes the settings file; nothing runs before `start`."""
        self.place = place
        self.process = Process(place.vm, directory)
        self.settings_path = directory / f"{place.vm}.json"
        self.settings_path.write_bytes(msgspec.json.encode(settings))

    @property
    def caller_url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.place.address(self.place.ports.caller)}"

    @property
    def operator_url(self) -> str:
        """Base URL of metrics and status."""
        return f"http://{self.place.address(self.place.ports.metrics)}"

    def start(self) -> None:
        """Starts the process without waiting."""
        settings = str(self.settings_path)
        self.process.start("-m", "savorylift", "node", "--settings", settings)

    def is_ready(self) -> bool:
        """Returns True if the node says that it takes new work."""
        url = f"http://{self.place.address(self.place.ports.ready)}/readiness"
        try:
            answer = answers.request("GET", url, timeout_s=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def wait_ready(self, timeout_s: float) -> None:
        """Waits until the node is ready.

        Raises:
            TimeoutError: It ended or isn't ready in time; has its last logs.
        """
        deadline_s = time.monotonic() + timeout_s
        while not self.is_ready():
            if not self.process.is_running:
                tail = self.process.log_tail()
                raise TimeoutError(f"{self.place.vm} ended:\n{tail}")
            if time.monotonic() > deadline_s:
                tail = self.process.log_tail()
                raise TimeoutError(f"{self.place.vm} isn't ready:\n{tail}")
            time.sleep(POLL_S)
