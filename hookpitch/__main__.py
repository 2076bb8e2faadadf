"""`python -m hookpitch`: one node on sockets."""

from __future__ import annotations

import errno
import gc
import os
import resource
import signal
import sys
import time
from functools import partial

from twisted.internet.error import CannotListenError

from hookpitch.core.counters import Counters
from hookpitch.net import log, prioritized_reactor
from hookpitch.net.clock import Clock
from hookpitch.net.node import SocketNode
from hookpitch.net.node_config import load_node_config, load_reloaded_config

LISTEN_TRIES, LISTEN_PAUSE_S = 30, 0.1


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        told, sections = load_node_config(os.environ), {}
        if os.environ.get("HOOKPITCH_CONFIG"):  # what is off is not even imported
            from hookpitch.net.operator_settings import operator_settings_from

            sections = operator_settings_from(os.environ).sections
    except ValueError as fault:
        print(f"hookpitch: cannot start: {fault}", file=sys.stderr)
        return 2
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = (
        told.descriptor_limit
        if hard == resource.RLIM_INFINITY
        else min(told.descriptor_limit, hard)
    )
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    # Danger: Twisted's timers go by the wall clock, and one set back would hold up every deadline.
    counters = Counters()
    reactor = prioritized_reactor.install()
    reactor.seconds = time.monotonic
    logger = log.start_logging(told.name, counters)
    node = SocketNode(reactor, Clock(reactor), told, counters, logger)
    if "snapshot" in sections:
        from hookpitch.net.snapshot_store import SnapshotStore, run_in_thread

        node.snapshot_store = SnapshotStore(
            sections["snapshot"], node, partial(run_in_thread, reactor)
        )
    if "members" in sections:
        from hookpitch.members.port import attach

        attach(sections["members"], node)
    # Danger: a signal that comes as soon as the log says "serving" would be lost, or end the node.
    reload = partial(node.reload, partial(load_reloaded_config, os.environ))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.shut_down))
    for tries in range(LISTEN_TRIES):
        try:
            node.start()
            break
        except CannotListenError as fault:
            # Danger: the process before may still hold the address for a moment.
            if (
                tries == LISTEN_TRIES - 1
                or getattr(fault.socketError, "errno", 0) != errno.EADDRINUSE
            ):
                print(f"hookpitch: cannot start: {fault}", file=sys.stderr)
                return 2
            time.sleep(LISTEN_PAUSE_S)
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    logger.info("left", **counters.counts)
    return 0


if __name__ == "__main__":
    sys.exit(main())
