"""One node put together, and how it leaves."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any, Protocol

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate
from hookpitch.core.counters import Counters
from hookpitch.core.host import Host
from hookpitch.net.admin import MAX_CALLERS, MAX_CLOSING, AdminServer
from hookpitch.net.backend_pools import BackendPools
from hookpitch.net.client_registry import ClientRegistry
from hookpitch.net.clock import Clock
from hookpitch.net.discovery import Discovery
from hookpitch.net.loop_monitor import LoopMonitor
from hookpitch.net.node_config import NodeConfig, ReloadedConfig
from hookpitch.net.origin import OriginConnection
from hookpitch.net.shared_state import SharedState
from hookpitch.startup.phases import Phase, StartupPhases, StartupProgress

if TYPE_CHECKING:
    from hookpitch.net.snapshot_store import SnapshotStore

LISTEN_BACKLOG = 4096
OWN = 14  # descriptors: standard ones, the poller's, discovery's two, Twisted's reserve
ADMIN_DESCRIPTORS = (
    MAX_CALLERS + MAX_CLOSING + 4
)  # the door's, the inherited socket's and the shared files'
FIRST_LIST_MS = 1500.0  # a process with an inherited socket waits so long for its first list
FOLLOW_MS = 200.0  # between two looks at what the node's other process was told
PARTING_MS = 400.0  # over which a process that another follows closes what is idle
SERVE_ON_MS = 500.0  # after being asked to leave, while clients still come
PHASE_MS = 250.0  # between two looks at how far the start is
VAIN = 3  # failures, and no answer from anyone, after which the list of before is of no use
ENOUGH = 4  # answers of a server, from which on it is known
LAST_MS = 100.0  # for the last snapshot to be written
REPLY_MS = 150.0  # past the longest deadline, for the last answers to be written;
ARRIVE_MS = 40.0  # of it for them to arrive, before the process's end resets what has bytes unread


class Membership(Protocol):
    """A node's place among the others (`members/port.py`)."""

    def start(self, reactor: Any) -> None: ...  # noqa: ANN401
    def leave(self) -> None: ...
    def lines(self) -> list[str]: ...


