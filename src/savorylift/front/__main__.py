"""Entry point of `python -m savorylift.front SETTINGS`."""

import sys

from savorylift.front.process import run_node


def main() -> int:
    """Runs a node until it is stopped; returns the exit status."""
    if len(sys.argv) != 2:
        print("usage: python -m savorylift.front SETTINGS", file=sys.stderr)
        return 2
    return run_node(sys.argv[1])


if __name__ == "__main__":
    sys.exit(main())
