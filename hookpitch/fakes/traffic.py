"""The methods and keys that clients request, how clients behave, and one RPC of a client."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate


@dataclass(frozen=True, slots=True)
class ClientMethod:
    """A method as clients request it; `weight` is relative to the other methods."""

    name: str
    weight: float
    timeout_ms: float  # how long a client waits for the answer
    is_write: bool = False
    value_bytes: int = 0  # size of the value of a write


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """How clients behave; all fractions are between 0 and 1."""

    max_retries: int = 0  # retries of an RPC that is not completed
    retry_delay_ms: float = 30.0  # from the failure of an RPC until its retry
    early_close_fraction: float = 0.0  # RPCs whose client closes before its timeout
    single_use_fraction: float = 0.0  # RPCs that have their own connection
    max_connections: int = 200  # open connections to one node
    slow_reader_fraction: float = 0.0  # connections that pause after each read
    half_close_fraction: float = 0.0  # single-use connections that half-close after the request


class KeyDistribution:
    """Draws keys by a power law.

    `hot_fraction` is the fraction of draws that return one hot key instead.
    """

    def __init__(self, count: int, skew: float) -> None:
        self.hot_fraction = 0.0
        self._cumulative_weights = list(accumulate((rank + 1) ** -skew for rank in range(count)))

    def draw(self, rng: random.Random) -> str:
        """Return a random key."""
        if self.hot_fraction and rng.random() < self.hot_fraction:
            return "hot"
        total = self._cumulative_weights[-1]
        return f"key{bisect_left(self._cumulative_weights, rng.random() * total)}"


class ClientRpc:
    """One attempt of a client's RPC; `is_open` until it is answered, lost or given up."""

    __slots__ = ("id", "method", "key", "retry_count", "is_open")

    def __init__(self, rpc_id: str, method: ClientMethod, key: str, retry_count: int) -> None:
        self.id = rpc_id
        self.method = method
        self.key = key
        self.retry_count = retry_count  # attempts before this one
        self.is_open = True
