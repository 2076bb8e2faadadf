"""A node's process on real sockets, and peers that do what a test says, when it says so.

Nothing here acts by itself: a peer accepts, reads, writes, closes or resets when told to, so that
two events cross for certain. Where the node has to be held still between two of them, its process
is suspended and resumed by signals; where a dial has to come up late, the backlog of its server is
full until it is emptied. Spans are seconds.
"""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from types import TracebackType
from typing import Any

from socket_node import SETTINGS, listed_host

from hookpitch.core.resp import NEED_DATA, Parser, Value
from hookpitch.core.ring import Ring

ROOT = Path(__file__).parent.parent
# For what has to come: a test that waits so long has failed.
WAIT_S = 15.0
POLL_S = 0.005
MAX_VALUE_BYTES = 1 << 22
Settings = dict[str, Any]


class PeerConnection:
    """One connection, from the peer's side."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parser = Parser(Ring(), max_value_bytes=MAX_VALUE_BYTES)
        sock.settimeout(WAIT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send."""
        self.sock.sendall(data)

    def receive_value(self) -> Value:
        """The next value or command.

        Raises EOFError at the connection's end, ConnectionResetError at its reset.
        """
        while True:
            value = self.parser.next_value()
            if value is not NEED_DATA:
                return value
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self.parser.ring.write(data)

    def receive_head(self) -> bytes:
        """An HTTP head, with its empty line."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            byte = self.sock.recv(1)
            if not byte:
                raise EOFError
            data += byte
        return data

    def is_silent(self, seconds: float) -> bool:
        """Whether nothing comes for so long."""
        return not select.select([self.sock], [], [], seconds)[0]

    def wait_for_close(self, seconds: float = WAIT_S) -> str:
        """How the connection ends: 'fin' or 'reset'; '' where something else comes, or nothing."""
        self.sock.settimeout(seconds)
        try:
            return "" if self.sock.recv(1) else "fin"
        except ConnectionResetError:
            return "reset"
        except TimeoutError:
            return ""

    def fin(self) -> None:
        """End the sending side."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close all that is open."""
        self.sock.close()

    def reset(self) -> None:
        """Close with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class PeerServer:
    """A server that accepts when it is told to."""

    def __init__(self, backlog: int = 64) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.port: int = self.listener.getsockname()[1]
        self.backlog_connection = socket.socket()
        self.connections: list[PeerConnection] = []

    def accept(self, seconds: float = WAIT_S) -> PeerConnection:
        """The next connection."""
        self.listener.settimeout(seconds)
        line = PeerConnection(self.listener.accept()[0])
        self.connections.append(line)
        return line

    def has_pending_connection(self, seconds: float) -> bool:
        """Whether a connection waits to be accepted, within so long."""
        return bool(select.select([self.listener], [], [], seconds)[0])

    def fill_backlog(self) -> None:
        """From now on dials do not come up: its backlog (0) is full."""
        self.backlog_connection = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)

    def has_connect_in_progress(self) -> bool:
        """Whether a dial is under way that has not come up."""
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        return any(
            w[2].endswith(f":{self.port:04X}") and w[3] == "02" for w in map(str.split, lines)
        )

    def empty_backlog(self) -> None:
        """Dials come up again, when their next SYN is sent."""
        self.listener.settimeout(WAIT_S)
        sock, address = self.listener.accept()
        assert address == self.backlog_connection.getsockname()
        sock.close()
        self.backlog_connection.close()

    def close(self) -> None:
        """Close all that is open."""
        for line in self.connections:
            line.close()
        self.backlog_connection.close()
        self.listener.close()


class NodeProcess:
    """One node's process, with caches, the origin and discovery as peers; used as a context."""

    def __init__(
        self,
        folder: Path,
        caches: int = 2,
        backlog: int = 64,
        limits: Settings | None = None,
        **settings: Any,  # noqa: ANN401 - settings are of any type
    ) -> None:
        """`limits`: the node's. `settings`: in place of those that tests use by default."""
        self.path = folder / "node.json"
        self.logs: list[dict[str, Any]] = []
        self.caches = [PeerServer(backlog) for _ in range(caches)]
        self.origin = PeerServer()
        self.discovery = PeerServer()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port: int = free.getsockname()[1]
        self.hosts = [listed_host(f"s{n}", peer.port) for n, peer in enumerate(self.caches)]
        self.hosts.append(listed_host("o1", self.origin.port, **{"class": "origin"}))
        self.settings = deepcopy(SETTINGS) | settings
        self.configuration: Settings = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": 7,
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": limits or {},
            "known": {"seq": 5, "whole": True, "hosts": self.hosts},
            "settings": self.settings,
        }
        self.write_configuration()
        self.environment = {"PROXY_CONFIG": str(self.path)}
        self.clients: list[PeerConnection] = []
        self._log_changed = threading.Condition()

    def write_configuration(self) -> None:
        """Put the configuration in place, by one rename."""
        beside = self.path.with_suffix(".new")
        beside.write_text(json.dumps(self.configuration))
        os.replace(beside, self.path)

    def __enter__(self) -> NodeProcess:
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "hookpitch"],
            cwd=ROOT,
            text=True,
            env=self.environment,
            stderr=subprocess.PIPE,
        )
        threading.Thread(target=self._read, daemon=True).start()
        self.wait_for_log("serving")
        return self

    def _read(self) -> None:
        for text in self.process.stderr:
            with self._log_changed:
                self.logs.append(json.loads(text) if text.startswith("{") else {"event": text})
                self._log_changed.notify_all()

    def wait_for_log(self, event: str, count: int = 1) -> dict[str, Any]:
        """The `count`-th log line whose event begins so, as soon as it is there."""

        def found() -> list[dict[str, Any]]:
            return [line for line in self.logs if line["event"].startswith(event)]

        with self._log_changed:
            assert self._log_changed.wait_for(lambda: len(found()) >= count, WAIT_S), (
                event,
                self.logs,
            )
            return found()[count - 1]

    def __exit__(
        self,
        kind: type[BaseException] | None,
        fault: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        for line in self.clients:
            line.close()
        for peer in (*self.caches, self.origin, self.discovery):
            peer.close()

    # ---- the node's process

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process; what comes meanwhile stands unread in the kernel."""
        self.signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        self.wait_until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")

    def resume(self) -> None:
        """Resume the process."""
        self.signal(signal.SIGCONT)

    def wait_until(self, holds: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        end = time.monotonic() + WAIT_S
        while not holds():
            assert time.monotonic() < end, "it never came to be"
            time.sleep(POLL_S)

    def wait_for_exit(self) -> int:
        """The exit code, once the process has ended."""
        return self.process.wait(WAIT_S)

    def peak_memory_kb(self) -> int:
        """The most that the process has held."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(
            next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
        )

    # ---- clients

    def connect_client(self) -> PeerConnection:
        """A client that connects."""
        line = PeerConnection(socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S))
        self.clients.append(line)
        return line

    def read_info(self) -> dict[str, int]:
        """The answer to INFO."""
        line = self.connect_client()
        line.send(b"*1\r\n$4\r\nINFO\r\n")
        text = line.receive_value()
        line.close()
        return {
            name: int(n) for name, _, n in (pair.partition(":") for pair in text.decode().split())
        }

    def counter(self, name: str) -> int:
        """One counter of INFO; 0 where it has not counted yet."""
        return self.read_info().get(name, 0)

    # ---- servers

    def accept_from_any_cache(self, seconds: float = WAIT_S) -> tuple[int, PeerConnection]:
        """The number of the cache that is dialled next, and the connection."""
        ready = select.select([peer.listener for peer in self.caches], [], [], seconds)[0]
        assert ready, "no cache was dialled"
        n = next(n for n, peer in enumerate(self.caches) if peer.listener is ready[0])
        return n, self.caches[n].accept()

    def answer_poll(self, *told: Settings) -> PeerConnection:
        """Discovery accepts the next poll, and answers it with these changes."""
        line = self.discovery.accept()
        self.poll_head = line.receive_head()
        line.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for change in told:
            send_change(line, change)
        return line

    def endpoint_change(
        self,
        seq: int,
        index: int,
        **fields: Any,  # noqa: ANN401 - JSON values
    ) -> Settings:
        """A change to the n-th backend, as discovery sends it."""
        return {"seq": seq, "whole": False, "hosts": [self.hosts[index] | fields]}


VALUE = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def method_settings(
    name: str,
    idempotency: str = "retryable",
    soft_s: float = 5.0,
    **more: Any,  # noqa: ANN401 - settings are of any type
) -> Settings:
    """A method of the settings."""
    plain = {
        "name": name,
        "soft_deadline_s": soft_s,
        "hard_deadline_s": 6.0,
        "idempotency": idempotency,
    }
    return plain | more


def http_chunk(data: bytes) -> bytes:
    """A chunk of an HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_change(line: PeerConnection, change: Settings | bytes) -> None:
    """Discovery sends a change, or raw bytes, on a watch."""
    line.send(
        http_chunk(change if isinstance(change, bytes) else json.dumps(change).encode() + b"\n")
    )
