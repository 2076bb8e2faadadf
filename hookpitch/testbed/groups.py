"""Groups of an experiment's parts, as faults name them: a list, a count, a part of the fleet.

`s1 s3`, `nodes`, `servers` or `all`, `2 of nodes`, `0.3 of servers`, `origin`, `discovery`,
`clients`. A
count or a part is drawn by the run's seed and the fault's place in its file: the same in both
clocks.
"""

from __future__ import annotations

import random
import re
from collections.abc import Sequence
from zlib import crc32

COUNTED = re.compile(r"(\d+|0?\.\d+|1\.0) of (nodes|servers)")
SINGLE = ("origin", "discovery", "clients")


def group_members(
    text: str, nodes: Sequence[str], servers: Sequence[str], seed: int, place: int
) -> list[str]:
    """The names in a group, in the fleet's order. ValueError says in one line what is wrong."""
    whole = {"nodes": nodes, "servers": servers, "all": servers}
    if text in whole:
        return list(whole[text])
    counted = COUNTED.fullmatch(text)
    if counted:
        of = whole[counted[2]]
        count = max(1, round(float(counted[1]) * len(of))) if "." in counted[1] else int(counted[1])
        if not 1 <= count <= len(of):
            raise ValueError(f"'{text}': there are {len(of)}")
        drawn = random.Random(crc32(f"{seed} {place} {text}".encode())).sample(list(of), count)
        return [name for name in of if name in drawn]
    names = text.replace(",", " ").split()
    for name in names:
        if name not in nodes and name not in servers and name not in SINGLE:
            raise ValueError(f"'{name}' is no node, no server and none of {', '.join(SINGLE)}")
    if not names:
        raise ValueError("names nobody")
    return names


def directions(
    a: Sequence[str], b: Sequence[str], nodes: Sequence[str], both: bool
) -> list[tuple[str, str]]:
    """From each of a to each of b, and back where `both`; only what has a link: one end is a
    node."""
    found: dict[tuple[str, str], None] = {}
    known = set(nodes)
    for x in a:
        for y in b:
            if x != y and (x in known or y in known):
                found[x, y] = None
                if both:
                    found[y, x] = None
    return list(found)
