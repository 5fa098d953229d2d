"""Entry point of `python -m savorylift` and of the `savorylift` command."""

from savorylift.cli import main

if __name__ == "__main__":
    main()
