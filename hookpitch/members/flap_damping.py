"""Flap damping: a member that died and recovered too often is left out of views until it is stable.

Only views are damped: probes, gossip and records go on as for any other member.
"""

from __future__ import annotations

from hookpitch.members.member import FLAP_RECOVERIES, Member

# So long for `FLAP_RECOVERIES` recoveries that damp a member,
FLAP_WINDOW_MS = 60000.0
# until it has been stable for so long.
DAMPED_MS = 30000.0


def note_recovery(member: Member, now: float) -> bool:
    """The member was dead and is alive again; whether it is flapping."""
    member.recovered_at.append(now)
    recoveries = member.recovered_at
    return len(recoveries) == FLAP_RECOVERIES and now - recoveries[0] < FLAP_WINDOW_MS


def has_stabilized(member: Member, now: float) -> bool:
    """Whether the member is damped and may return to views."""
    return member.damped_since is not None and now - member.damped_since > DAMPED_MS


def end_damping(member: Member) -> None:
    """Let the member return to views, with a clean record."""
    member.damped_since = None
    member.recovered_at.clear()
