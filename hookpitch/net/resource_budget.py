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
    """The limits of memory by use, in bytes."""

    unread_response_bytes: int  # responses that clients have not read
    value_bytes: int  # values of requests in flight
    endpoint_list_bytes: int  # one endpoint list or change from discovery

    @classmethod
    def from_config(cls, config: NodeConfig) -> MemoryBudgets:
        """Return a half, a quarter and a thirty-second of the node's memory."""
        memory_bytes = config.memory_mb << 20
        return cls(
            unread_response_bytes=memory_bytes // 2,
            value_bytes=memory_bytes // 4,
            endpoint_list_bytes=memory_bytes // 32,
        )
