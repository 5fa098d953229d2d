"""The platform's list of VMs; run as `python -m tests.standins.vm_list`.

Control fields are those of `VmListSettings`; `vms` is the true list.
"""

import random
import sys
import threading
import time
from collections.abc import Mapping

import msgspec

from tests.standins import control
from tests.standins.serving import Dropped, Reply, Request, error, run


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list."""

    vm: str
    incarnation: str
    leaving: bool = False


class VmListSettings(control.Settings):
    """The true list and how answers differ from it.

    Attributes:
        vms: The true list.
        lag_s: Age of the list that is shown.
        older_copy_share: Share of answers that are older still.
        older_copy_s: Additional age of those.
        outage: True answers every request with 503.
        no_answer: True closes every connection without an answer.
        seed: Seed of the random choices.
    """

    vms: list[Vm] = msgspec.field(default_factory=list)
    lag_s: float = 0.0
    older_copy_share: float = 0.0
    older_copy_s: float = 0.0
    outage: bool = False
    no_answer: bool = False
    seed: int = 1


class VmListService:
    """Shows the list as it was some time ago."""

    def __init__(self, settings: VmListSettings) -> None:
        """Starts with the list of `settings`."""
        self.settings = settings
        self.lock = threading.Lock()
        self._history = [(time.monotonic(), settings.vms)]
        self._random = random.Random(settings.seed)
        self._reads = 0

    def on_change(self) -> None:
        """Notes the new true list."""
        if self.settings.vms != self._history[-1][1]:
            self._history.append((time.monotonic(), self.settings.vms))

    def seen(self, query: Mapping[str, str]) -> object:
        """Returns the true list and the number of reads."""
        return {"reads": self._reads, "vms": self.settings.vms}

    def handle(self, req: Request) -> Reply | Dropped:
        """Answers `GET /v1/vms`."""
        if self.settings.no_answer:
            return Dropped()
        if self.settings.outage:
            return error(503, "outage")
        if (req.method, req.path) != ("GET", "/v1/vms"):
            return error(404, "not_found")
        with self.lock:
            self._reads += 1
            return Reply(200, {"vms": self._shown()})

    def _shown(self) -> list[Vm]:
        age_s = self.settings.lag_s
        if self._random.random() < self.settings.older_copy_share:
            age_s += self.settings.older_copy_s
        at = time.monotonic() - age_s
        shown = self._history[0][1]
        for since, vms in self._history:
            if since <= at:
                shown = vms
        return shown


def main() -> None:
    """Runs the service with the settings of the command line."""
    port, settings = control.parse_command_line(VmListSettings, sys.argv[1:])
    run(VmListService(settings), port)


if __name__ == "__main__":
    main()
