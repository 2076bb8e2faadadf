"""Stand-ins for the cases of the second review: caches, the origin, discovery, clients, the platform.

Standard library only. Every address is 127.0.0.1. The stand-ins follow PROTOCOL.md: a cache server
begins a command when its last byte has come and answers in order; a cache server that lacks a key
answers with a miss; the origin answers over HTTP/1.1, and the value is then stored at the caches
that missed for that request. A value names the request that it was made for, so that a client can
tell a value of its own from a foreign one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NEED = object()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, *words: object) -> None:
        text = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        self.file.close()


# ---- RESP2


class RespParser:
    """Complete RESP2 values, one at a time."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        self.data += data

    def next(self) -> object:
        value, end = self._parse(0)
        if value is not NEED:
            del self.data[:end]
        return value

    def _parse(self, at: int) -> tuple[object, int]:
        end = self.data.find(b"\r\n", at)
        if end < 0:
            return NEED, at
        kind, text = self.data[at : at + 1], bytes(self.data[at + 1 : end])
        at = end + 2
        if kind == b"$":
            size = int(text)
            if size < 0:
                return None, at
            if len(self.data) < at + size + 2:
                return NEED, at
            return bytes(self.data[at : at + size]), at + size + 2
        if kind == b"*":
            items = []
            for _ in range(int(text)):
                item, at = self._parse(at)
                if item is NEED:
                    return NEED, at
                items.append(item)
            return items, at
        if kind in b"+-":
            return (kind.decode() + text.decode("latin-1")), at
        if kind == b":":
            return int(text), at
        raise ValueError(f"not RESP2: {bytes(self.data[:40])!r}")


def bulk(value: bytes | None) -> bytes:
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes | str) -> bytes:
    words = tuple(word.encode() if isinstance(word, str) else word for word in words)
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def reply(value: bytes | None, note: bytes | None = None, load: bytes | None = None) -> bytes:
    return b"*3\r\n" + bulk(value) + bulk(note) + bulk(load)


def made_value(key: str, rpc: str, server: str, size: int = 0) -> bytes:
    text = f"{key}|{rpc}|{server}|".encode()
    return text + b"." * max(0, size - len(text))


# ---- servers


