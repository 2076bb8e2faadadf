"""A table that reuses its slots, but gives no item the number of an earlier one.

A number holds the slot's index in its lower `INDEX_BITS` bits and, above them, how often the slot
has been reused. Invariant: a freed number refers to nothing, even once its slot is used again.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """Items by number; adding an item, looking it up and freeing it take constant time."""

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._numbers: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def add(self, item: T) -> int:
        """Put an item into a free slot and return its number."""
        if self._free:
            index = self._free.pop()
            self._numbers[index] += 1 << INDEX_BITS
        else:
            index = len(self._items)
            self._items.append(None)
            self._numbers.append(index)
        self._items[index] = item
        return self._numbers[index]

    def get(self, number: int) -> T | None:
        """Return the item with this number; None once the number was freed."""
        index = number & INDEX_MASK
        if index >= len(self._numbers) or self._numbers[index] != number:
            return None
        return self._items[index]

    def free(self, number: int) -> None:
        """Empty the slot with this number, if it is in use."""
        if self.get(number) is not None:
            index = number & INDEX_MASK
            self._items[index] = None
            self._free.append(index)

    def values(self) -> list[T]:
        """Return all items, in the order of their slots."""
        return [item for item in self._items if item is not None]
