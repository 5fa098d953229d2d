"""Request head checks that are stricter than those of `h11`."""

import re

HEAD_END = b"\r\n\r\n"
REQUEST_LINE_PATTERN = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.[01]"
)
LINE_BREAK = re.compile(rb"\r\n")


def find_head_error(head: bytes) -> str | None:
    """Returns why a request head must be rejected, or None if it is fine.

    Parsers read an ambiguous head differently, which allows request
    smuggling: the backend server could see another request than this node.

    Args:
        head: Request line and headers, with the empty line at their end.
    """
    lines = LINE_BREAK.split(head.removesuffix(HEAD_END))
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        return "a line does not end with CRLF"
    if REQUEST_LINE_PATTERN.fullmatch(lines[0]) is None:
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
