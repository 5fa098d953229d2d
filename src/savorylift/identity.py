"""Identities of nodes and of the requests they carry."""

import secrets
import time
from typing import NamedTuple


class NodeRef(NamedTuple):
    """One incarnation of the daemon on one VM.

    Attributes:
        vm: Name of the VM, stable over restarts.
        incarnation: Identifier drawn at process start; sorts by start time.
    """

    vm: str
    incarnation: str


class NodeInfo(NamedTuple):
    """What other nodes and callers need to reach a node.

    Attributes:
        ref: The node's identity.
        failure_domain: Failure domain of the node's VM.
        caller_address: `ip:port` of the callers' HTTP listener.
        peer_address: `ip:port` of the listener for other nodes.
        operator_address: `ip:port` of the operators' HTTP listener.
    """

    ref: NodeRef
    failure_domain: str
    caller_address: str
    peer_address: str
    operator_address: str


def new_incarnation() -> str:
    """Returns an incarnation identifier that sorts by wall-clock start."""
    return f"{time.time_ns() // 1_000_000:012x}-{secrets.token_hex(4)}"


def new_id(prefix: str) -> str:
    """Returns a random identifier such as `gen-5f0c...`."""
    return f"{prefix}-{secrets.token_hex(8)}"
