"""The rules for one RPC: one answer, in time; no repeated effect; where and how often it is sent.

Times in ms. The texts of violations are part of the testbed's interface.
"""

from __future__ import annotations

from typing import NamedTuple

from hookpitch.fakes.history import Event
from hookpitch.testbed.check_context import CheckContext

INFINITY = float("inf")
CLIENT_ENDS = ("answered", "lost", "left")
TRANSMISSION_KINDS = ("came", "sent", "dropped", "closed")
NOT_RUN = ("busy", "miss", "pending")  # answers of a server that has not run the RPC


class InFlight(NamedTuple):
    """A transmission that its server has not answered yet."""

    server: str
    duplicate_since: float  # since when another one is in flight beside it; infinity: none is


class RpcChecks:
    """Checks every RPC of a history on its own."""

    def __init__(self, context: CheckContext) -> None:
        events = context.history.events
        self._context = context
        self._rules = context.rules
        self._outages = context.outages
        self._unread = {(e.who, e.port) for e in events if e.kind == "unread"}
        self._places = {e.who: tuple(e.what.split(" ")) for e in events if e.kind == "place"}

    def check_all(self, end: float) -> None:
        """Report what is violated; `end`: when the run ended."""
        self._add_closed_transmissions()
        for rpc, events in self._context.events_by_rpc.items():
            self._check(rpc, events, end)

    def _add_closed_transmissions(self) -> None:
        """A transmission whose connection its node has closed is in flight no more, whenever its
        server learns of it: such a close becomes an event of the RPC."""
        by_rpc = self._context.events_by_rpc
        on_connection: dict[tuple[str, int], tuple[str, str]] = {}
        closed: set[tuple[str, int]] = set()  # no port is used twice
        for event in self._context.history.events:
            if event.kind == "came":
                connection = event.what, event.port
                on_connection[connection] = event.rpc, event.who
                if connection in closed:  # it was on its way when its node closed the connection
                    by_rpc[event.rpc].append(Event(event.at, "closed", event.who))
            elif event.kind == "closed":
                connection = event.who, event.port
                closed.add(connection)
                if connection in on_connection:
                    rpc, server = on_connection.pop(connection)
                    by_rpc[rpc].append(Event(event.at, "closed", server))
        for events in by_rpc.values():
            events.sort(key=lambda event: event.at)

    def _check(self, rpc: str, events: list[Event], end: float) -> None:
        asked = next((e for e in events if e.kind == "asked"), None)
        if asked is None:
            reason = "a server was sent an RPC that no client asked"
            self._context.report_violation("unknown", events[0].at, rpc, reason)
            return
        deadline = asked.at + asked.value
        # What a partition held back counts from when it came to the node.
        healed = self._outages.restored_at("clients", asked.who, asked.at, deadline)
        client_ends = [e for e in events if e.kind in CLIENT_ENDS]
        self._check_answers(rpc, asked, client_ends, healed)
        over = min((e.at for e in client_ends), default=INFINITY)
        if healed == asked.at:
            self._check_deadline(rpc, asked, over, end)
        send_until = min(over, deadline) + self._rules.tolerance_ms
        # Behind a partition the node neither knows that its client has left nor when it asked.
        if healed > asked.at:
            send_until = healed + asked.value + self._rules.tolerance_ms
        self._check_transmissions(rpc, asked, events, send_until)
        effects = [e for e in events if e.kind == "effect"]
        if len(effects) > 1 and not self._rules.retriable.get(asked.what, True):
            self._context.report_violation("rule 2", effects[1].at, rpc, f"{len(effects)} effects")

    def _check_answers(
        self, rpc: str, asked: Event, client_ends: list[Event], healed: float
    ) -> None:
        answers = [e for e in client_ends if e.kind == "answered"]
        if len(answers) > 1:
            self._context.report_violation("rule 1", answers[1].at, rpc, "answered twice")
        lost = next((e for e in client_ends if e.kind == "lost"), None)
        if lost is not None and healed <= asked.at and not self._is_excused_loss(asked, lost):
            reason = "its connection was ended with no answer"
            self._context.report_violation("rule 1", lost.at, rpc, reason)
        if any(e.what == "wrong" for e in answers):
            reason = "served with a value that was made for another RPC"
            self._context.report_violation("rule 1", answers[0].at, rpc, reason)

    def _is_excused_loss(self, asked: Event, lost: Event) -> bool:
        """Whether the connection's end crossed the RPC, or the node's process ended with it."""
        if (lost.who, lost.port) in self._unread:
            return True
        if lost.at - asked.at < self._rules.crossing_ms:
            return True
        return self._outages.had_outage(lost.who, lost.at - self._rules.tolerance_ms, lost.at)

    def _check_deadline(self, rpc: str, asked: Event, over: float, end: float) -> None:
        deadline = asked.at + asked.value
        latest = deadline + self._rules.tolerance_ms
        if over <= latest or end <= latest:
            return
        if self._outages.had_outage(asked.who, asked.at, deadline):
            return
        if over > end:
            reason = "not answered before its hard deadline"
        else:
            reason = f"answered {over - deadline:.1f} ms late"
        self._context.report_violation("rule 1", deadline, rpc, reason)

    # ---- transmissions

    def _check_transmissions(
        self, rpc: str, asked: Event, events: list[Event], send_until: float
    ) -> None:
        in_flight: list[InFlight] = []
        count = 0
        may_have_run = False
        for event in events:
            if event.kind not in TRANSMISSION_KINDS:
                continue
            if event.kind == "came":
                count += 1
                self._check_time_of_sending(rpc, asked, event, send_until)
                if may_have_run and not self._rules.retriable.get(asked.what, True):
                    reason = "sent again though it may have run"
                    self._context.report_violation("rule 2", event.at, rpc, reason)
                self._check_placement(rpc, asked.what, event)
                if count > self._rules.most_transmissions:
                    reason = f"transmission number {count}"
                    self._context.report_violation("transmissions", event.at, rpc, reason)
                in_flight = [
                    InFlight(one.server, min(one.duplicate_since, event.at)) for one in in_flight
                ]
                in_flight.append(InFlight(event.who, INFINITY))
                continue
            ended = next((one for one in in_flight if one.server == event.who), None)
            if ended is not None:
                in_flight.remove(ended)
                self._check_duplicate(rpc, ended, event.at)
            if event.kind != "sent" or event.what not in NOT_RUN:
                may_have_run = True
        for one in in_flight:
            self._check_duplicate(rpc, one, INFINITY)

    def _check_time_of_sending(
        self, rpc: str, asked: Event, came: Event, send_until: float
    ) -> None:
        if came.at <= send_until:
            return
        # What a stopped server finds when it continues was sent before.
        if self._outages.had_outage(came.who, came.at - self._rules.tolerance_ms, came.at):
            return
        if self._outages.had_outage(asked.who, asked.at, came.at):
            return
        reason = "sent after its final answer or its hard deadline"
        self._context.report_violation("rule 1", came.at, rpc, reason)

    def _check_placement(self, rpc: str, method: str, came: Event) -> None:
        place = self._places.get(came.who)
        if not place:  # the origin has none, and every method may be sent to it
            return
        kinds, zones = self._rules.placement.get(method, ((), ()))
        if (kinds and place[0] not in kinds) or (zones and place[1] not in zones):
            reason = f"sent to {came.who} ({', '.join(place)}), which is not open to {method}"
            self._context.report_violation("placement", came.at, rpc, reason)

    def _check_duplicate(self, rpc: str, ended: InFlight, until: float) -> None:
        if self._rules.hedging_allowed or ended.duplicate_since == INFINITY:
            return
        if until - ended.duplicate_since > self._rules.overlap_ms:
            reason = f"sent again while it was still out at {ended.server}"
            self._context.report_violation("second copy", ended.duplicate_since, rpc, reason)
