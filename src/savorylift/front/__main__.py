"""Entry point of `python -m savorylift.front SETTINGS`."""

import gc
import sys

from savorylift.front.reload_signal import record_reload_signal


def main() -> int:
    """Runs a node until it is stopped; returns the exit code."""
    if len(sys.argv) != 2:
        print("usage: python -m savorylift.front SETTINGS", file=sys.stderr)
        return 2
    reload_signal = record_reload_signal()
    # What imports make stays: no collection has to look at it, now or later.
    gc.disable()
    # Imported late: imports take most of the start-up time, and a SIGHUP in
    # that time must already be recorded.
    from savorylift.front.process import run_node

    gc.freeze()
    gc.enable()
    return run_node(sys.argv[1], reload_signal)


if __name__ == "__main__":
    sys.exit(main())
