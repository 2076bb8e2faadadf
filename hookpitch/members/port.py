"""Membership over UDP: the Twisted adapter, which is imported only with a section `[members]`.

The state machine (`membership.py`) makes the decisions, and the codec (`codec.py`) encodes and
decodes the datagrams; this module passes datagrams between both and the socket. A node without a
list from discovery requests one from other members (`endpoint_exchange.py`). The node applies it
like a list that it knew at its start, and then polls discovery for the complete list.

Invariants: no received datagram raises an error; at most `MAX_DATAGRAMS_PER_S` datagrams are read
per second, and further ones are dropped and counted. Times are milliseconds.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from hookpitch.balancer.interface import Endpoint, EndpointState
from hookpitch.core.seeded_random import seeded_random
from hookpitch.members.codec import Codec, DatagramError
from hookpitch.members.endpoint_exchange import EndpointExchange, ListStatus, ReceivedList
from hookpitch.members.errors import MembersError
from hookpitch.members.member import Member
from hookpitch.members.membership import Membership
from hookpitch.members.messages import Address, MemberState, Message, MessageKind
from hookpitch.members.rate_limit import RateLimit
from hookpitch.members.settings import Settings, parse_host, parse_settings
from hookpitch.net.clock import Clock
from hookpitch.net.endpoint_list import ENDPOINT_STATES, parse_endpoint_list
from hookpitch.startup.poll_schedule import NEVER

__all__ = ["MembershipPort", "Settings", "attach", "parse_settings"]

# This limit keeps a flood of datagrams from taking CPU time from RPCs.
MAX_DATAGRAMS_PER_S = 2000
# Time until the next attempt to listen, if the previous process still uses the address.
LISTEN_RETRY_MS = 500.0
MAX_REJECTIONS_LOGGED = 3
# The names that discovery uses for the states of an endpoint.
HEALTH_NAMES = {state: name for name, state in ENDPOINT_STATES.items()}


class _EndpointList(NamedTuple):
    """Endpoints, and their addresses by endpoint id."""

    endpoints: list[Endpoint]
    addresses: dict[str, str]


class MembershipPort(DatagramProtocol):
    """The UDP socket, state machine and endpoint exchange of one node."""

    noisy = False

    def __init__(
        self,
        settings: Settings,
        name: str,
        seed: int,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[[str], None],
        node: Any = None,  # noqa: ANN401 - SocketNode, whose module imports none of this package
    ) -> None:
        """Create the member `name`; `node`, if any, exchanges endpoint lists with other members."""
        self.settings = settings
        self.clock = clock
        self.count = count
        self.node = node
        self.codec = Codec(settings.fleet)
        self.listening_port: Any = None
        # The start time makes the random draws of successive processes of one node differ.
        start_seed = seed ^ int(clock.now())
        self.membership = Membership(
            clock.now(),
            name,
            settings.listen,
            settings.seeds,
            seeded_random(start_seed, "members"),
            log,
        )
        self.exchange = EndpointExchange(
            clock.now(), name, seeded_random(start_seed, "lists"), count
        )
        self._log = log
        self._accepted_version = 0  # of the last list from a member
        self._pending_list: _EndpointList | None = None  # accepted, but not yet applied
        self._rate_limit = RateLimit(MAX_DATAGRAMS_PER_S)
        self._rejection_count = 0

    # ---- lifecycle

    def start(self, reactor: Any) -> None:  # noqa: ANN401 - any of Twisted's reactors
        """Listen now, or as soon as the previous process has released the address."""
        host, port = self.settings.listen
        try:
            self.listening_port = reactor.listenUDP(port, self, interface=host)
        except CannotListenError:
            retry_at = self.clock.now() + LISTEN_RETRY_MS
            self.clock.deadlines.add(retry_at, lambda _: self.start(reactor))
            return
        self.tick(self.clock.now())

    def leave(self) -> None:
        """Announce the departure of this member, and stop listening."""
        if self.listening_port is None or self.membership.is_leaving:
            return
        self.membership.leave(self.clock.now())
        self.flush()
        self.listening_port.stopListening()
        self.listening_port = None

    def tick(self, now: float) -> None:
        """Do what is due, and schedule the next tick."""
        if self.listening_port is None:
            return
        if now >= self.membership.due:
            self.membership.tick(now)
        due = self.membership.due
        if self.node is not None:
            due = min(due, self.exchange.tick(now, self.list_status(), self._list_sources()))
            self._apply_pending_list()
        self.flush()
        self.clock.deadlines.add(max(due, now + 1.0), self.tick)

    # ---- datagrams

    def flush(self) -> None:
        """Send all queued datagrams."""
        outbox = self.membership.take_outbox() + self.exchange.outbox
        self.exchange.outbox = []
        for address, message in outbox:
            try:
                data = self.codec.write(message)
                self.transport.write(data, self.settings.dial.get(address, address))
            except OSError:  # no route or no buffer space: treated like a loss in transit
                self.count("members.unsent")

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        """Process a datagram; Twisted calls this method."""
        now = self.clock.now()
        if not self._rate_limit.allow(now):
            self.count("members.flood")
            return
        try:
            message = self.codec.read(data)
        except DatagramError as error:
            self._datagram_rejected(addr, error)
            return
        source = addr[:2]
        self.membership.receive(now, source, message)
        if self.node is not None:
            self._exchange_list(now, source, message)
        self.flush()

    def _datagram_rejected(self, source: Address, error: DatagramError) -> None:
        self.count(f"members.{error}")
        self._rejection_count += 1
        if self._rejection_count <= MAX_REJECTIONS_LOGGED:
            self._log("member_datagram_refused", source=_format_address(source), reason=str(error))

    # ---- endpoint lists

    def list_status(self) -> ListStatus:
        """Return the state of the node's endpoint list.

        The version of a list from a member counts only until discovery has sent a list, because the
        versions of discovery may be lower.
        """
        discovery = self.node.discovery
        counts = self.node.host.counters.counts
        is_from_discovery = "lists.full" in counts or "lists.delta" in counts
        version = discovery.version
        if not is_from_discovery:
            version = max(version, self._accepted_version)
        is_watch_open = discovery.poll_schedule.due_at == NEVER
        return ListStatus(version, is_from_discovery, is_from_discovery and is_watch_open)

    def _exchange_list(self, now: float, source: Address, message: Message) -> None:
        if message.kind == MessageKind.LIST_REQUEST:
            self.exchange.handle_request(
                now, source, message, self.list_status(), self._list_document
            )
        elif message.kind == MessageKind.LIST_CHUNK:
            received = self.exchange.handle_chunk(now, source, message, self.list_status())
            if received is not None:
                self._accept_list(received)

    def _list_sources(self) -> list[Address]:
        """Return the members that may be asked for a list: the seeds and all that are alive."""
        alive = [
            member.record.address
            for member in self.membership.members.values()
            if member.record.state == MemberState.ALIVE
        ]
        candidates = dict.fromkeys((*self.settings.seeds, *alive))
        return [address for address in candidates if address != self.settings.listen]

    def _list_document(self) -> bytes:
        """Return the list of this node as a JSON document of discovery."""
        host = self.node.host
        addresses = self.node.pools.addresses()
        kinds = host.deployment.kinds
        hosts = [
            {
                "host": backend.id,
                "dial": addresses[backend.id],
                "site": backend.zone,
                "block": backend.cell,
                "share": backend.size,
                "born_ms": max(0.0, backend.started_at),
                "health": HEALTH_NAMES[backend.listed_state],
                "class": kinds[backend.kind] if 0 <= backend.kind < len(kinds) else "",
            }
            for backend in host.router.backends.values()
            if backend.id in addresses and backend.listed_state != EndpointState.REMOVED
        ]
        return json.dumps(
            {"seq": self.node.discovery.version, "whole": True, "hosts": hosts}
        ).encode()

    def _accept_list(self, received: ReceivedList) -> None:
        """Check a received list, and apply it to the node if it is valid."""
        source = _format_address(received.source)
        try:
            endpoints, addresses = self._checked_list(received)
        except ValueError as error:
            self.count("members.lists_wrong")
            self._log("endpoint_list_refused", source=source, reason=str(error))
            return
        self.count("members.lists_taken")
        self._log(
            "endpoint_list_accepted",
            source=source,
            version=received.version,
            age_ms=round(received.age_ms),
            endpoints=len(endpoints),
        )
        self._accepted_version = received.version
        dial_addresses = {
            endpoint_id: self._dial_address(address) for endpoint_id, address in addresses.items()
        }
        self._pending_list = _EndpointList(endpoints, dial_addresses)
        self._apply_pending_list()

    def _checked_list(self, received: ReceivedList) -> _EndpointList:
        """Return the list. Raise ValueError if it is malformed or a node cannot start with it."""
        deployment = self.node.host.deployment
        version, is_complete, endpoints, addresses = parse_endpoint_list(
            received.document, deployment.kinds
        )
        has_ready_cache = any(
            endpoint.state == EndpointState.READY and endpoint.kind != deployment.origin_kind
            for endpoint in endpoints
        )
        if version != received.version or not is_complete or not has_ready_cache:
            raise MembersError(
                f"expected a complete list of version {received.version} with a ready cache, "
                f"got version {version}, complete: {is_complete}, ready cache: {has_ready_cache}"
            )
        return _EndpointList(endpoints, addresses)

    def _dial_address(self, address: str) -> str:
        """Return the address at which this node dials an endpoint that another member sent."""
        host, _, port = address.rpartition(":")
        dial_address = self.settings.dial.get((parse_host(host), int(port)))
        return address if dial_address is None else _format_address(dial_address)

    def _apply_pending_list(self) -> None:
        """Apply a list from a member to the node, which uses it until discovery sends one.

        The list is not applied during a poll of discovery: the response may hold changes to the
        previous list, which would be applied to this one. After that poll has failed, the next one
        requests the complete list.
        """
        pending = self._pending_list
        if pending is None or self.node.discovery.current_watch is not None:
            return
        self._pending_list = None
        if not self.list_status().is_from_discovery:
            self.node.apply_cached_endpoints(0, pending.endpoints, pending.addresses)

    # ---- operators

    def lines(self) -> list[str]:
        """Return the answer to MEMBERS: a summary of the view, then a line for each member."""
        view = self.membership.view
        summary = (
            f"view={view.version} members={len(view.members)} part={view.visible_fraction:.2f} "
            f"slow={self.membership.detector.health.penalty}"
        )
        members = self.membership.members
        now = self.clock.now()
        lines = [self._member_line(name, members[name], now) for name in sorted(members)]
        return [summary, *lines]

    def _member_line(self, name: str, member: Member, now: float) -> str:
        record = member.record
        state = record.state.name.lower()
        if record.state == MemberState.ALIVE and name not in self.membership.view.members:
            state += " flapping"
        seconds = max(0.0, now - member.state_since) / 1000
        accuser = f" by={record.accuser}" if record.accuser else ""
        return (
            f"{name} {state} for={seconds:.1f}s "
            f"incarnation={record.incarnation} at={_format_address(record.address)}{accuser}"
        )


def _format_address(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"


def attach(settings: Settings, node: Any) -> MembershipPort:  # noqa: ANN401 - SocketNode
    """Make the node a member while it serves; it announces its departure when it shuts down."""
    port = MembershipPort(
        settings,
        node.config.name,
        node.config.deployment.seed,
        node.clock,
        node.logger.info,
        node.host.counters.add,
        node,
    )
    node.membership = port
    return port
