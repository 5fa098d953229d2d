"""Bounds what TLS buffers for one connection."""

import asyncio
from typing import Any, cast

# Encrypted input that is held while nothing more of it is wanted, beside that
# of one record; and output that the system has yet to take. By default, asyncio
# holds 256 and 512 KiB.
MAX_INPUT_BYTES = 16_384
MAX_OUTPUT_BYTES = 65_536


def limit_buffers(transport: asyncio.Transport) -> None:
    """Bounds the buffers of a transport, if it uses TLS."""
    if transport.get_extra_info("sslcontext") is None:
        return
    transport.set_write_buffer_limits(high=MAX_OUTPUT_BYTES)
    # Only transports with TLS have it.
    cast("Any", transport).set_read_buffer_limits(high=MAX_INPUT_BYTES)
