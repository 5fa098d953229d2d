"""Starts a node.

The interpreter has loaded `_signal` by itself, `signal` would take longer. A
SIGHUP that comes before the node records it is ignored: the node reads its
settings later.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from savorylift.front.__main__ import main  # noqa: E402

sys.exit(main())
