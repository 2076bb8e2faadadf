"""Crowds of clients that strain one node's process, and the servers and usual client beside them.

Each scenario is a function of a `Crowd`; it returns once the crowd's time is over. Durations are in
seconds. Everything runs on loopback, in the process of the test.
"""

from __future__ import annotations

import contextlib
import re
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Self

from peers import MAX_VALUE_BYTES, NodeProcess

from hookpitch.core.resp import NEED_DATA, Parser, bulk, command
from hookpitch.core.ring import Ring

READ_BYTES = 1 << 16
SELECT_S = 0.05
USUAL_INTERVAL_S = 0.02
USUAL_TIMEOUT_MS = 900
# What a test's own threads and the scheduler may add to an answer, next to the 50 ms of the rules.
SLACK_S = 0.15
SMALL_RECEIVE_BUFFER_BYTES = 4096
CROSSING_S = 0.05  # a close this soon after a request may have crossed it
CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")


class _CacheEnd:
    """A cache's end of one connection: answers each command with the same value."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._parser = Parser(Ring(), max_value_bytes=MAX_VALUE_BYTES)

    def received(self, data: bytes) -> bytes:
        """Return the answers to the commands that are complete now."""
        self._parser.ring.write(data)
        answers = b""
        while self._parser.next_value() is not NEED_DATA:
            answers += self._answer
        return answers


class _OriginEnd:
    """The origin's end of one connection: answers each request with a short receipt."""

    def __init__(self) -> None:
        self._data = b""

    def received(self, data: bytes) -> bytes:
        """Return the responses to the requests that are complete now."""
        self._data += data
        answers = b""
        while b"\r\n\r\n" in self._data:
            head, _, rest = self._data.partition(b"\r\n\r\n")
            length = CONTENT_LENGTH.search(head)
            body_bytes = int(length[1]) if length else 0
            if len(rest) < body_bytes:
                break
            self._data = rest[body_bytes:]
            answers += b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        return answers


class BackgroundThread:
    """Runs beside a test, from entering to leaving its context."""

    def __init__(self) -> None:
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopping = True
        self._thread.join()

    def _run(self) -> None:
        """Run until `_is_stopping` is set."""
        raise NotImplementedError


class AnsweringServers(BackgroundThread):
    """The caches and the origin of a node, which answer at once; a context manager."""

    def __init__(self, node: NodeProcess, value: bytes) -> None:
        self._answer = b"*3\r\n" + bulk(value) + b"$3\r\nhit\r\n$-1\r\n"
        self._selector = selectors.DefaultSelector()
        for server in node.caches:
            self._register_listener(server.listener, lambda: _CacheEnd(self._answer))
        self._register_listener(node.origin.listener, _OriginEnd)
        super().__init__()

    def _register_listener(self, listener: socket.socket, make_end: Callable[[], object]) -> None:
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ, make_end)

    def _run(self) -> None:
        unsent: dict[socket.socket, bytes] = {}
        while not self._is_stopping:
            for key, events in self._selector.select(SELECT_S):
                if callable(key.data):
                    self._accept(key.fileobj, key.data)
                elif not self._serve(key.fileobj, key.data, events, unsent):
                    unsent.pop(key.fileobj, None)
                    self._selector.unregister(key.fileobj)
                    key.fileobj.close()

    def _accept(self, listener: socket.socket, make_end: Callable[[], object]) -> None:
        with contextlib.suppress(OSError):
            connection = listener.accept()[0]
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(connection, selectors.EVENT_READ, make_end())

    def _serve(
        self,
        connection: socket.socket,
        end: _CacheEnd | _OriginEnd,
        events: int,
        unsent: dict[socket.socket, bytes],
    ) -> bool:
        """Read and write what is possible; return False once the connection has ended."""
        answers = unsent.pop(connection, b"")
        try:
            if events & selectors.EVENT_READ:
                data = connection.recv(READ_BYTES)
                if not data:
                    return False
                answers += end.received(data)
            if answers:
                with contextlib.suppress(BlockingIOError):
                    answers = answers[connection.send(answers) :]
        except OSError:
            return False
        wanted = selectors.EVENT_READ
        if answers:
            unsent[connection] = answers
            wanted |= selectors.EVENT_WRITE
        self._selector.modify(connection, wanted, end)
        return True


class CrossedClose(Exception):  # noqa: N818 - no error
    """The node has closed a connection between two requests, just as the next one was sent."""


