"""One node on sockets: its parts, made and joined.

`lifecycle` starts and stops them, `commands` are the operators', `hot_restart` keeps two processes
of one node in step, `startup_monitor` observes the phases of the start. `membership` and
`snapshot_store` are attached after construction where the operator's file asks for them.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from hookpitch.balancer.interface import Endpoint, EndpointUpdate
from hookpitch.core.counters import Counters
from hookpitch.core.host import Host
from hookpitch.net.admin import AdminServer
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.net.hot_restart import HotRestart, ProcessCapacity
from hookpitch.net.lifecycle import Lifecycle, Membership
from hookpitch.net.loop_monitor import LoopMonitor
from hookpitch.net.node_config import NodeConfig, ReloadedConfig
from hookpitch.net.operator_commands import OperatorCommands
from hookpitch.net.origin import OriginConnection
from hookpitch.net.reload import reload_config
from hookpitch.net.resource_budget import DescriptorBudget, MemoryBudgets
from hookpitch.net.startup_monitor import StartupMonitor

if TYPE_CHECKING:
    from hookpitch.net.snapshot_store import SnapshotStore


class SocketNode:
    """A node's parts, by name."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - Twisted's and the simulation's have no common type
        clock: Clock,
        config: NodeConfig,
        counters: Counters,
        logger: Any,  # noqa: ANN401 - structlog's loggers are made at run time
        cpu_time: Callable[[], float] = time.process_time,
    ) -> None:
        """`cpu_time` returns the CPU seconds that this process has used."""
        self.reactor = reactor
        self.clock = clock
        self.config = config
        self.logger = logger
        descriptors = DescriptorBudget.of(config)
        memory = MemoryBudgets.of(config)
        self.host = Host(clock.now(), config.deployment, clock.deadlines, counters, logger)
        self.pools = BackendPools(reactor, clock, self.host, descriptors.backends, OriginConnection)
        self.clients = ClientRegistry(
            self.host,
            clock,
            descriptors.idle_clients,
            memory.unread_response_bytes,
            descriptors.clients,
            descriptors.rejected_clients,
        )
        self.host.value_budget.limit = memory.value_bytes
        self.loop_monitor = LoopMonitor(clock, self.host, cpu_time)
        self.discovery = Discovery(
            reactor,
            clock,
            self.host,
            config.discovery_address,
            config.endpoints_version,
            memory.endpoint_list_bytes,
        )
        self.host.transport = self.pools
        self.commands = OperatorCommands(self)
        self.admin_server = AdminServer(clock, self.commands, counters.add)
        self.startup_monitor = StartupMonitor(clock, self.host, self.discovery, logger)
        self.hot_restart = HotRestart(
            self,
            ProcessCapacity(descriptors.backends, descriptors.clients, memory.value_bytes),
        )
        self.lifecycle = Lifecycle(self)
        self.membership: Membership | None = None
        self.snapshot_store: SnapshotStore | None = None

    def start(self) -> None:
        """Listen and serve. Raises CannotListenError, after which it may be called again."""
        self.lifecycle.start()

    def shut_down(self) -> None:
        """Begin a graceful shutdown, which ends with the reactor stopped."""
        self.lifecycle.shut_down()

    def reload(self, read_config: Callable[[], ReloadedConfig]) -> None:
        """Apply the configuration that `read_config` returns; where it raises ValueError, nothing
        changes."""
        reload_config(self, read_config)

    def apply_cached_endpoints(
        self, version: int, endpoints: list[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Serve by these endpoints until discovery sends a list; `addresses` by endpoint id."""
        self.discovery.version = version
        self.host.update_endpoints(self.clock.now(), EndpointUpdate.CACHED, endpoints, addresses)
