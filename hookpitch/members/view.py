"""The view that users of membership act on: whole versions, published once changes have settled.

A view is published when nothing has changed for `QUIET_MS`, or `MAX_UNSETTLED_MS` after the first
change that no view has, so that members which fail together are one change to a user.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hookpitch.members.member import Member
from hookpitch.members.messages import MemberState

QUIET_MS = 1000.0
MAX_UNSETTLED_MS = 5000.0


@dataclass(frozen=True, slots=True)
class View:
    """A version, the members of the fleet by name, and how much of the fleet these are.

    `visible_fraction`: the members over these and the dead ones.
    """

    version: int
    members: tuple[str, ...]
    visible_fraction: float


class ViewPublisher:
    """Holds the last published `view`."""

    __slots__ = ("view", "_changed_at", "_unsettled_since")

    def __init__(self, now: float, own_name: str) -> None:
        self.view = View(0, (own_name,), 1.0)
        self._changed_at = now
        # The first change that is in no view; None where the view has all.
        self._unsettled_since: float | None = None

    def note_change(self, now: float) -> None:
        """Something that a view shows has changed."""
        self._changed_at = now
        if self._unsettled_since is None or now < self._unsettled_since:
            self._unsettled_since = now

    def settle(self, now: float, members: Mapping[str, Member]) -> None:
        """Publish a view if changes have settled."""
        if self._unsettled_since is None:
            return
        # A change at the very moment of settling is in no view yet: it opens another period.
        if now < min(self._changed_at + QUIET_MS, self._unsettled_since + MAX_UNSETTLED_MS):
            return
        self._unsettled_since = None
        visible = tuple(
            sorted(
                name
                for name, member in members.items()
                if member.is_active and member.damped_since is None
            )
        )
        if visible == self.view.members:
            return
        dead = sum(member.record.state == MemberState.DEAD for member in members.values())
        fraction = len(visible) / max(1, len(visible) + dead)
        self.view = View(self.view.version + 1, visible, fraction)
