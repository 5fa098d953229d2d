"""Reads and checks a node's JSON settings file."""

import ipaddress
import json
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar, cast, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

LAST_PORT = 65_535


class SettingsFault(NamedTuple):
    """One fault of a settings file.

    Attributes:
        file: Path of the file as given.
        key: Key, or an empty string for the whole file.
        message: What is wrong, in one line.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        """Returns `file: key: message`."""
        return ": ".join(part for part in self if part)


Shape = TypeVar("Shape", bound=tuple[Any, ...])


def read_settings(
    path: str, shape: type[Shape]
) -> Result[Shape, tuple[SettingsFault, ...]]:
    """Returns the settings in a file, or every fault found in it."""
    try:
        data = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        cause = exc.strerror or "can't be read"
        return Failure((SettingsFault(path, "", cause.lower()),))
    except ValueError as exc:
        return Failure((SettingsFault(path, "", f"not JSON: {exc}"),))
    return check_settings(data, path, shape)


def check_settings(
    data: object, path: str, shape: type[Shape]
) -> Result[Shape, tuple[SettingsFault, ...]]:
    """Checks decoded JSON; `path` only names the file in faults."""
    if not isinstance(data, dict):
        return Failure((SettingsFault(path, "", "expected a JSON object"),))
    faults = tuple(
        SettingsFault(path, key, message)
        for key, message in _faults(data, shape)
    )
    if faults:
        return Failure(faults)
    return Success(shape(**_convert_all(data, shape)))


def _faults(
    data: Mapping[str, object], shape: type[tuple[Any, ...]]
) -> Iterator[tuple[str, str]]:
    """Yields a key and a message for each fault."""
    hints = _hints(shape)
    for key in sorted(data.keys() - hints.keys()):
        yield key, "unknown key"
    for key, hint in hints.items():
        if key in data:
            yield from _value_faults(data[key], hint, key)
        elif key not in _defaults(shape):
            yield key, "missing"


def _value_faults(
    value: object, hint: object, key: str
) -> Iterator[tuple[str, str]]:
    try:
        _convert(value, hint)
    except msgspec.ValidationError as exc:
        yield key, _plain(str(exc))
        return
    for address in _addresses(key, value):
        if not _is_address(address):
            yield key, f"bad address {address!r}, expected ip:port"


def _addresses(key: str, value: object) -> Iterator[str]:
    """Yields the `ip:port` parts of a value that holds addresses."""
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
    return int(port) <= LAST_PORT


def _convert(value: object, hint: object) -> object:
    # Objects stand for NamedTuple values, which msgspec reads from arrays.
    return msgspec.convert(_as_arrays(value, hint), type=hint)


def _as_arrays(value: object, hint: object) -> object:
    """Turns JSON objects into the field arrays that msgspec expects."""
    shape = _named_tuple_in(hint)
    if shape is None:
        return value
    if isinstance(value, list):
        return [_as_arrays(item, shape) for item in value]
    if not isinstance(value, dict):
        return value
    names = list(_hints(shape))
    unknown = sorted(value.keys() - set(names))
    if unknown:
        raise msgspec.ValidationError(f"unknown key {unknown[0]!r}")
    defaults = _defaults(shape)
    absent = [name for name in names if name not in value | defaults]
    if absent:
        raise msgspec.ValidationError(f"missing key {absent[0]!r}")
    return [value.get(name, defaults.get(name)) for name in names]


def _named_tuple_in(hint: object) -> type[tuple[Any, ...]] | None:
    """Returns the NamedTuple class in a hint such as `tuple[Key, ...]`."""
    if isinstance(hint, type) and hasattr(hint, "_field_defaults"):
        return hint
    for part in getattr(hint, "__args__", ()):
        found = _named_tuple_in(part)
        if found is not None:
            return found
    origin = getattr(hint, "__origin__", None)
    return None if origin in (None, tuple) else _named_tuple_in(origin)


def _convert_all(
    data: Mapping[str, object], shape: type[tuple[Any, ...]]
) -> dict[str, Any]:
    hints = _hints(shape)
    return {key: _convert(value, hints[key]) for key, value in data.items()}


def _hints(shape: type[tuple[Any, ...]]) -> dict[str, Any]:
    return get_type_hints(shape, include_extras=True)


def _defaults(shape: type[tuple[Any, ...]]) -> dict[str, Any]:
    return cast("dict[str, Any]", getattr(shape, "_field_defaults", {}))


def _plain(message: str) -> str:
    """Rewrites a msgspec message in the form of the other faults."""
    text = message[:1].lower() + message[1:]
    return text.replace("`", "")