class Server:
    """A TCP server whose connections are known, so that they can be ended."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.readers[writer] = reader
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        self.readers.pop(writer, None)
        with contextlib.suppress(OSError):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Call:
    """One command or request at a server."""

    def __init__(self, server: str, verb: str, key: str, rpc: str, extras: str, value: bytes | None):
        self.server, self.verb, self.key, self.rpc = server, verb, key, rpc
        self.extras, self.value = extras, value
        pairs = dict(pair.split("=", 1) for pair in extras.split(",") if "=" in pair)
        self.wait_ms = float(pairs.get("d", 0))
        self.method = pairs.get("c", "")


class Cache(Server):
    """A cache server; `on_call` may replace how a call is answered."""

    def __init__(self, name: str, record: Record, origin: Origin, work_s: float = 0.002) -> None:
        super().__init__(name, record)
        self.origin, self.work_s = origin, work_s
        self.keys: set[str] = set()
        self.load = b"inflight=1"
        self.on_call: Callable[[Call, asyncio.StreamWriter], Awaitable[bytes | None]] | None = None
        self.pending: dict[asyncio.StreamWriter, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = RespParser()
        while True:
            words = parser.next()
            if words is NEED:
                data = await reader.read(1 << 16)
                if not data:
                    return
                parser.feed(data)
                continue
            if not isinstance(words, list) or len(words) < 4:
                writer.write(b"+OK\r\n")
                continue
            value = words[4] if len(words) > 4 else None
            call = Call(
                self.name, words[0].decode(), words[1].decode(), words[2].decode(),
                words[3].decode(), value,
            )
            self.record(self.name, "came", call.verb, call.key, call.rpc, call.extras)
            answer = await (self.on_call or self.answer)(call, writer)
            if answer is not None:
                writer.write(answer)
                await writer.drain()

    async def answer(self, call: Call, writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(self.work_s)
        if call.key in self.keys:
            self.record(self.name, "hit", call.rpc)
            return reply(made_value(call.key, call.rpc, self.name), b"hit", self.load)
        self.record(self.name, "miss", call.rpc)
        self.origin.missed.setdefault(call.rpc, []).append(self)
        return reply(None, b"miss", self.load)


class Origin(Server):
    """The origin, over HTTP/1.1; `on_call` may replace how a call is answered."""

    def __init__(self, name: str, record: Record, work_s: float = 0.004) -> None:
        super().__init__(name, record)
        self.work_s = work_s
        self.missed: dict[str, list[Cache]] = {}
        self.ran: list[tuple[float, Call]] = []
        self.on_call: Callable[[Call, asyncio.StreamWriter], Awaitable[bytes | None]] | None = None
        self.goes_on = asyncio.Event()  # not set while the process hangs: it reads nothing
        self.goes_on.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            verb, target, _ = first.split(" ")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            size = int(headers.get("content-length", 0))
            body = bytearray()
            while len(body) < size:
                await self.goes_on.wait()
                part = await reader.read(min(size - len(body), 1 << 14))
                if not part:
                    return
                body += part
            call = Call(
                self.name, verb, unquote(target[1:]), headers.get("x-request-id", ""),
                headers.get("x-extras", ""), bytes(body) if verb == "PUT" else None,
            )
            self.record(self.name, "came", call.verb, call.key, call.rpc, call.extras)
            await self.goes_on.wait()
            answer = await (self.on_call or self.answer)(call, writer)
            await self.goes_on.wait()
            if answer is not None:
                writer.write(answer)
                await writer.drain()

    async def answer(self, call: Call, writer: asyncio.StreamWriter) -> bytes | None:
        self.run(call)
        await asyncio.sleep(self.work_s)
        return self.ok(call)

    def run(self, call: Call) -> None:
        self.ran.append((self.record.now(), call))
        self.record(self.name, "ran", call.verb, call.key, call.rpc)

    def ok(self, call: Call, size: int = 0) -> bytes:
        for cache in self.missed.pop(call.rpc, []):
            cache.keys.add(call.key)
        body = made_value(call.key, call.rpc, self.name, size)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Discovery(Server):
    """Discovery: the list, and watches with an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        super().__init__("discovery", record)
        self.seq = 10
        self.hosts: dict[str, dict] = {}
        self.changed: dict[str, int] = {}
        self.watches: dict[asyncio.StreamWriter, int] = {}

    def host(self, name: str, port: int, **fields: object) -> dict:
        entry = {
            "host": name, "dial": f"{HOST}:{port}", "site": "a", "class": "std", "block": 0,
            "health": "in_service", "share": 1.0, "born_ms": 0,
        } | fields
        self.hosts[name] = entry
        self.changed[name] = self.seq
        return entry

    def whole(self) -> dict:
        listed = [entry for entry in self.hosts.values() if entry["health"] != "terminated"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    def change(self, name: str, **fields: object) -> None:
        self.seq += 1
        self.hosts[name] = self.hosts[name] | fields
        self.changed[name] = self.seq
        for writer in list(self.watches):
            self.tell(writer)

    def tell(self, writer: asyncio.StreamWriter) -> None:
        since = self.watches[writer]
        hosts = [self.hosts[name] for name, seq in self.changed.items() if seq > since]
        text = {"seq": self.seq, "whole": False, "hosts": hosts} if 0 < since else self.whole()
        self.watches[writer] = self.seq
        self.record(self.name, "told", json.dumps(text))
        self._chunk(writer, json.dumps(text).encode() + b"\n")

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        url = urlsplit(head.decode().split(" ")[1])
        query = parse_qs(url.query)
        self.record(self.name, "asked", url.query)
        if query.get("follow") != ["1"]:
            text = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[writer] = int(query.get("since", ["0"])[0])
        try:
            self.tell(writer)
            while True:
                with contextlib.suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1), 2.0):
                        return
                self._chunk(writer, b"\n")
        finally:
            self.watches.pop(writer, None)


class DelayRelay(Server):
    """A network path: passes bytes on after a fixed time in each direction, in order."""

    def __init__(self, name: str, record: Record, target: int, delay_s: float) -> None:
        super().__init__(name, record)
        self.target, self.delay_s = target, delay_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s)
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        other_writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self.writers.add(other_writer)
        await asyncio.gather(
            self._pass(reader, other_writer), self._pass(other_reader, writer)
        )
        self.writers.discard(other_writer)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(1 << 16):
                loop.call_later(self.delay_s, _write, writer, data)
            loop.call_later(self.delay_s, _close, writer)
        except OSError:
            loop.call_later(self.delay_s, writer.transport.abort)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)


