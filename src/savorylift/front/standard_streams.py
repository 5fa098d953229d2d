"""Keeps the standard streams of a process open."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Opens the null device in place of standard streams that are closed.

    Their descriptors would otherwise be given to connections, to which the log
    would then be written.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            opened = os.open(os.devnull, os.O_RDWR)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
