"""`python -m hookpitch`: one node on sockets, as a process."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run a node until it has shut down; return the exit code."""
    # Before the node's modules are imported, which takes a while: SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from hookpitch.service import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
