"""One node on sockets: creates its components and connects them to each other.

`lifecycle` starts and stops the components, `commands` carries out operators' commands,
`hot_restart` synchronizes the processes of one node, and `startup_monitor` observes the phases of
the start. `membership` and `snapshot_store` are attached after construction where the operator's
settings file turns them on.
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
    """Holds the components of one node."""

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401 - Twisted's and the simulation's reactors have no common type
        clock: Clock,
        config: NodeConfig,
        counters: Counters,
        logger: Any,  # noqa: ANN401 - structlog's logger types are created at run time
        cpu_time: Callable[[], float] = time.process_time,
    ) -> None:
        """Create the components; `cpu_time` returns the CPU seconds this process has used."""
        self.reactor = reactor
        self.clock = clock
        self.config = config
        self.logger = logger
        descriptors = DescriptorBudget.from_config(config)
        memory = MemoryBudgets.from_config(config, descriptors.clients)
        self.host = Host(
            clock.now(), config.deployment, clock.deadlines, counters, logger, clock.monotonic
        )
        self.host.limit_memory(memory.traffic_bytes)
        self.pools = BackendPools(reactor, clock, self.host, descriptors.backends, OriginConnection)
        self.pools.read_bytes = memory.read_bytes
        self.clients = _create_clients(self.host, clock, descriptors, memory)
        self.loop_monitor = LoopMonitor(clock, self.host, cpu_time)
        self.discovery = _create_discovery(reactor, clock, self.host, config, memory)
        self.host.transport = self.pools
        self.commands = OperatorCommands(self)
        self.admin_server = AdminServer(clock, self.commands, counters.add)
        self.startup_monitor = StartupMonitor(clock, self.host, self.discovery, logger)
        capacity = ProcessCapacity(descriptors.backends, memory.clients, memory.traffic_bytes)
        self.hot_restart = HotRestart(self, capacity)
        self.lifecycle = Lifecycle(self)
        self.membership: Membership | None = None
        self.snapshot_store: SnapshotStore | None = None

    def start(self) -> None:
        """Listen and serve clients.

        Raises CannotListenError where the address is in use; the call may then be repeated.
        """
        self.lifecycle.start()

    def shut_down(self) -> None:
        """Begin a graceful shutdown, at the end of which the reactor is stopped."""
        self.lifecycle.shut_down()

    def reload(self, read_config: Callable[[], ReloadedConfig]) -> None:
        """Apply the configuration that `read_config` returns.

        Where `read_config` raises ValueError, the configuration stays as it is.
        """
        reload_config(self, read_config)

    def apply_cached_endpoints(
        self, version: int, endpoints: list[Endpoint], addresses: Mapping[str, str]
    ) -> None:
        """Use these endpoints until discovery sends a list; `addresses` is keyed by endpoint id."""
        self.discovery.version = version
        self.host.update_endpoints(self.clock.now(), EndpointUpdate.CACHED, endpoints, addresses)


def _create_clients(
    host: Host, clock: Clock, descriptors: DescriptorBudget, memory: MemoryBudgets
) -> ClientRegistry:
    return ClientRegistry(
        host,
        clock,
        min(descriptors.idle_clients, memory.clients),
        memory.clients,
        descriptors.rejected_clients,
        memory.read_bytes,
    )


def _create_discovery(
    reactor: Any,  # noqa: ANN401 - see SocketNode
    clock: Clock,
    host: Host,
    config: NodeConfig,
    memory: MemoryBudgets,
) -> Discovery:
    return Discovery(
        reactor,
        clock,
        host,
        config.discovery_address,
        config.endpoints_version,
        memory.endpoint_list_bytes,
    )
