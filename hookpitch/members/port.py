"""Members on UDP: `[members]` in the operator's file; off, and not imported, where there is none.

    [members]
    listen = "10.0.0.4:7946"                       # this node's own address, as the others dial it
    fleet = "sydney"
    seeds = ["10.0.0.5:7946", "10.0.0.6:7946"]     # some that are usually up

    [members.dial]                                 # where an address that others tell is found, if elsewhere
    "10.9.0.7:7946" = "10.0.0.7:7946"

The state machine decides (`state.py`), the codec reads and writes (`codec.py`); here datagrams become calls
and calls datagrams. Invariants: nothing that comes raises; at most `RATE_MOST` datagrams are read a second,
more are let go and counted.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from hookpitch.core.chance import draws
from hookpitch.members.codec import Codec
from hookpitch.members.state import Address, Members
from hookpitch.net.clock import Clock

RATE_MOST = 2000  # datagrams read a second: a flood costs no more than that
AGAIN_MS = 500.0  # until the next try where the address is still held by the process before
ODD_LOGGED = 3


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

    def __init__(self, told: Settings, name: str, seed: int, clock: Clock, log: Callable[..., None],
                 count: Callable[[str], None]) -> None:  # fmt: skip
        self.told, self.clock, self.count, self.codec = told, clock, count, Codec(told.fleet)
        self.log = lambda text: log("members", what=text)
        # Danger: processes of one node that draw alike. The moment of the start makes them differ.
        self.members = Members(clock.now(), name, told.listen, told.seeds,
                               draws(seed ^ int(clock.now()), "members"), self.log)  # fmt: skip
        self.listening: Any = None
        self._second, self._read, self._odd = 0, 0, 0

    def start(self, reactor: Any) -> None:  # noqa: ANN401
        """Listen, now or as soon as the process before lets go; from then on it is a member."""
        try:
            self.listening = reactor.listenUDP(self.told.listen[1], self, interface=self.told.listen[0])
        except CannotListenError:
            self.clock.deadlines.add(self.clock.now() + AGAIN_MS, lambda _: self.start(reactor))
            return
        self.tick(self.clock.now())

    def tick(self, now: float) -> None:
        if self.listening is None:
            return
        self.members.tick(now)
        self.flush()
        self.clock.deadlines.add(self.members.due, self.tick)

    def flush(self) -> None:
        out, self.members.out = self.members.out, []
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
        self.members.heard(now, addr[:2], message)
        self.flush()

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
        found = [f"view={view.version} members={len(view.members)} part={view.part:.2f} "
                 f"slow={self.members.slow}"]  # fmt: skip
        for name in sorted(self.members.members):
            m = self.members.members[name]
            r = m.record
            by = f" by={r.accuser}" if r.accuser else ""
            held = " flapping" if name not in view.members and r.state == 0 else ""
            found.append(f"{name} {r.state.name.lower()}{held} for={max(0.0, now - m.since) / 1000:.1f}s "
                         f"incarnation={r.incarnation} at={r.address[0]}:{r.address[1]}{by}")  # fmt: skip
        return found


def attach(told: Settings, node: Any) -> Port:  # noqa: ANN401
    """A node becomes a member as it serves, and says goodbye as it leaves."""
    d = node.post.deployment
    port = Port(told, node.post.name, d.seed, node.clock, node.logger.info, node.host.counters.add)
    node.peers = port
    return port
