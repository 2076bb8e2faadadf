"""Discovery: a watch over HTTP/1.1 that stays open, one JSON object after the other, beats between
them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from hookpitch.balancer.interface import Endpoint, EndpointState, EndpointUpdate
from hookpitch.core.deadlines import Deadline
from hookpitch.core.host import Host
from hookpitch.core.json_stream import JsonStream
from hookpitch.core.seeded_random import seeded_random
from hookpitch.net.buffered_protocol import BufferedProtocol
from hookpitch.net.clock import Clock
from hookpitch.net.endpoint_list import parse_endpoint_list
from hookpitch.startup.poll_schedule import NEVER, SILENCE_TIMEOUT_MS, PollSchedule, WatchLoss

ASK_WITHIN_MS = 10000.0  # a node asks so often, where nothing is told
DIALS = 4  # times the time-out of a dial to a server, for one to discovery
LIST_MOST = 1 << 22  # bytes of one object, where nothing else is said
PROGRESS = 512  # bytes of an object that comes slowly, which put its watch's silence off
OLDER_MOST = (
    3  # times that a discovery which counts lower is heard, beats included, before it is taken
)


def retry_after_ms(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """The seconds that an HTTP answer asks for before the next call, in ms; 0 where it names
    none."""
    words = (value for name, value in headers if name.lower() == b"retry-after")
    value = next(words, b"")
    return min(3600.0, float(value)) * 1000 if value.isdigit() and len(value) < 10 else 0.0


class Watch(BufferedProtocol):
    """One call: what discovery writes is told until the connection ends."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery
        self.http = h11.Connection(h11.CLIENT)
        self.objects = JsonStream(discovery.most)
        self.seen = (
            0  # bytes of an object that has not come whole, when the silence was last put off
        )
        self.silence: Deadline | None = None
        self.connector: Any = None
        self.over = False

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        # Danger: a discovery cut off never answers, and a watch that hangs would tell of no loss.
        self.wait(self.discovery.poll_schedule.response_timeout_ms)
        host, port = self.discovery.address
        target = f"/v1/servers?follow=1&since={self.discovery.version}"
        headers = [("Host", f"{host}:{port}")]
        request = self.http.send(h11.Request(method="GET", target=target, headers=headers))
        self.send(request + self.http.send(h11.EndOfMessage()))

    def bytes_received(self) -> None:
        self.http.receive_data(self.inward.read(len(self.inward)))
        try:
            while not self.over:
                event = self.http.next_event()
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        return self.end(WatchLoss.REFUSED, retry_after_ms(event.headers))
                elif isinstance(event, h11.Data):
                    self._read(bytes(event.data))
                elif event is h11.NEED_DATA:
                    return
                else:
                    return self.end()
        except (h11.RemoteProtocolError, ValueError) as fault:
            self.discovery.host.logger.info("discovery answers badly", why=str(fault)[:200])
            self.end()

    def wait(self, ms: float) -> None:
        """How long it may be silent from now on."""
        clock = self.discovery.clock
        clock.deadlines.cancel(self.silence)
        self.silence = clock.deadlines.add(clock.now() + ms, lambda _: self.end(WatchLoss.SILENT))

    def _read(self, data: bytes) -> None:
        discovery, whole = self.discovery, 0
        for text in self.objects.feed(data):
            whole += 1
            if text:
                discovery.list_received(text)
            else:
                discovery.heartbeat_received()
        # Danger: half an object, or a byte now and then, tells nothing and would put silence off
        # for good.
        if whole or abs(len(self.objects) - self.seen) >= PROGRESS:
            self.seen = len(self.objects)
            self.wait(SILENCE_TIMEOUT_MS)

    def end(self, how: WatchLoss | None = WatchLoss.ENDED, after_ms: float = 0.0) -> None:
        """The watch is lost, or (None) given up for a new one. `after_ms`: not to be asked for
        sooner."""
        if self.over:
            return
        self.over = True
        self.discovery.clock.deadlines.cancel(self.silence)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()  # it still dials
        if how is not None:
            self.discovery.watch_lost(self, how, after_ms)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.end()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, watch: Watch) -> None:
        self.watch = watch

    def buildProtocol(self, addr: Any) -> Watch:  # noqa: ANN401, N802
        return self.watch

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ANN401, N802
        self.watch.end()


