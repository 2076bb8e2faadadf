"""Checks the rules for servers and nodes: draining, bans by operators, admin commands, overload.

The events of a history are read once, in order. Times are in milliseconds. The results of a run
contain the texts of violations.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import RESTORED, RESTORING, Event
from hookpitch.testbed.check_context import CheckContext

INFINITY = float("inf")
ADMIN_TIMEOUT_MS = 1000.0  # how long an operator waits for an answer
BANNED = "banned by an operator"
REQUEST_TIMEOUT_MS = 2000.0  # within which a client has to write its request
# A node that sent fewer RPCs than this within `Rules.reuse_within_ms` need not have sent any of
# them to the restored server.
MIN_RPCS_FOR_REUSE = 200


class Restored(NamedTuple):
    """Holds which server an operator restored at which node, and when."""

    node: str
    server: str
    at: float


class Occurrence(NamedTuple):
    """Holds when something happened to a node or server."""

    at: float
    name: str


class UseOfBanned(NamedTuple):
    """Holds a transmission to a banned server while an operator was restoring the server."""

    transmission: Event
    banned_since: float


class ServerChecks:
    """Checks the events that concern a server or a node rather than a single RPC."""

    def __init__(self, context: CheckContext) -> None:
        self._context = context
        self._rules = context.rules
        self._outages = context.outages
        # By (node, server): since when the node knows that the server is out of service.
        self._notified: dict[tuple[str, str], float] = {}
        # By (node, server): since when an operator has banned the server at the node.
        self._banned: dict[tuple[str, str], float] = {}
        # By (node, server): transmissions since the operator sent RESTORE. They are allowed if the
        # node accepts it: it acts when it reads the command, the operator knows from the answer.
        self._while_restoring: dict[tuple[str, str], list[UseOfBanned]] = {}
        self._out_of_service: dict[str, float] = {}  # by server: since when
        self._restored: list[Restored] = []
        self._last_used: dict[tuple[str, str], float] = {}  # by (node, server)
        self._transmissions: list[Occurrence] = []  # of nodes
        self._faults: list[Occurrence] = []  # of nodes and servers

    def check_all(self) -> None:
        """Report all violations."""
        handlers = {
            "told": self._on_notified,
            "listed": self._on_listed,
            "came": self._on_transmission,
            "banned": self._on_banned,
            RESTORING: self._on_restoring,
            RESTORED: self._on_restored,
            "stop": self._on_stop,
            "cut": self._on_client_cut_off,
            "held": self._on_drain_incomplete,
            "call": self._on_admin_call,
            "down": self._on_fault,
            "leaving": self._on_fault,
            "fell": self._on_overload,
        }
        events = self._context.history.events
        for event in events:
            handler = handlers.get(event.kind)
            if handler is not None:
                handler(event)
        self._check_restored(events[-1].at if events else 0.0)
        for pair in list(self._while_restoring):
            self._report_use_while_restoring(pair)

    # ---- events

    def _on_notified(self, event: Event) -> None:
        if " " not in event.what:
            return
        server, health = event.what.split(" ")
        if health == "in_service":
            self._notified.pop((event.who, server), None)
            return
        known_at = self._outages.restored_at("discovery", event.who, event.at, event.at)
        self._notified.setdefault((event.who, server), known_at)

    def _on_listed(self, event: Event) -> None:
        if event.what == "in_service":
            self._out_of_service.pop(event.who, None)
            return
        self._out_of_service.setdefault(event.who, event.at)
        self._on_fault(event)

    def _on_transmission(self, event: Event) -> None:
        node, server = event.what, event.who
        self._transmissions.append(Occurrence(event.at, node))
        if not self._outages.had_outage(server, event.at - self._rules.tolerance_ms, event.at):
            out_of_service_since = self._out_of_service.get(server, INFINITY)
            latest = out_of_service_since + self._rules.notified_within_ms
            drained_since = min(self._notified.get((node, server), INFINITY), latest)
            self._check_not_used(event, drained_since, "reported as out of service")
            banned_since = self._banned.get((node, server), INFINITY)
            if (node, server) in self._while_restoring:
                use = UseOfBanned(event, banned_since)
                self._while_restoring[node, server].append(use)
            else:
                self._check_not_used(event, banned_since, BANNED)
        self._last_used[node, server] = event.at

    def _check_not_used(self, event: Event, since: float, cause: str) -> None:
        if event.at > since + self._rules.drain_grace_ms + self._rules.tolerance_ms:
            reason = f"sent to {event.who} {event.at - since:.0f} ms after it was {cause}"
            self._context.report_violation("rule 3", event.at, event.rpc, reason)

    def _on_banned(self, event: Event) -> None:
        self._report_use_while_restoring((event.who, event.what))
        self._banned.setdefault((event.who, event.what), event.at)
        self._faults.append(Occurrence(event.at, event.what))

    def _on_restoring(self, event: Event) -> None:
        self._while_restoring.setdefault((event.who, event.what), [])

    def _report_use_while_restoring(self, pair: tuple[str, str]) -> None:
        """Judge transmissions by the ban, as the node has not accepted RESTORE."""
        for use in self._while_restoring.pop(pair, []):
            self._check_not_used(use.transmission, use.banned_since, BANNED)

    def _on_restored(self, event: Event) -> None:
        self._while_restoring.pop((event.who, event.what), None)
        self._banned.pop((event.who, event.what), None)
        self._restored.append(Restored(event.who, event.what, event.at))
        self._transmissions.append(Occurrence(event.at, ""))

    def _on_stop(self, event: Event) -> None:
        # A node learns of a ban only by an admin command, which its next process has not received.
        self._banned = {pair: at for pair, at in self._banned.items() if pair[0] != event.who}
        self._on_fault(event)

    def _on_client_cut_off(self, event: Event) -> None:
        if not self._rules.has_descriptors_for_all_clients:
            return
        if not self._outages.had_outage(event.who, event.at - REQUEST_TIMEOUT_MS, event.at):
            reason = (
                f"{event.who} closed the connection of a client that was still writing a request"
            )
            self._context.report_violation("head", event.at, "", reason)

    def _on_drain_incomplete(self, event: Event) -> None:
        reason = f"{event.who} still has {event.value:.0f} client connections after its drain"
        self._context.report_violation("drain", event.at, "", reason)
        self._on_fault(event)

    def _on_admin_call(self, event: Event) -> None:
        if event.what == "well":
            return
        if not self._outages.had_outage(event.who, event.at - ADMIN_TIMEOUT_MS, event.at):
            self._context.report_violation("door", event.at, "", f"{event.who}: {event.what}")

    def _on_fault(self, event: Event) -> None:
        self._faults.append(Occurrence(event.at, event.who))

    def _on_overload(self, event: Event) -> None:
        reason = f"{event.who} was overloaded while cold: {event.value:.1f} times its capacity"
        self._context.report_violation("rule 4", event.at, event.rpc, reason)

    # ---- after the last event

    def _check_restored(self, end: float) -> None:
        """Report busy nodes that did not use a server again after an operator restored it."""
        for node, server, at in self._restored:
            until = at + self._rules.reuse_within_ms
            if end <= until or self._last_used.get((node, server), -1.0) >= at:
                continue
            sent = sum(
                transmission.name == node and at < transmission.at <= until
                for transmission in self._transmissions
            )
            # Not using the server is no violation if the node or the server had a fault, or the
            # server was banned again.
            has_fault = any(
                fault.name in (node, server) and at < fault.at <= until for fault in self._faults
            )
            if sent >= MIN_RPCS_FOR_REUSE and not has_fault:
                reason = f"{node} did not use {server} again after an operator restored it"
                self._context.report_violation("unused", at, "", reason)
