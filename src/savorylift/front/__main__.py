"""Entry point of `python -m savorylift.front SETTINGS`."""

import sys

from savorylift.front.early_reload import hold_reloads


def main() -> int:
    """Runs a node until it is stopped; returns the exit status."""
    if len(sys.argv) != 2:
        print("usage: python -m savorylift.front SETTINGS", file=sys.stderr)
        return 2
    early = hold_reloads()
    # Imports take most of a start.
    from savorylift.front.process import run_node

    return run_node(sys.argv[1], early)


if __name__ == "__main__":
    sys.exit(main())