class UsualClient(BackgroundThread):
    """A client that asks again and again, each time on the same connection; a context manager."""

    def __init__(self, node: NodeProcess) -> None:
        super().__init__()
        self._port = node.port
        self._asked = 0
        self.served = 0
        self.rejected = 0
        self.late: list[str] = []  # requests without a whole answer in time

    def _run(self) -> None:
        connection: socket.socket | None = None
        while not self._is_stopping:
            is_new = connection is None
            if connection is None:
                connection = socket.create_connection(("127.0.0.1", self._port), timeout=5)
            started = time.monotonic()
            try:
                first = self._ask(connection)
            except CrossedClose:
                # The node closed an idle connection before it read the request.
                if is_new:
                    self.late.append("a new connection was closed without an answer")
                connection.close()
                connection = None
                continue
            except OSError as error:
                self.late.append(f"{error!r} after {time.monotonic() - started:.2f} s")
                connection.close()
                connection = None
                continue
            elapsed = time.monotonic() - started
            if elapsed > USUAL_TIMEOUT_MS / 1000 + SLACK_S:
                self.late.append(f"{first!r} after {elapsed:.2f} s")
            if first == b"$":
                self.served += 1
            else:
                self.rejected += 1
            time.sleep(USUAL_INTERVAL_S)

    def _ask(self, connection: socket.socket) -> bytes:
        """Send one request and return the first byte of its whole answer."""
        self._asked += 1
        number = self._asked
        started = time.monotonic()
        data = b""
        try:
            connection.sendall(read_command(number, b"usual", b"usual%d" % (number % 50)))
            data = connection.recv(READ_BYTES)
        except ConnectionError as error:
            raise CrossedClose from error
        if not data and time.monotonic() - started < CROSSING_S:
            raise CrossedClose
        while b"\r\n" not in data:
            data += self._receive(connection)
        line, _, rest = data.partition(b"\r\n")
        missing = int(line[1:]) + 2 - len(rest) if line[:1] == b"$" else 0
        while missing > 0:
            missing -= len(self._receive(connection))
        return line[:1]

    @staticmethod
    def _receive(connection: socket.socket) -> bytes:
        data = connection.recv(READ_BYTES)
        if not data:
            raise ConnectionAbortedError("closed without a whole answer")
        return data


def read_command(number: int, prefix: bytes = b"id", key: bytes | None = None) -> bytes:
    """Return a command that reads a key, with an id of its own."""
    extras = b"c=read,d=%d" % USUAL_TIMEOUT_MS
    return command(b"OBJ.GET", key or b"key%d" % number, b"%b%d" % (prefix, number), extras)


class Crowd:
    """The connections of a crowd to one node, until `ends_at`."""

    def __init__(self, node: NodeProcess, size: int, duration_s: float) -> None:
        self._port = node.port
        self.size = size
        self.ends_at = time.monotonic() + duration_s
        self.connections: list[socket.socket] = []

    def rounds(self, pause_s: float = 0.01) -> Iterator[None]:
        """Yield again and again until the crowd's time is over."""
        while time.monotonic() < self.ends_at:
            yield
            time.sleep(pause_s)

    def connect(self, receive_buffer_bytes: int = 0) -> socket.socket:
        """Add one connection."""
        connection = socket.socket()
        if receive_buffer_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        connection.settimeout(5)
        connection.connect(("127.0.0.1", self._port))
        connection.setblocking(False)
        self.connections.append(connection)
        return connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()


def send_some(connection: socket.socket, data: bytes) -> int:
    """Send what the kernel takes at once; return -1 once the connection has ended."""
    try:
        return connection.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        return -1


def has_ended(connection: socket.socket) -> bool:
    """Read and drop what has arrived; return whether the node has closed the connection."""
    try:
        return connection.recv(READ_BYTES) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def stay_idle(crowd: Crowd) -> None:
    """Connect and send nothing; connect anew what the node closes."""
    send_unfinished(crowd, b"")


def send_unfinished(crowd: Crowd, data: bytes, bytes_per_round: int = READ_BYTES) -> None:
    """Send `data`, which is no whole command, and stay; connect anew what the node closes."""
    sent: dict[socket.socket, int] = {}
    for _ in crowd.rounds():
        while len(sent) < crowd.size and time.monotonic() < crowd.ends_at:
            sent[crowd.connect()] = 0
        for connection, position in list(sent.items()):
            part = data[position : position + bytes_per_round]
            count = send_some(connection, part) if part else 0
            if count < 0 or has_ended(connection):
                del sent[connection]
                crowd.connections.remove(connection)
                connection.close()
            else:
                sent[connection] = position + count


def read_nothing(crowd: Crowd, commands_per_round: int) -> None:
    """Ask again and again, and read no answer."""
    number = 0
    for _ in range(crowd.size):
        crowd.connect(SMALL_RECEIVE_BUFFER_BYTES)
    for _ in crowd.rounds(pause_s=0.2):
        for connection in crowd.connections:
            commands = [read_command(number + index) for index in range(commands_per_round)]
            number += commands_per_round
            send_some(connection, b"".join(commands))


def send_at_full_speed(crowd: Crowd, make_commands: Callable[[int], bytes], reads: bool) -> None:
    """Send what `make_commands` returns for 0, 1, 2 and so on, as fast as the node takes it."""
    number = 0
    unsent: dict[socket.socket, bytes] = {crowd.connect(): b"" for _ in range(crowd.size)}
    for _ in crowd.rounds(pause_s=0.0):
        for connection in list(unsent):
            if not unsent[connection]:
                unsent[connection] = make_commands(number)
                number += 1
            count = send_some(connection, unsent[connection])
            if count < 0 or (reads and has_ended(connection)):
                del unsent[connection]
                crowd.connections.remove(connection)
                connection.close()
                unsent[crowd.connect()] = b""
            else:
                unsent[connection] = unsent[connection][count:]
