"""Hosts many nodes on the bench's wire: lines become calls, decisions become lines."""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Iterator
from dataclasses import replace
from typing import TextIO

from hookpitch.balancer.deployment import deployment, report
from hookpitch.balancer.interface import Endpoint, EndpointUpdate
from hookpitch.balancer.router import Router
from hookpitch.core.seeded_random import seeded_random
from hookpitch.simwire import codec
from hookpitch.simwire.codec import WireError, flag, ms, outcome, seconds
from hookpitch.startup.poll_schedule import NEVER, PollSchedule, WatchLoss

HINT = 1  # the bit of a REQUEST's options that says that its cost is told
WRITE = 4  # the bit of a REQUEST's options that marks a write


class Seat:
    """One instance's place: its node, and the host that writes its lines."""

    def __init__(self, name: str, out: list[str]) -> None:
        self.name, self.out = name, out
        self.router: Router | None = None
        self.kinds: tuple[str, ...] = ()
        self.fault = ""
        self.poll_schedule: PollSchedule | None = None  # where discovery has to be asked
        self.armed = NEVER

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        self.out.append(f"RELAY {self.name} {rpc_id} {backend_id} {timeout_ms / 1000:.6f}")

    def cancel(self, rpc_id: str, attempt: int) -> None:
        self.out.append(f"RETRACT {self.name} {rpc_id} {attempt}")

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        after = seconds(retry_after_ms) if retry_after_ms > 0 else "-"
        self.out.append(f"REJECT {self.name} {rpc_id} {after}")

    def fail(self, rpc_id: str) -> None:
        self.out.append(f"LOSE {self.name} {rpc_id}")

    def close_idle(self, backend_id: str) -> None:
        self.out.append(f"SHUT_IDLE {self.name} {backend_id}")

    def ask(self, now: float) -> None:
        """Ask discovery if the time has come, or have it told when it has."""
        poll_schedule = self.poll_schedule
        if poll_schedule is None:
            return
        if poll_schedule.due_at <= now:
            poll_schedule.poll_started(now)
            self.out.append(f"SUBSCRIBE {self.name} 1")
        if poll_schedule.due_at < NEVER and poll_schedule.due_at != self.armed:
            self.armed = poll_schedule.due_at
            self.schedule_wakeup(poll_schedule.due_at)

    def listed(self, now: float, kind: EndpointUpdate) -> None:
        if self.poll_schedule is not None and kind == EndpointUpdate.FAILED:
            self.poll_schedule.poll_failed(now, WatchLoss.ENDED)
        elif self.poll_schedule is not None and kind != EndpointUpdate.CACHED:
            self.poll_schedule.endpoints_received()

    def schedule_wakeup(self, at_ms: float) -> None:
        self.out.append(f"TIMER {self.name} {seconds(at_ms + 0.0005)} 0")

    def log(self, text: str) -> None:
        self.out.append(f"RECORD {self.name} {text}")


