"""Measure the time that a relay adds to a round trip, and the round trips a second it carries.

    python benchmarks/relay_cost.py

Each connection has one request and one answer of 100 bytes in flight at a time, either directly or
through a relay process. The server and the clients are separate processes on loopback. Each
measurement takes `DURATION_S`.
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

NETWORK, PORT = "127.9", 29200
SERVER_ADDRESS, RELAY_ADDRESS = (f"{NETWORK}.2.1", PORT), (f"{NETWORK}.1.1", PORT)
MESSAGE_BYTES, DURATION_S = 100, 3.0


def serve(ready: multiprocessing.Event) -> None:
    """Echo all received data, and set `ready` once the server listens."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(SERVER_ADDRESS, backlog=512)
    selector.register(listener, selectors.EVENT_READ)
    ready.set()
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                selector.register(listener.accept()[0], selectors.EVENT_READ)
                continue
            try:
                data = key.fileobj.recv(65536)
                key.fileobj.sendall(data)
            except OSError:
                # The client has finished its measurement.
                data = b""
            if not data:
                selector.unregister(key.fileobj)
                key.fileobj.close()


def run_clients(address: tuple[str, int], connections: int, results: multiprocessing.Queue) -> None:
    """Repeat round trips on the connections for `DURATION_S` and put their times in ms."""
    clients = [socket.create_connection(address) for _ in range(connections)]
    selector, sent_at, times_ms = selectors.DefaultSelector(), {}, []
    for client in clients:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(client, selectors.EVENT_READ)
        sent_at[client] = time.perf_counter()
        client.sendall(b"x" * MESSAGE_BYTES)
    end = time.perf_counter() + DURATION_S
    while time.perf_counter() < end:
        for key, _ in selector.select(0.1):
            key.fileobj.recv(65536)
            now = time.perf_counter()
            times_ms.append((now - sent_at[key.fileobj]) * 1000)
            sent_at[key.fileobj] = now
            key.fileobj.sendall(b"x" * MESSAGE_BYTES)
    results.put(times_ms)


def measure(
    address: tuple[str, int], connections: int, processes: int
) -> tuple[float, float, float]:
    """Return the round trips a second, and their median and 99th percentile in ms."""
    results: multiprocessing.Queue = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(target=run_clients, args=(address, connections, results))
        for _ in range(processes)
    ]
    for client in clients:
        client.start()
    times_ms = [ms for _ in clients for ms in results.get(timeout=60)]
    for client in clients:
        client.join()
    times_ms.sort()
    return (
        len(times_ms) / DURATION_S,
        statistics.median(times_ms),
        times_ms[int(0.99 * len(times_ms))],
    )


def main() -> None:
    """Start a server and a relay, and print the measurements with and without the relay."""
    ready = multiprocessing.Event()
    server = multiprocessing.Process(target=serve, args=(ready,), daemon=True)
    server.start()
    ready.wait(10)
    with tempfile.TemporaryDirectory() as folder:
        control = socket.socket(socket.AF_UNIX)
        control.bind(f"{folder}/control")
        control.listen()
        settings = {
            "name": "relay0",
            "control": f"{folder}/control",
            "begun": time.monotonic(),
            "seed": 1,
            "nodes": ["n0"],
            "history": f"{folder}/history",
            "udp": [],
            "tcp": [["n0", "s0", RELAY_ADDRESS, SERVER_ADDRESS, f"{NETWORK}.9.9"]],
        }
        Path(f"{folder}/given").write_text(json.dumps(settings))
        relay = subprocess.Popen(
            [sys.executable, "-m", "hookpitch.testbed.relay", f"{folder}/given"]
        )
        control_file = control.accept()[0].makefile()
        assert [json.loads(control_file.readline())[0] for _ in range(2)] == ["hello", "ready"]
        try:
            for name, connections, processes in (
                ("one connection", 1, 1),
                ("48 connections", 16, 3),
            ):
                for path, address in (
                    ("direct", SERVER_ADDRESS),
                    ("through a relay", RELAY_ADDRESS),
                ):
                    rate, median, p99 = measure(address, connections, processes)
                    times = f"median {median:.3f} ms, p99 {p99:.3f} ms"
                    print(f"{name:15} {path:16} {rate:8.0f} a second, {times}")
        finally:
            relay.kill()
            relay.wait()
    server.terminate()


if __name__ == "__main__":
    main()
