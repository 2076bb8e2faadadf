"""A node's process on real sockets, and peers that act only when a test tells them to.

A peer accepts, reads, writes, closes or resets only on command, so that a test controls the order
of events exactly. To stop the node between two events, its process is suspended and resumed by
signals. To delay a connect, the backlog of its server is kept full. Durations are in seconds.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
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
# Timeout of each wait: a test that waits longer fails.
WAIT_S = 15.0
POLL_S = 0.005
MAX_VALUE_BYTES = 1 << 22
NODE_PORTS = range(20000, 32000)  # below the range that Linux takes for outgoing connections
RESET_BEHIND_END_S = 0.5  # within this time after the end of the stream a reset follows
TCP_CLOSE = 7  # the state of a socket whose connection was reset
Settings = dict[str, Any]


class PeerConnection:
    """One connection, seen from the peer's side."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parser = Parser(Ring(), max_value_bytes=MAX_VALUE_BYTES)
        sock.settimeout(WAIT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send data."""
        self.sock.sendall(data)

    def receive_value(self) -> Value:
        """Return the next value or command.

        Raises EOFError if the node has closed the connection, ConnectionResetError if it has reset
        it.
        """
        while True:
            value = self.parser.next_value()
            if value is not NEED_DATA:
                return value
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self.parser.ring.write(data)

    def receive_bytes(self, count: int) -> bytes:
        """Return exactly so many bytes, which no parser has read."""
        data = bytearray()
        while len(data) < count:
            part = self.sock.recv(count - len(data))
            if not part:
                raise EOFError
            data += part
        return bytes(data)

    def _receive_until(self, end: bytes) -> bytes:
        data = b""
        while not data.endswith(end):
            data += self.receive_bytes(1)
        return data

    def receive_line(self) -> bytes:
        """Return a line, including its end."""
        return self._receive_until(b"\r\n")

    def receive_head(self) -> bytes:
        """Return an HTTP head, including its empty line."""
        return self._receive_until(b"\r\n\r\n")

    def is_silent(self, seconds: float) -> bool:
        """Return whether nothing is received for this time."""
        return not select.select([self.sock], [], [], seconds)[0]

    def wait_for_close(self, seconds: float = WAIT_S) -> str:
        """Return how the node closes: 'fin' or 'reset'; '' if data or nothing is received."""
        self.sock.settimeout(seconds)
        try:
            return "" if self.sock.recv(1) else "fin"
        except ConnectionResetError:
            return "reset"
        except TimeoutError:
            return ""

    def fin(self) -> None:
        """Close the sending side only."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def reset(self) -> None:
        """Close with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class PeerServer:
    """A server that accepts a connection only when the test tells it to."""

    def __init__(self, backlog: int = 64) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.port: int = self.listener.getsockname()[1]
        self.backlog_connection = socket.socket()
        self.connections: list[PeerConnection] = []

    def accept(self, seconds: float = WAIT_S) -> PeerConnection:
        """Accept the next connection."""
        self.listener.settimeout(seconds)
        connection = PeerConnection(self.listener.accept()[0])
        self.connections.append(connection)
        return connection

    def has_pending_connection(self, seconds: float) -> bool:
        """Return whether a connection to accept arrives within this time."""
        return bool(select.select([self.listener], [], [], seconds)[0])

    def fill_backlog(self) -> None:
        """Fill the backlog, which must be 0, so that dials do not connect."""
        self.backlog_connection = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)

    def has_connect_in_progress(self) -> bool:
        """Return whether a dial to this server has sent its SYN and is not connected."""
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        return any(
            fields[2].endswith(f":{self.port:04X}") and fields[3] == "02"
            for fields in map(str.split, lines)
        )

    def empty_backlog(self) -> None:
        """Empty the backlog: dials connect when they send their next SYN."""
        self.listener.settimeout(WAIT_S)
        sock, address = self.listener.accept()
        assert address == self.backlog_connection.getsockname()
        sock.close()
        self.backlog_connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        for connection in self.connections:
            connection.close()
        self.backlog_connection.close()
        self.listener.close()


def free_port() -> int:
    """Return a free port that the system does not give to outgoing connections meanwhile."""
    for port in random.sample(NODE_PORTS, len(NODE_PORTS)):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise OSError("no free port")


class NodeProcess:
    """A node's process with caches, the origin and discovery as peers; a context manager."""

    def __init__(
        self,
        folder: Path,
        caches: int = 2,
        backlog: int = 64,
        limits: Settings | None = None,
        **settings: Any,  # noqa: ANN401 - settings are of any type
    ) -> None:
        """Write a configuration with these `limits`; `settings` replace the default ones."""
        self.path = folder / "node.json"
        self.logs: list[dict[str, Any]] = []
        self.caches = [PeerServer(backlog) for _ in range(caches)]
        self.origin = PeerServer()
        self.discovery = PeerServer()
        self.port = free_port()
        self.hosts = [listed_host(f"s{index}", peer.port) for index, peer in enumerate(self.caches)]
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
        self.inherited: socket.socket | None = None  # a listening socket, handed to the process
        self.clients: list[PeerConnection] = []
        self._log_changed = threading.Condition()

    def inherit_listener(self) -> None:
        """Have the process accept clients from a socket that it inherits, as in a hot restart."""
        self.inherited = socket.create_server(("127.0.0.1", self.port), backlog=64)
        self.environment["PROXY_INHERITED_FD"] = str(self.inherited.fileno())

    def write_configuration(self) -> None:
        """Replace the configuration file atomically."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(self.configuration))
        os.replace(new_path, self.path)

    def __enter__(self) -> NodeProcess:
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "hookpitch"],
            cwd=ROOT,
            text=True,
            env=self.environment,
            stderr=subprocess.PIPE,
            pass_fds=() if self.inherited is None else (self.inherited.fileno(),),
        )
        threading.Thread(target=self._read_logs, daemon=True).start()
        self.wait_for_log("serving")
        return self

    def _read_logs(self) -> None:
        """Append each line of the process's stderr to `logs`."""
        for text in self.process.stderr:
            with self._log_changed:
                self.logs.append(json.loads(text) if text.startswith("{") else {"event": text})
                self._log_changed.notify_all()

    def wait_for_log(self, event: str, count: int = 1) -> dict[str, Any]:
        """Wait for the `count`-th log line whose event begins with `event`, and return it."""

        def matching() -> list[dict[str, Any]]:
            """Return the log lines whose event begins with `event`."""
            return [line for line in self.logs if line["event"].startswith(event)]

        with self._log_changed:
            assert self._log_changed.wait_for(lambda: len(matching()) >= count, WAIT_S), (
                event,
                self.logs,
            )
            return matching()[count - 1]

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
        for client in self.clients:
            client.close()
        for peer in (*self.caches, self.origin, self.discovery):
            peer.close()
        if self.inherited is not None:
            self.inherited.close()

    # ---- the node's process

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process; what it is sent meanwhile stays unread in the kernel."""
        self.signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        self.wait_until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")

    def resume(self) -> None:
        """Resume the process."""
        self.signal(signal.SIGCONT)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end, "the condition did not hold in time"
            time.sleep(POLL_S)

    def wait_for_exit(self) -> int:
        """Wait until the process exits, and return its exit code."""
        return self.process.wait(WAIT_S)

    def peak_memory_kb(self) -> int:
        """Return the peak resident memory of the process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(
            next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
        )

    # ---- clients

    def connect_client(self, receive_buffer_bytes: int = 0) -> PeerConnection:
        """Connect a client; 0: with the kernel's usual receive buffer."""
        sock = socket.socket()
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.settimeout(WAIT_S)
        sock.connect(("127.0.0.1", self.port))
        client = PeerConnection(sock)
        self.clients.append(client)
        return client

    def read_info(self) -> dict[str, int]:
        """Return the counters that INFO answers with."""
        client = self.connect_client()
        client.send(b"*1\r\n$4\r\nINFO\r\n")
        text = client.receive_value()
        client.close()
        return {
            name: int(count)
            for name, _, count in (pair.partition(":") for pair in text.decode().split())
        }

    def counter(self, name: str) -> int:
        """Return one counter of INFO; 0 if it has not counted anything yet."""
        return self.read_info().get(name, 0)

    # ---- servers

    def accept_from_any_cache(self, seconds: float = WAIT_S) -> tuple[int, PeerConnection]:
        """Accept a connection at the cache that is dialled next; return its index too."""
        ready = select.select([peer.listener for peer in self.caches], [], [], seconds)[0]
        assert ready, "no cache was dialled"
        index = next(index for index, peer in enumerate(self.caches) if peer.listener is ready[0])
        return index, self.caches[index].accept()

    def answer_poll(self, *changes: Settings) -> PeerConnection:
        """Accept the next poll at discovery, and answer it with these changes."""
        connection = self.discovery.accept()
        self.poll_head = connection.receive_head()
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for change in changes:
            send_change(connection, change)
        return connection

    def endpoint_change(
        self,
        seq: int,
        index: int,
        **fields: Any,  # noqa: ANN401 - JSON values
    ) -> Settings:
        """Return a change to one backend, as discovery sends it."""
        return {"seq": seq, "whole": False, "hosts": [self.hosts[index] | fields]}


VALUE = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def method_settings(
    name: str,
    idempotency: str = "retryable",
    soft_s: float = 5.0,
    **changes: Any,  # noqa: ANN401 - settings are of any type
) -> Settings:
    """Return a method of the settings, with some keys changed or added."""
    defaults = {
        "name": name,
        "soft_deadline_s": soft_s,
        "hard_deadline_s": 6.0,
        "idempotency": idempotency,
    }
    return defaults | changes


def http_chunk(data: bytes) -> bytes:
    """Return data as a chunk of an HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_change(connection: PeerConnection, change: Settings | bytes) -> None:
    """Send a change, or raw bytes, from discovery on a watch."""
    connection.send(
        http_chunk(change if isinstance(change, bytes) else json.dumps(change).encode() + b"\n")
    )


def receive_all_answers(client: PeerConnection) -> tuple[list[Value], str]:
    """Receive answers until the node ends the connection; return them, and how it ended."""
    answers = []
    while True:
        try:
            answers.append(client.receive_value())
        except EOFError:
            break
        except ConnectionResetError:
            return answers, "reset"
    time.sleep(RESET_BEHIND_END_S)
    state = client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return answers, "reset" if state == TCP_CLOSE else "fin"
