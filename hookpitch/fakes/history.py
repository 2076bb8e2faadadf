"""The history of a run: what clients, servers, the origin and discovery saw, in order.

It is the only input of the run's checks. Kinds of events, by who records them:

- a client: `asked` (value: its hard deadline in ms; what: method), `answered` (what: completed,
  exhausted, errored, wrong), `lost` (the connection ended under the RPC), `left` (the client closed
  its connection before the answer);
- a client that takes its time to write a request: `cut` (the node closed the connection meanwhile);
- a cache server or the origin: `came` (what: from which node), `effect` (a write was executed),
  `sent` (what: the kind of answer), `dropped` (the connection ended before the answer), `dialled`
  (what: by which node), `up` (value: fraction of full speed), `down`, `fell` (crashed under
  overload; value: by how much it was overloaded);
- discovery: `called` (who: the node; what: served or refused), `told` (who: the node; what: server
  and health), `listed` (who: the server; what: health);
- the runner of the nodes: `start`, `stop`, `away` (paused for `value` ms), `apart` (the node's link
  to clients or discovery is broken for `value` ms), `leaving`, `banned` and `back` (who: the node
  that accepted the command; what: the server), `held` (a drained node still has `value` client
  connections);
- an operator: `call` (who: the node; what: how it was answered);
- the network, where it can see it: `closed` (a node closed its connection to a server), `unread` (a
  node closed a client's connection with bytes not yet read, or more bytes came after).
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16


class Event(NamedTuple):
    """One event; `at` in milliseconds since the start of the run."""

    at: float
    kind: str
    who: str  # the one that saw it
    rpc: str = ""
    what: str = ""
    value: float = 0.0
    port: int = 0  # of the connection, at the side that opened it


class History:
    """The events of a run in the order in which they were added."""

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
        """Append an event; the fields are those of `Event`."""
        self.events.append(Event(at, kind, who, rpc, what, value, port))

    def digest(self) -> str:
        """Return a hash that is equal for equal histories, with times to the microsecond."""
        digest = blake2b(digest_size=DIGEST_BYTES)
        for event in self.events:
            line = (
                f"{event.at:.3f} {event.kind} {event.who} {event.rpc} {event.what}"
                f" {event.value:.3f}\n"
            )
            digest.update(line.encode())
        return digest.hexdigest()