def _close(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.close()


# ---- the platform and the node


def deploy_command() -> str:
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


def free_port() -> int:
    """Return a free port below the range that Linux takes for outgoing connections."""
    for port in random.sample(range(20000, 32000), 200):
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            return port
    raise CannotRun("no free port")


class Node:
    """One process of the node, started by the `run` line of deploy/balancer.toml."""

    def __init__(self, folder: Path, record: Record, config: dict, env: dict | None = None,
                 inherited: socket.socket | None = None, tag: str = "node") -> None:
        self.folder, self.record, self.config, self.tag = folder, record, config, tag
        self.port = int(config["listen"].rpartition(":")[2])
        self.path = folder / f"{tag}.json"
        self.env = env or {}
        self.inherited = inherited
        self.process: asyncio.subprocess.Process | None = None
        self.write_config()

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.path)

    async def start(self, wait: bool = True) -> None:
        tmp = self.folder / "tmp"
        tmp.mkdir(exist_ok=True)
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(tmp),
               "PROXY_CONFIG": str(self.path)} | self.env
        log = open(self.folder / f"{self.tag}.log", "ab")  # noqa: SIM115
        options: dict = {}
        if self.inherited is not None:
            env["PROXY_INHERITED_FD"] = "7"
            descriptor = self.inherited.fileno()
            options = {"preexec_fn": lambda: os.dup2(descriptor, 7), "pass_fds": (7,)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, **options,
        )
        log.close()
        self.record(self.tag, "started")
        if wait:
            await self.ready()

    async def ready(self, seconds: float = 30.0) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                client = await Client.connect(self.port, self.record)
                try:
                    if await asyncio.wait_for(client.ask(command("PING")), 1.0) == "+PONG":
                        self.record(self.tag, "ready")
                        return
                finally:
                    client.close()
            if self.process.returncode is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun("the node is not ready")

    def signal(self, number: signal.Signals) -> None:
        self.record(self.tag, "signal", number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


# ---- clients


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record):
        self.reader, self.writer, self.record = reader, writer, record
        self.parser = RespParser()
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    async def connect(cls, port: int, record: Record) -> Client:
        reader, writer = await asyncio.open_connection(HOST, port)
        return cls(reader, writer, record)

    async def ask(self, data: bytes) -> object:
        self.writer.write(data)
        return await self.receive()

    async def receive(self) -> object:
        """Return the next reply; raise EOFError at the end, ConnectionResetError at a reset."""
        while True:
            value = self.parser.next()
            if value is not NEED:
                return value
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.writer.close()


async def call_admin(port: int, line: str) -> str:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(line.encode() + b"\n")
    text = await asyncio.wait_for(reader.read(), 3.0)
    writer.close()
    return text.decode().strip()


_next_id = 0


def new_id() -> str:
    """Return an id in the form of PROTOCOL.md, new with every request."""
    global _next_id
    _next_id += 1
    return f"{os.getpid():08x}{_next_id:08x}"


def key_of(number: int) -> str:
    return f"{(number * 0x9E3779B97F4A7C15) & (2**64 - 1):016x}"


# ---- settings, with the figures of the site files


def method(name: str, soft_s: float, hard_s: float, gain: float, effect: str = "retryable",
           window_s: float = 5.0, group: str = "all", late: float = 0.0) -> dict:
    return {
        "name": name, "soft_deadline_s": soft_s, "hard_deadline_s": hard_s, "gain": gain,
        "idempotency": effect, "group": group, "window_s": window_s, "overdue_gain": late,
        "streamed": False,
    }


