"""What a simulated process's reactor and TCP ask of their machine and of the simulated network.

`simulation.py` implements these; `reactor.py` and `simulated_tcp.py` depend on this module alone,
so that imports go one way.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call: the part of Twisted's `IDelayedCall` that is used."""

    def active(self) -> bool:
        """Whether it is still due."""

    def cancel(self) -> None:
        """Give it up; raises `AlreadyCalled` where it is not due any more."""


class Network(Protocol):
    """The simulated network and its clock. Times in seconds."""

    now: float
    rng: random.Random
    machines: dict[str, Any]
    on_endpoint_closed: Callable[[Any], None] | None
    on_data_after_close: Callable[[Any], None] | None

    def call_at(
        self,
        time: float,
        machine: Any,
        func: Callable[..., object],
        *args: Any,
        **kw: Any,
    ) -> DelayedCall:
        """Schedule `func(*args, **kw)` as an event of `machine`, or of the network for `None`."""

    def link(self, a: str, b: str) -> Any:
        """The direction from address `a` to address `b`."""

    def send(
        self,
        a: str,
        b: str,
        size: int,
        arrive: Callable[[], None],
        end: Any = None,
        once: bool = False,
    ) -> None:
        """Send a packet of `size` bytes; `once`: it is not sent again when it is lost."""

    def datagram(self, a: str, b: str, size: int, arrive: Callable[[], None]) -> None:
        """Send a datagram of `size` bytes, which may be lost or arrive twice."""


class Machine(Protocol):
    """A process at an address of the simulated network, with its sockets."""

    network: Network
    address: str
    descriptors: int
    attached: bool
    running: bool
    listeners: dict[int, Any]
    inherited_listeners: dict[int, Any]
    listening_ports: dict[Any, None]
    datagram_ports: dict[int, Any]
    endpoints: dict[Any, None]
    connectors: dict[Any, None]

    @property
    def open_descriptors(self) -> int:
        """Descriptors in use."""

    def next_port(self) -> int:
        """The next local port."""


class Dialler(Protocol):
    """The connector that a connection came of."""

    factory: Any
