"""Requests that were read are dropped when their connection is turned away. See claim.txt."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))
import rig  # noqa: E402

SILENT_CLIENTS = 300  # LATER.md: "others connect by hundreds and say nothing"
PIPELINED = 4  # commands that a client sends at once
CONNECTIONS_PER_S = 25.0
SECONDS = 20.0
KEYS = [rig.key_of(number) for number in range(60)]
TCP_CLOSE = 7  # the state of a socket whose connection was reset


async def case(deployment: rig.Rig) -> list[str]:
    record, rng = deployment.record, random.Random(1)
    for cache in deployment.caches:
        cache.keys.update(KEYS)
    node = deployment.node()
    await node.start()
    stop = False
    counts = {"requests": 0, "values": 0, "busy": 0, "other": 0, "unread": 0}
    broken: list[str] = []

    async def say_nothing() -> None:
        while not stop:
            try:
                reader, writer = await asyncio.open_connection(rig.HOST, node.port)
                await reader.read(100)
                writer.close()
            except OSError:
                await asyncio.sleep(0.01)

    async def send_at_once() -> None:
        try:
            client = await rig.Client.connect(node.port, record)
        except OSError:
            return
        requests = [(rng.choice(KEYS), rig.new_id()) for _ in range(PIPELINED)]
        client.writer.write(
            b"".join(
                rig.command("OBJ.GET", key, rpc, "c=part-lookup,d=1000") for key, rpc in requests
            )
        )
        record("client sent", *[rpc for _, rpc in requests])
        counts["requests"] += PIPELINED
        got: list[object] = []
        how = ""
        try:
            while len(got) < PIPELINED:
                got.append(await asyncio.wait_for(client.receive(), 4.0))
        except EOFError:
            # A close over bytes that the node has not read resets the connection.
            await asyncio.sleep(0.5)
            sock = client.writer.get_extra_info("socket")
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[0]
            how = "unread" if state == TCP_CLOSE else "all read"
        except OSError:
            how = "unread"
        except TimeoutError:
            how = "no answer"
        client.close()
        for answer in got:
            is_value = isinstance(answer, bytes)
            kind = "values" if is_value else "busy" if answer.startswith("-BUSY") else "other"
            counts[kind] += 1
        record("client got", len(got), "answers", how, [str(answer)[:30] for answer in got])
        if how == "unread" or (how == "all read" and not got):
            counts["unread"] += 1  # the page's excuses
        elif how:
            broken.append(
                f"{requests[len(got)][1]} and {PIPELINED - len(got) - 1} more: the answers were "
                f"{got}, then the node closed the connection with all bytes read"
            )

    crowd = [asyncio.create_task(say_nothing()) for _ in range(SILENT_CLIENTS * rig.TROUBLE)]
    await asyncio.sleep(1.0)
    tasks = []
    end = record.now() + SECONDS
    while record.now() < end:
        tasks.append(asyncio.create_task(send_at_once()))
        await asyncio.sleep(rng.expovariate(CONNECTIONS_PER_S))
    await asyncio.gather(*tasks)
    stop = True
    for task in crowd:
        task.cancel()
    print(counts)
    return broken


def deployment() -> rig.Rig:
    result = rig.Rig(FOLDER, caches=3)
    result.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}  # LATER.md: 256 to 1,024
    return result


rig.run_case(case, deployment)
