"""Keeps an RPC that may run only once from running again when a client sends its id again.

A client sends an id again where its connection ended before it had the answer, here or at the
other process of an upgrade. Invariant: from when an RPC that is not idempotent is accepted until no
client waits for it any more, its id is accepted nowhere else on this node, unless the RPC has ended
and no attempt can have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from hookpitch.balancer.interface import Method
from hookpitch.core.id_table import IdTable

if TYPE_CHECKING:
    from hookpitch.core.rpc import Rpc

REPEAT_MARGIN_MS = 1000.0  # after the deadline, for a client's last try to arrive


class DeadlineHost(Protocol):
    """The part of the host that tells how long clients wait."""

    longest_deadline_ms: float


class RepeatedIds:
    """The ids of the RPCs of one node that are not idempotent."""

    def __init__(self, host: DeadlineHost, table: IdTable) -> None:
        self._host = host
        self.table = table

    def is_repeated(self, rpc_id: bytes) -> bool:
        """Return whether an RPC with this id may have run, or may run yet."""
        return rpc_id in self.table

    def accept(self, rpc: Rpc, method: Method) -> bool:
        """Keep the id of an accepted RPC; return False if there is no room for it."""
        keep_ms = max(self._host.longest_deadline_ms, method.dedup_window_ms) + REPEAT_MARGIN_MS
        rpc.has_kept_id = self.table.add(rpc.id, keep_ms / 1000)
        return rpc.has_kept_id

    def ended(self, rpc: Rpc) -> None:
        """Forget the id of an RPC that has ended, if the RPC cannot have run."""
        if not rpc.may_have_run:
            self.table.remove(rpc.id)
