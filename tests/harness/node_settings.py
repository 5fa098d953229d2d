"""Settings files of the nodes under test."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

TICKET_KEY = {"key_id": "tickets-1", "secret": "ticket-secret-for-tests"}
PEER_KEY = {"key_id": "peers-1", "secret": "peer-secret-for-tests"}
OPERATOR_KEY = {"key_id": "operator-1", "secret": "operator-secret-tests"}


class NodePlace(NamedTuple):
    """Where one node runs and listens."""

    vm: str
    failure_domain: str
    caller_address: str
    peer_address: str
    operator_address: str


def node_settings(
    place: NodePlace,
    log_url: str,
    vm_list_url: str,
    seeds: Sequence[str],
    changes: Mapping[str, object],
) -> dict[str, object]:
    """Returns a node's settings, with the keys in `changes` replaced."""
    return {
        "vm": place.vm,
        "failure_domain": place.failure_domain,
        "caller_listen": place.caller_address,
        "peer_listen": place.peer_address,
        "operator_listen": place.operator_address,
        "log_urls": [log_url],
        "vm_list_urls": [vm_list_url],
        "seeds": list(seeds),
        "ticket_keys": [TICKET_KEY],
        "peer_keys": [PEER_KEY],
        "operator_keys": [OPERATOR_KEY],
        "log_format": "json",
        **changes,
    }
