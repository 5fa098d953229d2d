"""Entry point of `python -m savorylift` and of the `savorylift` command."""

from savorylift.front.reload_signal import record_reload_signal


def main() -> None:
    """Runs the command-line interface."""
    record_reload_signal()
    # The other imports take most of a node's start-up time; a SIGHUP that
    # arrives during them must already be handled.
    from savorylift import cli

    cli.main()


if __name__ == "__main__":
    main()
