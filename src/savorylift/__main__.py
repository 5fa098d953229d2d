"""Entry point of `python -m savorylift` and of the `savorylift` command."""

from savorylift.front.early_reload import hold_reloads


def main() -> None:
    """Runs the command line."""
    hold_reloads()
    # Imports take most of a node's start.
    from savorylift import cli

    cli.main()


if __name__ == "__main__":
    main()
