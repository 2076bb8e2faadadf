"""The lifecycle of one node's process: start, serving, graceful shutdown, stop.

On SIGTERM, a process that opened its own listening socket continues to serve for
`SHUTDOWN_DELAY_MS`, so that clients see the failing health check first. The process then stops
listening, answers the RPCs it has read, and stops the reactor. A process with an inherited
listening socket stops accepting at once, as another process accepts from the same socket.
Invariants: the state only advances; every RPC has its answer within its longest deadline plus fixed
delays. The process then ends, or waits for large responses that backends still give and clients
still receive: until these are complete, have made no progress for the timeout of a stream and
`LAST_REPLY_MS`, or `MAX_DELIVERY_MS` are over.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Protocol

from hookpitch.balancer.interface import Endpoint
from hookpitch.core.host import Host
from hookpitch.net.admin import MAX_WAITING_CONNECTIONS, AdminServer
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.net.hot_restart import HotRestart
from hookpitch.net.node_config import NodeConfig
from hookpitch.net.startup_monitor import StartupMonitor

if TYPE_CHECKING:
    from hookpitch.net.snapshot_store import SnapshotStore

LISTEN_BACKLOG = 4096
# After this time, a process with an inherited socket serves even without a list from discovery.
FIRST_LIST_TIMEOUT_MS = 1500.0
SHUTDOWN_DELAY_MS = 500.0  # from the start of the shutdown until the node stops listening
IDLE_CLOSE_SPREAD_MS = 400.0  # time over which idle connections close while another process serves
FINAL_RESPONSE_MS = 150.0  # time after the longest deadline for writing the last responses
# Part of FINAL_RESPONSE_MS for the last responses to be delivered: when the process ends, the
# kernel resets connections that have unread bytes.
FINAL_DELIVERY_MS = 40.0
# How long responses that make progress may keep a process that has answered everything else.
MAX_DELIVERY_MS = 60_000.0
FINAL_SNAPSHOT_MS = 100.0  # time for writing the last snapshot


class Membership(Protocol):
    """The node as a member of the fleet (`members/port.py`)."""

    def start(self, reactor: Any) -> None:  # noqa: ANN401 - see SocketNode
        """Listen for datagrams and join the fleet."""

    def leave(self) -> None:
        """Announce the departure and stop listening."""

    def lines(self) -> list[str]:
        """Return a line for operators on each member that this node knows."""


class LifecycleNode(Protocol):
    """The components of a node that the lifecycle uses."""

    reactor: Any
    clock: Clock
    config: NodeConfig
    host: Host
    clients: ClientRegistry
    discovery: Discovery
    admin_server: AdminServer
    startup_monitor: StartupMonitor
    hot_restart: HotRestart
    membership: Membership | None
    snapshot_store: SnapshotStore | None
    logger: Any

    def apply_cached_endpoints(
        self, version: int, endpoints: list[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Use these endpoints until discovery sends a list."""


class State(IntEnum):
    """The state of the process, which only advances."""

    STARTING = 0
    SERVING = 1
    SHUTTING_DOWN = 2


