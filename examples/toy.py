"""A toy fleet on the loopback: two cache servers, the origin and discovery, for trying a node by hand.

    python examples/toy.py

Ctrl-C ends it. It keeps values in memory, tells a list that never changes, and is no model of a real fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import json

HOST = "127.0.0.1"
CACHES = {"cache-a": 7001, "cache-b": 7002}
ORIGIN, DISCOVERY = 7080, 7085

truth: dict[str, bytes] = {}  # what the origin holds
copies: dict[str, dict[str, bytes]] = {name: {} for name in CACHES}
missed: dict[str, str] = {}  # by RPC: the cache that missed, where the origin's answer is stored


async def command(reader: asyncio.StreamReader) -> list[bytes]:
    """The words of a command."""
    words = []
    for _ in range(int((await reader.readline())[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def bulk(value: bytes | None) -> bytes:
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


async def serve_cache(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        word, *rest = await command(reader)
        if word == b"OBJ.GET":
            key, rpc = rest[0].decode(), rest[1].decode()
            value = copies[name].get(key)
            if value is None:
                missed[rpc] = name
            how = "miss" if value is None else "hit"
            print(f"{name}: {key} {how}")
            writer.write(b"*3\r\n" + bulk(value) + bulk(how.encode()) + bulk(b"inflight=1"))
        else:
            writer.write(b"+OK\r\n" if word in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n")
        await writer.drain()


async def request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Method, path, headers and body."""
    method, path, _ = (await reader.readline()).decode().split()
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return method, path, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def serve_origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        method, path, headers, body = await request(reader)
        key, rpc = path[1:], headers.get("x-request-id", "")
        await asyncio.sleep(0.05)  # it is slow
        if method == "PUT":
            truth[key], body = body, b"stored"
            for kept in copies.values():
                kept.pop(key, None)
        else:
            body = truth.get(key, f"made for {key}".encode())
            if rpc in missed:
                copies[missed.pop(rpc)][key] = body
        print(f"origin: {method} {key}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()


def servers() -> list[dict[str, object]]:
    plain = {"site": "here", "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0}
    listed = [{"host": n, "dial": f"{HOST}:{p}", "class": "std", **plain} for n, p in CACHES.items()]
    return [*listed, {"host": "origin", "dial": f"{HOST}:{ORIGIN}", "class": "origin", **plain}]


async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    line = json.dumps({"seq": 1, "whole": True, "hosts": servers()}).encode()
    while True:
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
        await writer.drain()
        await asyncio.sleep(2)
        line = b""


async def main() -> None:
    def quietly(serve):  # noqa: ANN001, ANN202
        async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await serve(reader, writer)
            except (OSError, EOFError, ValueError):
                writer.close()

        return run

    for name, port in CACHES.items():
        await asyncio.start_server(quietly(lambda r, w, name=name: serve_cache(name, r, w)), HOST, port)
    await asyncio.start_server(quietly(serve_origin), HOST, ORIGIN)
    await asyncio.start_server(quietly(serve_discovery), HOST, DISCOVERY)
    print("toy fleet is up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
