"""Blocking peers on loopback, a thread each, for real processes: cache server, operator, client."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable

from hookpitch.core.resp import Parser, bulk, command
from hookpitch.core.ring import Ring


def serve(listener: socket.socket, answer: Callable[[socket.socket], None]) -> None:
    """A thread a connection; ends with the test's process."""

    def one(peer: socket.socket) -> None:
        with peer:
            answer(peer)

    def accept() -> None:
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=one, args=(peer,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def cache(peer: socket.socket) -> None:
    ring = Ring()
    parser = Parser(ring, commands_only=True)
    while data := peer.recv(65536):
        ring.write(data)
        while True:
            found, words = parser.next()
            if not found:
                break
            peer.sendall(b"*3\r\n" + bulk(words[2] + b":" + words[1]) + b"$3\r\nhit\r\n$-1\r\n")


def listening() -> socket.socket:
    made = socket.socket()
    made.bind(("127.0.0.1", 0))
    made.listen(512)
    return made


def call(port: int, said: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), 2) as door:
        door.sendall(said + b"\n")
        got = b""
        while data := door.recv(4096):
            got += data
        return got


def ready(port: int) -> bool:
    for _ in range(200):
        try:
            if call(port, b"STATUS") == b"YES\n":
                return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


class Client(threading.Thread):
    """Asks one RPC after the other on a connection for as long as it stays open; then on a new one."""

    def __init__(self, name: str, address: tuple[str, int], method: str = "read") -> None:
        super().__init__(daemon=True)
        self.who, self.address, self.method, self.stop = name, address, method, False
        self.served = self.refused = self.resent = 0
        self.wrong: list[bytes] = []

    def run(self) -> None:
        peer, n, again = None, 0, 0
        while not self.stop:
            rpc = f"{self.who}-{n}".encode()
            key = b"key%d" % (n % 50)
            fresh = peer is None
            peer = peer or socket.create_connection(self.address, 3)
            try:
                peer.sendall(command(b"OBJ.GET", key, rpc, b"c=%b,d=1000" % self.method.encode()))
                got = b""
                while not got.endswith(b"\r\n") or (got[:1] == b"$" and got.count(b"\r\n") < 2):
                    data = peer.recv(4096)
                    if not data:
                        break
                    got += data
            except OSError:
                got = b""
            if not got:  # closed between RPCs as this one crossed: sent once more, on a new connection
                peer, again, self.resent = None, again + 1, self.resent + 1
                if fresh or again > 1:
                    self.wrong.append(b"lost " + rpc)
                n += fresh
                continue
            again, n = 0, n + 1
            if got == bulk(rpc + b":" + key):
                self.served += 1
            elif got.startswith(b"-BUSY"):
                self.refused += 1
            else:
                self.wrong.append(got)
            time.sleep(0.002)
