"""Members on UDP: `[members]` in the operator's file; off, and not imported, where there is none.

    [members]
    listen = "10.0.0.4:7946"                       # this node's own address, as the others dial it
    fleet = "sydney"
    seeds = ["10.0.0.5:7946", "10.0.0.6:7946"]     # some that are usually up

    [members.dial]                                 # where what others tell (a member, a server) is
    found,
                                                   # if elsewhere
    "10.9.0.7:7946" = "10.0.0.7:7946"

The state machine decides (`state.py`), the codec reads and writes (`codec.py`); here datagrams
become calls
and calls datagrams. A node that discovery has told nothing gets its list from a member
(`lists.py`): it is
given to the node as a list known at its start, and discovery is then asked for the whole.
Invariants: nothing
that comes raises; at most `RATE_MOST` datagrams are read a second, more are let go and counted.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from hookpitch.balancer.interface import Endpoint, EndpointState
from hookpitch.core.seeded_random import seeded_random
from hookpitch.members.codec import Codec
from hookpitch.members.endpoint_exchange import EndpointExchange, ListStatus, ReceivedList
from hookpitch.members.state import Address, Membership, MemberState, MessageKind
from hookpitch.net.clock import Clock
from hookpitch.net.endpoint_list import ENDPOINT_STATES, parse_endpoint_list
from hookpitch.startup.poll_schedule import NEVER

RATE_MOST = 2000  # datagrams read a second: a flood costs no more than that
AGAIN_MS = 500.0  # until the next try where the address is still held by the process before
ODD_LOGGED = 3
HEALTH = {state: word for word, state in ENDPOINT_STATES.items()}  # as discovery has it


@dataclass(frozen=True, slots=True)
class Settings:
    listen: Address
    fleet: str = ""
    seeds: tuple[Address, ...] = ()
    dial: Mapping[Address, Address] = field(default_factory=dict)


def settings(table: Mapping[str, Any]) -> Settings:
    """The operator's section, checked; ValueError begins with the name that is wrong."""
    known = Settings.__slots__
    for name in table:
        if name not in known:
            raise ValueError(f"{name}: no such setting; known are {', '.join(known)}")
    fleet, seeds, dial = table.get("fleet", ""), table.get("seeds", []), table.get("dial", {})
    if not isinstance(fleet, str):
        raise ValueError("fleet: wants a name")
    if not isinstance(seeds, list):
        raise ValueError("seeds: wants a list of addresses")
    if not isinstance(dial, dict):
        raise ValueError("dial: wants addresses by address")
    return Settings(
        _address(table.get("listen"), "listen"),
        fleet,
        tuple(_address(s, "seeds") for s in seeds),
        {_address(a, "dial"): _address(b, "dial") for a, b in dial.items()},
    )