class Adapter:
    """Reads batches, writes replies."""

    def __init__(self, source: TextIO, sink: TextIO, complaints: TextIO) -> None:
        self.source, self.sink, self.complaints = source, sink, complaints
        self.seats: dict[str, Seat] = {}
        self.out: list[str] = []
        self.now = 0.0

    def run(self) -> None:
        lines = iter(self.source)
        touched: dict[str, Seat] = {}
        for raw in lines:
            line = raw.rstrip("\r\n")
            word, _, rest = line.partition(" ")
            try:
                if word == "EOB":
                    self._reply(touched)
                    touched = {}
                elif word == "BEGIN_BATCH":
                    self.now = ms(rest)
                elif line:
                    self._event(word, rest, lines, touched)
            except (WireError, ValueError) as fault:
                print(f"hookpitch: {fault}: {line[:200]!r}", file=self.complaints, flush=True)

    def _reply(self, touched: dict[str, Seat]) -> None:
        for seat in touched.values():
            if seat.fault:
                self.out.append(f"EXCEPTION {seat.name} {seat.fault}")
                seat.fault = ""
            router = seat.router
            if router is not None:
                while router.decide(self.now, seat):
                    pass
                seat.ask(self.now)
        self.out.append("ACK\n")
        self.sink.write("\n".join(self.out))
        self.sink.flush()
        self.out.clear()

    def _event(self, word: str, rest: str, lines: Iterator[str], touched: dict[str, Seat]) -> None:
        now = self.now
        if word == "HELLO":
            name, seed, settings = _values(rest, 3)
            seat = self.seats[name] = touched[name] = Seat(name, self.out)
            try:
                told = deployment(int(seed), json.loads(settings))
            except ValueError as fault:
                seat.fault = str(fault)
                raise
            seat.kinds, seat.router = told.kinds, Router(now, told)
            if told.polling_required:
                within = told.poll_interval_ms or 10000.0
                seat.poll_schedule = PollSchedule(
                    now, told.nodes, within, seeded_random(told.seed, "ask")
                )
            return
        name = rest.partition(" ")[0]
        if word == "PEERS_KNOWN":
            entries, faults = self._entries(rest, lines, self.seats.get(name))
        seat = self.seats.get(name)
        if seat is None or (seat.router is None and word != "EXIT"):
            if word not in READERS.split():
                raise WireError(f"unknown message '{word}'")
            raise WireError(f"unknown instance '{name}'")
        router = seat.router
        if word == "SETTLED":
            _, ticket, took, _, code, last, _, copy, load = _values(rest, 9)
            touched[name] = seat
            router.attempt_ended(
                now, ticket, int(copy), outcome(code), flag(last), ms(took), report(load, ":")
            )
        elif word == "REQUEST":
            _, ticket, key, bits, grace, _, tenant, hint, method = _values(rest, 9)
            touched[name] = seat
            flags = int(bits) if bits != "-" else 0
            key, tenant = ("" if text == "-" else text for text in (key, tenant))
            work = ms(hint) if flags & HINT else 0.0
            router.rpc_arrived(
                now, ticket, key, method, tenant, bool(flags & WRITE), ms(grace), 0.0, work
            )
        elif word == "TIMEOUT_FIRED":
            touched[name] = seat
            router.timer_fired(now)
        elif word == "PEERS_KNOWN":
            if faults:
                raise WireError(faults)
            touched[name] = seat
            kind = EndpointUpdate(int(_values(rest, 4)[1]))
            seat.listed(now, kind)
            if kind != EndpointUpdate.FAILED:
                router.update_endpoints(now, kind, entries)
        elif word == "CLIENT_GONE":
            touched[name] = seat
            router.client_disconnected(now, _values(rest, 2)[1])
        elif word == "ACCEPTED":
            _, ticket, _, _, copy = _values(rest, 5)
            touched[name] = seat
            router.stream_started(now, ticket, int(copy))
        elif word == "EXIT":
            self.seats.pop(name)
            touched.pop(name, None)
        elif word in ("SAMPLED", "PEER_DATA"):
            touched[name] = seat  # no probe or message is ever sent, so none is answered
        else:
            raise WireError(f"unknown message '{word}'")

    def _entries(
        self, rest: str, lines: Iterator[str], seat: Seat | None
    ) -> tuple[list[Endpoint], str]:
        """The ENTRY lines that follow; all are taken off the wire even where one is at fault."""
        parts = rest.split(" ")
        if len(parts) != 4:
            return [], "PEERS_KNOWN has four values"
        count = int(parts[3]) if parts[3] != "-" else 0
        entries, fault = [], ""
        for _ in range(count):
            line = next(lines, "").rstrip("\r\n")
            try:
                e = codec.entry(line.split(" "))
                if isinstance(e.kind, str):
                    e = replace(
                        e, kind=seat.kinds.index(e.kind) if seat and e.kind in seat.kinds else -2
                    )
                entries.append(e)
            except ValueError as problem:
                fault = f"{problem} in {line[:120]!r}"
        return entries, fault


READERS = "REQUEST TIMEOUT_FIRED CLIENT_GONE PEER_DATA EXIT SETTLED ACCEPTED SAMPLED PEERS_KNOWN"


def _values(rest: str, count: int) -> list[str]:
    parts = rest.split(" ", count - 1)
    if len(parts) != count:
        raise WireError(f"{count} values were due, {len(parts)} came")
    return parts


def main() -> None:
    gc.freeze()
    Adapter(sys.stdin, sys.stdout, sys.stderr).run()
