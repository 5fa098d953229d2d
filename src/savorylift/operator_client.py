"""Asks nodes on behalf of the operators' commands."""

import json
from collections.abc import Mapping
from typing import Any

import urllib3

from savorylift.settings import Settings

NODE_TIMEOUT_S = 1.0
HTTP_OK = 200


def read_statuses(cfg: Settings) -> dict[str, dict[str, Any] | None]:
    """Returns each node's status by VM; None where there is no answer."""
    return {
        vm: ask_node(cfg, address, "GET", "/v1/status", None)
        for vm, address in sorted(find_operators(cfg).items())
    }


def find_operators(cfg: Settings) -> dict[str, str]:
    """Returns operators' addresses by VM, from the node of the settings."""
    answer = ask_node(cfg, cfg.operator_listen, "GET", "/v1/status", None)
    if answer is None:
        return {cfg.vm: cfg.operator_listen}
    found = {
        str(member["vm"]): str(member["operator_address"])
        for member in answer["members"]
    }
    return found or {cfg.vm: cfg.operator_listen}


def ask_node(
    cfg: Settings,
    address: str,
    method: str,
    path: str,
    body: Mapping[str, object] | None,
) -> Any:  # noqa: ANN401
    """Returns a node's JSON answer, or None if there is none in time."""
    scheme = "https" if cfg.operator_tls else "http"
    headers = {}
    if cfg.operator_keys:
        headers["Authorization"] = f"Bearer {cfg.operator_keys[0].secret}"
    authorities = cfg.operator_tls.authorities if cfg.operator_tls else None
    pool = urllib3.PoolManager(ca_certs=authorities)
    try:
        response = pool.request(
            method,
            f"{scheme}://{address}{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout=NODE_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return None
    if response.status != HTTP_OK:
        return None
    return json.loads(response.data)
