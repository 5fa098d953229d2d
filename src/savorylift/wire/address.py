"""IP addresses with ports, as text."""

import ipaddress


def parse_address(text: str) -> tuple[str, int] | None:
    """Returns the parts of IP:PORT, or None if it is something else."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        return None
    return host, int(port)


def split_address(text: str) -> tuple[str, int]:
    """Returns the parts of an address that was checked before."""
    address = parse_address(text)
    assert address is not None, f"not an address: {text!r}"
    return address
