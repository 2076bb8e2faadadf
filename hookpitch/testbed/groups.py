"""Groups of nodes and servers as a fault names them: a list of names, a count, or a fraction.

Examples: `s1 s3`, `nodes`, `servers`, `all` (which means the servers), `2 of nodes`,
`0.3 of servers`, `origin`, `discovery`, `clients`. The members of a count or a fraction are drawn
with the run's seed and the fault's place in its file, so that a run in virtual time and one on real
processes have the same members.
"""

from __future__ import annotations

import random
import re
from collections.abc import Sequence
from zlib import crc32

COUNT_OR_FRACTION = re.compile(r"(\d+|0?\.\d+|1\.0) of (nodes|servers)")
SINGLE = ("origin", "discovery", "clients")


def group_members(
    text: str, nodes: Sequence[str], servers: Sequence[str], seed: int, draw_id: int
) -> list[str]:
    """Return the names in a group, in the fleet's order; raise ValueError with a one-line reason.

    `draw_id` is a number of this group. Groups with the same text but different numbers are drawn
    independently of one another.
    """
    fleets = {"nodes": nodes, "servers": servers, "all": servers}
    if text in fleets:
        return list(fleets[text])
    match = COUNT_OR_FRACTION.fullmatch(text)
    if match:
        fleet = fleets[match[2]]
        count = max(1, round(float(match[1]) * len(fleet))) if "." in match[1] else int(match[1])
        if not 1 <= count <= len(fleet):
            raise ValueError(f"'{text}': the count must be from 1 to {len(fleet)}")
        drawn = random.Random(crc32(f"{seed} {draw_id} {text}".encode())).sample(list(fleet), count)
        return [name for name in fleet if name in drawn]
    names = text.replace(",", " ").split()
    for name in names:
        if name not in nodes and name not in servers and name not in SINGLE:
            raise ValueError(f"'{name}' is neither a node, a server nor one of {', '.join(SINGLE)}")
    if not names:
        raise ValueError("no name is given")
    return names


def directions(
    sources: Sequence[str], destinations: Sequence[str], nodes: Sequence[str], both_ways: bool
) -> list[tuple[str, str]]:
    """Return the directions from each source to each destination, and back if `both_ways`.

    Only pairs that have a link are included: at least one end is a node.
    """
    pairs: dict[tuple[str, str], None] = {}
    known = set(nodes)
    for source in sources:
        for destination in destinations:
            if source != destination and (source in known or destination in known):
                pairs[source, destination] = None
                if both_ways:
                    pairs[destination, source] = None
    return list(pairs)
