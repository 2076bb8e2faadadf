"""The replies that one client is owed, in the order of its commands.

An answer that waits behind an earlier command takes memory until its turn. Invariants: replies are
taken in the order in which their slots were added; the memory of every answer that waits is held in
the budget of unread replies. An answer that the budget has no room for is replaced by an error, so
that clients that leave answers unread cannot take the node over its memory limit.
"""

from __future__ import annotations

from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.reply_slot import ReplySlot

SLOT_BYTES = 128  # a slot, its place in the queue and the overhead of a short answer
MAX_SHORT_ANSWER_BYTES = 256  # an answer up to this size is never replaced
MAX_TAKEN_BYTES = 1 << 16  # joined into one write at the most


class ReplyQueue:
    """The slots of the commands of one client that are not answered or not sent yet."""

    __slots__ = ("_budget", "_slots")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._slots: list[ReplySlot] = []

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def first(self) -> ReplySlot | None:
        """The slot whose reply is sent next."""
        return self._slots[0] if self._slots else None

    @property
    def last(self) -> ReplySlot | None:
        """The slot of the newest command."""
        return self._slots[-1] if self._slots else None

    def add(self) -> ReplySlot:
        """Add the slot of a command."""
        slot = ReplySlot()
        self._slots.append(slot)
        return slot

    def answer(self, slot: ReplySlot, answer: bytes, error: bytes, is_blocked: bool) -> bool:
        """Set the answer of a slot; return False if there was memory for `error` only.

        `is_blocked`: the client has left earlier replies unread, so that this one has to wait too.
        """
        slot.answer = answer
        if not self._slots:
            return True  # the queue was cleared, and the answer is not sent
        is_first = slot is self._slots[0]
        if is_first and not is_blocked:
            return True
        if len(answer) > MAX_SHORT_ANSWER_BYTES and not self._budget.has(len(answer)):
            slot.answer = error
        if not is_first:
            slot.held_bytes = SLOT_BYTES + len(slot.answer)
            self._budget.hold(slot.held_bytes)
        return slot.answer is answer

    def take_ready(self) -> bytes:
        """Remove the answers that are ready to be sent, and return them as one string of bytes."""
        slots = self._slots
        if not slots or slots[0].answer is None:
            return b""
        first = self._remove_first()
        if not slots or slots[0].answer is None:
            return first
        answers = [first]
        size = len(first)
        while slots and slots[0].answer is not None and size < MAX_TAKEN_BYTES:
            answers.append(self._remove_first())
            size += len(answers[-1])
        return b"".join(answers)

    def _remove_first(self) -> bytes:
        slot = self._slots.pop(0)
        if slot.held_bytes:
            self._budget.release(slot.held_bytes)
            slot.held_bytes = 0
        return slot.answer

    def clear(self) -> None:
        """Remove all slots, and release what their answers hold."""
        for slot in self._slots:
            self._budget.release(slot.held_bytes)
            slot.held_bytes = 0
        self._slots = []
