"""What connections to other machines are opened for."""

import enum


class Purpose(enum.StrEnum):
    """What a connection is opened for; metrics count them by it.

    Attributes:
        REQUEST: A caller's request to a backend server.
        REPORT: A query for a server's report of its state.
        PROBE: A health check of a server that wasn't reached.
        CONTACT: A check whether a server accepts connections.
        IDLE: A connection without a request, which the system closes when the
            server's process ends.
        COPY: A request to copy a run to another engine, or to drop the copy.
        CANCEL: A request to cancel a run.
        RELAY: A caller's request to another node.
        STORE: A call to the store.
        OTHER: Anything else.
    """

    REQUEST = "request"
    REPORT = "report"
    PROBE = "probe"
    CONTACT = "contact"
    IDLE = "idle"
    COPY = "copy"
    CANCEL = "cancel"
    RELAY = "relay"
    STORE = "store"
    OTHER = "other"
