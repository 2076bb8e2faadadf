"""Measure the CPU time of a node per RPC, and what its clients see, on loopback.

    python benchmarks/node_cpu.py [--root DIR] [--against DIR] [--rate 600] [--duty 0.5] [--storm]

`--against` names the root of a second build, which is then measured alternately with the first.
Each of the `--loaders` pairs of processes has one process for the caches, the origin and discovery,
and one for clients. The load is open-loop: an RPC is sent when it is due, regardless of how late
the answers are, and its latency counts from the time at which it was due. `--duty` lets the node
run for this fraction of every 20 ms only, and `--gap` stops it for 300 ms in every second, as
another busy process on the machine would. With `--storm`, a client retries at once on a new
connection, at most three times, if its RPC is exhausted, fails or takes too long.
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

HOST, CACHE_COUNT = "127.0.0.1", 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
METHOD_LIMITS = {"soft_deadline_s": 0.25, "hard_deadline_s": 0.8, "idempotency": "retryable"}
METHODS = [
    {"name": "read", "gain": 1.0, **METHOD_LIMITS},
    {"name": "quote", "gain": 4.0, **METHOD_LIMITS},
]


class FakeCache(asyncio.Protocol):
    """Answers each command with a hit after 2 ms."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start with an empty buffer."""
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        """Schedule the answers to all complete commands."""
        self.data += data
        # A command has nine lines: the number of words, then the length and the text of four words.
        while self.data.startswith(b"*") and self.data.count(b"\r\n") >= 9:
            words = self.data.split(b"\r\n", 9)
            self.data = words[9]
            body = b"value of " + words[4] + b" for " + words[6]
            answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$10\r\ninflight=1\r\n" % (len(body), body)
            asyncio.get_running_loop().call_later(0.002, self.transport.write, answer)


class FakeHttpServer(asyncio.Protocol):
    """Serves discovery, and an origin that should receive no requests."""

    hosts: list[dict[str, object]] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Begin a watch of the endpoint list, or answer any other request with 200."""
        if b"/v1/servers" not in data:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(json.dumps({"seq": 1, "whole": True, "hosts": self.hosts}).encode())

    def write_line(self, line: bytes = b"") -> None:
        """Write a line of the watch, and an empty line as a heartbeat every 2 s after it."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
            asyncio.get_running_loop().call_later(2, self.write_line)


