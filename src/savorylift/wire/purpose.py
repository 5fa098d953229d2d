"""What connections to other machines are opened for."""

import enum


class Purpose(enum.StrEnum):
    """What a connection is opened for; metrics count them by it.

    Attributes:
        REQUEST: A caller's request to a backend server.
        REPORT: A question to a server what it says of itself.
        PROBE: A question to a server for a sign of life.
        CONTACT: To see whether a server accepts connections.
        IDLE: To see for how long a server's process lives, without a request.
        COPY: A copy of a run, or the end of one.
        CANCEL: The end of a run.
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
