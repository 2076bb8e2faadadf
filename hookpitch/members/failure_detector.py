"""The failure detector of SWIM and Lifeguard: direct probes, then indirect ones through others.

In each period one member is probed: directly and, without an answer, also through other members.
Without any answer it is probed once more in the next period. Each round probes every other member
once, in random order. A member whose own probes fail or whose event loop stalls trusts its own
findings less (`LocalHealth`): its timeouts grow with the health penalty.

Times are milliseconds given by the caller.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hookpitch.members.dissemination import Dissemination
from hookpitch.members.member import Member
from hookpitch.members.messages import Address, MemberState, Message, MessageKind, Record

# One probe is started in each period.
PROBE_PERIOD_MS = 500.0
# The time for an answer to the direct probe, before other members are asked to probe.
DIRECT_TIMEOUT_MS = 200.0
# A member is suspected after this number of consecutive unanswered probes, each with its indirect
# probes. If a fifth of the datagrams is lost, one probe in sixty is unanswered by chance, and each
# wrong suspicion and its refutation are gossiped to the whole fleet.
PROBE_ATTEMPTS = 2
# The number of members that are asked to probe indirectly.
INDIRECT_PROBES = 4
# The highest health penalty, at which timeouts of probes are 1 + MAX_HEALTH_PENALTY times as long.
MAX_HEALTH_PENALTY = 4
MAX_FIRST_SEQUENCE = 1e6


class LocalHealth:
    """The local health of Lifeguard: `penalty` is 0 for a member that trusts its own findings."""

    __slots__ = ("penalty",)

    def __init__(self) -> None:
        self.penalty = 0

    @property
    def timeout_factor(self) -> int:
        """The factor by which the timeouts of probes are longer."""
        return 1 + self.penalty

    def worsen(self, amount: int = 1) -> None:
        """Raise the penalty after a failed probe, a stalled event loop or a suspicion."""
        self.penalty = min(MAX_HEALTH_PENALTY, self.penalty + amount)

    def improve(self) -> None:
        """Lower the penalty after an answered probe."""
        self.penalty = max(0, self.penalty - 1)


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    target: str
    sequence: int
    started_at: float
    attempt: int = 1
    helpers: tuple[str, ...] = ()  # members that were asked to probe indirectly
    is_indirect: bool = False  # the direct timeout has passed
    is_answered: bool = False

    @property
    def awaits_direct_answer(self) -> bool:
        """Whether the direct timeout still applies."""
        return not (self.is_indirect or self.is_answered)


class RelayedProbe(NamedTuple):
    """A probe on behalf of another member; `sequence` is that of the requester's own probe."""

    expires_at: float
    requester: Address
    sequence: int