def run_servers(pipe, index: int) -> None:  # noqa: ANN001
    """Run caches and an HTTP server; send the HTTP server's port and the endpoints to `pipe`."""

    async def run() -> None:
        loop, ports = asyncio.get_running_loop(), []
        for kind in [FakeCache] * CACHE_COUNT + [FakeHttpServer]:
            server = await loop.create_server(kind, HOST, 0, backlog=4096)
            ports.append(server.sockets[0].getsockname()[1])
        common = {"site": "a", "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0}
        FakeHttpServer.hosts = [
            {"host": f"s{index}-{i}", "dial": f"{HOST}:{port}", "class": "std", **common}
            for i, port in enumerate(ports[:-1])
        ]
        FakeHttpServer.hosts.append(
            {"host": "origin", "dial": f"{HOST}:{ports[-1]}", "class": "origin", **common}
        )
        pipe.send((ports[-1], FakeHttpServer.hosts))
        await asyncio.Event().wait()

    asyncio.run(run())


class ClientConnection(asyncio.Protocol):
    """One client connection, whose RPCs are answered in order."""

    def __init__(self, load: Load) -> None:
        self.load, self.data, self.in_flight = load, b"", []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Match the complete answers with the RPCs in flight."""
        self.data += data
        while self.in_flight:
            if self.data.startswith(b"$"):
                header, line_end, rest = self.data.partition(b"\r\n")
                length = int(header[1:]) + 2 if line_end else 0
                if not line_end or len(rest) < length:
                    return
                self.data, result = rest[length:], "completed"
            else:
                line, line_end, rest = self.data.partition(b"\r\n")
                if not line_end:
                    return
                self.data, result = rest, "exhausted" if line.startswith(b"-BUSY") else "errored"
            self.load.rpc_finished(self, self.in_flight.pop(0), result)

    def connection_lost(self, reason: Exception | None) -> None:
        """Finish the RPCs in flight as lost."""
        for rpc in self.in_flight:
            self.load.rpc_finished(self, rpc, "lost")
        self.in_flight = []


class Load:
    """The clients of one process: sends RPCs at random times and counts their results."""

    def __init__(self, address: tuple[str, int], args: argparse.Namespace, seed: int) -> None:
        self.address, self.args, self.rng = address, args, random.Random(seed)
        self.idle_connections: list[ClientConnection] = []
        self.results: dict[str, int] = {}
        self.latencies_s: list[float] = []
        # RPCs due, and RPCs completed within 0.25 s, by method.
        self.by_method: dict[str, list[int]] = {method["name"]: [0, 0] for method in METHODS}
        self.sent_count, self.max_lateness_s, self.open_connections = 0, 0.0, 0

    async def run(self) -> None:
        """Send RPCs for the configured time, then wait 2 s for the last answers."""
        started = time.monotonic()
        due = started
        while due < started + self.args.seconds:
            due += self.rng.expovariate(self.args.rate / self.args.loaders)
            if (delay_s := due - time.monotonic()) > 0:
                await asyncio.sleep(delay_s)
            self.max_lateness_s = max(self.max_lateness_s, time.monotonic() - due)
            method = "quote" if self.rng.random() < 0.2 else "read"
            self.by_method[method][0] += 1
            asyncio.ensure_future(self.send_rpc((due, method, 0)))
        await asyncio.sleep(2.0)

    async def send_rpc(self, rpc: tuple[float, str, int]) -> None:
        """Send an RPC, given as its due time, method and number of earlier attempts."""
        due, method, attempts = rpc
        if attempts and self.args.storm or not self.idle_connections:
            if self.open_connections >= self.args.connections / self.args.loaders:
                return self.rpc_finished(None, rpc, "no connection left at the client")
            self.open_connections += 1
            try:
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), *self.address
                )
            except OSError:
                self.open_connections -= 1
                return self.rpc_finished(None, rpc, "refused")
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        else:
            connection = self.idle_connections.pop()
        self.sent_count += 1
        key, rpc_id = (
            b"key%d" % (int(self.rng.paretovariate(0.6)) % 5000),
            b"%016x" % self.rng.getrandbits(62),
        )
        words = (b"OBJ.GET", key, rpc_id, b"c=%b,d=%d" % (method.encode(), 800))
        connection.in_flight.append((time.monotonic(), *rpc))
        connection.transport.write(
            b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
        )
        if self.args.storm:
            asyncio.get_running_loop().call_later(
                0.8, self.give_up, connection, connection.in_flight[-1]
            )
        return None

    def give_up(self, connection: ClientConnection, rpc: tuple) -> None:
        """Abort the connection and retry, if the RPC is still in flight."""
        if rpc in connection.in_flight:
            self.results["given up by the client"] = (
                self.results.get("given up by the client", 0) + 1
            )
            connection.in_flight = []
            connection.transport.abort()
            self.open_connections -= 1
            self.retry(rpc[1:])

    def retry(self, rpc: tuple[float, str, int]) -> None:
        """Retry an RPC up to three times if `--storm` is set."""
        if self.args.storm and rpc[2] < 3:
            asyncio.ensure_future(self.send_rpc((rpc[0], rpc[1], rpc[2] + 1)))

    def rpc_finished(self, connection: ClientConnection | None, rpc: tuple, result: str) -> None:
        """Count the result of an RPC, retry it if it failed, and release its connection."""
        self.results[result] = self.results.get(result, 0) + 1
        # `sent` holds the time at which the RPC was sent, and nothing if the RPC was not sent.
        *sent, due, method, attempts = rpc
        now = time.monotonic()
        if sent and now - sent[0] > 0.85:
            self.results["answered late"] = self.results.get("answered late", 0) + 1
        if result == "completed":
            self.latencies_s.append(now - due)
            if now - due <= 0.25:
                self.by_method[method][1] += 1
        else:
            self.retry((due, method, attempts))
        if connection is not None and result == "lost":
            self.open_connections -= 1
        elif connection is not None:
            self.idle_connections.append(connection)


def run_clients(address: tuple[str, int], args: argparse.Namespace, seed: int, pipe) -> None:  # noqa: ANN001
    """Run the clients of one process and send their figures to `pipe`."""
    load = Load(address, args, seed)
    asyncio.run(load.run())
    latencies_s = sorted(load.latencies_s) or [0.0]
    ms_at = {
        percentile: round(
            1000 * latencies_s[min(len(latencies_s) - 1, int(percentile / 100 * len(latencies_s)))],
            1,
        )
        for percentile in (50, 99, 99.9)
    }
    in_time = {
        method: round(completed / max(1, due), 3)
        for method, (due, completed) in load.by_method.items()
    }
    behind_ms = round(1000 * load.max_lateness_s)
    pipe.send(
        {
            "sent": load.sent_count,
            "ends": load.results,
            "ms_at": ms_at,
            "in_time": in_time,
            "behind_ms": behind_ms,
        }
    )


def merge_figures(figures: list[dict]) -> dict:
    """Merge the figures of several client processes.

    Counts are added. Latencies and lateness are the maximum of all processes, and the fractions
    of RPCs completed in time are the mean.
    """
    first, *rest = figures
    for other in rest:
        first["sent"] += other["sent"]
        for result, count in other["ends"].items():
            first["ends"][result] = first["ends"].get(result, 0) + count
        first["ms_at"] = {
            percentile: max(ms, other["ms_at"][percentile])
            for percentile, ms in first["ms_at"].items()
        }
        first["behind_ms"] = max(first["behind_ms"], other["behind_ms"])
        first["in_time"] = {
            method: fraction + other["in_time"][method]
            for method, fraction in first["in_time"].items()
        }
    first["in_time"] = {
        method: round(fraction / len(figures), 3) for method, fraction in first["in_time"].items()
    }
    return first


def read_cpu_times(pid: int) -> tuple[float, float]:
    """Return the seconds that a process has spent in user mode and in system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) / TICKS_PER_S, int(fields[12]) / TICKS_PER_S  # utime and stime, proc(5)


