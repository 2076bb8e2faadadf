"""How long a suspicion lasts, and when another one of the same member is held back.

A suspicion ends sooner when other members confirm it, and later at a member that trusts itself
less. A member whose suspicions of another are refuted again and again (its own path there is cut)
leaves that one to others for a while.
"""

from __future__ import annotations

from math import log, log2

from hookpitch.members.member import MAX_REFUTED_SUSPICIONS, Member

# The shortest suspicion: longer than a pause of 2 s and the refutation's way through the fleet.
MIN_SUSPICION_MS = 3300.0
# For a fleet of up to 2 ** this; longer in a larger one.
BASE_FLEET_LOG2 = 9
# Times as long, where nobody else confirms it.
MAX_SUSPICION_FACTOR = 2.0
# Others that suspect the same; from here on the shortest.
CONFIRMATIONS_FOR_MIN_SUSPICION = 2
MAX_ACCUSERS = 8
# So many refuted suspicions of one member by this one in so long,
REFUTED_SUSPICIONS_WINDOW_MS = 180000.0
# and the next is held back for so long.
SUPPRESSION_MS = 120000.0


def timeout_ms(member: Member, fleet_size: int, health_penalty: int) -> float:
    """How long the suspicion of `member` lasts before it is called dead."""
    confirmations = min(CONFIRMATIONS_FOR_MIN_SUSPICION, max(0, len(member.accusers) - 1))
    unconfirmed_fraction = 1 - log(confirmations + 1) / log(CONFIRMATIONS_FOR_MIN_SUSPICION + 1)
    fleet_factor = max(1.0, log2(max(2, fleet_size)) / BASE_FLEET_LOG2)
    confirmation_factor = 1 + (MAX_SUSPICION_FACTOR - 1) * unconfirmed_fraction
    return MIN_SUSPICION_MS * fleet_factor * confirmation_factor * (1 + health_penalty / 2)


def confirm(member: Member, accuser: str) -> bool:
    """Note another accuser of a suspected member; whether it is new."""
    if accuser in member.accusers or len(member.accusers) >= MAX_ACCUSERS:
        return False
    member.accusers[accuser] = None
    return True


def is_suppressed(member: Member, now: float) -> bool:
    """Whether this member has lately suspected `member` too often without confirmation.

    With a path cut one way between the two, a member that all others hear would be suspected for
    ever.
    """
    refuted_at = member.refuted_suspicions_at
    if len(refuted_at) < MAX_REFUTED_SUSPICIONS:
        return False
    if refuted_at[-1] - refuted_at[0] >= REFUTED_SUSPICIONS_WINDOW_MS + SUPPRESSION_MS:
        return False
    return now - refuted_at[-1] < SUPPRESSION_MS


def note_refutation(member: Member, now: float) -> bool:
    """A suspicion raised here was refuted; whether further ones are held back from now on."""
    refuted_at = member.refuted_suspicions_at
    refuted_at.append(now)
    return (
        len(refuted_at) == MAX_REFUTED_SUSPICIONS
        and now - refuted_at[0] < REFUTED_SUSPICIONS_WINDOW_MS
    )
