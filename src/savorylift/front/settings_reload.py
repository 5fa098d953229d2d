"""Reads the settings of a running node again."""

import time
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.fleet.membership import Membership
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

    def reload(self) -> None:
        """Reads the settings again; only new seeds apply without a restart."""
        result = self._read_settings()
        if not is_successful(result):
            faults = [str(fault) for fault in result.failure()]
            _log.error("reload", faults=faults)
            return
        settings = result.unwrap()
        old, new = self._settings._asdict(), settings._asdict()
        changed = sorted(key for key in new if new[key] != old[key])
        now_s = time.monotonic()
        for seed in settings.seeds:
            self._membership.add_address(split_address(seed)[0], now_s)
        self._settings = settings
        _log.info("reload", changed=changed)
