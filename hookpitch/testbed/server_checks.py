"""The rules for servers and nodes over a whole history: draining, bans by hand, admin commands.

Reads the events once, in order. Times in ms. The texts of violations are part of the testbed's
interface.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import Event
from hookpitch.testbed.check_context import CheckContext

INFINITY = float("inf")
ADMIN_TIMEOUT_MS = 1000.0  # that an operator waits for an answer
HEAD_TIMEOUT_MS = 2000.0  # that a client may take to write its request
# RPCs that a node has to send in the time in which it must use a restored server: with fewer, not
# using it is no fault.
BUSY_RPCS = 200


class Restored(NamedTuple):
    """A server that an operator restored at a node."""

    node: str
    server: str
    at: float


class Mark(NamedTuple):
    """Something that happened to a node or server."""

    at: float
    name: str


class ServerChecks:
    """Checks the events that concern servers rather than one RPC."""

    def __init__(self, context: CheckContext) -> None:
        self._context = context
        self._rules = context.rules
        self._outages = context.outages
        # By (node, server): since when the node has to leave the server alone.
        self._notified: dict[tuple[str, str], float] = {}
        self._banned: dict[tuple[str, str], float] = {}
        self._out_of_service: dict[str, float] = {}  # by server: since when
        self._restored: list[Restored] = []
        self._last_used: dict[tuple[str, str], float] = {}  # by (node, server)
        self._traffic: list[Mark] = []  # of nodes
        self._trouble: list[Mark] = []  # of nodes and servers

    def check_all(self) -> None:
        """Report what is violated."""
        handlers = {
            "told": self._on_notified,
            "listed": self._on_listed,
            "came": self._on_transmission,
            "banned": self._on_banned,
            "back": self._on_restored,
            "stop": self._on_stop,
            "cut": self._on_client_cut,
            "held": self._on_held,
            "call": self._on_admin_call,
            "down": self._on_trouble,
            "leaving": self._on_trouble,
            "fell": self._on_overload,
        }
        events = self._context.history.events
        for event in events:
            handler = handlers.get(event.kind)
            if handler is not None:
                handler(event)
        self._check_restored(events[-1].at if events else 0.0)

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
        self._on_trouble(event)

    def _on_transmission(self, event: Event) -> None:
        node, server = event.what, event.who
        self._traffic.append(Mark(event.at, node))
        if not self._outages.had_outage(server, event.at - self._rules.tolerance_ms, event.at):
            changed = self._out_of_service.get(server, INFINITY)
            latest = changed + self._rules.notified_within_ms
            drained = min(self._notified.get((node, server), INFINITY), latest)
            self._check_left_alone(event, drained, "told to drain")
            banned = self._banned.get((node, server), INFINITY)
            self._check_left_alone(event, banned, "left out by hand")
        self._last_used[node, server] = event.at

    def _check_left_alone(self, event: Event, since: float, cause: str) -> None:
        if event.at > since + self._rules.drain_grace_ms + self._rules.tolerance_ms:
            reason = f"sent to {event.who} {event.at - since:.0f} ms after it was {cause}"
            self._context.report_violation("rule 3", event.at, event.rpc, reason)

    def _on_banned(self, event: Event) -> None:
        self._banned.setdefault((event.who, event.what), event.at)
        self._trouble.append(Mark(event.at, event.what))

    def _on_restored(self, event: Event) -> None:
        self._banned.pop((event.who, event.what), None)
        self._restored.append(Restored(event.who, event.what, event.at))
        self._traffic.append(Mark(event.at, ""))

    def _on_stop(self, event: Event) -> None:
        # A node knows of bans from admin commands alone; the next process was not given them.
        self._banned = {pair: at for pair, at in self._banned.items() if pair[0] != event.who}
        self._on_trouble(event)

    def _on_client_cut(self, event: Event) -> None:
        if not self._rules.has_descriptors_for_all_clients:
            return
        if not self._outages.had_outage(event.who, event.at - HEAD_TIMEOUT_MS, event.at):
            reason = f"{event.who} closed an honest client that was still writing"
            self._context.report_violation("head", event.at, "", reason)

    def _on_held(self, event: Event) -> None:
        reason = f"{event.who} holds {event.value:.0f} clients' connections in a drain"
        self._context.report_violation("drain", event.at, "", reason)
        self._on_trouble(event)

    def _on_admin_call(self, event: Event) -> None:
        if event.what == "well":
            return
        if not self._outages.had_outage(event.who, event.at - ADMIN_TIMEOUT_MS, event.at):
            self._context.report_violation("door", event.at, "", f"{event.who}: {event.what}")

    def _on_trouble(self, event: Event) -> None:
        self._trouble.append(Mark(event.at, event.who))

    def _on_overload(self, event: Event) -> None:
        reason = f"{event.who} was pushed over while cold: {event.value:.1f} times its work"
        self._context.report_violation("rule 4", event.at, event.rpc, reason)

    # ---- at the end

    def _check_restored(self, end: float) -> None:
        """A busy node uses a server again soon after an operator restored it."""
        for node, server, at in self._restored:
            until = at + self._rules.reuse_within_ms
            if end <= until or self._last_used.get((node, server), -1.0) >= at:
                continue
            sent = sum(mark.name == node and at < mark.at <= until for mark in self._traffic)
            # What a node does not do as either is down or banned again is no fault.
            troubled = any(
                mark.name in (node, server) and at < mark.at <= until for mark in self._trouble
            )
            if sent >= BUSY_RPCS and not troubled:
                reason = f"{node} did not use {server} again after it was called back"
                self._context.report_violation("unused", at, "", reason)