class Discovery:
    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        clock: Clock,
        host: Host,
        address: tuple[str, int],  # noqa: ANN401
        seq: int,
        most: int = LIST_MOST,
    ) -> None:
        """`most`: bytes of one list or change."""
        self.reactor, self.clock, self.host, self.address, self.version = (
            reactor,
            clock,
            host,
            address,
            seq,
        )
        self.most = most
        self.current_watch: Watch | None = None
        d = host.deployment
        within = d.poll_interval_ms or ASK_WITHIN_MS
        self.poll_schedule = PollSchedule(
            clock.now(), d.nodes, within, seeded_random(d.seed, "ask"), not d.polling_required
        )
        self.due: Deadline | None = None
        self.on_first_list: Callable[[], None] | None = None  # called once a list has come
        self.older = 0  # times in a row that it was heard with versions lower than the one held,
        self.lower = 0  # one more than the last such version; 0: it has none on this watch
        self.anew: dict[str, tuple[Endpoint, str]] | None = (
            None  # the whole list with it, and dials
        )

    def schedule_poll(self) -> None:
        """From now on it asks when its time has come."""
        self.clock.deadlines.cancel(self.due)
        self.due = (
            self.clock.deadlines.add(self.poll_schedule.due_at, self._due)
            if self.poll_schedule.due_at < NEVER
            else None
        )

    def _due(self, now: float) -> None:
        if self.poll_schedule.due(now):
            self.start_watch(now)
        else:
            self.schedule_poll()

    def reconfigured(self) -> None:
        d = self.host.deployment
        self.poll_schedule.reconfigure(
            d.nodes, d.poll_interval_ms or ASK_WITHIN_MS, not d.polling_required
        )

    def start_watch(self, now: float) -> None:
        self.host.counters.add("lists.asked")
        self.poll_schedule.poll_started(now)
        self.schedule_poll()
        if self.current_watch is not None:
            self.current_watch.end(None)
        watch = self.current_watch = Watch(self)
        watch.connector = self.reactor.connectTCP(*self.address, _Dial(watch), timeout=None)
        watch.wait(DIALS * self.host.deployment.connect_timeout_ms)

    def change_address(self, address: tuple[str, int], anew: bool = False) -> None:
        """Discovery lives elsewhere now, and may count versions anew; or the list held is to be
        read anew, as
        its words mean something else: the whole list is asked for."""
        if address == self.address and self.current_watch is not None and not anew:
            return
        if address != self.address or anew:
            self.address, self.version, self.older, self.lower, self.anew = address, 0, 0, 0, None
        self.start_watch(self.clock.now())

    def list_received(self, text: bytes) -> None:
        seq, whole, entries, dials = parse_endpoint_list(text, self.host.deployment.kinds)
        if whole and not entries:
            # Danger: a discovery that has lost its data would empty the list of every node.
            raise ValueError("a whole list without servers")
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if seq < self.version:
            return self._older(seq, whole, entries, dials)
        self.version, self.older, self.lower, self.anew = seq, 0, 0, None
        kind = EndpointUpdate.SNAPSHOT if whole else EndpointUpdate.DELTA
        self.host.update_endpoints(self.clock.now(), kind, entries, dials)
        if self.on_first_list is not None:
            self.on_first_list()

    def _older(
        self, seq: int, whole: bool, entries: Sequence[Endpoint], dials: Mapping[str, str]
    ) -> None:
        """Discovery lags, or has begun to count anew."""
        # Danger: one that lags brings back servers long gone: that waits until it has been heard
        # some times.
        # Danger: hundreds of nodes that call again each time; the watch stays open, and its beats
        # count.
        if whole:
            self.anew = {}
        if self.anew is not None:
            self.anew |= {
                e.id: (e, dials[e.id]) for e in entries if e.state != EndpointState.REMOVED
            }
            for id in [e.id for e in entries if e.state == EndpointState.REMOVED]:
                self.anew.pop(id, None)
        self.lower = seq + 1
        self.host.record_malformed(
            "versions", f"discovery has version {seq}, {self.version} is held"
        )
        # It brings none back, but what it takes away is let go at once: rule 3 counts from this
        # telling.
        away = [e for e in entries if e.state != EndpointState.READY]
        if away:
            self.host.update_endpoints(self.clock.now(), EndpointUpdate.DELTA, away, dials)
        self.heartbeat_received()

    def heartbeat_received(self) -> None:
        """Discovery was heard, and told nothing newer than is held."""
        # Danger: a watch with beats alone, as nothing has changed, taken for a call that is not
        # answered.
        self.poll_schedule.endpoints_received()
        self.schedule_poll()
        if not self.lower:
            return
        self.older += 1
        if self.older > OLDER_MOST:
            known, self.version, self.older = self.anew, self.lower - 1, 0
            self.anew, self.lower = None, 0
            if known is None:  # changes alone: of what list, only the whole one tells
                self.version = 0
                raise ValueError("versions are counted anew")
            entries, dials = [e for e, _ in known.values()], {id: d for id, (_, d) in known.items()}
            self.host.update_endpoints(self.clock.now(), EndpointUpdate.SNAPSHOT, entries, dials)

    def watch_lost(self, watch: Watch, how: WatchLoss, after_ms: float) -> None:
        if watch is self.current_watch:
            # What was heard of a discovery that counts lower stays counted; its list may be
            # another's by now.
            self.current_watch, self.anew, self.lower, now = None, None, 0, self.clock.now()
            if not self.poll_schedule.failures:
                self.host.log("discovery lost, asking again")
            self.host.update_endpoints(now, EndpointUpdate.FAILED, [], {})
            self.poll_schedule.poll_failed(now, how, after_ms)
            self.schedule_poll()
