"""The entry point of `python -m hookpitch`, which runs one node on sockets."""

from __future__ import annotations

import signal
import sys

from hookpitch.unused_modules import leave_out_unused_modules


def main() -> int:
    """Run a node until it has shut down; return the exit code."""
    # SIGHUP is ignored before the node's modules are imported: the import takes a while, and during
    # it the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    leave_out_unused_modules()
    from hookpitch.service import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
