"""The place of one reply among a client's replies, which go out in the order of their commands."""

from __future__ import annotations


class ReplySlot:
    """Holds the encoded reply to one command; None until it is known."""

    __slots__ = ("answer",)

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
