"""The history of a run: the events at clients, servers, the origin and discovery, in order.

The checks of a run read nothing but the history. The kinds of events, by the part that records
them:

- a client: `asked` (an RPC was sent; what: the method, value: how long the client waits, in ms),
  `answered` (what: completed, exhausted, errored or wrong), `lost` (the connection ended while the
  RPC was in flight), `left` (the client closed its connection before the answer);
- a client that writes a request slowly: `cut` (the node closed the connection before the end of
  the request);
- a cache server or the origin: `came` (an attempt was received; what: the node), `effect` (a write
  was executed), `sent` (what: the kind of answer), `dropped` (the connection ended before the
  answer), `dialled` (a node connected; what: the node), `up` (a process started; value: the
  fraction of full speed), `down` (a process ended), `fell` (a cold server was overloaded and would
  have crashed; value: its load as a multiple of its capacity);
- discovery: `called` (a request; who: the node, what: served or refused), `told` (a watch was
  notified; who: the node, what: the server and its health, or whole or nothing), `listed` (the list
  changed; who: the server, what: its health);
- the test environment: `place` (a server was placed in the fleet; what: its type and zone),
  `start` and `stop` (of a node's process), `away` (a process is paused for `value` ms), `apart`
  (the node's link to clients or discovery is broken for `value` ms), `leaving` (the node begins its
  graceful shutdown), `banned` and `back` (an operator's command was accepted; who: the node, what:
  the server), `restoring` (the operator has sent the command that `back` accepts), `held` (a
  drained node still has `value` client connections);
- an operator: `call` (who: the node, what: the result of checking its answer);
- the network, where the environment can observe it: `closed` (a node closed its connection to a
  server), `unread` (a node closed a client's connection although it had not read all bytes, or
  more bytes arrived afterwards).
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16
# Kinds of events.
RESTORING = "restoring"
RESTORED = "back"


class Event(NamedTuple):
    """One event; `at` is in milliseconds since the start of the run."""

    at: float
    kind: str
    who: str  # the node, server or other part that the event belongs to
    rpc: str = ""
    what: str = ""
    value: float = 0.0
    port: int = 0  # the connection's port at the side that opened it


class History:
    """Holds the events of a run in the order in which they were added."""

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
        """Append an event; the arguments are the fields of `Event`."""
        self.events.append(Event(at, kind, who, rpc, what, value, port))

    def digest(self) -> str:
        """Return a hash that is equal for equal histories; times count to the microsecond."""
        digest = blake2b(digest_size=DIGEST_BYTES)
        for event in self.events:
            line = (
                f"{event.at:.3f} {event.kind} {event.who} {event.rpc} {event.what}"
                f" {event.value:.3f}\n"
            )
            digest.update(line.encode())
        return digest.hexdigest()