def _address(text: object, name: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{name}: '{text}' is no address with a port")
    return host.strip("[]"), int(port)


class Port(DatagramProtocol):
    """One node's place among the members."""

    noisy = False

    def __init__(
        self,
        told: Settings,
        name: str,
        seed: int,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[[str], None],
        node: Any = None,  # noqa: ANN401
    ) -> None:  # noqa: ANN401
        """`node`: whose list of cache servers others may ask for, and which asks others for
        theirs."""
        self.told, self.clock, self.count, self.codec = told, clock, count, Codec(told.fleet)
        self.node = node
        self.log = lambda text: log("members", what=text)
        # Danger: processes of one node that draw alike. The moment of the start makes them differ.
        self.members = Membership(
            clock.now(),
            name,
            told.listen,
            told.seeds,
            seeded_random(seed ^ int(clock.now()), "members"),
            self.log,
        )
        self.lists = EndpointExchange(
            clock.now(), name, seeded_random(seed ^ int(clock.now()), "lists"), count
        )
        self.version = 0  # of the list taken
        self.waiting: tuple[list[Endpoint], dict[str, str]] | None = (
            None  # taken, and not given yet
        )
        self.listening: Any = None
        self._second, self._read, self._odd = 0, 0, 0

    def start(self, reactor: Any) -> None:  # noqa: ANN401
        """Listen, now or as soon as the process before lets go; from then on it is a member."""
        try:
            self.listening = reactor.listenUDP(
                self.told.listen[1], self, interface=self.told.listen[0]
            )
        except CannotListenError:
            self.clock.deadlines.add(self.clock.now() + AGAIN_MS, lambda _: self.start(reactor))
            return
        self.tick(self.clock.now())

    def tick(self, now: float) -> None:
        if self.listening is None:
            return
        if now >= self.members.due:
            self.members.tick(now)
        due = self.members.due
        if self.node is not None:
            due = min(due, self.lists.tick(now, self.held(), self._others()))
            self._give()
        self.flush()
        self.clock.deadlines.add(max(due, now + 1.0), self.tick)

    def flush(self) -> None:
        out, self.members.outbox = self.members.outbox + self.lists.outbox, []
        self.lists.outbox = []
        for to, message in out:
            try:
                self.transport.write(self.codec.write(message), self.told.dial.get(to, to))
            except OSError:  # no route, or no room: as if lost on the way
                self.count("members.unsent")

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802
        now = self.clock.now()
        second = int(now // 1000)
        self._read = self._read + 1 if second == self._second else 1
        self._second = second
        if self._read > RATE_MOST:  # Danger: a flood of datagrams takes the node's CPU from RPCs.
            self.count("members.flood")
            return
        try:
            message = self.codec.read(data)
        except ValueError as why:
            self.count(f"members.{why}")
            self._odd += 1
            if self._odd <= ODD_LOGGED:
                self.log(f"a datagram from {addr[0]}:{addr[1]} is {why}")
            return
        self.members.receive(now, addr[:2], message)
        if self.node is not None and message.kind == MessageKind.LIST_REQUEST:
            self.lists.handle_request(now, addr[:2], message, self.held(), self._list)
        elif self.node is not None and message.kind == MessageKind.LIST_CHUNK:
            taken = self.lists.handle_chunk(now, addr[:2], message, self.held())
            if taken is not None:
                self._take(taken)
        self.flush()

    # ---- lists of cache servers

    def held(self) -> ListStatus:
        discovery, counts = self.node.discovery, self.node.host.counters.counts
        told = "lists.full" in counts or "lists.delta" in counts
        # Danger: a version that a member told, kept above discovery's own count once that has been
        # heard.
        version = discovery.version if told else max(discovery.version, self.version)
        return ListStatus(version, told, told and discovery.poll_schedule.due_at == NEVER)

    def _others(self) -> list[Address]:
        """Who may be asked for a list: all that live, as others tell of them, and the seeds."""
        known = [
            m.record.address
            for m in self.members.members.values()
            if m.record.state == MemberState.ALIVE
        ]
        return [a for a in dict.fromkeys((*self.told.seeds, *known)) if a != self.told.listen]

    def _list(self) -> bytes:
        """What this node holds, in discovery's own words."""
        host, dials, kinds = (
            self.node.host,
            self.node.pools.addresses(),
            self.node.host.deployment.kinds,
        )
        hosts = [
            {
                "host": s.id,
                "dial": dials[s.id],
                "site": s.zone,
                "block": s.cell,
                "share": s.size,
                "born_ms": max(0.0, s.started_at),
                "health": HEALTH[s.listed_state],
                "class": kinds[s.kind] if 0 <= s.kind < len(kinds) else "",
            }
            for s in host.router.backends.values()
            if s.id in dials and s.listed_state != EndpointState.REMOVED
        ]
        return json.dumps(
            {"seq": self.node.discovery.version, "whole": True, "hosts": hosts}
        ).encode()

    def _take(self, taken: ReceivedList) -> None:
        try:
            d = self.node.host.deployment
            version, whole, entries, dials = parse_endpoint_list(taken.text, d.kinds)
            ready = any(e.state == EndpointState.READY and e.kind != d.origin_kind for e in entries)
            if version != taken.version or not whole or not ready:
                raise ValueError("no list to begin with")
        except ValueError as why:
            self.count("members.lists_wrong")
            self.log(f"a list from {taken.source[0]}:{taken.source[1]} is wrong: {why}")
            return
        self.count("members.lists_taken")
        self.log(
            f"list {version} from {taken.source[0]}:{taken.source[1]}, {taken.age:.0f} ms old, "
            f"servers {len(entries)}"
        )
        self.version, self.waiting = (
            version,
            (entries, {id: self._found(at) for id, at in dials.items()}),
        )
        self._give()

    def _found(self, told: str) -> str:
        """Where a server that another member tells of is dialled from here."""
        host, _, port = told.rpartition(":")
        there = self.told.dial.get((host.strip("[]"), int(port)))
        return told if there is None else f"{there[0]}:{there[1]}"

    def _give(self) -> None:
        """The node serves by a member's list until discovery tells one."""
        # Danger: a call that is out asked for changes since the list of before; they would be put
        # on this one, and what it has wrong would stay. Once it has failed, the next asks for the
        # whole.
        if self.waiting is None or self.node.discovery.current_watch is not None:
            return
        (entries, dials), self.waiting = self.waiting, None
        if not self.held().told:
            self.node.apply_cached_endpoints(0, entries, dials)

    def leave(self) -> None:
        """Say goodbye; datagrams that come are heard no more."""
        if self.listening is not None and not self.members.leaving:
            self.members.leave(self.clock.now())
            self.flush()
            self.listening.stopListening()
            self.listening = None

    def lines(self) -> list[str]:
        """The view for on-call staff: its version, then a line a member."""
        view, now = self.members.view, self.clock.now()
        found = [
            f"view={view.version} members={len(view.members)} part={view.visible_fraction:.2f} "
            f"slow={self.members.health_penalty}"
        ]
        for name in sorted(self.members.members):
            m = self.members.members[name]
            r = m.record
            by = f" by={r.accuser}" if r.accuser else ""
            held = " flapping" if name not in view.members and r.state == 0 else ""
            found.append(
                f"{name} {r.state.name.lower()}{held} for={max(0.0, now - m.since) / 1000:.1f}s "
                f"incarnation={r.incarnation} at={r.address[0]}:{r.address[1]}{by}"
            )
        return found


def attach(told: Settings, node: Any) -> Port:  # noqa: ANN401
    """A node becomes a member as it serves, and says goodbye as it leaves."""
    d = node.config.deployment
    port = Port(
        told, node.config.name, d.seed, node.clock, node.logger.info, node.host.counters.add, node
    )
    node.membership = port
    return port
