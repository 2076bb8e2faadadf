"""The division of a node's file descriptors and memory among its components."""

from __future__ import annotations

from dataclasses import dataclass

from hookpitch.net.admin import MAX_CLOSING_CONNECTIONS, MAX_WAITING_CONNECTIONS
from hookpitch.net.node_config import NodeConfig

# For standard input, output and error, the poller, discovery (two) and Twisted's reserve.
PROCESS_DESCRIPTORS = 14
# For the admin endpoint, the inherited socket and the shared files.
ADMIN_DESCRIPTORS = MAX_WAITING_CONNECTIONS + MAX_CLOSING_CONNECTIONS + 4
MIN_REJECTED_CLIENTS = 4

PROCESS_BYTES = 29 << 20  # of a process without connections, once its tables are full
CONNECTION_BYTES = 4096  # of an open connection that is idle
MIN_SPARE_BYTES = 3 << 20
MAX_CONNECTIONS_FRACTION = 2 / 3  # of the spare memory
MIN_READ_BYTES = 4096
MAX_READ_BYTES = 16384


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """File descriptors by use; the remaining ones are for the process itself."""

    backends: int  # connections to caches and the origin
    clients: int  # connections that are served
    idle_clients: int  # number of open connections above which idle ones are closed
    rejected_clients: int  # connections beyond `clients`, open until they are answered with -BUSY

    @classmethod
    def from_config(cls, config: NodeConfig) -> DescriptorBudget:
        """Return the budget: at most half of the limit for backends, the rest for clients.

        The process's own descriptors are subtracted first.
        """
        limit = config.descriptor_limit
        own = PROCESS_DESCRIPTORS
        if config.admin_address is not None:
            own += ADMIN_DESCRIPTORS
        idle_clients = limit // 3
        rejected_clients = max(MIN_REJECTED_CLIENTS, limit // 32)
        backends = min(limit // 2, limit - idle_clients - rejected_clients - own)
        return cls(
            backends=backends,
            clients=limit - backends - rejected_clients - own,
            idle_clients=idle_clients,
            rejected_clients=rejected_clients,
        )


@dataclass(frozen=True, slots=True)
class MemoryBudgets:
    """The limits of memory by use, in bytes.

    Their sum, with the process at rest, stays under the node's limit: what is left once the process
    and its connections are paid for is halved, because Python's allocator and the copies made on
    the way take as much again.
    """

    traffic_bytes: int  # all requests and responses in flight
    clients: int  # connections of clients that there is memory for
    read_bytes: int  # read from one connection at a time
    endpoint_list_bytes: int  # one endpoint list or change from discovery

    @classmethod
    def from_config(cls, config: NodeConfig, max_clients: int) -> MemoryBudgets:
        """Return the budgets of a node whose descriptors allow `max_clients` connections."""
        memory_bytes = config.memory_mb << 20
        spare_bytes = max(MIN_SPARE_BYTES, memory_bytes - PROCESS_BYTES)
        clients = min(max_clients, int(MAX_CONNECTIONS_FRACTION * spare_bytes) // CONNECTION_BYTES)
        traffic_bytes = (spare_bytes - clients * CONNECTION_BYTES) // 2
        read_bytes = traffic_bytes // (2 * max_clients)
        return cls(
            traffic_bytes=traffic_bytes,
            clients=clients,
            read_bytes=max(MIN_READ_BYTES, min(MAX_READ_BYTES, read_bytes)),
            endpoint_list_bytes=memory_bytes // 32,
        )
