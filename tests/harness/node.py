"""A running node and where it listens."""

import pathlib
import time

import msgspec
import urllib3

from tests.harness import answers
from tests.harness.node_settings import NodePlace
from tests.harness.process import Process

POLL_S = 0.05


class Node:
    """One node process.

    Attributes:
        place: Its VM and addresses.
        process: The process, to kill or freeze.
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
        self._settings_path = directory / f"{place.vm}.json"
        self._settings_path.write_bytes(msgspec.json.encode(settings))

    @property
    def caller_url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.place.caller_address}"

    @property
    def operator_url(self) -> str:
        """Base URL for operators."""
        return f"http://{self.place.operator_address}"

    def start(self) -> None:
        """Starts the process without waiting."""
        settings = str(self._settings_path)
        self.process.start("-m", "savorylift", "node", "--settings", settings)

    def is_ready(self) -> bool:
        """Returns True if the node says that it takes new work."""
        try:
            answer = answers.request(
                "GET", f"{self.operator_url}/readyz", timeout_s=1.0
            )
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
