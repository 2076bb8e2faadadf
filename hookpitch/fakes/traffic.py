"""What clients ask for and how they behave: methods, keys, behaviour, and one RPC of a client."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate


@dataclass(frozen=True, slots=True)
class ClientMethod:
    """A method as clients ask for it; `share`: its weight among the methods."""

    name: str
    share: float
    wait_ms: float  # how long a client waits for the answer
    write: bool = False
    size: int = 0  # bytes of a write's value


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """How clients behave; fractions are between 0 and 1."""

    retries: int = 0  # after an answer that is not a value
    retry_pause_ms: float = 30.0
    leaving_fraction: float = 0.0  # of RPCs whose client closes before its wait is over
    single_use_fraction: float = 0.0  # of RPCs on a connection of their own
    max_connections: int = 200  # to a node
    slow_reader_fraction: float = 0.0  # of connections that pause after each read
    half_close_fraction: float = 0.0  # of single-use connections that end their own side at once


class KeyDistribution:
    """Keys drawn by a power law; `hot_fraction`: the fraction of draws that give one hot key."""

    def __init__(self, count: int, skew: float) -> None:
        self.hot_fraction = 0.0
        self._cumulative_weights = list(accumulate((n + 1) ** -skew for n in range(count)))

    def draw(self, chance: random.Random) -> str:
        """Return a key."""
        if self.hot_fraction and chance.random() < self.hot_fraction:
            return "hot"
        total = self._cumulative_weights[-1]
        return f"key{bisect_left(self._cumulative_weights, chance.random() * total)}"


class ClientRpc:
    """One attempt of a client's RPC; `open`: neither answered nor given up."""

    __slots__ = ("id", "method", "key", "retries", "open")

    def __init__(self, rpc_id: str, method: ClientMethod, key: str, retries: int) -> None:
        self.id = rpc_id
        self.method = method
        self.key = key
        self.retries = retries  # that came before this attempt
        self.open = True
