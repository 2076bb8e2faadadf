"""Clients: RESP2 commands in, one answer each in their order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from itertools import islice
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from hookpitch.core.host import Host
from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.resp import NEED_DATA, Parser, ProtocolError, bulk
from hookpitch.core.rpc import Rpc
from hookpitch.core.stream import (
    MAX_STREAMED_BYTES,
    MAX_UNSENT_BYTES,
    MIN_UNSENT_BYTES,
    ChunkedValue,
    Stream,
)
from hookpitch.net.buffered_protocol import WRITE_CHUNK_BYTES, BufferedProtocol
from hookpitch.net.clock import Clock

WORDS = {b"OBJ.GET": 4, b"OBJ.SET": 5}
# Danger: what stands unread in the kernel is taken all the same, and its time runs. Read late, it
# would be sent after its deadline. So these bounds lie far beyond what a client has out in earnest.
UNREAD_MOST = (
    1 << 23
)  # bytes of answers that a client may leave unread before its RPCs wait as well
DUE_MOST = 4096  # commands of one client in work
SILENT_MS = 2500.0  # a first command, or one begun, has to be whole by then
IDLE_MS = 2000.0  # a connection on which nothing is asked is kept for so long at the least
DRAINED_MS = 1000.0  # in a drain, one that has not asked yet
SWEEP_MS = 250.0
BATCH = 32  # commands taken at a time, before others have their turn
GUEST_MS = (
    100.0  # a connection beyond the room is kept for so long, for its first command to be answered
)
PROGRESS = 4096  # bytes of a large value, which show that its client is not silent
LAST_MS = 5000.0  # for the last answers of a connection that ends to be read
LINGER_MS = 100.0  # between the end of the sending and the close, for the last answer to arrive
LEFT_MS = 50.0  # what stood unread for longer may be of a client that has gone since
REFUSED = ChunkedValue()  # stands for a large value that is not held
YIELD_MS = 250.0  # without a byte, after which one without a whole request may have to give way
LOOKED_AT = 16  # connections that are weighed when one has to give way


@implementer(IHalfCloseableProtocol)
class Client(BufferedProtocol):
    def __init__(self, clients: ClientRegistry) -> None:
        super().__init__()
        self.clients, self.host = clients, clients.host
        self.parser = Parser(self.inward, commands_only=True, max_value_bytes=MAX_STREAMED_BYTES)
        self.value: ChunkedValue | None = None  # a large one, as it comes
        self.streams: dict[int, Stream] = {}  # answers that have begun, by their place's id
        self.head: Stream | None = None  # the one that passes now
        self.due: deque[ReplySlot] = deque()  # a place for each command, in order
        self.rpcs: dict[int, Rpc] = {}  # open ones, by their place's id
        self.number = -1
        self.ending = self.lost = self.guest = False  # ending: nothing more is read
        self.finished = self.peer_done = (
            False  # our sending has ended, too; so has the client's, all read
        )
        self._taking = self.asked = self.parting = False  # asked: a whole command has come
        self.parted = False  # has ended its sending, as seen when what it sent was read
        self.since = (
            0.0  # the last answer, or the first byte of a command; at first the connection itself
        )
        self.heard = 0.0  # the latest byte

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.number = self.host.connections.add(self)
        self.since = self.heard = self.clients.clock.now()
        self.clients.connections[self] = self.clients.quiet[self] = None
        self.host.counters.add("clients.connected")
        self.clients.make_room(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        self.heard = self.clients.clock.now()
        if self.asked and self.parser.at_boundary:
            self.since = self.heard
        if self.parser.body_remaining and not len(self.inward) and not self.ending:
            most = self.parser.body_remaining
            part = data if len(data) <= most else data[:most]  # past the ring
            self.parser.body_remaining -= len(part)
            self._piece(part)
            data = data[len(part) :]
            if not data:
                return
        super().rawDataReceived(data)

    def _piece(self, data: bytes) -> None:
        """More of a large value that the client sends."""
        if self.value is None:
            size = self.parser.body_remaining + len(data)
            self.value = ChunkedValue() if self.host.value_budget.reserve(size) else REFUSED
            self.since = self.clients.clock.now()
        if self.value is not REFUSED:
            before = self.value.length // PROGRESS
            self.value.append(data)
            if self.value.length // PROGRESS > before:
                # Danger: a large value that comes slowly taken for a client that says nothing.
                self.since = self.clients.clock.now()

    def _let_go(self) -> None:
        """Of a large value that came in part."""
        if self.value is not None and self.value is not REFUSED:
            self.host.value_budget.release(self.value.length + self.parser.body_remaining)
        self.value = None

    def bytes_received(self) -> None:
        if self._taking or self.lost:
            return
        self._taking = True
        try:
            age = self.unread_age_ms()
            # Danger: what was read too late is sent for a client that has gone.
            self.parted = age > LEFT_MS and self.peer_ended()
            self._take(age)
        except ProtocolError as fault:
            self.host.counters.add("clients.malformed")
            self._say(b"-ERR %b\r\n" % str(fault).encode())
            self.ending = True
        finally:
            self._taking = False
        self._last()
        if self.ending:
            self.inward.skip(len(self.inward))
        self._flush()
        self.file()

    def _last(self) -> None:
        """In a drain nothing is read any more, once no command stands in part."""
        # Danger: a pipeline that never rests is never ended; what is read after the end of sending
        # is lost.
        if (
            self.clients.draining
            and self.asked
            and self.due
            and not self.ending
            and self.parser.at_boundary
        ):
            self.ending = True
            self.pauseProducing()

    def file(self) -> None:
        """Into the line of those from which one is chosen to give way: the longest silent stands
        first."""
        clients = self.clients
        clients.idle.pop(self, None)
        clients.quiet.pop(self, None)
        if not self.due and not self.ending and not self.lost and not len(self.outward):
            (clients.idle if self.asked and self.parser.at_boundary else clients.quiet)[self] = None

    def _take(self, age: float) -> None:
        for _ in range(BATCH):
            if self.ending or self.paused:
                return
            words = self.parser.next_value()
            if words is NEED_DATA:
                if self.parser.body_remaining and len(self.inward):
                    self._piece(self.parser.read_body(WRITE_CHUNK_BYTES))
                    continue
                return
            if words:
                self.asked = True
                self._command(words, age)
                if len(self.due) >= DUE_MOST:
                    self.host.counters.add("clients.paused")
                    self.pauseProducing()
        # Danger: hundreds of commands that came at once keep all deadlines waiting until each was
        # decided.
        self.clients.clock.deadlines.add(self.clients.clock.now(), lambda _: self.bytes_received())

    def _say(self, answer: bytes) -> None:
        self.due.append(ReplySlot(answer))

    def _command(self, words: list[bytes], age: float) -> None:
        name = words[0].upper()
        if name in WORDS:
            slot = ReplySlot()
            self.due.append(slot)
            rpc = None
            if self.parted or self.clients.fails_new_requests:
                self.host.counters.add("rpcs.client_left")
                slot.answer = b"-ERR failed\r\n"
            elif self.guest:
                self.host.counters.add("rpcs.no_room")
                self.host.record_rejected(words)
                slot.answer = b"-BUSY\r\n"
                self.ending = True
            elif self.value is REFUSED:
                self.host.counters.add("rpcs.no_memory")
                self.host.record_rejected(words)
                slot.answer = b"-BUSY\r\n"
            elif len(words) == WORDS[name]:
                words[0] = name
                if self.value is not None:
                    words[4] = self.value
                rpc = self.host.accept(self.clients.clock.now(), self, slot, words, age)
                if rpc is not None:
                    self.value = None  # the RPC's, from now on
            if slot.answer is not None:
                pass
            elif rpc is None:
                self.host.counters.add("clients.wrong")
                slot.answer = b"-ERR wrong number of words, unknown class or bad wait\r\n"
            elif rpc.pending:
                self.rpcs[id(slot)] = rpc
        elif name == b"PING":
            if self.clients.reports_draining:
                self._say(b"-ERR draining\r\n")
            else:
                self._say(bulk(words[1]) if len(words) > 1 else b"+PONG\r\n")
        elif name == b"INFO":
            self._say(bulk(self.clients.info()))
        elif name in (b"CLIENT", b"SELECT"):
            self._say(b"+OK\r\n")
        elif name == b"QUIT":
            self._say(b"+OK\r\n")
            self.ending = True
        else:
            self.host.counters.add("clients.wrong")
            self._say(b"-ERR unknown command\r\n")
        self._let_go()

    def reply(self, slot: ReplySlot, answer: bytes) -> None:
        slot.answer = answer
        self.rpcs.pop(id(slot), None)
        if self.streams.pop(id(slot), None) is not None:
            self.clients.active_streams -= 1
            self.head = None  # the end of what has passed
        if not self.lost:
            self._flush()

    # ---- answers that pass in pieces

    def stream_started(self, slot: ReplySlot, stream: Stream) -> None:
        self.streams[id(slot)] = stream
        self.clients.active_streams += 1
        if self.lost or self.due[0] is not slot:
            stream.source.pause()  # those before it go first
        else:
            self._begin(stream)

    def _begin(self, stream: Stream) -> None:
        self.head = stream
        self.send(b"$%d\r\n" % stream.length)
        stream.source.resume()

    def stream_chunk(self, slot: ReplySlot, data: bytes) -> None:
        self.send(data)
        # Danger: a server that gives faster than the client reads; the value would be held here.
        if len(self.outward) > self.clients.stream_buffer_bytes and self.head is not None:
            self.head.source.pause()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.head is not None:
            self.head.last_progress = self.clients.clock.now()
            if 2 * len(self.outward) <= self.clients.stream_buffer_bytes:
                self.head.source.resume()

    def stream_aborted(self, slot: ReplySlot) -> None:
        self.rpcs.pop(id(slot), None)
        stream = self.streams.pop(id(slot), None)
        if stream is not None:
            self.clients.active_streams -= 1
        if self.head is not stream:
            slot.answer = b"-ERR failed\r\n"  # nothing of it has passed
        else:
            # Danger: a client that cannot tell would take what comes next for the rest of the
            # value.
            self.head, self.ending = None, True
            self.due.clear()
        if not self.lost:
            self._flush()

    def _flush(self) -> None:
        while self.due and self.due[0].answer is not None:
            self.send(self.due.popleft().answer)
            self.clients.touch(self)
        if (
            self.due
            and self.head is None
            and (stream := self.streams.get(id(self.due[0]))) is not None
        ):
            self._begin(stream)
        if len(self.outward) > UNREAD_MOST:
            if not self.paused and not self.ending:
                self.pauseProducing()
            self.clients.spare_memory()
        self._resume()
        if not self.due:
            self.file()
        self._end()

    def _resume(self) -> None:
        eased = 2 * len(self.outward) <= UNREAD_MOST and 2 * len(self.due) <= DUE_MOST
        if self.paused and eased and not self.ending and not self.lost:
            self.resumeProducing()
            self.bytes_received()  # what was read before the pause

    def disconnected(self) -> bool:
        """Whether the client has closed its connection, or ended its sending, read or not."""
        return self.lost or self.peer_ended()

    def all_written(self) -> None:
        if self.clients.draining and not self.lost and not self.ending:
            # Danger: a request that stands unread in the kernel counts as taken.
            getattr(self.transport, "doRead", lambda: None)()
            if not self.lost:
                self._last()
        self._resume()
        self.file()
        self._end()

    @property
    def idle(self) -> bool:
        return (
            not self.due and not len(self.outward) and not self.ending and self.parser.at_boundary
        )

    def _end(self) -> None:
        # Danger: a command that has come in part is a client that waits: a node that leaves reads
        # it first.
        if self.lost:
            return
        if self.ending and not self.due and not len(self.outward):
            self.finish()
        elif self.clients.draining and self.idle and self.asked and not self.parting:
            self.parting = True
            self.clients.clock.deadlines.add(self.clients.clock.now(), self._part)

    def part_now(self, now: float) -> None:
        """The turn of an idle connection has come; one that is in use is closed once it is
        answered."""
        self.parting = False
        self.all_written()

    def _part(self, now: float) -> None:
        self.parting = False
        if not self.lost and self.idle and self.clients.draining:
            # Danger: an RPC that comes between the last look and the close is lost.
            if self.has_kernel_bytes():
                getattr(self.transport, "doRead", lambda: None)()
            if not self.lost and self.idle:
                self.finish()

    def finish(self) -> None:
        """All that is owed was written: the sending ends in this very turn, the connection a
        moment later."""
        # Danger: a close over unread bytes resets the connection, and the last answer goes with it.
        self.ending = True
        if self.finished or (self._flowing and self._plain is not None):
            return  # what waits to be written goes first
        self.finished = True
        if not self.peer_done and self.shutdown_write():
            until = self.clients.clock.now() + LINGER_MS
            self.clients.clock.deadlines.add(until, lambda _: self.lost or self.close_now())
        else:
            self.transport.loseConnection()

    def readConnectionLost(self) -> None:  # noqa: N802
        self.host.client_disconnected(
            self.clients.clock.now(), list(self.rpcs.values()), reads=True
        )
        self.peer_done = True
        with suppress(ProtocolError):
            # Not begun yet, and nothing is sent any more.
            while not self.ending and self.parser.next_value() is not NEED_DATA:
                self._say(b"-ERR failed\r\n")
        self.ending = True
        self._flush()

    def writeConnectionLost(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.lost = True
        self._let_go()
        self.host.connections.free(self.number)
        self.clients.connections.pop(self, None)
        self.clients.idle.pop(self, None)
        self.clients.quiet.pop(self, None)
        self.due.clear()
        self.head = None
        self.clients.active_streams -= len(self.streams)
        self.streams.clear()
        self.host.client_disconnected(
            self.clients.clock.now(), list(self.rpcs.values()), reads=False
        )
        self.rpcs.clear()
        self.clients.connection_closed()


class ClientRegistry(Factory):
    noisy = False

    def __init__(
        self, host: Host, clock: Clock, most: int, memory: int, room: int, guests: int
    ) -> None:
        """From `most` connections on idle ones give way; beyond `room` newcomers are guests, so
        many at once.
        `memory`: bytes that unread answers may hold."""
        self.host, self.clock, self.most, self.max_reply_bytes, self.max_connections = (
            host,
            clock,
            most,
            memory,
            room,
        )
        self.connections: dict[Client, None] = {}  # the one that was answered last stands last
        # Nothing is in work on these, the longest silent first: between RPCs, and without a whole
        # one yet.
        self.idle, self.quiet = dict[Client, None](), dict[Client, None]()
        self.guests, self.active_streams = guests, 0  # streams: answers that pass in pieces now
        clock.deadlines.add(clock.now() + SWEEP_MS, self.sweep)
        self.on_all_closed: Callable[[], None] | None = None
        self.draining = self.reports_draining = (
            False  # draining: what is idle is closed; paused: `PING` says no
        )
        self.fails_new_requests = False  # no time is left to send anything on

    def buildProtocol(self, addr: Any) -> Client:  # noqa: ANN401, N802
        return Client(self)

    def info(self) -> bytes:
        gauges = f"clients.open:{len(self.connections)}\r\nrpcs.open:{len(self.host.rpcs)}\r\n"
        return (gauges + self.host.counters.render()).encode()

    @property
    def stream_buffer_bytes(self) -> int:
        """Bytes that a stream may have waiting for its reader: less with more of them."""
        return max(
            MIN_UNSENT_BYTES,
            min(MAX_UNSENT_BYTES, self.max_reply_bytes // (4 * max(1, self.active_streams))),
        )

    def make_room(self, newcomer: Client) -> None:
        """Danger: clients that keep connections and use none shut all others out."""
        if len(self.connections) <= self.most:
            return
        for client in islice(self.idle, LOOKED_AT):
            if client.idle and not client.has_unread_bytes():
                return self.close(client, "closed_idle")
        if len(self.connections) <= self.max_connections:
            return
        # Danger: hundreds that send half of a request in the place of true ones. A slow but honest
        # client goes on writing, so the one that has been silent for longest gives way, not the one
        # that
        # came first.
        for client in islice(self.quiet, LOOKED_AT):
            if client.heard > newcomer.heard - YIELD_MS:
                break
            if not client.has_kernel_bytes():
                return self.close(client, "closed_silent")
        if len(self.connections) > self.max_connections:
            # Danger: with no descriptor left, Twisted closes what it accepts, with an RPC on it. A
            # guest is answered that there is no room, and goes.
            newcomer.guest = True
            self.host.counters.add("clients.guests")
            newcomer.transport.doRead()
            # Danger: guests that say nothing use up the descriptors that are left.
            if newcomer.ending or len(self.connections) > self.max_connections + self.guests:
                self.part(newcomer)
            else:
                self.clock.deadlines.add(self.clock.now() + GUEST_MS, lambda _: self.part(newcomer))

    def part(self, guest: Client) -> None:
        """Danger: what has its answer must not wait for another turn with a descriptor that others
        need."""
        if not guest.lost and not guest.due and not len(guest.outward) and guest.parser.at_boundary:
            if not guest.ending:
                self.host.counters.add("clients.closed_silent")
            guest.ending = True
            guest.close_now()

    def touch(self, client: Client) -> None:
        if client in self.connections:
            del self.connections[client]
            self.connections[client], client.since = None, self.clock.now()

    def sweep(self, now: float) -> None:
        """Close what never asked or has begun and not gone on, and what is idle where room is
        short."""
        self.clock.deadlines.add(now + SWEEP_MS, self.sweep)
        held = len(self.connections)
        kept = DRAINED_MS if self.draining else IDLE_MS
        for client in list(self.connections):
            if client.since > now - kept:
                break
            if client.ending and not client.due and client.since < now - LAST_MS:
                # Danger: its end waits for a peer that does not read
                client.transport.abortConnection()
            if client.due or len(client.outward) or client.ending or client.paused:
                continue
            if self.draining and client.idle and not client.has_unread_bytes():
                self.close(client, "closed_drained")
                continue
            silent = not client.asked or not client.parser.at_boundary
            if silent and client.since <= now - SILENT_MS and not client.has_kernel_bytes():
                # Danger: hundreds that connect and say nothing, or half of a command, hold every
                # descriptor.
                self.close(client, "closed_silent")
            elif not silent and 2 * held > self.most and not client.has_unread_bytes():
                # Danger: clients that ask once and keep the connection use up what the others need.
                self.close(client, "closed_idle")
                held -= 1

    def close(self, client: Client, why: str) -> None:
        self.host.counters.add(f"clients.{why}")
        client.ending = True
        client.file()
        if client.since > self.clock.now() - LINGER_MS:
            client.finish()
        else:
            client.close_now()

    def spare_memory(self) -> None:
        """Danger: clients that ask and never read; the node would be killed for memory."""
        if sum(client.outward.capacity for client in self.connections) > self.max_reply_bytes:
            worst = max(self.connections, key=lambda client: client.outward.capacity)
            self.host.counters.add("clients.cut_off")
            worst.transport.abortConnection()

    def shut_down(self, done: Callable[[], None], over_ms: float = 0.0) -> None:
        """Close what is idle, by turns over `over_ms`, the rest once answered; `done` when all are
        closed."""
        self.on_all_closed = done
        self.drain(silent=True, over_ms=over_ms)
        self.connection_closed()

    def drain(self, silent: bool = False, over_ms: float = 0.0) -> None:
        """Close what is idle, by turns over `over_ms`, and what else there is once it is;
        `silent`: also what
        has not asked yet."""
        self.draining, now, held = True, self.clock.now(), list(self.connections)
        # Danger: clients that hear of hundreds of closes at once still write to some of those
        # connections.
        for n, client in enumerate(held):
            client.asked |= silent
            if over_ms and n and client.idle:
                client.parting = True
                self.clock.deadlines.add(now + over_ms * n / len(held), client.part_now)
            else:
                client.all_written()

    def close_all(self) -> None:
        """What is open ends now, but for what stands in part: no more time is left."""
        self.fails_new_requests = True  # a command that becomes whole only now is answered at once
        for client in list(self.connections):
            if client.due or client.parser.at_boundary:
                client.ending = True
                client.due.clear()
                client.finish()

    def connection_closed(self) -> None:
        if self.on_all_closed is not None and not self.connections:
            done, self.on_all_closed = self.on_all_closed, None
            done()
