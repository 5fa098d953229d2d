"""Parses `IP:PORT` addresses."""

import ipaddress


def parse_address(text: str) -> tuple[str, int] | None:
    """Returns host and port of an IPv4 address, or None if it is invalid."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        return None
    return host, int(port)


def split_address(text: str) -> tuple[str, int]:
    """Returns host and port of an address that is known to be valid."""
    address = parse_address(text)
    assert address is not None, f"not an address: {text!r}"
    return address
