"""Parses `IP:PORT` addresses."""

import ipaddress

# `int` refuses thousands of digits.
MAX_PORT_DIGITS = 5


def is_ip(text: str) -> bool:
    """Whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def parse_address(text: str) -> tuple[str, int] | None:
    """Returns host and port of an IPv4 address, or None if it is invalid."""
    host, _, port = text.rpartition(":")
    if not is_ip(host):
        return None
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > MAX_PORT_DIGITS:
        return None
    return (host, int(port)) if 0 < int(port) < 65_536 else None


def split_address(text: str) -> tuple[str, int]:
    """Returns host and port of an address that is known to be valid."""
    address = parse_address(text)
    assert address is not None, f"not an address: {text!r}"
    return address
