"""Client library: node discovery, safe retries and stream resumption."""

from savorylift.client.client import Client, ClientOptions
from savorylift.client.outcomes import Answer, CallReply, ClientError
from savorylift.client.stream import Token

__all__ = [
    "Answer",
    "CallReply",
    "Client",
    "ClientError",
    "ClientOptions",
    "Token",
]