class FailureDetector:
    """The probes of one member; `probe` is the current one, None if there is no member to probe."""

    __slots__ = (
        "health",
        "probe",
        "_dissemination",
        "_members",
        "_own_name",
        "_random",
        "_relayed",
        "_round",
        "_sequence",
    )

    def __init__(
        self,
        own_name: str,
        members: Mapping[str, Member],
        dissemination: Dissemination,
        random: Callable[[], float],
    ) -> None:
        self.health = LocalHealth()
        self.probe: Probe | None = None
        self._own_name = own_name
        self._members = members
        self._dissemination = dissemination
        self._random = random
        self._round: list[str] = []  # members left to probe, the next one last
        self._relayed: dict[int, RelayedProbe] = {}
        self._sequence = int(random() * MAX_FIRST_SEQUENCE)

    # ---- own probes

    def probe_next(self, now: float, attempt: int = 1) -> None:
        """Probe the next member of the round, or the first one of a new round in random order."""
        self.probe = None
        target = self._next_target()
        if target is None:
            return
        name = target.record.name
        self._sequence += 1
        self.probe = Probe(name, self._sequence, now, attempt)
        self._send_probe(self.probe, target.record)

    def retry(self, now: float) -> None:
        """Probe the same member once more, or the next one if it is no longer active."""
        if self.probe is not None:
            self._round.append(self.probe.target)
            self.probe_next(now, self.probe.attempt + 1)

    def can_retry(self) -> bool:
        """Return whether the unanswered probe is to be repeated before the member is suspected."""
        if self.probe is None or self.probe.attempt >= PROBE_ATTEMPTS:
            return False
        target = self._members.get(self.probe.target)
        return target is not None and target.record.state == MemberState.ALIVE

    def probe_indirectly(self, now: float) -> None:
        """Probe again and ask other members to probe, once the direct timeout has passed."""
        probe = self.probe
        if probe is None or not probe.awaits_direct_answer:
            return
        if now < probe.started_at + DIRECT_TIMEOUT_MS * self.health.timeout_factor:
            return
        probe.is_indirect = True
        probe.helpers = tuple(self._dissemination.sample(INDIRECT_PROBES, (probe.target,)))
        target = self._members[probe.target].record
        self._send_probe(probe, target)
        request = Message(
            MessageKind.PROBE_REQUEST, self._own_name, probe.sequence, probe.target, (target,)
        )
        for helper in probe.helpers:
            self._dissemination.send(helper, request)

    def is_period_over(self, now: float) -> bool:
        """Return whether the period of the current probe is over, or there is no probe."""
        if self.probe is None:
            return True
        return now >= self.probe.started_at + PROBE_PERIOD_MS * self.health.timeout_factor

    def next_due(self, latest: float) -> float:
        """Return when the next timeout of the current probe ends, or `latest` if that is sooner."""
        if self.probe is None:
            return latest
        timeout_ms = DIRECT_TIMEOUT_MS if self.probe.awaits_direct_answer else PROBE_PERIOD_MS
        return min(self.probe.started_at + timeout_ms * self.health.timeout_factor, latest)

    def extend_timeouts(self, suspended_ms: float) -> None:
        """Give the current probe more time, because this member was suspended."""
        if self.probe is not None:
            self.probe.started_at += suspended_ms

    def _next_target(self) -> Member | None:
        while True:
            if not self._round:
                candidates = [
                    name
                    for name, member in self._members.items()
                    if name != self._own_name and member.is_active
                ]
                if not candidates:
                    return None
                self._round = sorted(candidates, key=lambda _: self._random())
            member = self._members.get(self._round.pop())
            if member is not None and member.is_active:
                return member

    def _send_probe(self, probe: Probe, target: Record) -> None:
        # The probe tells a suspected member about the suspicion, so that it can refute it.
        records = (target,) if target.state == MemberState.SUSPECTED else ()
        message = Message(MessageKind.PROBE, self._own_name, probe.sequence, probe.target, records)
        self._dissemination.send(probe.target, message)

    # ---- answers, and probes on behalf of others

    def ack_received(self, message: Message) -> None:
        """Process an ACK of the current probe, or of a probe on behalf of another member."""
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            answer = Message(MessageKind.ACK, self._own_name, relayed.sequence, message.target)
            self._dissemination.send_to(relayed.requester, answer)
        probe = self.probe
        if probe is None:
            return
        if (probe.sequence, probe.target) == (message.sequence, message.target):
            probe.is_answered = True
            self.health.improve()

    def probe_requested(self, now: float, requester: Address, message: Message) -> None:
        """Probe a member on behalf of another one."""
        target = self._members.get(message.target)
        if target is None or not target.is_active:
            return
        self._sequence += 1
        self._relayed[self._sequence] = RelayedProbe(
            now + PROBE_PERIOD_MS * 2, requester, message.sequence
        )
        probe = Message(MessageKind.PROBE, self._own_name, self._sequence, message.target)
        self._dissemination.send(message.target, probe)

    def expire_relayed(self, now: float) -> None:
        """Remove the probes on behalf of other members that were not answered in time."""
        self._relayed = {
            sequence: relayed
            for sequence, relayed in self._relayed.items()
            if relayed.expires_at > now
        }
