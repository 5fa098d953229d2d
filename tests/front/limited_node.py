"""Runs a node whose process may open as many descriptors as a test says."""

import os
import resource
import sys

from savorylift.front.__main__ import main

DESCRIPTORS_VARIABLE = "TEST_NODE_DESCRIPTORS"

if __name__ == "__main__":
    limit = int(os.environ[DESCRIPTORS_VARIABLE])
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    sys.exit(main())
