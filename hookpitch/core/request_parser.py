"""Validates a client's RPC and parses its extras: `name=value` pairs, separated by commas.

A cache closes the whole connection on a command that it cannot parse, whatever else is in flight on
that connection. So keys, ids and extras are validated here before anything is forwarded.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

KEY_PATTERN = re.compile(rb"[^\x00-\x1f\x7f]{1,1024}")
ID_PATTERN = re.compile(rb"[!-~]{1,128}")
EXTRAS_PATTERN = re.compile(rb"\w+=[^\x00-\x20\x7f,]*(?:,\w+=[^\x00-\x20\x7f,]*)*")
NUMBER_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
MAX_EXTRAS_BYTES = 512
CACHED_EXTRAS = 512  # parsed extras that are kept: clients keep sending the same few

METHOD_FIELD = b"c"
TIMEOUT_FIELD = b"d"  # milliseconds
TENANT_FIELD = b"t"
NUMERIC_FIELDS = (TIMEOUT_FIELD, b"r", b"size")


@dataclass(frozen=True, slots=True)
class RequestFields:
    """The fields of an RPC's extras that this node uses."""

    method: bytes = b""
    timeout_ms: float | None = None
    tenant: str = ""

    def timeout_within(self, hard_ms: float) -> float:
        """Return the client's timeout in milliseconds, capped at `hard_ms`."""
        requested = float(hard_ms) if self.timeout_ms is None else self.timeout_ms
        return min(requested, hard_ms)


INVALID = RequestFields()  # matches no method, as no method has an empty name


def is_forwardable(words: Sequence[bytes]) -> bool:
    """Return whether a cache can parse the key and the id of a command."""
    return (
        KEY_PATTERN.fullmatch(words[1]) is not None and ID_PATTERN.fullmatch(words[2]) is not None
    )


@lru_cache(maxsize=CACHED_EXTRAS)
def parse_extras(extras: bytes) -> RequestFields:
    """Parse the extras of an RPC; return `INVALID` if they are malformed or repeat a name."""
    if len(extras) > MAX_EXTRAS_BYTES or not EXTRAS_PATTERN.fullmatch(extras):
        return INVALID
    names_and_values = [pair.partition(b"=")[::2] for pair in extras.split(b",")]
    values = dict(names_and_values)
    if len(values) < len(names_and_values):
        return INVALID
    if any(
        name in values and not NUMBER_PATTERN.fullmatch(values[name]) for name in NUMERIC_FIELDS
    ):
        return INVALID
    timeout = values.get(TIMEOUT_FIELD)
    return RequestFields(
        method=values.get(METHOD_FIELD, b""),
        timeout_ms=None if timeout is None else float(timeout),
        tenant=values.get(TENANT_FIELD, b"").decode("latin-1"),
    )
