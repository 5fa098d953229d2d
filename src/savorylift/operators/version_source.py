"""Reads a version of a configuration, from a file or from the store."""

import asyncio
import pathlib

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.operators.check_report import FileFormat
from savorylift.platform.configuration import CONFIGURATION_KEY
from savorylift.platform.store import OPERATORS_TOPIC, StoreClient
from savorylift.rules.publication import read_rules
from savorylift.wire.address import parse_address


def read_version(target: str, file_format: FileFormat) -> Result[bytes, str]:
    """Returns a version; an error message if it can't be read.

    Args:
        target: Path of a file, or address of the store.
        file_format: Format of the version to read from the store.
    """
    path = pathlib.Path(target)
    try:
        address = None if path.exists() else parse_address(target)
        if address is None:
            return Success(path.read_bytes())
    except OSError as exc:
        return Failure((exc.strerror or "can't be read").lower())
    read = _read_rules if file_format is FileFormat.RULES else _read_record
    return asyncio.run(read(StoreClient(address)))


async def _read_rules(store: StoreClient) -> Result[bytes, str]:
    read = await read_rules(store)
    if not is_successful(read):
        return Failure(f"could not be read: {read.failure().detail}")
    text = "\n".join(read.unwrap().lines)
    return Success(text.encode("utf-8", "surrogateescape"))


async def _read_record(store: StoreClient) -> Result[bytes, str]:
    listed = await store.list_newest(OPERATORS_TOPIC)
    if not is_successful(listed):
        return Failure(f"could not be read: {listed.failure().detail}")
    for record in listed.unwrap().records:
        if record.key == CONFIGURATION_KEY and record.value is not None:
            return Success(record.value)
    return Failure("the store holds no configuration")
