"""A planned restart while clients go on sending: answers that are on their way are destroyed."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lib
from lib import TROUBLE, Cache, Discovery, Node, Origin, Record

VALUE_BYTES = 60_000  # "values hold at most 64 KiB"
AT_ONCE = 16  # commands of one connection without an answer
READ_BYTES_PER_S = 4_000_000  # how fast a client's link brings the answers
CLIENTS = 3
WAIT_MS = 2000  # the class's deadline
TERM_AFTER_S = 3.0
SECONDS = 9.0


class RecordingCache(Cache):
    """Holds every key; the value that it makes for a request begins with the request's id."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name)
        self.ran: dict[bytes, float] = {}

    async def handle(self, words, writer) -> None:
        self.ran[words[2]] = self.record.now()
        self.record.add(self.name, f"runs id={words[2].decode()}")
        writer.write(self.answer(words[2] + b"x" * (VALUE_BYTES - len(words[2]))))
        await writer.drain()


class Client:
    """Keeps `AT_ONCE` reads open on its connection, and sends the next one at each answer."""

    def __init__(self, record: Record, port: int, number: int) -> None:
        self.record = record
        self.port = port
        self.number = number
        self.count = 0
        self.answers: dict[str, int] = {}
        self.unanswered: list[tuple[bytes, float, float]] = []  # id, sent at, connection's end

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while self.record.now() < until:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
            except OSError:
                self.record.add(f"client-{self.number}", "cannot connect any more")
                sock.close()
                return
            await self.use(sock, until)
            sock.close()

    async def use(self, sock: socket.socket, until: float) -> None:
        loop = asyncio.get_running_loop()
        open_: list[tuple[bytes, float]] = []
        buffer = bytearray()
        end = "closed by the client"

        async def send() -> None:
            self.count += 1
            request_id = b"%d-%06d" % (self.number, self.count)
            key = b"%016x" % random.randrange(60)
            extras = b"c=part-lookup,d=%d" % WAIT_MS
            open_.append((request_id, self.record.now()))
            self.record.add(f"client-{self.number}", f"sends id={request_id.decode()}")
            await loop.sock_sendall(sock, lib.command(b"OBJ.GET", key, request_id, extras))

        try:
            for _ in range(AT_ONCE):
                await send()
            started, received = loop.time(), 0
            while open_:
                data = await loop.sock_recv(sock, 32768)
                if not data:
                    end = "end of stream from the node"
                    break
                buffer += data
                received += len(data)
                while (answer := self.take(buffer)) is not None:
                    request_id, _ = open_.pop(0)
                    kind = "value" if answer.startswith(request_id) else answer[:20].decode("latin-1")
                    self.answers[kind] = self.answers.get(kind, 0) + 1
                    self.record.add(
                        f"client-{self.number}", f"gets for id={request_id.decode()} {kind}"
                    )
                    if self.record.now() < until:
                        await send()
                ahead = received / READ_BYTES_PER_S - (loop.time() - started)
                if ahead > 0.002:
                    await asyncio.sleep(ahead)
        except OSError as error:
            end = repr(error)
        now = self.record.now()
        self.record.add(
            f"client-{self.number}",
            f"connection over: {end}; {len(open_)} sent and not answered, "
            f"{len(buffer)} bytes of an answer that is not whole",
        )
        self.unanswered += [(request_id, at, now) for request_id, at in open_]

    @staticmethod
    def take(buffer: bytearray) -> bytes | None:
        """Take the next whole answer from the received bytes."""
        at = buffer.find(b"\r\n")
        if at < 0:
            return None
        if buffer[:1] != b"$":
            answer = bytes(buffer[:at])
            del buffer[: at + 2]
            return answer
        size = int(buffer[1:at])
        if len(buffer) < at + 2 + size + 2:
            return None
        answer = bytes(buffer[at + 2 : at + 2 + size])
        del buffer[: at + 2 + size + 2]
        return answer


async def case(record: Record, folder: str) -> list[str]:
    random.seed(3)
    caches = []
    for number in range(3):
        cache = RecordingCache(record, f"s-{number}")
        await cache.start()
        caches.append(cache)
    origin = Origin(record)
    await origin.start()
    hosts = [lib.entry(cache.name, cache.port) for cache in caches]
    discovery = Discovery(record, [*hosts, lib.entry("s-origin", origin.port, "origin")])
    await discovery.start()
    node = Node(record, folder, discovery, {})
    try:
        await node.ready()
        clients = [Client(record, node.port, number) for number in range(CLIENTS)]
        until = record.now() + SECONDS
        tasks = [asyncio.ensure_future(client.run(until)) for client in clients]
        await asyncio.sleep(TERM_AFTER_S)
        termed = record.now()
        if TROUBLE:
            node.signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        breaks = []
        for client in clients:
            record.add(f"client-{client.number}", f"answers: {client.answers}")
            print(f"client {client.number}: {client.answers}")
            for request_id, sent, end in client.unanswered:
                ran = next((c for c in caches if request_id in c.ran), None)
                # A request that the node has not read is sent again by its client: not counted.
                # Nor is one whose time was over, or that SIGKILL might have met.
                if ran and end - sent < WAIT_MS / 1000 and end - termed < WAIT_MS / 1000 + 0.7:
                    breaks.append(
                        f"id={request_id.decode()} was taken and run by {ran.name}; "
                        f"{end - sent:.3f} s after it was sent its connection was over with no "
                        f"whole answer, {end - termed:.3f} s after SIGTERM"
                    )
        if not all(client.answers.get("value", 0) > 50 for client in clients):
            raise lib.CannotRun("too few answers before the restart")
        return breaks
    finally:
        node.end()


lib.run_case(__file__, case)
