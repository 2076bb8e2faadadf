"""The timeout of a suspicion, and the suppression of suspicions that are refuted repeatedly.

A suspicion times out sooner if other members confirm it, and later at a member with a health
penalty (`LocalHealth` in `failure_detector.py`). A member whose suspicions of another one are
repeatedly refuted, because only its own path to that member is cut, does not suspect it for a while
and leaves its detection to the others.
"""

from __future__ import annotations

from math import log, log2

from hookpitch.members.member import MAX_REFUTED_SUSPICIONS, Member

# The shortest suspicion, longer than a pause of 2 s and the time for the refutation to reach all.
MIN_SUSPICION_MS = 3300.0
# Suspicions last longer in a fleet of more than 2 ** BASE_FLEET_LOG2 = 512 members.
BASE_FLEET_LOG2 = 9
# A suspicion that no other member confirms lasts this many times the shortest time.
MAX_SUSPICION_FACTOR = 2.0
# A suspicion that is confirmed by this number of other members lasts the shortest time.
CONFIRMATIONS_FOR_MIN_SUSPICION = 2
MAX_ACCUSERS = 8
# Suspicions of one member are suppressed once `MAX_REFUTED_SUSPICIONS` were refuted in this window.
REFUTED_SUSPICIONS_WINDOW_MS = 180000.0
# Suspicions are suppressed for this time after the last refutation.
SUPPRESSION_MS = 120000.0


def timeout_ms(member: Member, fleet_size: int, health_penalty: int) -> float:
    """Return how long `member` is suspected before it is declared dead."""
    confirmations = min(CONFIRMATIONS_FOR_MIN_SUSPICION, max(0, len(member.accusers) - 1))
    unconfirmed_fraction = 1 - log(confirmations + 1) / log(CONFIRMATIONS_FOR_MIN_SUSPICION + 1)
    fleet_factor = max(1.0, log2(max(2, fleet_size)) / BASE_FLEET_LOG2)
    confirmation_factor = 1 + (MAX_SUSPICION_FACTOR - 1) * unconfirmed_fraction
    return MIN_SUSPICION_MS * fleet_factor * confirmation_factor * (1 + health_penalty / 2)


def confirm(member: Member, accuser: str) -> bool:
    """Record an accuser of a suspected member, and return whether it is new."""
    if accuser in member.accusers or len(member.accusers) >= MAX_ACCUSERS:
        return False
    member.accusers[accuser] = None
    return True


def is_suppressed(member: Member, now: float) -> bool:
    """Return whether this member's suspicions of `member` were recently refuted too often.

    If the path between the two is cut in one direction, this member would otherwise suspect
    forever a member that all others can reach. Because the window is extended by `SUPPRESSION_MS`
    here, a single refutation after a suppression can begin the next one.
    """
    refuted_at = member.refuted_suspicions_at
    if len(refuted_at) < MAX_REFUTED_SUSPICIONS:
        return False
    if refuted_at[-1] - refuted_at[0] >= REFUTED_SUSPICIONS_WINDOW_MS + SUPPRESSION_MS:
        return False
    return now - refuted_at[-1] < SUPPRESSION_MS


def note_refutation(member: Member, now: float) -> bool:
    """Record a refuted suspicion, and return whether further ones are now suppressed."""
    refuted_at = member.refuted_suspicions_at
    refuted_at.append(now)
    return (
        len(refuted_at) == MAX_REFUTED_SUSPICIONS
        and now - refuted_at[0] < REFUTED_SUSPICIONS_WINDOW_MS
    )
