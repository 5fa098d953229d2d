"""Polling of the platform's list of VMs."""

from collections.abc import Callable
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful

from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry, VmList
from savorylift.peers.gone import GoneJudge, GoneOptions
from savorylift.peers.membership import Membership
from savorylift.peers.view import RosterSource


class WatcherOptions(NamedTuple):
    """Options of the watcher.

    Attributes:
        own: This node.
        interval_s: Time between two reads.
        append_timeout_s: Bound on reporting one node as gone.
        gone: When a node counts as gone.
    """

    own: NodeRef
    interval_s: float = 2.0
    append_timeout_s: float = 2.0
    gone: GoneOptions = GoneOptions()


class VmWatcher:
    """Reads the list, forwards it, and reports vanished nodes as gone."""

    def __init__(
        self,
        cfg: WatcherOptions,
        vms: VmList,
        roster: RosterSource,
        membership: Membership,
        heard: Callable[[], frozenset[str]],
        on_list: Callable[[tuple[VmEntry, ...]], None],
    ) -> None:
        """Takes the slice's parts; `on_list` gets each successful read."""
        self._cfg = cfg
        self._vms = vms
        self._roster = roster
        self._membership = membership
        self._heard = heard
        self._on_list = on_list
        self._judge = GoneJudge(cfg.own, cfg.gone)

    def read_once(self) -> None:
        """Reads the list and acts on it."""
        result = self._vms.read()
        if not is_successful(result):
            return
        entries = result.unwrap()
        self._on_list(entries)
        gone = self._judge.observe(
            entries, self._roster.current(), self._heard()
        )
        for ref in gone:
            outcome = self._membership.report_gone(
                ref, self._cfg.append_timeout_s
            )
            structlog.get_logger().info(
                "node_gone", node=ref.vm, reported=is_successful(outcome)
            )