def coop_settings(**changes: object) -> dict:
    """The settings of coop-parts-cache (WIRE-hookpitch.md shows them)."""
    return {
        "az": "a", "balancers": 1, "clients": {"marks_retry": False}, "customers": [],
        "discovery": "on_request",
        "family_info": {"mode": "aside", "origin_kind": 1, "origin_fall_multiple": 0.0},
        "gain_by": "request", "host_types": ["std", "origin"], "layer": 0,
        "limits": {
            "cancelling": True, "conn_idle_s": 60.0, "dial_timeout_s": 0.25,
            "max_retry_after_s": 1.0, "max_streams": 100, "most_held": 33333,
            "most_transmissions": 3, "peers": False, "probes": False, "retry_after": False,
            "second_copies": False,
        },
        "methods": [
            method("part-lookup", 0.6, 2.0, 2), method("stock-check", 0.75, 1.5, 2),
            method("drawing-fetch", 0.75, 1.5, 1), method("order-lines", 0.6, 1.5, 5),
        ],
        "rules": {
            "answer_slack_s": 0.005, "ask_within_s": 10.0, "cold_from": 0.13, "cold_s": 24.0,
            "overload_factor": 3.0, "stop_sending_within_s": 3.0, "tip_after_s": 1.5,
        },
        "stats": {"fields": ["outstanding", "recent_ms"], "how": "piggyback"},
        "tariffs": {"connection": 0.03, "handshake": 0.03, "cross_zone": 0.023},
        "tick_s": 0.001, "tiers": ["parts-cache"], "weights": "rough", "zones": ["a"],
    } | changes


def vet_settings(**changes: object) -> dict:
    """The settings of vet-bookings-nz (MOVE.md)."""
    settings = coop_settings(
        methods=[
            method("view-slots", 1.5, 6.0, 1),
            method("book-slot", 1.5, 3.0, 8, "dedup", 12.0),
            method("take-deposit", 1.5, 6.0, 5, "fragile"),
        ],
        discovery="pushed",
        tariffs={}, weights="nominal",
    )
    settings["limits"] = settings["limits"] | {"second_copies": True}
    settings["rules"] = settings["rules"] | {
        "cold_from": 0.12, "cold_s": 23.0, "overload_factor": 2.5, "tip_after_s": 3.0,
        "stop_sending_within_s": 0.25,
    }
    return settings | changes


class Rig:
    """A small deployment: caches, the origin, discovery, and what a node is told of them."""

    def __init__(self, folder: Path, caches: int = 2, settings: dict | None = None) -> None:
        self.record = Record(folder)
        self.tmp = Path(tempfile.mkdtemp(prefix="review2-"))
        self.origin = Origin("origin", self.record)
        self.caches = [Cache(f"s{n}", self.record, self.origin) for n in range(caches)]
        self.discovery = Discovery(self.record)
        self.settings = settings or coop_settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.dials: dict[str, int] = {}
        self.nodes: list[Node] = []
        self.servers: list[Server] = []

    async def start(self) -> None:
        for server in (*self.caches, self.origin, self.discovery):
            await server.start()
            self.servers.append(server)

    async def relay(self, server: Server, delay_s: float) -> None:
        relay = DelayRelay(f"net-{server.name}", self.record, server.port, delay_s)
        await relay.start()
        self.servers.append(relay)
        self.dials[server.name] = relay.port

    def list_hosts(self) -> None:
        for cache in self.caches:
            self.discovery.host(cache.name, self.dials.get(cache.name, cache.port))
        self.discovery.host(
            "o1", self.dials.get("origin", self.origin.port), **{"class": "origin"}
        )

    def node(self, tag: str = "node", port: int = 0, **options: object) -> Node:
        if not self.discovery.hosts:
            self.list_hosts()
        config = {
            "name": "n0", "listen": f"{HOST}:{port or free_port()}",
            "discovery": f"{HOST}:{self.discovery.port}", "seed": "8c1f30d27a5be964",
            "limits": self.limits, "known": self.discovery.whole(), "settings": self.settings,
        }
        config |= options.pop("config", {})
        node = Node(self.tmp, self.record, config, tag=tag, **options)
        self.nodes.append(node)
        return node

    async def end(self) -> None:
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.close()


def run_case(
    case: Callable[[Rig], Awaitable[list[str]]], rig: Callable[[], Rig], seconds: float = 110.0
) -> None:
    """Run a case, print what broke, and exit with 0 (held), 1 (broken) or 2 (could not run)."""

    async def main() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = rig()
        try:
            await deployment.start()
            broken = await asyncio.wait_for(case(deployment), seconds)
            for line in broken:
                deployment.record("BROKEN", line)
            deployment.record("broken" if broken else "held")
            print(f"{len(broken)} breaks" if broken else "held", flush=True)
            for line in broken[:5]:
                print("  " + line)
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - the case could not run
            deployment.record("cannot run:", repr(error))
            traceback.print_exc()
            return 2
        finally:
            await deployment.end()

    code = 2
    try:
        code = asyncio.run(main())
    finally:
        sys.stdout.flush()
        os._exit(code)
