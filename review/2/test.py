"""Large values without a length from the origin: the node goes over its memory limit."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lib
from lib import TROUBLE, Cache, Discovery, Node, Origin, Record

MEMORY_MB = 192  # the highest limit that the pages give a node
LARGE_BYTES = 4_000_000  # "values reach 4 MiB"
LARGE_AT_ONCE = 4  # "many at a time"
SMALL_PER_S = 60
SECONDS = 40.0


class LargeOrigin(Origin):
    """Keys that begin with b have a large value; with the trouble it is sent without a length."""

    async def handle(self, method, key, headers, body, writer) -> None:
        if not key.startswith("b"):
            await super().handle(method, key, headers, body, writer)
            return
        if TROUBLE:  # HTTP/1.1: a body without a length ends with the connection
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
        self.record.add("origin", f"GET {key}: {LARGE_BYTES} bytes, length told: {not TROUBLE}")
        part = b"x" * 50_000
        for _ in range(LARGE_BYTES // len(part)):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.002)  # 4 MB in about a fifth of a second
        if TROUBLE:
            writer.write_eof()
            writer.close()


class SmallCache(Cache):
    """Holds the small values; the large keys are wanted only once, so it lacks them."""

    def value_of(self, key: bytes, request_id: bytes) -> bytes | None:
        return None if key.startswith(b"b") else b"cache:%b:%b" % (key, request_id)

    async def handle(self, words, writer) -> None:
        value = self.value_of(words[1], words[2])
        self.record.add(self.name, f"id={words[2].decode()} {'miss' if value is None else 'hit'}")
        writer.write(self.answer(value))
        await writer.drain()


class Clients:
    """Ask for small and large values, each on a connection that is kept."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.free: list[tuple] = []
        self.number = 0
        self.open: dict[bytes, float] = {}
        self.counts: dict[str, int] = {}
        self.stopped = False

    async def ask(self, key: bytes, kind: str) -> None:
        self.number += 1
        request_id = b"%08d" % self.number
        reader = writer = None
        try:
            if self.free:
                reader, writer = self.free.pop()
            else:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.port, limit=1 << 20
                )
            writer.write(lib.command(b"OBJ.GET", key, request_id, b"c=part-lookup,d=2000"))
            self.open[request_id] = self.record.now()
            self.record.add("client", f"sends id={request_id.decode()} key {key.decode()}")
            answer, value = await asyncio.wait_for(lib.read_reply(reader), 4.0)
            self.free.append((reader, writer))
            name = f"{kind} {answer}"
            self.record.add("client", f"gets for id={request_id.decode()} {answer}, {len(value)} bytes")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            name = f"{kind} {type(error).__name__}"
            if not self.stopped:
                self.record.add("client", f"id={request_id.decode()} {kind}: {error!r}")
            if writer is not None:
                writer.close()
        self.open.pop(request_id, None)
        self.counts[name] = self.counts.get(name, 0) + 1

    async def ask_large(self) -> None:
        while not self.stopped:
            await self.ask(b"b%015x" % random.getrandbits(60), "large")
            await asyncio.sleep(0.05)

    async def ask_small(self) -> None:
        tasks = []
        while not self.stopped:
            tasks.append(asyncio.ensure_future(self.ask(b"a%015x" % random.randrange(99), "small")))
            await asyncio.sleep(1 / SMALL_PER_S)
        await asyncio.gather(*tasks)


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def case(record: Record, folder: str) -> list[str]:
    random.seed(2)
    hosts = []
    for number in range(3):
        cache = SmallCache(record, f"s-{number}")
        await cache.start()
        hosts.append(lib.entry(f"s-{number}", cache.port))
    origin = LargeOrigin(record)
    await origin.start()
    discovery = Discovery(record, [*hosts, lib.entry("s-origin", origin.port, "origin")])
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    node = Node(record, folder, discovery, {"limits": limits})
    try:
        await node.ready()
        clients = Clients(record, node.port)
        tasks = [asyncio.ensure_future(clients.ask_large()) for _ in range(LARGE_AT_ONCE)]
        tasks.append(asyncio.ensure_future(clients.ask_small()))
        breaks = []
        peak, noted = 0.0, 0.0
        end = record.now() + SECONDS
        while record.now() < end and not breaks:
            await asyncio.sleep(0.02)
            used = resident_mb(node.process.pid)
            peak = max(peak, used)
            if record.now() - noted > 1:
                noted = record.now()
                record.add("platform", f"the node uses {used:.0f} MB")
            if used > MEMORY_MB:
                breaks.append(
                    f"the node uses {used:.0f} MB, its limit is {MEMORY_MB} MB: the platform kills "
                    f"it, {len(clients.open)} requests were open"
                )
                node.process.kill()
        clients.stopped = True
        await asyncio.gather(*tasks)
        summary = f"peak {peak:.0f} MB of {MEMORY_MB}; {dict(sorted(clients.counts.items()))}"
        record.add("case", summary)
        print(summary)
        if not clients.counts.get("large value"):
            raise lib.CannotRun("no large value was served")
        return breaks
    finally:
        node.end()


lib.run_case(__file__, case)
