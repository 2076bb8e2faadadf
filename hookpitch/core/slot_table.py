"""A table of numbered slots. A number that was freed names nothing, even once its place is used
again."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")
PLACE_BITS = 20  # a million at once; the bits above count how often a place was used


class SlotTable(Generic[T]):
    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._numbers: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def add(self, item: T) -> int:
        if self._free:
            place = self._free.pop()
            self._numbers[place] += 1 << PLACE_BITS
        else:
            place = len(self._items)
            self._items.append(None)
            self._numbers.append(place)
        self._items[place] = item
        return self._numbers[place]

    def get(self, number: int) -> T | None:
        place = number & ((1 << PLACE_BITS) - 1)
        if place >= len(self._numbers) or self._numbers[place] != number:
            return None
        return self._items[place]

    def free(self, number: int) -> None:
        if self.get(number) is not None:
            place = number & ((1 << PLACE_BITS) - 1)
            self._items[place] = None
            self._free.append(place)

    def values(self) -> list[T]:
        """In the order of their places."""
        return [item for item in self._items if item is not None]
