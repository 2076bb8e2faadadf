"""Checks of a client's RPC, and the reading of its extras: `name=value` pairs, set apart by commas.

A cache closes the whole connection on a command that it cannot read, whatever else is in flight
there. So keys, ids and extras are checked here before anything is sent.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

KEY = re.compile(rb"[^\x00-\x1f\x7f]{1,1024}")
ID = re.compile(rb"[!-~]{1,128}")
EXTRAS = re.compile(rb"\w+=[^\x00-\x20\x7f,]*(?:,\w+=[^\x00-\x20\x7f,]*)*")
NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
MAX_EXTRAS_BYTES = 512
CACHED_EXTRAS = 512  # clients send the same few extras again and again

METHOD = b"c"
TIME_LIMIT = b"d"  # milliseconds
TENANT = b"t"
NUMERIC = (TIME_LIMIT, b"r", b"size")


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What the extras of an RPC say to this node."""

    method: bytes = b""
    time_limit_ms: float | None = None
    tenant: str = ""

    def time_limit_within(self, hard_ms: float) -> float:
        """Return the client's time limit, cut to that of the method, in milliseconds."""
        requested = float(hard_ms) if self.time_limit_ms is None else self.time_limit_ms
        return min(requested, hard_ms)


INVALID = RequestFields()  # no method has an empty name


def is_forwardable(words: Sequence[bytes]) -> bool:
    """Whether a cache can read the key and the id of a command."""
    return KEY.fullmatch(words[1]) is not None and ID.fullmatch(words[2]) is not None


@lru_cache(maxsize=CACHED_EXTRAS)
def parse_extras(extras: bytes) -> RequestFields:
    """Read the extras of an RPC; `INVALID` where a name comes twice or something is malformed."""
    if len(extras) > MAX_EXTRAS_BYTES or not EXTRAS.fullmatch(extras):
        return INVALID
    names_and_values = [pair.partition(b"=")[::2] for pair in extras.split(b",")]
    values = dict(names_and_values)
    if len(values) < len(names_and_values):
        return INVALID
    if any(name in values and not NUMBER.fullmatch(values[name]) for name in NUMERIC):
        return INVALID
    time_limit = values.get(TIME_LIMIT)
    return RequestFields(
        method=values.get(METHOD, b""),
        time_limit_ms=None if time_limit is None else float(time_limit),
        tenant=values.get(TENANT, b"").decode("latin-1"),
    )