def throttle(pid: int, args: argparse.Namespace, until: float) -> None:
    """Stop and continue the node in turn, according to `--gap` or `--duty`."""
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


def measure(root: str, args: argparse.Namespace, seed: int) -> dict[str, object]:
    """Run the build at `root` under load once and return its figures."""
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    processes, hosts, discovery = [], [], 0
    for server_index in range(args.loaders):
        processes.append(
            context.Process(target=run_servers, args=(child_pipe, server_index), daemon=True)
        )
        processes[-1].start()
        discovery, listed = parent_pipe.recv()
        hosts += listed if server_index == args.loaders - 1 else listed[:-1]
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    config = json.loads((Path(__file__).parent.parent / "examples" / "node.json").read_text())
    config |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}"}
    config["known"] = {"seq": 1, "whole": True, "hosts": hosts}
    config["limits"] = {"cores": args.duty, "memory_mb": 128, "sockets": args.sockets}
    config["settings"]["methods"] = METHODS
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "node.json").write_text(json.dumps(config))
        with open(Path(folder, "log"), "w+") as log:
            environment = os.environ | {"PROXY_CONFIG": f"{folder}/node.json"}
            profile = ["-m", "cProfile", "-o", args.profile] if args.profile else []
            command = [sys.executable, "-O", *profile, "-m", "hookpitch"]
            node = subprocess.Popen(command, cwd=root, env=environment, stderr=log)
            try:
                time.sleep(1.5)
                cpu_before = read_cpu_times(node.pid)
                for client_index in range(args.loaders):
                    client_args = ((HOST, port), args, seed * 100 + client_index, child_pipe)
                    processes.append(
                        context.Process(target=run_clients, args=client_args, daemon=True)
                    )
                    processes[-1].start()
                if args.duty < 1 or args.gap:
                    throttle(node.pid, args, time.monotonic() + args.seconds + 0.5)
                figures = merge_figures([parent_pipe.recv() for _ in range(args.loaders)])
                cpu_used = [
                    after - before
                    for before, after in zip(cpu_before, read_cpu_times(node.pid), strict=True)
                ]
                node.send_signal(signal.SIGTERM)
                node.wait(10)
                log.seek(0)
                lines = [json.loads(line) for line in log]
                counters = lines[-1] if lines else {}
            finally:
                node.kill()
                for process in processes:
                    process.kill()
    # `--against` may name an older build, which logs the second text.
    ejections = ("backend_ejected", "off the path")
    figures["ejections"] = sum(any(text in line["event"] for text in ejections) for line in lines)
    figures["broken"] = {
        name: count for name, count in counters.items() if name.startswith(("broken", "faults"))
    }
    figures["us_a_sent_rpc"] = round(1e6 * sum(cpu_used) / max(1, figures["sent"]))
    figures["user_s"], figures["sys_s"] = round(cpu_used[0], 2), round(cpu_used[1], 2)
    if args.counters:
        figures["counters"] = counters
    return figures


def main() -> None:
    """Measure each build in every round and print one line of JSON for each measurement."""
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
        "--loaders", type=int, default=1, help="number of processes of clients, and of servers"
    )
    parser.add_argument("--gap", action="store_true")
    parser.add_argument("--storm", action="store_true")
    parser.add_argument("--profile", help="write a profile of the node to this file")
    parser.add_argument("--counters", action="store_true")
    args = parser.parse_args()
    for round_number in range(args.rounds):
        for root in [args.root] + ([args.against] if args.against else []):
            print(root, json.dumps(measure(root, args, round_number + 1)), flush=True)


if __name__ == "__main__":
    main()