class SocketNode:
    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        clock: Clock,
        config: NodeConfig,
        counters: Counters,  # noqa: ANN401
        logger: Any,  # noqa: ANN401
        cpu: Callable[[], float] = time.process_time,
    ) -> None:  # noqa: ANN401
        """`cpu` tells the CPU time used so far, in seconds."""
        self.reactor, self.clock, self.config, self.logger = reactor, clock, config, logger
        self.host = Host(clock.now(), config.deployment, clock.deadlines, counters, logger)
        # Half of the descriptors for servers, the rest for clients; some for the log, discovery and
        # the like, and some for clients that are only told that there is no room.
        own = OWN + (ADMIN_DESCRIPTORS if config.admin_address is not None else 0)
        third, guests = config.descriptor_limit // 3, max(4, config.descriptor_limit // 32)
        servers = min(config.descriptor_limit // 2, config.descriptor_limit - third - guests - own)
        self.pools = BackendPools(reactor, clock, self.host, servers, OriginConnection)
        room = config.descriptor_limit - servers - guests - own
        self.clients = ClientRegistry(self.host, clock, third, config.memory_mb << 19, room, guests)
        self.host.value_budget.limit = config.memory_mb << 18  # a quarter of the memory
        self.loop_monitor = LoopMonitor(clock, self.host, cpu)
        self.discovery = Discovery(
            reactor,
            clock,
            self.host,
            config.discovery_address,
            config.endpoints_version,
            config.memory_mb << 15,
        )
        self.host.transport = self.pools
        self.shutting_down = self.paused = self.serving = self.parted = False
        self.pauses = 0  # so far; a drain's later steps are its own
        self.listening_port: Any = None
        self.admin_port: Any = None
        self.admin_server = AdminServer(clock, self, counters.add)
        self.shared_state: SharedState | None = None
        self.start_phases = StartupPhases(clock.now())
        self.membership: Membership | None = (
            None  # its place among the members, where the operator's file has one
        )
        self.snapshot_store: SnapshotStore | None = (
            None  # of a snapshot, where the operator's file has one
        )
        self.process_count, self._look = (
            1,
            False,
        )  # of this node, as last seen; whether to look again
        self.whole = servers, room, self.host.value_budget.limit  # what one process alone may hold

    def start(self) -> None:
        """Raises CannotListenError; then it may be called again."""
        address, port = self.config.listen_address
        if self.config.admin_address is not None and self.admin_port is None:
            # Danger: an operator's call that waits behind hundreds of clients.
            listen = getattr(self.reactor, "listenFirst", self.reactor.listenTCP)
            self.admin_port = listen(
                self.config.admin_address[1],
                self.admin_server,
                MAX_CALLERS,
                self.config.admin_address[0],
            )
        if self.config.inherited_descriptor is None:
            self.listening_port = self.reactor.listenTCP(
                port, self.clients, backlog=LISTEN_BACKLOG, interface=address
            )
        self.apply_cached_endpoints(
            self.config.endpoints_version,
            list(self.config.initial_endpoints),
            self.config.addresses,
        )
        if self.snapshot_store is not None:
            self.snapshot_store.restore()
        self.clock.deadlines.add(self.clock.now() + PHASE_MS, self._phase)
        if self.membership is not None:
            self.membership.start(self.reactor)
        if self.config.admin_address is not None and self.config.shared_directory:
            self._share()
        if self.config.inherited_descriptor is None:
            self.discovery.schedule_poll()
            self._serve()
            return
        # Danger: the list that is known may be old, and clients come at once. But a discovery that
        # is down must not keep the node from serving what it knows.
        self.discovery.on_first_list = self._serve
        self.discovery.start_watch(self.clock.now())
        self.clock.deadlines.add(self.clock.now() + FIRST_LIST_MS, lambda _: self._serve())

    def apply_cached_endpoints(
        self, seq: int, entries: list[Endpoint], dials: Mapping[str, str]
    ) -> None:
        """The list of before, until discovery tells one."""
        self.discovery.version = seq
        self.host.update_endpoints(self.clock.now(), EndpointUpdate.CACHED, entries, dials)

    def _serve(self) -> None:
        """ClientRegistry are taken from now on."""
        self.discovery.on_first_list = None
        if self.serving or self.shutting_down:
            return
        self.serving = True
        if self.config.inherited_descriptor is not None:
            # Danger: the socket is shared with other processes. It is adopted as it is, and only
            # closed here.
            os.set_blocking(self.config.inherited_descriptor, False)
            family = socket.AF_INET6 if ":" in self.config.listen_address[0] else socket.AF_INET
            self.listening_port = self.reactor.adoptStreamPort(
                self.config.inherited_descriptor, family, self.clients
            )
        address, port = self.config.listen_address
        self.logger.info(
            "serving", listen=f"{address}:{port}", servers=len(self.config.initial_endpoints)
        )

    def _phase(self, now: float) -> None:
        caches = [s for s in self.host.router.caches if s.state == EndpointState.READY]
        asked = [s for s in caches if s.send_count or s.send_rate or s.response_count]
        answered, known = (
            sum(s.response_count > 0 for s in asked),
            sum(s.response_count >= ENOUGH for s in asked),
        )
        counters, phases = self.host.counters, self.start_phases
        listed = any(name in counters.counts for name in ("lists.full", "lists.delta"))
        if phases.advance(now, StartupProgress(listed, len(asked), answered, known)):
            took = round(now - phases.started_at)
            if phases.missing:
                counters.add(f"start.{phases.missing}")
            elif phases.phase == Phase.CONNECTING:
                counters.add("start.listed_ms", took)
            lacked = phases.missing or "nothing"
            self.logger.info("start", phase=phases.phase.name.lower(), ms=took, lacked=lacked)
        # Danger: a list of yesterday, in which every server is gone, served by for seconds.
        vain = (
            not caches
            or sum(s.consecutive_failures for s in caches) >= VAIN
            and not any(s.response_count for s in caches)
        )
        if (
            phases.phase == Phase.AWAITING_ENDPOINTS
            and vain
            and self.discovery.poll_schedule.expedite(now)
        ):
            self.discovery.schedule_poll()
        if phases.phase != Phase.STEADY:
            self.clock.deadlines.add(now + PHASE_MS, self._phase)

    # ---- operators

    def not_ready_reason(self) -> str:
        if self.shutting_down or self.paused:
            return "leaving" if self.shutting_down else "draining"
        if self.serving and not self.host.router.backends:
            return "no list of servers yet"
        return "" if self.serving else "starting"

    def metrics(self) -> list[tuple[str, int]]:
        counts = self.host.counters.counts
        by_method = [
            (f"{name}.{m.name}", counts.get(f"{name}.{m.name}", 0))
            for name in ("completed", "rejected", "failed")
            for m in self.host.deployment.methods
        ]
        members, out = self.host.endpoint_counts()
        more = [
            ("upstream_requests", counts.get("upstream_requests", 0)),
            ("pending", self.host.rpcs.pending),
            ("members", members),
            ("members_unavailable", out),
            ("config_reloads", counts.get("config_reloads", 0)),
            ("config_reload_errors", counts.get("config_reload_errors", 0)),
            ("config_changes", counts.get("config_changes", 0)),
            ("start_phase", int(self.start_phases.phase)),
        ]
        return by_method + more

    def membership_lines(self) -> list[str]:
        return self.membership.lines() if self.membership is not None else []

    def suspend(self, id: str) -> str:
        if not self.host.bannable(id):
            return "no such cache server"
        self._do("SUSPEND", id)
        return ""

    def restore(self, id: str) -> str:
        if not self.host.bannable(id):
            return "no such cache server"
        self._do("RESTORE", id)
        return ""

    def pause(self) -> str:
        if self.shutting_down:
            return "leaving"
        self._do("PAUSE", "")
        return ""

    def resume(self) -> str:
        if self.shutting_down:
            return "leaving"
        self._do("RESUME", "")
        return ""

    def _do(self, verb: str, what: str) -> None:
        """A call, here and in the node's other process, in the order of the file that they
        share."""
        if self.shared_state is None or not self.shared_state.append(verb, what):
            self._carry_out(verb, what)
        else:
            self._catch_up()

    def _carry_out(self, verb: str, what: str) -> None:
        if verb in ("SUSPEND", "RESTORE"):
            banned = verb == "SUSPEND"
            if banned == (what in self.host.router.bans):
                return
            self.logger.info("by hand", call=verb, what=what)
            self.host.ban(self.clock.now(), what, banned)
            return
        if verb == "START":
            self._look = True
        if self.paused == (verb == "PAUSE") or verb == "START":
            return
        self.logger.info("by hand", call=verb, what=what)
        self.paused = self.clients.reports_draining = not self.paused
        self.pauses += 1
        if self.paused:
            number = self.pauses
            at = self.clock.now() + SERVE_ON_MS
            self.clock.deadlines.add(at, lambda _: number == self.pauses and self.clients.drain())
        elif not self.shutting_down:
            self.clients.draining = False

    def _share(self) -> None:
        try:
            self.shared_state = SharedState(
                self.config.shared_directory,
                self.config.name,
                self.logger.info,
                self.config.process_id,
            )
        except OSError as fault:
            # Danger: without the file a ban does not outlast this process. That is told, and the
            # node serves.
            self.logger.info(f"nothing is shared with another process of this node: {fault}")
            return
        if not self.shared_state.other_processes:
            # A drain is a process's: one that starts alone begins without it. Bans last.
            self.shared_state.append("RESUME")
        self._follow(self.clock.now())

    def _among(self, processes: int) -> None:
        """So many processes are this node: together they hold what one may."""
        if processes == self.process_count:
            return
        self.process_count, (servers, room, held) = processes, self.whole
        self.logger.info("processes of this node", count=processes)
        self.host.router.set_process_count(self.clock.now(), processes)
        # Danger: what is open already stays, or clients would be turned back unheard; it only grows
        # no more.
        self.pools.max_descriptors = max(
            servers // processes, min(servers, self.pools.descriptors_used)
        )
        self.clients.max_connections = max(
            room // processes, min(room, len(self.clients.connections))
        )
        self.host.value_budget.limit = held // processes

    def _catch_up(self) -> None:
        for verb, what in self.shared_state.read_new() if self.shared_state is not None else ():
            self._carry_out(verb, what)

    def _follow(self, now: float) -> None:
        if self.shared_state is None:
            return
        self._catch_up()
        if self._look:
            self._among(1 + len(self.shared_state.find_other_processes()))
            self._look = self.process_count > 1
        calls = [("SUSPEND", id) for id in self.host.router.bans] + (
            [("PAUSE", "")] if self.paused else []
        )
        self.shared_state.compact(calls)
        self.clock.deadlines.add(now + FOLLOW_MS, self._follow)

    def reload(self, read: Callable[[], ReloadedConfig]) -> None:
        """The file of the configuration was replaced: discovery's address and the settings may
        change."""
        try:
            told = read()
        except ValueError as fault:
            # Danger: a file half written, or with a slip in it, must not stop a node that serves.
            self.logger.info("not reloaded", why=str(fault))
            self.host.counters.add("config_reload_errors")
            return
        self.host.counters.add("config_reloads")
        for name, value in told.restart_only.items():
            if value != self.config.restart_only.get(name):
                self.logger.info("stays until a restart", what=name)
        before, d = self.host.deployment, told.deployment
        changed = (
            [
                f.name
                for f in fields(d)
                if getattr(d, f.name) != getattr(before, f.name) and f.name != "seed"
            ]
            if d is not None
            else []
        )
        if d is not None and changed:
            # The seed stays: with another, each node's draws and with them its keys' caches would
            # move.
            self.host.reconfigured(self.clock.now(), replace(d, seed=before.seed))
            self.pools.reconfigured()
            self.loop_monitor.reconfigured()
            self.discovery.reconfigured()
            self.host.counters.add("config_changes")
        address = f"{told.discovery_address[0]}:{told.discovery_address[1]}"
        self.logger.info("reloaded", discovery=address, changed=",".join(changed) or "nothing")
        self.discovery.change_address(
            told.discovery_address,
            bool({"kinds", "origin_kind", "weights_reflect_load"} & set(changed)),
        )

    def shut_down(self) -> None:
        """Serve on for a while, then listen no more, answer what was taken, and end."""
        if self.shutting_down:
            return
        self.shutting_down = True
        self.logger.info("leaving")
        if self.membership is not None:
            self.membership.leave()
        longest = self.host.stream_timeout_ms  # also of RPCs that came under settings of before
        # An inherited socket is heard by another process, or kept until there is one: nothing is
        # refused.
        serve_on = SERVE_ON_MS if self.config.inherited_descriptor is None else 0.0
        until, deadlines = self.clock.now() + serve_on, self.clock.deadlines
        deadlines.add(until, lambda _: self._close())
        # Danger: what parts by turns may still ask just before its turn, and is owed its whole
        # time.
        last = until + self._parting() + longest + REPLY_MS
        deadlines.add(last - ARRIVE_MS, lambda _: self._give_up())
        deadlines.add(last, lambda _: self._end())

    def _give_up(self) -> None:
        """No time is left, whatever clients still do."""
        self.host.fail_all(self.clock.now())
        self.clients.close_all()

    def _close(self) -> None:
        if self.config.inherited_descriptor is None:
            # Danger: the kernel has taken connections that a busy loop has not; they would be
            # reset.
            sessions = -1
            while sessions != getattr(self.listening_port, "sessionno", -1):
                sessions = self.listening_port.sessionno
                self.listening_port.doRead()
        if self.listening_port is not None:
            self.listening_port.stopListening()
        self.clients.shut_down(self._end, self._parting())

    def _parting(self) -> float:
        return 0.0 if self.config.inherited_descriptor is None else PARTING_MS

    def _end(self) -> None:
        if self.snapshot_store is not None and not self.parted:
            # Danger: what was learned since the last turn is lost; a disk that stalls holds the end
            # up.
            self.parted = True
            self.snapshot_store.save()
            wait = LAST_MS if self.snapshot_store.writing else 0.0
            self.clock.deadlines.add(self.clock.now() + wait, lambda _: self._end())
            return
        if self.shared_state is not None:
            self.shared_state.close()
            self.shared_state = None
        if self.reactor.running:
            self.reactor.stop()
