"""Answer head checks that are stricter than those of `h11`."""

import h11

# HTTP has no other classes of final statuses (RFC 9110, 15).
FINAL_STATUSES = range(200, 600)
KNOWN_MAJOR_VERSION = b"1."


def find_answer_fault(head: h11.Response) -> str | None:
    """Returns what is wrong with the head of a final answer, in one word.

    Such a head shows that whatever sent it doesn't speak the protocol, so that
    nothing else of the answer can be relied on either. None if it is sound.
    """
    if head.status_code not in FINAL_STATUSES:
        return "status"
    if not head.http_version.startswith(KNOWN_MAJOR_VERSION):
        return "version"
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        return "framing"
    return None
