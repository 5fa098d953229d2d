"""Reads the settings of a running node again."""

import asyncio
import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.fleet.membership import Membership
from savorylift.front.awaited_settings import (
    MAX_WAIT_S,
    POLL_INTERVAL_S,
    is_unfinished,
)
from savorylift.front.settings import FrontSettings
from savorylift.settings_file import SettingsFault
from savorylift.wire.address import split_address

SettingsReader = Callable[[], Result[FrontSettings, tuple[SettingsFault, ...]]]

_log = structlog.get_logger()


class SettingsReload:
    """Applies new seeds; logs which other settings have changed."""

    def __init__(
        self,
        settings: FrontSettings,
        read_settings: SettingsReader,
        membership: Membership,
    ) -> None:
        """Reads nothing until `reload` is called.

        Args:
            settings: Settings that the node has started with.
            read_settings: Reads the settings again.
            membership: Gets the addresses of new seeds.
        """
        self._settings = settings
        self._read_settings = read_settings
        self._membership = membership
        self._retry: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Reads the settings again; only new seeds apply without a restart.

        A file that isn't whole yet is read again until it is.
        """
        result = self._read_settings()
        if is_successful(result):
            self._apply(result.unwrap())
            return
        faults = result.failure()
        _log.error("reload", faults=[str(fault) for fault in faults])
        if is_unfinished(faults) and self._retry is None:
            self._read_again_soon(time.monotonic() + MAX_WAIT_S)

    def _read_again_soon(self, until_s: float) -> None:
        self._retry = asyncio.get_running_loop().call_later(
            POLL_INTERVAL_S, self._read_again, until_s
        )

    def _read_again(self, until_s: float) -> None:
        """Reads a file that wasn't whole, until a monotonic time at most."""
        self._retry = None
        result = self._read_settings()
        if is_successful(result):
            self._apply(result.unwrap())
        elif is_unfinished(result.failure()) and time.monotonic() < until_s:
            self._read_again_soon(until_s)

    def _apply(self, settings: FrontSettings) -> None:
        old, new = self._settings._asdict(), settings._asdict()
        changed = sorted(key for key in new if new[key] != old[key])
        now_s = time.monotonic()
        for seed in settings.seeds:
            self._membership.add_address(split_address(seed)[0], now_s)
        self._settings = settings
        _log.info("reload", changed=changed)
