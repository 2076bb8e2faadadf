"""What the simulated reactor and TCP need of their machine and of the simulated network.

`simulation.py` implements these; `reactor.py` and `simulated_tcp.py` depend on this module alone,
so that there is no import cycle.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call: the part of Twisted's `IDelayedCall` that is used."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call; raise `AlreadyCalled` if it is no longer pending."""


class Network(Protocol):
    """The simulated network and its clock. Times are in seconds."""

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
        **kwargs: Any,
    ) -> DelayedCall:
        """Schedule `func(*args, **kwargs)` as an event of `machine`, or of the network for None."""

    def link(self, source: str, destination: str) -> Any:
        """Return the link from one address to another."""

    def send(
        self,
        source: str,
        destination: str,
        size: int,
        deliver: Callable[[], None],
        endpoint: Any = None,
        no_retransmit: bool = False,
    ) -> None:
        """Send a packet of `size` bytes; with `no_retransmit`, a silent link drops it for good."""

    def datagram(
        self, source: str, destination: str, size: int, deliver: Callable[[], None]
    ) -> None:
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
        """The number of descriptors in use."""

    def next_port(self) -> int:
        """Return the next unused local port."""


class Connector(Protocol):
    """The connector that has opened a connection."""

    factory: Any
