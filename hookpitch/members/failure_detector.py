"""Probes, after SWIM and Lifeguard: direct, then indirect through other members, in random rounds.

One probe a period, at most twice with indirect ones; every other member is probed once a round. A
member whose own probes fail or whose loop stalls trusts itself less (`LocalHealth`): all its
timeouts grow with the penalty.

Times are milliseconds given by the caller.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hookpitch.members.dissemination import Dissemination
from hookpitch.members.member import Member
from hookpitch.members.messages import Address, MemberState, Message, MessageKind, Record

# One probe in each period.
PROBE_PERIOD_MS = 500.0
# For an answer, before other members are asked to probe.
DIRECT_TIMEOUT_MS = 200.0
# Unanswered probes in a row, indirect ones included, before a member is suspected. With a fifth of
# the datagrams lost one probe in sixty is unanswered by chance, and each wrong suspicion and its
# refutation are sent round the fleet.
PROBE_ATTEMPTS = 2
# Members that are asked to probe.
INDIRECT_PROBES = 4
# The highest penalty: timeouts are up to 1 + this many times as long.
MAX_HEALTH_PENALTY = 4
MAX_FIRST_SEQUENCE = 1e6


class LocalHealth:
    """How little a member trusts its own findings: `penalty` is 0 for a healthy one."""

    __slots__ = ("penalty",)

    def __init__(self) -> None:
        self.penalty = 0

    @property
    def timeout_factor(self) -> int:
        """By which timeouts of probes are longer."""
        return 1 + self.penalty

    def worsen(self, amount: int = 1) -> None:
        """An own probe failed, the own loop stalled, or this member was suspected."""
        self.penalty = min(MAX_HEALTH_PENALTY, self.penalty + amount)

    def improve(self) -> None:
        """An own probe was answered."""
        self.penalty = max(0, self.penalty - 1)


@dataclass(slots=True)
class Probe:
    """The probe of the present period."""

    target: str
    sequence: int
    started_at: float
    attempt: int = 1
    helpers: tuple[str, ...] = ()  # members that were asked to probe
    is_indirect: bool = False  # the direct timeout is over
    is_answered: bool = False

    @property
    def awaits_direct_answer(self) -> bool:
        """Whether the direct timeout still matters."""
        return not (self.is_indirect or self.is_answered)


class RelayedProbe(NamedTuple):
    """A probe on behalf of another member."""

    expires_at: float
    requester: Address
    sequence: int


class FailureDetector:
    """One member's probes. `probe` is the present one, None where there is nobody to probe."""

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
        self._round: list[str] = []  # who is still to be probed in this round, the next one last
        self._relayed: dict[int, RelayedProbe] = {}
        self._sequence = int(random() * MAX_FIRST_SEQUENCE)

    # ---- own probes

    def probe_next(self, now: float, attempt: int = 1) -> None:
        """Probe the next member of the round; a new round is in random order."""
        self.probe = None
        target = self._next_target()
        if target is None:
            return
        name = target.record.name
        self._sequence += 1
        self.probe = Probe(name, self._sequence, now, attempt)
        self._send_probe(self.probe, target.record)

    def retry(self, now: float) -> None:
        """Probe the same member once more, if it may still be probed."""
        if self.probe is not None:
            self._round.append(self.probe.target)
            self.probe_next(now, self.probe.attempt + 1)

    def can_retry(self) -> bool:
        """Whether the unanswered probe is followed by another one before a suspicion."""
        if self.probe is None or self.probe.attempt >= PROBE_ATTEMPTS:
            return False
        target = self._members.get(self.probe.target)
        return target is not None and target.record.state == MemberState.ALIVE

    def probe_indirectly(self, now: float) -> None:
        """Once the direct timeout is over: probe again, and ask others to."""
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
        """Whether the present probe has had its period, or there is none."""
        if self.probe is None:
            return True
        return now >= self.probe.started_at + PROBE_PERIOD_MS * self.health.timeout_factor

    def next_due(self, latest: float) -> float:
        """When the present probe next needs attention, at `latest`."""
        if self.probe is None:
            return latest
        timeout_ms = DIRECT_TIMEOUT_MS if self.probe.awaits_direct_answer else PROBE_PERIOD_MS
        return min(self.probe.started_at + timeout_ms * self.health.timeout_factor, latest)

    def extend_timeouts(self, ms: float) -> None:
        """Give the present probe more time, as this member was suspended."""
        if self.probe is not None:
            self.probe.started_at += ms

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
        # A suspect learns first of all of the suspicion, so that it can refute it.
        records = (target,) if target.state == MemberState.SUSPECTED else ()
        message = Message(MessageKind.PROBE, self._own_name, probe.sequence, probe.target, records)
        self._dissemination.send(probe.target, message)

    # ---- answers, and probes on behalf of others

    def ack_received(self, message: Message) -> None:
        """An ACK of the present probe, or of one on behalf of another member."""
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
        """Forget probes on behalf of others that were not answered in time."""
        self._relayed = {
            sequence: relayed
            for sequence, relayed in self._relayed.items()
            if relayed.expires_at > now
        }
