"""Opens connections."""

import asyncio

from savorylift.wire import metrics
from savorylift.wire.channel import Channel
from savorylift.wire.input_timeout import InputTimeout
from savorylift.wire.purpose import Purpose


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    purpose: Purpose = Purpose.OTHER,
) -> Channel:
    """Opens a connection.

    Args:
        host: Address to connect to.
        port: Port to connect to.
        timeout_s: Timeout of the attempt.
        purpose: What it is for, in metrics.

    Raises:
        OSError: It was refused or reset, or timed out.
    """
    metrics.CONNECTIONS_OPENED.labels(purpose.value).inc()
    loop = asyncio.get_running_loop()
    async with InputTimeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, port)
    return channel
