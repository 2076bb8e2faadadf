"""Two real processes of one node on loopback, with one inherited socket: under load, no RPC is lost."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from test_start import TOLD

from hookpitch.core.resp import Parser, bulk, command
from hookpitch.core.ring import Ring

ROOT = Path(__file__).parent.parent


def serve(listener: socket.socket, answer: object) -> None:
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

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.who, self.address, self.stop = name, address, False
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
                peer.sendall(command(b"OBJ.GET", key, rpc, b"c=read,d=1000"))
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


def test_a_node_is_replaced_twice_under_load_and_no_rpc_is_lost(tmp_path: Path) -> None:
    caches, held, discovery, doors = [listening() for _ in range(2)], listening(), listening(), []
    for one in caches:
        serve(one, cache)
    hosts = [
        TOLD["known"]["hosts"][0]
        | {"host": f"s{n}", "dial": f"127.0.0.1:{one.getsockname()[1]}", "born_ms": 0}
        for n, one in enumerate(caches)
    ]
    known = {"seq": 1, "whole": True, "hosts": hosts}

    def watched(peer: socket.socket) -> None:
        peer.recv(4096)
        line = json.dumps(known).encode() + b"\n"
        peer.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        with suppress(OSError):
            while peer.send(b"1\r\n\n\r\n"):
                time.sleep(1)

    serve(discovery, watched)
    told = TOLD | {"listen": f"127.0.0.1:{held.getsockname()[1]}", "known": known,
                   "discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}  # fmt: skip
    (tmp_path / "node.json").write_text(json.dumps(told))
    processes: list[subprocess.Popen[bytes]] = []

    def start() -> None:
        with listening() as free:
            doors.append(free.getsockname()[1])
        environment = os.environ | {
            "PROXY_CONFIG": str(tmp_path / "node.json"), "PROXY_INHERITED_FD": str(held.fileno()),
            "PROXY_MANAGEMENT": f"127.0.0.1:{doors[-1]}", "TMPDIR": str(tmp_path),
        }  # fmt: skip
        processes.append(subprocess.Popen([sys.executable, "-m", "hookpitch"], cwd=ROOT, env=environment,
                                          pass_fds=[held.fileno()], stderr=subprocess.DEVNULL))  # fmt: skip
        assert ready(doors[-1])

    clients = []
    try:
        start()
        clients = [Client(f"c{n}", held.getsockname()) for n in range(8)]
        for client in clients:
            client.start()
        assert call(doors[0], b"SUSPEND s0") == b"YES\n"
        for _ in range(2):
            start()
            assert b"svc.members_unavailable=1" in call(doors[-1], b"METRICS")  # the ban is the node's
            processes[-2].send_signal(signal.SIGTERM)
            assert processes[-2].wait(5) == 0
        assert call(doors[-1], b"RESTORE s0") == b"YES\n"
        assert b"svc.members_unavailable=0" in call(doors[-1], b"METRICS")
        time.sleep(0.3)
        assert processes[-1].poll() is None
    finally:
        for client in clients:
            client.stop = True
        for client in clients:
            client.join(5)
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for one in (*caches, held, discovery):
            one.close()
    assert not [wrong for client in clients for wrong in client.wrong]
    assert all(client.served > 50 for client in clients)
