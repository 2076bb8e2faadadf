"""Hot restart: two processes that are one node for as long as both live.

They inherit one listening socket and share one file of operators' commands (`shared_state.py`).
Each applies every command in the file's order, and together they hold no more connections and
memory than one process may. Invariant: while no file is shared, commands act in this process alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from hookpitch.core.host import Host
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.node_config import NodeConfig
from hookpitch.net.shared_state import Command, SharedState, Verb

POLL_INTERVAL_MS = 200.0  # between two reads of the shared file


class CommandTarget(Protocol):
    """What carries commands out in this process."""

    def apply(self, command: Command) -> None:
        """Carry out one command."""

    def active_commands(self) -> list[Command]:
        """The commands that still act."""


class HotRestartNode(Protocol):
    """What a hot restart needs of its node."""

    clock: Clock
    config: NodeConfig
    host: Host
    pools: BackendPools
    clients: ClientRegistry
    commands: CommandTarget
    logger: Any


@dataclass(frozen=True, slots=True)
class ProcessCapacity:
    """What one process may hold while it is the only one."""

    backend_connections: int
    client_connections: int
    value_bytes: int


class HotRestart:
    """This process's side of a hot restart."""

    def __init__(self, node: HotRestartNode, capacity: ProcessCapacity) -> None:
        self._node = node
        self._capacity = capacity
        self.shared_state: SharedState | None = None
        self.process_count = 1  # as last seen
        self._count_processes = False  # whether the number may have changed

    def start(self) -> None:
        """Open the shared file and follow it."""
        node = self._node
        config = node.config
        try:
            self.shared_state = SharedState(
                config.shared_directory, config.name, self._log_damage, config.process_id
            )
        except OSError as error:
            # Bans do not outlast this process then, but it serves.
            node.logger.info("hot_restart_unavailable", reason=str(error))
            return
        if not self.shared_state.other_processes:
            # A drain belongs to the processes that were told; bans stay.
            self.shared_state.append(Command(Verb.RESUME))
        self._poll(node.clock.now())

    def stop(self) -> None:
        """Let go of the shared file."""
        if self.shared_state is not None:
            self.shared_state.close()
            self.shared_state = None

    def publish(self, command: Command) -> None:
        """Carry a command out in every process of this node; in this one before it returns."""
        if self.shared_state is not None and self.shared_state.append(command):
            self._apply_new_commands()
        else:
            self._node.commands.apply(command)

    def _poll(self, now: float) -> None:
        if self.shared_state is None:
            return
        self._apply_new_commands()
        if self._count_processes:
            self._divide_capacity(1 + len(self.shared_state.find_other_processes()))
            self._count_processes = self.process_count > 1
        self.shared_state.compact(self._node.commands.active_commands())
        self._node.clock.deadlines.add(now + POLL_INTERVAL_MS, self._poll)

    def _apply_new_commands(self) -> None:
        if self.shared_state is None:
            return
        for command in self.shared_state.read_new():
            if command.verb is Verb.START:
                self._count_processes = True
            else:
                self._node.commands.apply(command)

    def _divide_capacity(self, process_count: int) -> None:
        """Divide what one process may hold among so many."""
        if process_count == self.process_count:
            return
        self.process_count = process_count
        node = self._node
        capacity = self._capacity
        node.logger.info("process_count_changed", count=process_count)
        node.host.router.set_process_count(node.clock.now(), process_count)
        # Open connections stay, or clients would be rejected unread; their number only grows no
        # more.
        node.pools.max_descriptors = max(
            capacity.backend_connections // process_count,
            min(capacity.backend_connections, node.pools.descriptors_used),
        )
        node.clients.max_connections = max(
            capacity.client_connections // process_count,
            min(capacity.client_connections, len(node.clients.connections)),
        )
        node.host.value_budget.limit = capacity.value_bytes // process_count

    def _log_damage(self, reason: str) -> None:
        self._node.logger.info("shared_state_damaged", reason=reason)
