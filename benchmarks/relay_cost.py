"""What a relay adds to a round trip, and how many round trips a second it carries.

`python benchmarks/relay_cost.py`. One request and one answer of 100 bytes on each connection at a
time,
straight and through a relay process; server and clients are processes of their own. On loopback,
bounded in
time.
"""

from __future__ import annotations

import json
import multiprocessing
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

NET, PORT = "127.9", 29200
STRAIGHT, THROUGH = (f"{NET}.2.1", PORT), (f"{NET}.1.1", PORT)
SIZE, SECONDS = 100, 3.0


def serve(ready: multiprocessing.Event) -> None:
    """Answers each 100 bytes with as many."""
    chooser = selectors.DefaultSelector()
    listener = socket.create_server(STRAIGHT, backlog=512)
    chooser.register(listener, selectors.EVENT_READ)
    ready.set()
    while True:
        for key, _ in chooser.select():
            if key.fileobj is listener:
                chooser.register(listener.accept()[0], selectors.EVENT_READ)
                continue
            try:
                data = key.fileobj.recv(65536)
                key.fileobj.sendall(data)
            except OSError:  # a client that has measured enough
                data = b""
            if not data:
                chooser.unregister(key.fileobj)
                key.fileobj.close()


def ask(at: tuple[str, int], connections: int, out: multiprocessing.Queue) -> None:
    """Round trips on so many connections for `SECONDS`: their times, in ms."""
    peers = [socket.create_connection(at) for _ in range(connections)]
    chooser, since, took = selectors.DefaultSelector(), {}, []
    for peer in peers:
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        chooser.register(peer, selectors.EVENT_READ)
        since[peer] = time.perf_counter()
        peer.sendall(b"x" * SIZE)
    end = time.perf_counter() + SECONDS
    while time.perf_counter() < end:
        for key, _ in chooser.select(0.1):
            key.fileobj.recv(65536)
            now = time.perf_counter()
            took.append((now - since[key.fileobj]) * 1000)
            since[key.fileobj] = now
            key.fileobj.sendall(b"x" * SIZE)
    out.put(took)


def measured(at: tuple[str, int], connections: int, processes: int) -> tuple[float, float, float]:
    """Round trips a second, median and 99th percentile in ms."""
    out: multiprocessing.Queue = multiprocessing.Queue()
    poll_schedule = [
        multiprocessing.Process(target=ask, args=(at, connections, out)) for _ in range(processes)
    ]
    for one in poll_schedule:
        one.start()
    took = [ms for _ in poll_schedule for ms in out.get(timeout=60)]
    for one in poll_schedule:
        one.join()
    took.sort()
    return len(took) / SECONDS, statistics.median(took), took[int(0.99 * len(took))]


def main() -> None:
    ready = multiprocessing.Event()
    server = multiprocessing.Process(target=serve, args=(ready,), daemon=True)
    server.start()
    ready.wait(10)
    with tempfile.TemporaryDirectory() as folder:
        control = socket.socket(socket.AF_UNIX)
        control.bind(f"{folder}/control")
        control.listen()
        given = {
            "name": "relay0",
            "control": f"{folder}/control",
            "begun": time.monotonic(),
            "seed": 1,
            "nodes": ["n0"],
            "history": f"{folder}/history",
            "udp": [],
            "tcp": [["n0", "s0", THROUGH, STRAIGHT, f"{NET}.9.9"]],
        }
        Path(f"{folder}/given").write_text(json.dumps(given))
        relay = subprocess.Popen(
            [sys.executable, "-m", "hookpitch.testbed.relay", f"{folder}/given"]
        )
        line = control.accept()[0].makefile()
        assert [json.loads(line.readline())[0] for _ in range(2)] == ["hello", "ready"]
        try:
            for name, connections, processes in (("one at a time", 1, 1), ("as many as go", 16, 3)):
                for where, at in (("straight", STRAIGHT), ("through a relay", THROUGH)):
                    rate, median, worst = measured(at, connections, processes)
                    times = f"median {median:.3f} ms, p99 {worst:.3f} ms"
                    print(f"{name:15} {where:16} {rate:8.0f} a second, {times}")
        finally:
            relay.kill()
            relay.wait()
    server.terminate()


if __name__ == "__main__":
    main()
