"""Strict checks of a request head that `h11` leaves to its user."""

import re

HEAD_END = b"\r\n\r\n"
REQUEST_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.[01]")
LINE_BREAK = re.compile(rb"\r\n")


def find_fault(head: bytes) -> str | None:
    """Says what makes a head ambiguous, or None if nothing does.

    Two parsers that read an ambiguous head differently can be made to see
    different requests, so such a head is refused.

    Args:
        head: From the request line to the empty line.
    """
    lines = LINE_BREAK.split(head.removesuffix(HEAD_END))
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        return "a line does not end with CRLF"
    if REQUEST_LINE.fullmatch(lines[0]) is None:
        return "malformed request line"
    if not lines[0].split(b" ")[1].startswith(b"/"):
        return "the target must be a path"
    if any(line[:1] in (b" ", b"\t") for line in lines[1:]):
        return "folded header line"
    names = [line.partition(b":")[0].lower() for line in lines[1:]]
    if names.count(b"host") != 1:
        return "expected one Host header"
    if names.count(b"content-length") > 1:
        return "more than one Content-Length"
    if names.count(b"transfer-encoding") > 1:
        return "more than one Transfer-Encoding"
    if b"transfer-encoding" in names and (
        b"content-length" in names or lines[0].endswith(b"1.0")
    ):
        return "Transfer-Encoding not allowed here"
    return None
