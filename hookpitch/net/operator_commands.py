"""Operators' commands on the admin endpoint: status, metrics, bans and drains.

A command is checked here and published by `HotRestart`, which passes the command to `apply` in
every process of the node, in the same order. A banned backend receives no RPCs until it is
restored. A drain makes health checks fail at once and, `DRAIN_DELAY_MS` later, closes client
connections as they become idle; RESUME ends the drain.
"""

from __future__ import annotations

from typing import Any, Protocol

from hookpitch.core.host import Host
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.hot_restart import HotRestart
from hookpitch.net.lifecycle import Lifecycle, Membership, State
from hookpitch.net.shared_state import Command, Verb
from hookpitch.net.startup_monitor import StartupMonitor

DRAIN_DELAY_MS = 500.0  # from PAUSE until idle connections close; health checks fail first
NO_SUCH_SERVER = "no such cache server"
SHUTTING_DOWN = "leaving"


class CommandNode(Protocol):
    """The components of a node that the commands use."""

    clock: Clock
    host: Host
    clients: ClientRegistry
    lifecycle: Lifecycle
    startup_monitor: StartupMonitor
    hot_restart: HotRestart
    membership: Membership | None
    logger: Any


class OperatorCommands:
    """The target of the admin endpoint; commands return why they were rejected, or ''."""

    def __init__(self, node: CommandNode) -> None:
        self._node = node
        self.is_draining = False
        # The number of drains begun and ended. The delayed step of a drain is skipped if the number
        # has changed since the drain began.
        self._drain_change_count = 0

    # ---- status

    def not_ready_reason(self) -> str:
        """Return why health checks should fail, or ''."""
        state = self._node.lifecycle.state
        if state is State.SHUTTING_DOWN:
            return SHUTTING_DOWN
        if self.is_draining:
            return "draining"
        if state is State.STARTING:
            return "starting"
        if not self._node.host.router.backends:
            return "no list of servers yet"
        return ""

    def metrics(self) -> list[tuple[str, int]]:
        """Return the documented counters and gauges, in a fixed order."""
        host = self._node.host
        counts = host.counters.counts
        by_method = [
            (f"{name}.{method.name}", counts.get(f"{name}.{method.name}", 0))
            for name in ("completed", "rejected", "failed")
            for method in host.deployment.methods
        ]
        members, unavailable = host.endpoint_counts()
        return [
            *by_method,
            ("upstream_requests", counts.get("upstream_requests", 0)),
            ("pending", host.rpcs.pending),
            ("members", members),
            ("members_unavailable", unavailable),
            ("config_reloads", counts.get("config_reloads", 0)),
            ("config_reload_errors", counts.get("config_reload_errors", 0)),
            ("config_changes", counts.get("config_changes", 0)),
            ("start_phase", int(self._node.startup_monitor.phase)),
        ]

    def membership_lines(self) -> list[str]:
        """Return one line per member that this node knows; none where the node is not a member."""
        membership = self._node.membership
        return [] if membership is None else membership.lines()

    # ---- commands

    def suspend(self, backend_id: str) -> str:
        """Ban a backend."""
        return self._change_ban(Verb.SUSPEND, backend_id)

    def restore(self, backend_id: str) -> str:
        """End a backend's ban."""
        return self._change_ban(Verb.RESTORE, backend_id)

    def pause(self) -> str:
        """Drain this node."""
        return self._change_drain(Verb.PAUSE)

    def resume(self) -> str:
        """End the drain."""
        return self._change_drain(Verb.RESUME)

    def _change_ban(self, verb: Verb, backend_id: str) -> str:
        if not self._node.host.can_ban(backend_id):
            return NO_SUCH_SERVER
        self._node.hot_restart.publish(Command(verb, backend_id))
        return ""

    def _change_drain(self, verb: Verb) -> str:
        if self._node.lifecycle.state is State.SHUTTING_DOWN:
            return SHUTTING_DOWN
        self._node.hot_restart.publish(Command(verb))
        return ""

    # ---- in each process

    def apply(self, command: Command) -> None:
        """Carry out a published command; ignore a command that changes nothing."""
        if command.verb in (Verb.SUSPEND, Verb.RESTORE):
            self._apply_ban(command)
        elif command.verb in (Verb.PAUSE, Verb.RESUME):
            self._apply_drain(command)

    def active_commands(self) -> list[Command]:
        """Return the commands that would give a new process the bans and drain of this one."""
        commands = [Command(Verb.SUSPEND, backend_id) for backend_id in self._node.host.router.bans]
        if self.is_draining:
            commands.append(Command(Verb.PAUSE))
        return commands

    def _apply_ban(self, command: Command) -> None:
        node = self._node
        banned = command.verb is Verb.SUSPEND
        if banned == (command.target in node.host.router.bans):
            return
        self._log(command)
        node.host.set_banned(node.clock.now(), command.target, banned)

    def _apply_drain(self, command: Command) -> None:
        node = self._node
        draining = command.verb is Verb.PAUSE
        if draining == self.is_draining:
            return
        self._log(command)
        self.is_draining = draining
        node.clients.reports_draining = draining
        self._drain_change_count += 1
        if draining:
            change_count = self._drain_change_count
            node.clock.deadlines.add(
                node.clock.now() + DRAIN_DELAY_MS, lambda _: self._close_idle_clients(change_count)
            )
        elif node.lifecycle.state is not State.SHUTTING_DOWN:
            node.clients.is_draining = False

    def _close_idle_clients(self, change_count: int) -> None:
        if change_count == self._drain_change_count:
            self._node.clients.drain()

    def _log(self, command: Command) -> None:
        self._node.logger.info(
            "operator_command", command=command.verb.value, target=command.target
        )
