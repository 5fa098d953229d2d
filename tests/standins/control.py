"""Settings of a stand-in that a test can change at run time."""

import argparse
from collections.abc import Mapping
from typing import TypeVar

import msgspec


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of the settings and injected faults of a stand-in."""


S = TypeVar("S", bound=Settings)


def replace_fields(settings: S, change: Mapping[str, object]) -> S:
    """Returns a copy of `settings` with the fields of `change` replaced.

    Raises:
        msgspec.ValidationError: A field is unknown or of a wrong type.
    """
    fields = msgspec.to_builtins(settings)
    return msgspec.convert({**fields, **change}, type(settings))


def parse_command_line(
    settings_type: type[S], argv: list[str]
) -> tuple[int, S]:
    """Returns the port and the settings given as `--field-name JSON`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    for name in settings_type.__struct_fields__:
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, dest=name, type=_json_or_text)
    given = vars(parser.parse_args(argv))
    port: int = given.pop("port")
    change = {name: val for name, val in given.items() if val is not None}
    return port, replace_fields(settings_type(), change)


def print_ready_line(port: int) -> None:
    """Prints the line by which the parent process learns the port."""
    print(f"ready 127.0.0.1:{port}", flush=True)


def _json_or_text(text: str) -> object:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
