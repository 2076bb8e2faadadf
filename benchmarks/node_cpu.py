"""CPU an RPC of a node, and what its clients see, on loopback: two builds in turns where two are
named.

    python benchmarks/node_cpu.py [--root DIR] [--against DIR] [--rate 600] [--duty 0.5] [--storm]

One process stands in for caches, origin and discovery, one for clients (open loop: an RPC is sent
when it is
due, however late the answers are). `--duty` stops the node for the rest of every 20 ms, `--gap`
for 300 ms in
every second, as a busy neighbour would. `--storm`: a client that is exhausted, fails or waits too
long tries
again at once, three times at the most, on a new connection. Latencies count from the time an RPC
was due.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HOST, CACHES = "127.0.0.1", 8
TICKS = os.sysconf("SC_CLK_TCK")
PLAIN = {"soft_deadline_s": 0.25, "hard_deadline_s": 0.8, "idempotency": "retryable"}
METHODS = [{"name": "read", "gain": 1.0, **PLAIN}, {"name": "quote", "gain": 4.0, **PLAIN}]


class Cache(asyncio.Protocol):
    """Answers each command after two milliseconds: a hit."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        while self.data.startswith(b"*") and self.data.count(b"\r\n") >= 9:
            words = self.data.split(b"\r\n", 9)
            self.data = words[9]
            body = b"value of " + words[4] + b" for " + words[6]
            answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$10\r\ninflight=1\r\n" % (len(body), body)
            asyncio.get_running_loop().call_later(0.002, self.transport.write, answer)


class Web(asyncio.Protocol):
    """Discovery, and an origin that nobody should need."""

    hosts: list[dict[str, object]] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if b"/v1/servers" not in data:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.beat(json.dumps({"seq": 1, "whole": True, "hosts": self.hosts}).encode())

    def beat(self, line: bytes = b"") -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
            asyncio.get_running_loop().call_later(2, self.beat)


