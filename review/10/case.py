"""A draining cache server is sent the requests of the one whose address it has. See claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))
import rig  # noqa: E402

GRACE_S = 3.0 + 0.05  # coop-parts-cache, and the 50 ms of PROTOCOL.md
NEW_AFTER_S = 1.0  # from when the machine vanishes until a new one has its address
LISTED_AFTER_S = 0.5  # coop-parts-cache.toml: add_s = [0.2, 2.5]
DRAIN_AFTER_S = 2.0  # from the listing of the new cache server until it drains
NOTICED_AFTER_S = 12.0  # coop-parts-cache.toml: silent_notice_s = [4.9, 13]
KEYS = [rig.key_of(number) for number in range(100)]


async def case(deployment: rig.Rig) -> list[str]:
    record, rng, discovery = deployment.record, random.Random(1), deployment.discovery
    node = deployment.node()
    await node.start()
    stop = False
    answers: dict[str, int] = {}

    async def ask_on() -> None:
        client = await rig.Client.connect(node.port, record)
        while not stop:
            rpc = rig.new_id()
            extras = "c=part-lookup,d=1000"
            got = await client.ask(rig.command("OBJ.GET", rng.choice(KEYS), rpc, extras))
            kind = got if isinstance(got, str) else "value"
            answers[kind] = answers.get(kind, 0) + 1
            await asyncio.sleep(rng.expovariate(10.0))

    clients = [asyncio.create_task(ask_on()) for _ in range(8)]
    await asyncio.sleep(2.0)

    # The machine of s0 vanishes; 1 s later its address belongs to a new cache server, s9.
    old = deployment.caches[0]
    vanished = record.now()

    async def say_nothing(call: rig.Call, writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(60.0)
        return None

    record("s0 vanishes")
    old.on_call = say_nothing
    await asyncio.sleep(NEW_AFTER_S)
    old.stop()
    new = rig.Cache("s9", record, deployment.origin)
    arrivals: list[tuple[float, str]] = []

    async def count(call: rig.Call, writer: asyncio.StreamWriter) -> bytes | None:
        arrivals.append((record.now(), call.rpc))
        return await new.answer(call, writer)

    new.on_call = count
    await new.start(old.port)
    deployment.servers.append(new)
    born_ms = int(time.time() * 1000)
    await asyncio.sleep(LISTED_AFTER_S)
    discovery.host("s9", old.port, born_ms=born_ms)
    discovery.change("s9")

    await asyncio.sleep(DRAIN_AFTER_S)
    told = float("inf")
    if rig.TROUBLE:
        told = record.now()
        discovery.change("s9", health="terminating")
    await asyncio.sleep(vanished + NOTICED_AFTER_S - record.now())
    discovery.change("s0", health="terminated")
    await asyncio.sleep(1.0)
    stop = True
    await asyncio.gather(*clients)
    late = [(at - told, rpc) for at, rpc in arrivals if at > told + GRACE_S]
    print(f"answers {answers}; {len(arrivals)} requests reached s9, {len(late)} of them late")
    return [f"{rpc} reached s9 {at:.2f} s after the node was told that it drains" for at, rpc in late]


rig.run_case(case, lambda: rig.Rig(FOLDER, caches=6))  # one of six is under 0.2 (`part` of vanish)
