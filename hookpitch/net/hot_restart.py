"""Hot restart: two processes that act as one node while both are running.

The processes inherit one listening socket and share one file of operators' commands
(`shared_state.py`). Each process applies every command in the file's order, and together they use
no more connections and memory than one process may. Invariant: without a shared file, commands act
in this process only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from hookpitch.core.host import Host
from hookpitch.core.id_table import IdTable
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.node_config import NodeConfig
from hookpitch.net.shared_state import Command, SharedState, Verb

POLL_INTERVAL_MS = 200.0  # between reads of the shared file


class CommandTarget(Protocol):
    """Carries out commands in this process."""

    def apply(self, command: Command) -> None:
        """Carry out one command."""

    def active_commands(self) -> list[Command]:
        """Return the commands that are in effect."""


class HotRestartNode(Protocol):
    """The components of a node that a hot restart uses."""

    clock: Clock
    config: NodeConfig
    host: Host
    pools: BackendPools
    clients: ClientRegistry
    commands: CommandTarget
    logger: Any


@dataclass(frozen=True, slots=True)
class ProcessCapacity:
    """The capacity of one process while it is the only process of its node."""

    backend_connections: int
    client_connections: int
    traffic_bytes: int


class HotRestart:
    """Synchronizes this process with the other processes of its node."""

    def __init__(self, node: HotRestartNode, capacity: ProcessCapacity) -> None:
        self._node = node
        self._capacity = capacity
        self.shared_state: SharedState | None = None
        self.process_count = 1  # at the last count
        self._needs_process_count = False  # whether the number of processes may have changed

    def start(self) -> None:
        """Open the shared file and begin to poll it."""
        node = self._node
        config = node.config
        try:
            self.shared_state = SharedState(
                config.shared_directory, config.name, self._log_damage, config.process_id
            )
        except OSError as error:
            # The node serves without a shared file, but bans end with this process.
            node.logger.info("hot_restart_unavailable", reason=str(error))
            return
        node.host.repeated_ids.table = IdTable(node.clock.monotonic, self.shared_state.map_ids())
        if not self.shared_state.other_processes:
            # A drain ends with the processes that were drained; bans outlast them.
            self.shared_state.append(Command(Verb.RESUME))
        self._poll(node.clock.now())

    def stop(self) -> None:
        """Close the shared file."""
        if self.shared_state is not None:
            self.shared_state.close()
            self.shared_state = None

    def publish(self, command: Command) -> None:
        """Carry out a command in every process of this node, and in this one before returning."""
        if self.shared_state is not None and self.shared_state.append(command):
            self._apply_new_commands()
        else:
            self._node.commands.apply(command)

    def _poll(self, now: float) -> None:
        if self.shared_state is None:
            return
        self._apply_new_commands()
        if self._needs_process_count:
            self._divide_capacity(1 + len(self.shared_state.find_other_processes()))
            self._needs_process_count = self.process_count > 1
        self.shared_state.compact(self._node.commands.active_commands())
        self._node.clock.deadlines.add(now + POLL_INTERVAL_MS, self._poll)

    def _apply_new_commands(self) -> None:
        if self.shared_state is None:
            return
        for command in self.shared_state.read_new():
            if command.verb is Verb.START:
                self._needs_process_count = True
            else:
                self._node.commands.apply(command)

    def _divide_capacity(self, process_count: int) -> None:
        """Divide the capacity of one process among `process_count` processes."""
        if process_count == self.process_count:
            return
        self.process_count = process_count
        node = self._node
        capacity = self._capacity
        node.logger.info("process_count_changed", count=process_count)
        node.host.router.set_process_count(node.clock.now(), process_count)
        # A limit does not fall below the number of open connections, as connections over the limit
        # would be closed with RPCs unread. The limit only keeps that number from growing.
        node.pools.max_descriptors = max(
            capacity.backend_connections // process_count,
            min(capacity.backend_connections, node.pools.descriptors_used),
        )
        node.clients.max_connections = max(
            capacity.client_connections // process_count,
            min(capacity.client_connections, len(node.clients.connections)),
        )
        node.host.limit_memory(capacity.traffic_bytes // process_count)

    def _log_damage(self, reason: str) -> None:
        self._node.logger.info("shared_state_damaged", reason=reason)
