"""One reply's place in the queue of a client's replies, which are sent in command order."""

from __future__ import annotations


class ReplySlot:
    """The encoded reply to one command in `answer`; None until it is known."""

    __slots__ = ("answer",)

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
