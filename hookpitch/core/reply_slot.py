"""A place in the queue of a client's replies, which are sent in the order of its commands."""

from __future__ import annotations


class ReplySlot:
    """Holds the encoded reply to one command in `answer`: None until the reply is known."""

    __slots__ = ("answer", "held_bytes")

    def __init__(self) -> None:
        self.answer: bytes | None = None
        self.held_bytes = 0  # of the budget of unread replies, while the answer waits
