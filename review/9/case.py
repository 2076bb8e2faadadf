"""A value that its cache server still gives is cut off by a planned restart. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))
import rig  # noqa: E402

VALUE_BYTES = 4 << 20  # DAYS.md: values reach 4 MiB
PIECE_BYTES = 16384
PIECE_INTERVAL_S = 0.02  # no pause comes near the 2 s of DAYS.md
SIGTERM_AFTER_S = 0.5  # from the request
SIGKILL_AFTER_S = 20.0  # PROTOCOL.md: no sooner than the longest deadline and 0.7 s, so 2.7 s here
ROUNDS = 3


async def case(deployment: rig.Rig) -> list[str]:
    record = deployment.record
    given: dict[str, int] = {}

    async def give_slowly(call: rig.Call, writer: asyncio.StreamWriter) -> bytes | None:
        value = rig.made_value(call.key, call.rpc, call.server, VALUE_BYTES)
        data = rig.reply(value, b"hit", b"inflight=1")
        try:
            for start in range(0, len(data), PIECE_BYTES):
                writer.write(data[start : start + PIECE_BYTES])
                await writer.drain()
                given[call.rpc] = min(len(data), start + PIECE_BYTES)
                await asyncio.sleep(PIECE_INTERVAL_S)
        except OSError:
            record(call.server, "cannot go on with", call.rpc, "after", given[call.rpc], "bytes")
            raise
        record(call.server, "gave all of", call.rpc)
        return None

    for cache in deployment.caches:
        cache.on_call = give_slowly
    broken = []
    for number in range(ROUNDS):
        node = deployment.node(tag=f"node{number}")
        await node.start()
        client = await rig.Client.connect(node.port, record)
        key, rpc = rig.key_of(number), rig.new_id()
        record("client sent", key, rpc)
        client.writer.write(rig.command("OBJ.GET", key, rpc, "c=part-lookup,d=1000"))
        await asyncio.sleep(SIGTERM_AFTER_S)
        if rig.TROUBLE:
            node.signal(signal.SIGTERM)
        ended = record.now()
        try:
            got = await asyncio.wait_for(client.receive(), SIGKILL_AFTER_S)
        except (EOFError, OSError):
            received = len(client.parser.data)
            line = (
                f"the node cut the value of {rpc} off {record.now() - ended:.2f} s after SIGTERM, "
                f"without SIGKILL: {received} bytes came, {given[rpc]} of the cache server's "
                f"{VALUE_BYTES} had been given and more were coming"
            )
            record(line)
            broken.append(line)
        else:
            assert isinstance(got, bytes) and got.startswith(f"{key}|{rpc}|".encode()), got[:80]
            record("client got the whole value", rpc)
        client.close()
        await node.end()
    return broken


rig.run_case(case, lambda: rig.Rig(FOLDER, caches=2))
