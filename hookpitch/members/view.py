"""Published views of the members, in numbered versions, for the users of membership.

A new view is published when nothing has changed for `QUIET_MS`, or `MAX_UNSETTLED_MS` after the
first unpublished change. Members that fail together are therefore one change for a user.
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
    """One version of the view: the names of the members that are part of the fleet.

    `visible_fraction` is the number of these members divided by the number of these and all dead
    members.
    """

    version: int
    members: tuple[str, ...]
    visible_fraction: float


class ViewPublisher:
    """Publishes views; `view` is the last one."""

    __slots__ = ("view", "_changed_at", "_unsettled_since")

    def __init__(self, now: float, own_name: str) -> None:
        self.view = View(0, (own_name,), 1.0)
        self._changed_at = now
        # When the first unpublished change occurred, None if there is none.
        self._unsettled_since: float | None = None

    def note_change(self, now: float) -> None:
        """Record that a member has changed."""
        self._changed_at = now
        if self._unsettled_since is None or now < self._unsettled_since:
            self._unsettled_since = now

    def settle(self, now: float, members: Mapping[str, Member]) -> None:
        """Publish a view if the changes have settled."""
        if self._unsettled_since is None:
            return
        # A change at the same time as this publication, but after it, starts a new period.
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
