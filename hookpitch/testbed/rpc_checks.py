"""Checks the rules for a single RPC: its answer, its effects and its transmissions.

An RPC gets exactly one answer, in time. An RPC that is not idempotent takes effect at most once. An
RPC is sent only where its method's placement allows, and only a limited number of times. Times are
in milliseconds. The results of a run contain the texts of violations.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import Event
from hookpitch.testbed.check_context import CheckContext

INFINITY = float("inf")
FINAL_CLIENT_EVENTS = ("answered", "lost", "left")
TRANSMISSION_KINDS = ("came", "sent", "dropped", "closed")
NOT_EXECUTED = ("busy", "miss", "pending")  # answers of a server that did not execute the RPC


class InFlight(NamedTuple):
    """Holds a transmission that its server has not answered yet."""

    server: str
    duplicate_since: float  # since when another transmission is in flight too; infinity: none is


class RpcChecks:
    """Checks every RPC of a history on its own.

    A variable that is named after a kind of event (`asked`, `came`, `lost`) is an event of that
    kind.
    """

    def __init__(self, context: CheckContext) -> None:
        events = context.history.events
        self._context = context
        self._rules = context.rules
        self._outages = context.outages
        self._unread = {(event.who, event.port) for event in events if event.kind == "unread"}
        # Transmissions that a server read when their node had closed the connection already.
        self._read_after_close: set[Event] = set()
        # By server: its type and its zone.
        self._places = {
            event.who: tuple(event.what.split(" ")) for event in events if event.kind == "place"
        }

    def check_all(self, end: float) -> None:
        """Report all violations; `end` is the time at which the run ended."""
        self._add_closed_transmissions()
        for rpc, events in self._context.events_by_rpc.items():
            self._check(rpc, events, end)

    def _add_closed_transmissions(self) -> None:
        """Add an event to an RPC where its node closed the connection of a transmission.

        From then on the transmission is no longer in flight, even if its server notices later. A
        server that was paused may read a transmission only after that: it never was in flight
        beside those that the node sent in the meantime.
        """
        by_rpc = self._context.events_by_rpc
        latest_on: dict[tuple[str, int], tuple[str, str]] = {}  # by connection: RPC and server
        closed: set[tuple[str, int]] = set()  # connections; no port is used twice
        for event in self._context.history.events:
            if event.kind == "came":
                connection = event.what, event.port
                if connection in closed:
                    self._read_after_close.add(event)
                else:
                    latest_on[connection] = event.rpc, event.who
            elif event.kind == "closed":
                connection = event.who, event.port
                closed.add(connection)
                if connection in latest_on:
                    rpc, server = latest_on.pop(connection)
                    by_rpc[rpc].append(Event(event.at, "closed", server))
        for events in by_rpc.values():
            events.sort(key=lambda event: event.at)

    def _check(self, rpc: str, events: list[Event], end: float) -> None:
        asked = next((event for event in events if event.kind == "asked"), None)
        if asked is None:
            reason = "a server received an RPC that no client sent"
            self._context.report_violation("unknown", events[0].at, rpc, reason)
            return
        deadline = asked.at + asked.value
        # The deadline of an RPC that a partition delayed counts from the end of the partition.
        restored_at = self._outages.restored_at("clients", asked.who, asked.at, deadline)
        final_events = [event for event in events if event.kind in FINAL_CLIENT_EVENTS]
        self._check_answers(rpc, asked, final_events, restored_at)
        ended_at = min((event.at for event in final_events), default=INFINITY)
        if restored_at == asked.at:
            self._check_deadline(rpc, asked, ended_at, end)
        send_until = min(ended_at, deadline) + self._rules.tolerance_ms
        # A node behind a partition knows neither that its client has left nor when the client sent
        # the RPC.
        if restored_at > asked.at:
            send_until = restored_at + asked.value + self._rules.tolerance_ms
        self._check_transmissions(rpc, asked, events, send_until)
        effects = [event for event in events if event.kind == "effect"]
        if len(effects) > 1 and not self._rules.retriable.get(asked.what, True):
            self._context.report_violation(
                "rule 2", effects[1].at, rpc, f"took effect {len(effects)} times"
            )

    def _check_answers(
        self, rpc: str, asked: Event, final_events: list[Event], restored_at: float
    ) -> None:
        answers = [event for event in final_events if event.kind == "answered"]
        if len(answers) > 1:
            self._context.report_violation("rule 1", answers[1].at, rpc, "answered twice")
        lost = next((event for event in final_events if event.kind == "lost"), None)
        if lost is not None and restored_at <= asked.at and not self._is_excused_loss(asked, lost):
            reason = "its connection ended without an answer"
            self._context.report_violation("rule 1", lost.at, rpc, reason)
        if any(answer.what == "wrong" for answer in answers):
            reason = "answered with a value that was made for another RPC"
            self._context.report_violation("rule 1", answers[0].at, rpc, reason)

    def _is_excused_loss(self, asked: Event, lost: Event) -> bool:
        """Return whether the RPC crossed a close of its connection, or the node had an outage."""
        if (lost.who, lost.port) in self._unread:
            return True
        if lost.at - asked.at < self._rules.crossing_ms:
            return True
        return self._outages.had_outage(lost.who, lost.at - self._rules.tolerance_ms, lost.at)

    def _check_deadline(self, rpc: str, asked: Event, ended_at: float, end: float) -> None:
        deadline = asked.at + asked.value
        latest = deadline + self._rules.tolerance_ms
        if ended_at <= latest or end <= latest:
            return
        if self._outages.had_outage(asked.who, asked.at, deadline):
            return
        if ended_at > end:
            reason = "not answered before its hard deadline"
        else:
            reason = f"answered {ended_at - deadline:.1f} ms after its hard deadline"
        self._context.report_violation("rule 1", deadline, rpc, reason)

    # ---- transmissions

    def _check_transmissions(
        self, rpc: str, asked: Event, events: list[Event], send_until: float
    ) -> None:
        in_flight: list[InFlight] = []
        transmissions = 0
        may_have_executed = False
        for event in events:
            if event.kind not in TRANSMISSION_KINDS:
                continue
            if event.kind == "came":
                transmissions += 1
                self._check_send_time(rpc, asked, event, send_until)
                if may_have_executed and not self._rules.retriable.get(asked.what, True):
                    reason = "sent again although a server may have executed it"
                    self._context.report_violation("rule 2", event.at, rpc, reason)
                self._check_placement(rpc, asked.what, event)
                if transmissions > self._rules.most_transmissions:
                    reason = f"sent {transmissions} times, limit {self._rules.most_transmissions}"
                    self._context.report_violation("transmissions", event.at, rpc, reason)
                if event in self._read_after_close:
                    may_have_executed = True
                    continue
                in_flight = [
                    InFlight(other.server, min(other.duplicate_since, event.at))
                    for other in in_flight
                ]
                in_flight.append(InFlight(event.who, INFINITY))
                continue
            finished = next((other for other in in_flight if other.server == event.who), None)
            if finished is not None:
                in_flight.remove(finished)
                self._check_duplicate(rpc, finished, event.at)
            if event.kind != "sent" or event.what not in NOT_EXECUTED:
                may_have_executed = True
        for unanswered in in_flight:
            self._check_duplicate(rpc, unanswered, INFINITY)

    def _check_send_time(self, rpc: str, asked: Event, came: Event, send_until: float) -> None:
        if came.at <= send_until:
            return
        # A server that was paused reads the RPC only when it continues, however early it was sent.
        if self._outages.had_outage(came.who, came.at - self._rules.tolerance_ms, came.at):
            return
        if self._outages.had_outage(asked.who, asked.at, came.at):
            return
        reason = "sent after its final answer or its hard deadline"
        self._context.report_violation("rule 1", came.at, rpc, reason)

    def _check_placement(self, rpc: str, method: str, came: Event) -> None:
        place = self._places.get(came.who)
        # The origin has no place, and every method may be sent to it.
        if not place:
            return
        allowed_types, allowed_zones = self._rules.placement.get(method, ((), ()))
        if (allowed_types and place[0] not in allowed_types) or (
            allowed_zones and place[1] not in allowed_zones
        ):
            reason = f"sent to {came.who} ({', '.join(place)}), outside the placement of {method}"
            self._context.report_violation("placement", came.at, rpc, reason)

    def _check_duplicate(self, rpc: str, transmission: InFlight, until: float) -> None:
        if self._rules.hedging_allowed or transmission.duplicate_since == INFINITY:
            return
        if until - transmission.duplicate_since > self._rules.overlap_ms:
            reason = f"sent again while still in flight at {transmission.server}"
            self._context.report_violation("second copy", transmission.duplicate_since, rpc, reason)
