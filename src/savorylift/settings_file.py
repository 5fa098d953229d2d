"""Reads and validates JSON settings files."""

import ipaddress
import json
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar, cast, get_type_hints

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

MAX_PORT = 65_535


class SettingsFault(NamedTuple):
    """A fault in a settings file.

    Attributes:
        file: Path of the file as given.
        key: Key of the setting; empty for a fault of the whole file.
        message: Description of the fault, in one line.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        """Returns `file: key: message`."""
        return ": ".join(part for part in self if part)


SettingsT = TypeVar("SettingsT", bound=tuple[Any, ...])


def read_settings(
    path: str, settings_type: type[SettingsT]
) -> Result[SettingsT, tuple[SettingsFault, ...]]:
    """Reads a settings file; returns the settings or all faults in it."""
    loaded = _load(path)
    if not is_successful(loaded):
        return Failure((loaded.failure(),))
    return check_settings(loaded.unwrap(), path, settings_type)


def _load(path: str) -> Result[object, SettingsFault]:
    """Returns what a settings file holds."""
    try:
        return Success(
            json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        )
    except OSError as exc:
        cause = exc.strerror or "can't be read"
        return Failure(SettingsFault(path, "", cause.lower()))
    except (ValueError, RecursionError) as exc:
        return Failure(SettingsFault(path, "", f"not JSON: {exc}"))


def check_settings(
    data: object, path: str, settings_type: type[SettingsT]
) -> Result[SettingsT, tuple[SettingsFault, ...]]:
    """Validates decoded JSON; `path` is only named in the faults.

    Keys that are not known are ignored, as a file may be for a later build.
    Those without a value have their default.
    """
    if not isinstance(data, dict):
        return Failure((SettingsFault(path, "", "expected a JSON object"),))
    defaults = _field_defaults(settings_type)
    known = {
        key: value
        for key, value in data.items()
        if key in _field_types(settings_type)
        and not (value is None and key in defaults)
    }
    faults = tuple(
        SettingsFault(path, key, message)
        for key, message in _find_faults(known, settings_type)
    )
    if faults:
        return Failure((*find_unknown(data, path, settings_type), *faults))
    return Success(settings_type(**_convert_fields(known, settings_type)))


def find_unknown(
    data: Mapping[str, object], path: str, settings_type: type[SettingsT]
) -> tuple[SettingsFault, ...]:
    """Returns the keys of decoded JSON that are ignored."""
    unknown = sorted(data.keys() - _field_types(settings_type).keys())
    return tuple(SettingsFault(path, key, "unknown key") for key in unknown)


def read_unknown(
    path: str, settings_type: type[SettingsT]
) -> tuple[SettingsFault, ...]:
    """Returns the keys of a settings file that are ignored.

    There are none if the file can't be read now.
    """
    data = _load(path).value_or(None)
    if not isinstance(data, dict):
        return ()
    return find_unknown(data, path, settings_type)


def _find_faults(
    data: Mapping[str, object], settings_type: type[tuple[Any, ...]]
) -> Iterator[tuple[str, str]]:
    """Yields a key and a message for each fault."""
    hints = _field_types(settings_type)
    for key, hint in hints.items():
        if key in data:
            yield from _find_value_faults(data[key], hint, key)
        elif key not in _field_defaults(settings_type):
            yield key, "missing"


def _find_value_faults(
    value: object, hint: object, key: str
) -> Iterator[tuple[str, str]]:
    try:
        _convert(value, hint)
    except msgspec.ValidationError as exc:
        yield key, _normalize_message(str(exc))
        return
    for address in _addresses(key, value):
        if not _is_address(address):
            yield key, f"bad address {address!r}, expected ip:port"


def _addresses(key: str, value: object) -> Iterator[str]:
    """Yields the addresses in a setting; nothing if it holds none."""
    if key.endswith("_listen") or key in ("seeds", "store"):
        yield from (
            [value] if isinstance(value, str) else cast("list[str]", value)
        )


def _is_address(text: str) -> bool:
    host, _, port = text.partition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return int(port) <= MAX_PORT


def _convert(value: object, hint: object) -> object:
    # Settings files write NamedTuple values as JSON objects, but msgspec
    # converts them from arrays.
    converted = _objects_to_arrays(value, hint)
    try:
        return msgspec.convert(converted, type=hint)
    except msgspec.ValidationError:
        if isinstance(value, float) and value.is_integer():
            return msgspec.convert(int(value), type=hint)
        raise


def _objects_to_arrays(value: object, hint: object) -> object:
    """Converts JSON objects to the field arrays that msgspec expects."""
    tuple_type = _named_tuple_in(hint)
    if tuple_type is None:
        return value
    if isinstance(value, list):
        return [_objects_to_arrays(item, tuple_type) for item in value]
    if not isinstance(value, dict):
        return value
    names = list(_field_types(tuple_type))
    unknown = sorted(value.keys() - set(names))
    if unknown:
        raise msgspec.ValidationError(f"unknown key {unknown[0]!r}")
    defaults = _field_defaults(tuple_type)
    absent = [name for name in names if name not in value | defaults]
    if absent:
        raise msgspec.ValidationError(f"missing key {absent[0]!r}")
    return [value.get(name, defaults.get(name)) for name in names]


def _named_tuple_in(hint: object) -> type[tuple[Any, ...]] | None:
    """Returns the NamedTuple class in a type such as `tuple[Key, ...]`."""
    if isinstance(hint, type) and hasattr(hint, "_field_defaults"):
        return hint
    for part in getattr(hint, "__args__", ()):
        found = _named_tuple_in(part)
        if found is not None:
            return found
    origin = getattr(hint, "__origin__", None)
    return None if origin in (None, tuple) else _named_tuple_in(origin)


def _convert_fields(
    data: Mapping[str, object], settings_type: type[tuple[Any, ...]]
) -> dict[str, Any]:
    hints = _field_types(settings_type)
    return {key: _convert(value, hints[key]) for key, value in data.items()}


def _field_types(tuple_type: type[tuple[Any, ...]]) -> dict[str, Any]:
    return get_type_hints(tuple_type, include_extras=True)


def _field_defaults(tuple_type: type[tuple[Any, ...]]) -> dict[str, Any]:
    return cast("dict[str, Any]", getattr(tuple_type, "_field_defaults", {}))


def _normalize_message(message: str) -> str:
    """Formats a msgspec message like those of the other faults."""
    text = message[:1].lower() + message[1:]
    return text.replace("`", "")
