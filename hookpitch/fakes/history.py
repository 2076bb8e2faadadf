"""What clients, servers, origin and discovery saw, in order: the only thing that the judge looks
at."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple


class Event(NamedTuple):
    """`at` in milliseconds since the start of the run."""

    at: float
    kind: str
    who: str  # the one that saw it
    rpc: str = ""
    what: str = ""
    value: float = 0.0
    port: int = 0  # the connection: its port at the side that opened it


class History:
    """Kinds, and who writes them:

    a client: `asked` (value: its hard deadline in ms; what: method), `answered` (what: completed,
    exhausted, errored, wrong), `lost` (the connection ended under it), `left` (the client went
    away); a
    server or the origin: `came` (what: by which node), `effect`, `sent` (what: how it answered),
    `dropped` (its connection ended first), `dialled` (what: by which node), `up` (value: share of
    full
    speed), `down`, `fell` (pushed over, value: how far); discovery: `called` (who: the node; what:
    served
    or refused), `told` (who: the node; what: server and health), `listed` (who: the server; what:
    health); whoever runs the nodes: `start`, `stop`, `away` (stopped for `value` ms), `apart` (the
    node's
    link to clients or discovery is spoilt for `value` ms), `leaving`, `banned` and `back` (who:
    the node
    that said yes, what: the server), `held` (a drained node holds `value` clients' connections); a
    client
    that takes its time to write: `cut` (closed meanwhile); an operator: `call` (who: the node,
    what: how
    it was answered); the network, where it can: `closed` (a node closed its connection to a
    server),
    `unread` (a node closed a client's connection and had not read all that had come, or more came
    after).
    """

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(
        self,
        at: float,
        kind: str,
        who: str,
        rpc: str = "",
        what: str = "",
        value: float = 0.0,
        port: int = 0,
    ) -> None:
        self.events.append(Event(at, kind, who, rpc, what, value, port))

    def digest(self) -> str:
        """The same for the same history, to the microsecond."""
        whole = blake2b(digest_size=16)
        for e in self.events:
            whole.update(f"{e.at:.3f} {e.kind} {e.who} {e.rpc} {e.what} {e.value:.3f}\n".encode())
        return whole.hexdigest()

    def of(self, rpc: str) -> list[Event]:
        return [e for e in self.events if e.rpc == rpc]
