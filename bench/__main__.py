"""Runs measurements in turn; `python -m bench [NAME ...]`, all by default."""

import subprocess
import sys

NAMES = (
    "calls",
    "force",
    "nodes",
    "peers",
    "permit_time",
    "permits",
    "policy",
    "policy_state",
    "recovery",
    "relay",
    "rules",
)


def main() -> int:
    """Returns the number of measurements that ended with an error."""
    names = sys.argv[1:] or NAMES
    failed = [name for name in names if not _run(name)]
    for name in failed:
        print(f"ended with an error: bench.{name}")
    return len(failed)


def _run(name: str) -> bool:
    print(f"\n== {name} ==", flush=True)
    command = [sys.executable, "-m", f"bench.{name}"]
    return subprocess.run(command, check=False).returncode == 0


if __name__ == "__main__":
    sys.exit(main())