class Lifecycle:
    """Starts and stops the components of one node in order."""

    def __init__(self, node: LifecycleNode) -> None:
        self._node = node
        self.state = State.STARTING
        self.listening_port: Any = None  # the port to which clients connect
        self._admin_port: Any = None
        self._is_ending = False

    # ---- start

    def start(self) -> None:
        """Listen, restore the snapshot and serve.

        Raises CannotListenError where the address is in use; the call may then be repeated.
        """
        node = self._node
        config = node.config
        self._listen_for_operators()
        if config.inherited_descriptor is None:
            address, port = config.listen_address
            self.listening_port = node.reactor.listenTCP(
                port, node.clients, backlog=LISTEN_BACKLOG, interface=address
            )
        node.apply_cached_endpoints(
            config.endpoints_version, list(config.initial_endpoints), config.addresses
        )
        if node.snapshot_store is not None:
            node.snapshot_store.restore()
        node.startup_monitor.start()
        if node.membership is not None:
            node.membership.start(node.reactor)
        if config.admin_address is not None and config.shared_directory:
            node.hot_restart.start()
        if config.inherited_descriptor is None:
            node.discovery.schedule_poll()
            self._serve()
        else:
            self._serve_after_first_list()

    def _listen_for_operators(self) -> None:
        node = self._node
        if node.config.admin_address is None or self._admin_port is not None:
            return
        # An operator's command must not wait behind hundreds of clients.
        listen = getattr(node.reactor, "listen_prioritized", node.reactor.listenTCP)
        address, port = node.config.admin_address
        self._admin_port = listen(port, node.admin_server, MAX_WAITING_CONNECTIONS, address)

    def _serve_after_first_list(self) -> None:
        """Serve once discovery has sent its first list, or after `FIRST_LIST_TIMEOUT_MS`.

        Clients connect at once, and the initial endpoints may be outdated; but a discovery service
        that is down must not keep the node from serving.
        """
        node = self._node
        node.discovery.on_first_list = self._serve
        node.discovery.start_watch(node.clock.now())
        node.clock.deadlines.add(node.clock.now() + FIRST_LIST_TIMEOUT_MS, lambda _: self._serve())

    def _serve(self) -> None:
        """Begin to accept clients."""
        node = self._node
        node.discovery.on_first_list = None
        if self.state is not State.STARTING:
            return
        self.state = State.SERVING
        address, port = node.config.listen_address
        descriptor = node.config.inherited_descriptor
        if descriptor is not None:
            # The socket is shared with other processes, so it is adopted unchanged; closing it here
            # leaves it open in the other processes.
            os.set_blocking(descriptor, False)
            family = socket.AF_INET6 if ":" in address else socket.AF_INET
            self.listening_port = node.reactor.adoptStreamPort(descriptor, family, node.clients)
        node.logger.info(
            "serving", listen=f"{address}:{port}", servers=len(node.config.initial_endpoints)
        )

    # ---- graceful shutdown

    def shut_down(self) -> None:
        """Begin the graceful shutdown; a second call has no effect."""
        if self.state is State.SHUTTING_DOWN:
            return
        self.state = State.SHUTTING_DOWN
        node = self._node
        node.logger.info("graceful_shutdown_started")
        if node.membership is not None:
            node.membership.leave()
        # This timeout also covers RPCs that were accepted under earlier settings.
        longest_rpc_ms = node.host.longest_deadline_ms
        delay_ms = SHUTDOWN_DELAY_MS if node.config.inherited_descriptor is None else 0.0
        stop_listening_at = node.clock.now() + delay_ms
        # The last connection to be closed may send one more RPC just before, which may take until
        # its hard deadline.
        end_at = (
            stop_listening_at + self._idle_close_spread_ms() + longest_rpc_ms + FINAL_RESPONSE_MS
        )
        deadlines = node.clock.deadlines
        deadlines.add(stop_listening_at, lambda _: self._stop_listening())
        deadlines.add(end_at - FINAL_DELIVERY_MS, lambda _: self._fail_open_rpcs())
        deadlines.add(end_at, lambda _: self._end_when_delivered())
        deadlines.add(end_at + MAX_DELIVERY_MS, lambda _: self._end())

    def _stop_listening(self) -> None:
        if self._node.config.inherited_descriptor is None:
            self._accept_all()
        if self.listening_port is not None:
            self.listening_port.stopListening()
        self._node.clients.shut_down(self._end, self._idle_close_spread_ms())

    def _accept_all(self) -> None:
        """Accept the connections in the kernel's queue, which a close of the socket would reset."""
        sessions = -1
        while sessions != getattr(self.listening_port, "sessionno", -1):
            sessions = self.listening_port.sessionno
            self.listening_port.doRead()

    def _idle_close_spread_ms(self) -> float:
        if self._node.config.inherited_descriptor is None:
            return 0.0
        return IDLE_CLOSE_SPREAD_MS

    def _fail_open_rpcs(self) -> None:
        """Answer open RPCs with an error and close every connection, as the time is over."""
        self._node.host.fail_all(self._node.clock.now())
        self._node.clients.close_all()

    def _end_when_delivered(self) -> None:
        """End as soon as no client is receiving a response any more."""
        count = self._node.clients.wait_for_deliveries(self._end)
        if count:
            self._node.logger.info("graceful_shutdown_extended", responses=count)

    def _end(self) -> None:
        if self._is_ending:
            return
        self._is_ending = True
        node = self._node
        store = node.snapshot_store
        if store is None:
            self._stop()
            return
        # The last snapshot holds what the node has learned since the previous one. A disk that
        # stalls must not delay the end of the process for long.
        store.save()
        wait_ms = FINAL_SNAPSHOT_MS if store.is_writing else 0.0
        node.clock.deadlines.add(node.clock.now() + wait_ms, lambda _: self._stop())

    def _stop(self) -> None:
        node = self._node
        node.hot_restart.stop()
        if node.reactor.running:
            node.reactor.stop()
