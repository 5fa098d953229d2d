"""The platform's list of VMs over HTTP."""

import msgspec
from returns.result import Result

from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import (
    ClientConfig,
    JsonClient,
    JsonRequest,
)
from savorylift.log_service.vms import VmEntry


class _WireVm(msgspec.Struct):
    vm: str
    incarnation: str
    leaving: bool


class _WireVms(msgspec.Struct):
    vms: list[_WireVm]


class HttpVmList:
    """Implements `VmList`; safe for use by several threads."""

    def __init__(self, cfg: ClientConfig, counters: PlatformCounters) -> None:
        """Makes a client; connections are opened when first needed."""
        self._client = JsonClient("vms", cfg, counters)

    def read(self) -> Result[tuple[VmEntry, ...], str]:
        """Returns the list as the platform shows it now, or the cause."""
        answer = self._client.request(JsonRequest("GET", "/v1/vms"), _WireVms)
        return answer.map(_entries).alt(lambda fault: fault.message)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


def _entries(wire: _WireVms) -> tuple[VmEntry, ...]:
    return tuple(VmEntry(vm.vm, vm.incarnation, vm.leaving) for vm in wire.vms)
