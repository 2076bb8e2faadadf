"""The RPCs in progress, and the single final answer to each.

Invariants: an id is in the table once; `pending` counts the RPCs without an answer; an RPC is
removed from the table once it is answered and none of its attempts is in flight, and its memory is
freed at once.
"""

from __future__ import annotations

from collections.abc import Callable

from hookpitch.core.counter_names import FinalResult
from hookpitch.core.counters import Counters
from hookpitch.core.deadlines import Deadlines
from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.rpc import Rpc
from hookpitch.core.slot_table import SlotTable
from hookpitch.core.stream import ChunkedValue

RPC_BYTES = 4096  # of the records of an RPC and its attempts here and in the router
FAILED_REPLY = b"-ERR failed\r\n"


class RpcTable:
    """RPCs by number; the router identifies an RPC by the decimal text of its number."""

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        rpc_budget: MemoryBudget,
        value_budget: MemoryBudget,
    ) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._rpc_budget = rpc_budget
        self._value_budget = value_budget
        self._slots: SlotTable[Rpc] = SlotTable()
        self.on_removed: Callable[[Rpc], None] | None = None  # called for RPCs with a kept id
        self.ids: set[bytes] = set()
        self.pending = 0

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def has_room(self) -> bool:
        """Whether there is memory for one more RPC."""
        return self._rpc_budget.has(RPC_BYTES)

    def add(self, rpc: Rpc) -> None:
        """Add an RPC and set its number."""
        self._rpc_budget.hold(RPC_BYTES)
        self.ids.add(rpc.id)
        rpc.number = self._slots.add(rpc)
        self._counters.add("rpcs.taken")
        self.pending += 1

    def get(self, rpc_id: str) -> Rpc | None:
        """Return the RPC that the router identifies by `rpc_id`; None once it has been removed."""
        return self._slots.get(int(rpc_id))

    def values(self) -> list[Rpc]:
        """Return all RPCs, in the order of their slots."""
        return self._slots.values()

    def answer(self, rpc: Rpc, answer: bytes, result: FinalResult) -> None:
        """Send an RPC's final answer."""
        self.finish(rpc, result)
        rpc.client.reply(rpc.slot, answer)

    def fail(self, rpc: Rpc) -> None:
        """Answer that an RPC failed."""
        self.answer(rpc, FAILED_REPLY, FinalResult.FAILED)

    def finish(self, rpc: Rpc, result: FinalResult) -> None:
        """Count an RPC's result and mark it as not pending; the caller sends the answer."""
        self._counters.add(result.counter)
        self._counters.add(f"{result.method_prefix}.{rpc.method}")
        self.abandon(rpc)

    def abandon(self, rpc: Rpc) -> None:
        """Mark an RPC as not pending, without an answer."""
        rpc.pending = False
        self.pending -= 1
        if not rpc.in_flight:
            self._deadlines.cancel(rpc.timer)

    def release(self, rpc: Rpc) -> None:
        """Remove an RPC if it is not pending and none of its attempts is in flight."""
        if rpc.pending or rpc.in_flight:
            return
        self._deadlines.cancel(rpc.timer)
        if self._slots.get(rpc.number) is None:
            return
        self._slots.free(rpc.number)
        if rpc.has_kept_id and self.on_removed is not None:
            self.on_removed(rpc)
        self._rpc_budget.release(RPC_BYTES)
        if isinstance(rpc.value, ChunkedValue):
            self._value_budget.release(len(rpc.value))
            rpc.value = b""
        self.ids.discard(rpc.id)
        # An RPC and its attempts refer to each other. Unless that ends here, the garbage collector
        # frees them, which runs seldom, and with them answers of some megabytes.
        rpc.attempts = []