def fleet(pipe, n: int) -> None:  # noqa: ANN001
    async def run() -> None:
        loop, ports = asyncio.get_running_loop(), []
        for kind in [Cache] * CACHES + [Web]:
            server = await loop.create_server(kind, HOST, 0, backlog=4096)
            ports.append(server.sockets[0].getsockname()[1])
        plain = {"site": "a", "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0}
        Web.hosts = [
            {"host": f"s{n}-{i}", "dial": f"{HOST}:{p}", "class": "std", **plain}
            for i, p in enumerate(ports[:-1])
        ]
        Web.hosts.append(
            {"host": "origin", "dial": f"{HOST}:{ports[-1]}", "class": "origin", **plain}
        )
        pipe.send((ports[-1], Web.hosts))
        await asyncio.Event().wait()

    asyncio.run(run())


class Asker(asyncio.Protocol):
    """One client connection; RPCs in order."""

    def __init__(self, load: Load) -> None:
        self.load, self.data, self.due = load, b"", []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        while self.due:
            if self.data.startswith(b"$"):
                head, found, rest = self.data.partition(b"\r\n")
                length = int(head[1:]) + 2 if found else 0
                if not found or len(rest) < length:
                    return
                self.data, how = rest[length:], "completed"
            else:
                line, found, rest = self.data.partition(b"\r\n")
                if not found:
                    return
                self.data, how = rest, "exhausted" if line.startswith(b"-BUSY") else "errored"
            self.load.ended(self, self.due.pop(0), how)

    def connection_lost(self, fault: Exception | None) -> None:
        for rpc in self.due:
            self.load.ended(self, rpc, "lost")
        self.due = []


class Load:
    def __init__(self, address: tuple[str, int], args: argparse.Namespace, seed: int) -> None:
        self.address, self.args, self.rng = address, args, random.Random(seed)
        self.free: list[Asker] = []
        self.ends: dict[str, int] = {}
        self.took: list[float] = []
        self.by_method: dict[str, list[int]] = {m["name"]: [0, 0] for m in METHODS}
        self.count, self.behind, self.open = 0, 0.0, 0

    async def run(self) -> None:
        begun = time.monotonic()
        due = begun
        while due < begun + self.args.seconds:
            due += self.rng.expovariate(self.args.rate / self.args.loaders)
            if (pause := due - time.monotonic()) > 0:
                await asyncio.sleep(pause)
            self.behind = max(self.behind, time.monotonic() - due)
            method = "quote" if self.rng.random() < 0.2 else "read"
            self.by_method[method][0] += 1
            asyncio.ensure_future(self.ask((due, method, 0)))
        await asyncio.sleep(2.0)

    async def ask(self, rpc: tuple[float, str, int]) -> None:
        due, method, tries = rpc
        if tries and self.args.storm or not self.free:
            if self.open >= self.args.connections / self.args.loaders:
                return self.ended(None, rpc, "no connection left at the client")
            self.open += 1
            try:
                loop = asyncio.get_running_loop()
                _, asker = await loop.create_connection(lambda: Asker(self), *self.address)
            except OSError:
                self.open -= 1
                return self.ended(None, rpc, "refused")
            sock = asker.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        else:
            asker = self.free.pop()
        self.count += 1
        key, id = (
            b"key%d" % (int(self.rng.paretovariate(0.6)) % 5000),
            b"%016x" % self.rng.getrandbits(62),
        )
        words = (b"OBJ.GET", key, id, b"c=%b,d=%d" % (method.encode(), 800))
        asker.due.append((time.monotonic(), *rpc))
        asker.transport.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
        if self.args.storm:
            asyncio.get_running_loop().call_later(0.8, self.give_up, asker, asker.due[-1])

    def give_up(self, asker: Asker, rpc: tuple) -> None:
        if rpc in asker.due:
            self.ends["given up by the client"] = self.ends.get("given up by the client", 0) + 1
            asker.due = []
            asker.transport.abort()
            self.open -= 1
            self.again(rpc[1:])

    def again(self, rpc: tuple[float, str, int]) -> None:
        if self.args.storm and rpc[2] < 3:
            asyncio.ensure_future(self.ask((rpc[0], rpc[1], rpc[2] + 1)))

    def ended(self, asker: Asker | None, rpc: tuple, how: str) -> None:
        self.ends[how] = self.ends.get(how, 0) + 1
        *sent, due, method, tries = rpc
        now = time.monotonic()
        if sent and now - sent[0] > 0.85:
            self.ends["answered late"] = self.ends.get("answered late", 0) + 1
        if how == "completed":
            self.took.append(now - due)
            if now - due <= 0.25:
                self.by_method[method][1] += 1
        else:
            self.again((due, method, tries))
        if asker is not None and how == "lost":
            self.open -= 1
        elif asker is not None:
            self.free.append(asker)


def load(address: tuple[str, int], args: argparse.Namespace, seed: int, pipe) -> None:  # noqa: ANN001
    work = Load(address, args, seed)
    asyncio.run(work.run())
    took = sorted(work.took) or [0.0]
    at = {
        q: round(1000 * took[min(len(took) - 1, int(q / 100 * len(took)))], 1)
        for q in (50, 99, 99.9)
    }
    in_time = {m: round(b / max(1, a), 3) for m, (a, b) in work.by_method.items()}
    behind = round(1000 * work.behind)
    pipe.send(
        {
            "sent": work.count,
            "ends": work.ends,
            "ms_at": at,
            "in_time": in_time,
            "behind_ms": behind,
        }
    )


def merged(figures: list[dict]) -> dict:
    """Counts are added, latencies and lateness the worst of all, parts in time the mean."""
    first, *rest = figures
    for other in rest:
        first["sent"] += other["sent"]
        for how, count in other["ends"].items():
            first["ends"][how] = first["ends"].get(how, 0) + count
        first["ms_at"] = {q: max(ms, other["ms_at"][q]) for q, ms in first["ms_at"].items()}
        first["behind_ms"] = max(first["behind_ms"], other["behind_ms"])
        first["in_time"] = {m: part + other["in_time"][m] for m, part in first["in_time"].items()}
    first["in_time"] = {m: round(part / len(figures), 3) for m, part in first["in_time"].items()}
    return first


def cpu(pid: int) -> tuple[float, float]:
    """Seconds in user and in system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) / TICKS, int(fields[12]) / TICKS  # utime and stime, proc(5)


def hold(pid: int, args: argparse.Namespace, until: float) -> None:
    """Stop the node for its part of the time."""
    while time.monotonic() < until:
        if args.gap:
            time.sleep(0.7)
            os.kill(pid, signal.SIGSTOP)
            time.sleep(0.3)
        else:
            time.sleep(0.02 * args.duty)
            os.kill(pid, signal.SIGSTOP)
            time.sleep(0.02 * (1 - args.duty))
        os.kill(pid, signal.SIGCONT)


def once(root: str, args: argparse.Namespace, seed: int) -> dict[str, object]:
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    parts, hosts, discovery = [], [], 0
    for n in range(args.loaders):
        parts.append(context.Process(target=fleet, args=(theirs, n), daemon=True))
        parts[-1].start()
        discovery, some = ours.recv()
        hosts += some if n == args.loaders - 1 else some[:-1]
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    base = json.loads((Path(__file__).parent.parent / "examples" / "node.json").read_text())
    base |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}"}
    base["known"] = {"seq": 1, "whole": True, "hosts": hosts}
    base["limits"] = {"cores": args.duty, "memory_mb": 128, "sockets": args.sockets}
    base["settings"]["methods"] = METHODS
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "node.json").write_text(json.dumps(base))
        with open(Path(folder, "log"), "w+") as log:
            environment = os.environ | {"PROXY_CONFIG": f"{folder}/node.json"}
            profile = ["-m", "cProfile", "-o", args.profile] if args.profile else []
            command = [sys.executable, "-O", *profile, "-m", "hookpitch"]
            node = subprocess.Popen(command, cwd=root, env=environment, stderr=log)
            try:
                time.sleep(1.5)
                begun = cpu(node.pid)
                for part in range(args.loaders):
                    words = ((HOST, port), args, seed * 100 + part, theirs)
                    parts.append(context.Process(target=load, args=words, daemon=True))
                    parts[-1].start()
                if args.duty < 1 or args.gap:
                    hold(node.pid, args, time.monotonic() + args.seconds + 0.5)
                figures = merged([ours.recv() for _ in range(args.loaders)])
                used = [b - a for a, b in zip(begun, cpu(node.pid), strict=True)]
                node.send_signal(signal.SIGTERM)
                node.wait(10)
                log.seek(0)
                lines = [json.loads(line) for line in log]
                left = lines[-1] if lines else {}
            finally:
                node.kill()
                for part in parts:
                    part.kill()
    # An older build that is compared with has the second form.
    ejections = ("backend_ejected", "off the path")
    figures["ejections"] = sum(any(e in line["event"] for e in ejections) for line in lines)
    figures["broken"] = {k: v for k, v in left.items() if k.startswith(("broken", "faults"))}
    figures["us_a_sent_rpc"] = round(1e6 * sum(used) / max(1, figures["sent"]))
    figures["user_s"], figures["sys_s"] = round(used[0], 2), round(used[1], 2)
    if args.counters:
        figures["counters"] = left
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--root", default=".")
    parser.add_argument("--against")
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--connections", type=int, default=300)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--duty", type=float, default=1.0)
    parser.add_argument(
        "--loaders", type=int, default=1, help="processes of clients, and of servers"
    )
    parser.add_argument("--gap", action="store_true")
    parser.add_argument("--storm", action="store_true")
    parser.add_argument("--profile", help="write a profile of the node there")
    parser.add_argument("--counters", action="store_true")
    args = parser.parse_args()
    for n in range(args.rounds):
        for root in [args.root] + ([args.against] if args.against else []):
            print(root, json.dumps(once(root, args, n + 1)), flush=True)


if __name__ == "__main__":
    main()
