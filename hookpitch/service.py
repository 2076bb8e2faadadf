"""The process of one node on sockets: configuration, signals, start and exit code."""

from __future__ import annotations

import errno
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Mapping
from functools import partial
from typing import Any

from twisted.internet.error import CannotListenError

from hookpitch.core.counters import Counters
from hookpitch.net import log, prioritized_reactor
from hookpitch.net.allocator import return_large_blocks
from hookpitch.net.clock import Clock
from hookpitch.net.node import SocketNode
from hookpitch.net.node_config import load_node_config, load_reloaded_config

LISTEN_ATTEMPTS = 30
LISTEN_RETRY_S = 0.1
EXIT_CANNOT_START = 2


def run() -> int:
    """Run a node until it has shut down; return the exit code.

    The caller has to ignore SIGHUP before the call; the signal gets a handler once a node exists.
    """
    try:
        config = load_node_config(os.environ)
        sections = _operator_sections(os.environ)
    except ValueError as error:
        return _cannot_start(error)
    _limit_descriptors(config.descriptor_limit)
    return_large_blocks()
    reactor = prioritized_reactor.install()
    # By default Twisted's timers follow the wall clock; setting it back would delay every deadline.
    reactor.seconds = time.monotonic
    counters = Counters()
    logger = log.start_logging(config.name, counters)
    node = SocketNode(reactor, Clock(reactor), config, counters, logger)
    _attach_subsystems(node, sections)
    # Handlers are installed before the node listens: a signal that arrives as soon as the log says
    # "serving" must neither be lost nor end the process.
    _handle_signals(reactor, node)
    try:
        _start(node)
    except CannotListenError as error:
        return _cannot_start(error)
    # Objects that exist now live as long as the process. Frozen, they are skipped by later garbage
    # collections, which are then shorter.
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    logger.info("shutdown_complete", **counters.counts)
    return 0


def _cannot_start(error: Exception) -> int:
    print(f"hookpitch: cannot start: {error}", file=sys.stderr)
    return EXIT_CANNOT_START


def _operator_sections(environment: Mapping[str, str]) -> Mapping[str, Any]:
    """Return the operator's settings by section; import their parser only if there is a file."""
    if not environment.get("HOOKPITCH_CONFIG"):
        return {}
    from hookpitch.net.operator_settings import operator_settings_from

    return operator_settings_from(environment).sections


def _limit_descriptors(limit: int) -> None:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit != resource.RLIM_INFINITY:
        limit = min(limit, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard_limit))


def _attach_subsystems(node: SocketNode, sections: Mapping[str, Any]) -> None:
    """Import and attach the subsystems that the operator has turned on."""
    if "snapshot" in sections:
        from hookpitch.net.snapshot_store import SnapshotStore, run_in_thread

        node.snapshot_store = SnapshotStore(
            sections["snapshot"], node, partial(run_in_thread, node.reactor)
        )
    if "members" in sections:
        from hookpitch.members.port import attach

        attach(sections["members"], node)


def _handle_signals(reactor: Any, node: SocketNode) -> None:  # noqa: ANN401 - see SocketNode
    """Handle signals: SIGHUP reloads the configuration, SIGTERM and SIGINT begin a shutdown."""
    reload_config = partial(node.reload, partial(load_reloaded_config, os.environ))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload_config))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.shut_down))


def _start(node: SocketNode) -> None:
    """Start the node, waiting for a previous process to release the address.

    Raises CannotListenError where the address stays in use, or cannot be used at all.
    """
    for attempt in range(1, LISTEN_ATTEMPTS + 1):
        try:
            node.start()
        except CannotListenError as error:
            in_use = getattr(error.socketError, "errno", 0) == errno.EADDRINUSE
            if attempt == LISTEN_ATTEMPTS or not in_use:
                raise
            time.sleep(LISTEN_RETRY_S)
        else:
            return
