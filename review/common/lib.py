"""Small stand-ins and a driver for the review's cases: standard library only, loopback only.

The stand-ins follow ../given/kit/real/PROTOCOL.md: discovery (HTTP, watch), cache servers (RESP2),
the origin (HTTP/1.1) and clients. A case subclasses them where it needs another behaviour.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def end_with_parent() -> None:
    """In a new process: ask Linux to kill it when the process that started it ends."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))  # PR_SET_PDEATHSIG


class Record:
    """Collects what was sent, answered and run, and writes it to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, who: str, what: str) -> None:
        self.lines.append(f"{self.now():9.4f} {who:<10} {what}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def bulk(value: bytes | None) -> bytes:
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one RESP2 command; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n")
        words = []
        for _ in range(int(head[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read one answer of the node: (kind, bytes); kind is value, null, BUSY, error or simple."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$":
        size = int(line[1:])
        if size < 0:
            return "null", b""
        return "value", (await reader.readexactly(size + 2))[:-2]
    if line[:5] == b"-BUSY":
        return "BUSY", line
    return ("simple" if line[:1] == b"+" else "error"), line


class Server:
    """An asyncio server on a free loopback port."""

    limit = 1 << 23

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=self.limit, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


async def read_http(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes] | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


class Discovery(Server):
    """GET /v1/servers and its watch; `change` tells an entry's new health."""

    def __init__(self, record: Record, hosts: list[dict]) -> None:
        super().__init__(record, "discovery")
        self.hosts = {entry["host"]: dict(entry) for entry in hosts}
        self.seq = 1
        self.watches: set[asyncio.Queue] = set()

    def document(self) -> dict:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, **entry) -> None:
        self.seq += 1
        self.hosts[entry["host"]].update(entry)
        changed = {"seq": self.seq, "whole": False, "hosts": [self.hosts[entry["host"]]]}
        for queue in self.watches:
            queue.put_nowait(changed)
        self.record.add("discovery", f"tells {entry}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_http(reader)
        if request is None:
            return
        if "follow=1" not in request[1]:
            body = json.dumps(self.document()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            return
        queue: asyncio.Queue = asyncio.Queue()
        self.watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            document: dict | None = self.document()
            while True:
                text = (json.dumps(document) if document else "").encode() + b"\n"
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                await writer.drain()
                try:
                    document = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    document = None
        finally:
            self.watches.discard(queue)


class Origin(Server):
    """GET /KEY and PUT /KEY; `value_of` makes the value of a request."""

    def __init__(self, record: Record) -> None:
        super().__init__(record, "origin")

    def value_of(self, key: str, request_id: str) -> bytes:
        return f"origin:{key}:{request_id}".encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_http(reader)) is not None:
            method, target, headers, body = request
            await self.handle(method, target[1:], headers, body, writer)

    async def handle(
        self, method: str, key: str, headers: dict, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        value = self.value_of(key, headers.get("x-request-id", ""))
        self.record.add("origin", f"{method} {key} id={headers.get('x-request-id')}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(value), value))
        await writer.drain()


class Cache(Server):
    """OBJ.GET: answers with the value that `value_of` makes for the request, or a miss."""

    def value_of(self, key: bytes, request_id: bytes) -> bytes | None:
        return b"cache:%b:%b" % (key, request_id)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (words := await read_command(reader)) is not None:
            if words[0] in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
                continue
            await self.handle(words, writer)

    async def handle(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        value = self.value_of(words[1], words[2])
        self.record.add(self.name, f"{words[0].decode()} {words[1].decode()} id={words[2].decode()}")
        writer.write(self.answer(value))
        await writer.drain()

    @staticmethod
    def answer(value: bytes | None) -> bytes:
        return b"*3\r\n" + bulk(value) + bulk(b"miss" if value is None else b"hit") + b"$-1\r\n"


def entry(host: str, port: int, kind: str = "full-speed", site: str = "portland") -> dict:
    return {"host": host, "dial": f"127.0.0.1:{port}", "site": site, "class": kind, "block": 0,
            "health": "in_service", "share": 1.0, "born_ms": 0}


def settings(**changes) -> dict:
    """The settings of a small coop-parts-cache deployment, in the form of the wire page."""
    methods = [
        {"gain": 2.0, "group": "all", "hard_deadline_s": 2.0, "idempotency": "retryable",
         "name": "part-lookup", "overdue_gain": 0.0, "soft_deadline_s": 0.6, "streamed": False,
         "window_s": 5.0},
        {"gain": 2.0, "group": "all", "hard_deadline_s": 1.5, "idempotency": "retryable",
         "name": "stock-check", "overdue_gain": 0.0, "soft_deadline_s": 0.75, "streamed": False,
         "window_s": 5.0},
        {"gain": 1.0, "group": "all", "hard_deadline_s": 1.5, "idempotency": "retryable",
         "name": "drawing-fetch", "overdue_gain": 0.0, "soft_deadline_s": 0.75, "streamed": False,
         "window_s": 5.0},
        {"gain": 5.0, "group": "all", "hard_deadline_s": 1.5, "idempotency": "retryable",
         "name": "order-lines", "overdue_gain": 0.0, "soft_deadline_s": 0.6, "streamed": False,
         "window_s": 5.0},
    ]
    base = {
        "az": "mystic", "balancers": 3, "clients": {"marks_retry": False}, "customers": [],
        "discovery": "on_request",
        "family_info": {"mode": "aside", "origin_fall_multiple": 0.0, "origin_fall_s": 3.0,
                        "origin_kind": 2},
        "gain_by": "request",
        "goal": {"whole": 0.7, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.1},
        "host_types": ["full-speed", "slow-core", "origin"], "layer": 0,
        "limits": {"cancelling": True, "conn_idle_s": 60.0, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 83333, "dial_timeout_s": 0.25, "max_retry_after_s": 1.0,
                   "max_streams": 100, "most_held": 33333, "most_transmissions": 3,
                   "peers": False, "probes": False, "retry_after": False,
                   "second_copies": False},
        "me": 0, "methods": methods, "overage_gain": 0.1,
        "rules": {"answer_slack_s": 0.005, "ask_within_s": 10.0, "cold_from": 0.13,
                  "cold_s": 24.0, "overload_factor": 3.0, "stop_sending_within_s": 3.0,
                  "tip_after_s": 1.5},
        "service_type": "cache",
        "stats": {"fields": ["outstanding", "recent_ms"], "how": "piggyback"},
        "tariffs": {"connection": 0.03, "cross_zone": 0.023, "discovery": 0.0, "handshake": 0.03,
                    "late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0,
                    "waste": 0.05},
        "tick_s": 0.001, "tiers": ["parts-cache"], "weights": "rough",
        "zones": ["portland", "rockland", "gloucester", "mystic"],
    }
    base.update(changes)
    return base


class Node:
    """The node's process, started with the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: str, discovery: Discovery, config: dict) -> None:
        self.record = record
        self.port = free_port()
        self.tmp = Path(folder) / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.log = Path(folder) / "node.log"
        path = Path(folder) / "config.json"
        document = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.document(), "settings": settings(),
        }
        document.update(config)
        self.memory_mb = document["limits"]["memory_mb"]
        path.write_text(json.dumps(document))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items()
                       if not name.startswith("PROXY_")}
        environment.update(
            PROXY_NAME="n0", PROXY_LISTEN=document["listen"], TMPDIR=str(self.tmp),
            PROXY_DISCOVERY=document["discovery"], PROXY_CONFIG=str(path))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=self.log.open("wb"),
            preexec_fn=end_with_parent)
        record.add("platform", f"starts the node, pid {self.process.pid}")

    async def ready(self) -> None:
        for _ in range(200):
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended: {self.log.read_text()[-400:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command(b"PING"))
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.add("platform", "the node answers PING with +PONG")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("the node did not answer PING within 20 s")

    def signal(self, number: int) -> None:
        self.record.add("platform", f"sends {signal.Signals(number).name} to the node")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def info(port: int) -> dict[str, str]:
    """The node's counters, for the record only."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(command(b"INFO"))
    _, text = await read_reply(reader)
    writer.close()
    return dict(line.split(":", 1) for line in text.decode().split("\r\n") if ":" in line)


def run_case(file: str, case, seconds: float = 110.0) -> None:
    """Run `case(record, folder)`, a coroutine that returns a list of breaks, and exit."""
    here = Path(file).resolve().parent
    record = Record(here)
    folder = tempfile.mkdtemp(prefix="review-")
    code = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record, folder), seconds))
        code = 1 if breaks else 0
        for text in breaks[:20]:
            record.add("RULE", text)
            print("rule broken:", text)
        if len(breaks) > 20:
            print(f"and {len(breaks) - 20} more")
        print(("FAILED" if breaks else "held") + f" (TROUBLE={int(TROUBLE)})")
    except Exception as error:  # also a fault of the case itself: it did not run
        record.add("case", f"could not run: {error!r}")
        print("could not run:", repr(error))
    finally:
        record.write()
        shutil.rmtree(folder, ignore_errors=True)
    raise SystemExit(code)
