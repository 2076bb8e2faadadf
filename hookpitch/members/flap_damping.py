"""Flap damping: a member that was declared dead and recovered too often is omitted from views.

It returns to the views once it has been stable for `DAMPED_MS`. Only views are affected: the member
is probed, and its records are gossiped, like those of any other member.
"""

from __future__ import annotations

from hookpitch.members.member import FLAP_RECOVERIES, Member

# A member with `FLAP_RECOVERIES` recoveries within this time is damped.
FLAP_WINDOW_MS = 60000.0
# A damped member returns to the views once this time has passed since its last such recovery.
DAMPED_MS = 30000.0


def note_recovery(member: Member, now: float) -> bool:
    """Record that a dead member is alive again, and return whether it is flapping."""
    member.recovered_at.append(now)
    recoveries = member.recovered_at
    return len(recoveries) == FLAP_RECOVERIES and now - recoveries[0] < FLAP_WINDOW_MS


def has_stabilized(member: Member, now: float) -> bool:
    """Return whether the member is damped and may return to views."""
    return member.damped_since is not None and now - member.damped_since > DAMPED_MS


def end_damping(member: Member) -> None:
    """Let the member return to views, and forget its recoveries."""
    member.damped_since = None
    member.recovered_at.clear()
