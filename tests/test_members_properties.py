"""Property tests of membership: damaged datagrams, and the state machine in any order of events."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from test_members import SteppedFleet

from hookpitch.members.codec import HEADER, KINDS, MAX_BYTES, MAX_NAME_CHARS, Codec
from hookpitch.members.messages import (
    MAX_METADATA_BYTES,
    MAX_RECORDS_PER_DATAGRAM,
    PARTITIONS,
    MemberState,
    Message,
    MessageKind,
    Record,
)
from hookpitch.members.roster import Roster

# Each run tests the same examples, so that a failure is reproducible.
REPRODUCIBLE = settings(
    derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
NAMES = st.text(min_size=1, max_size=MAX_NAME_CHARS)
COUNTS = st.integers(0, (1 << 62) - 1)
RECORDS = st.builds(
    Record,
    NAMES,
    st.tuples(NAMES, st.integers(0, 65535)),
    COUNTS,
    st.sampled_from(MemberState),
    st.text(max_size=MAX_NAME_CHARS),
    COUNTS,
    st.binary(max_size=MAX_METADATA_BYTES),
)
PARTITION_DIGESTS = st.one_of(st.just(()), st.tuples(*[st.integers(0, 65535)] * PARTITIONS))
MESSAGES = st.builds(
    Message,
    st.sampled_from(KINDS),
    NAMES,
    COUNTS,
    st.text(max_size=MAX_NAME_CHARS),
    st.lists(RECORDS, max_size=MAX_RECORDS_PER_DATAGRAM).map(tuple),
    st.booleans(),
    PARTITION_DIGESTS,
    st.binary(max_size=300),
)


@settings(REPRODUCIBLE, max_examples=150)
@given(MESSAGES)
def test_a_message_is_read_as_written_within_its_bounds(message: Message) -> None:
    data = Codec("f").write(message)
    decoded = Codec("f").read(data)
    assert len(data) <= MAX_BYTES
    assert decoded.records == message.records[: len(decoded.records)]
    assert replace(decoded, records=message.records) == message
    if len(decoded.records) < len(message.records):  # the next record would not have fitted
        one_more = replace(message, records=message.records[: len(decoded.records) + 1])
        assert len(Codec("f").write(one_more)) == len(data)


@settings(REPRODUCIBLE, max_examples=150)
@given(MESSAGES, st.data())
def test_a_datagram_truncated_or_altered_at_any_byte_is_refused(
    message: Message, data: st.DataObject
) -> None:
    codec = Codec("f")
    whole = codec.write(message)
    offset = data.draw(st.integers(0, len(whole) - 1))
    altered = bytearray(whole)
    altered[offset] ^= data.draw(st.integers(1, 255))
    for damaged in (whole[:offset], bytes(altered), whole + b"x"):
        with pytest.raises(ValueError, match="torn|foreign|version|wrong"):
            codec.read(damaged)


@settings(REPRODUCIBLE, max_examples=200)
@given(st.binary(max_size=200), st.data())
def test_any_body_is_refused_in_one_word_or_within_bounds(body: bytes, data: st.DataObject) -> None:
    codec = Codec("f")
    if data.draw(st.booleans()):  # a valid body with up to three bytes altered
        altered = bytearray(codec.write(data.draw(MESSAGES))[HEADER.size :])
        for _ in range(data.draw(st.integers(1, 3))):
            altered[data.draw(st.integers(0, len(altered) - 1))] = data.draw(st.integers(0, 255))
        body = bytes(altered)
    rejection: str | None = None
    try:
        message = codec.read(
            codec.write(Message(MessageKind.GOSSIP, "m"))[:12] + codec.checksum(body) + body
        )
    except ValueError as error:
        rejection = str(error)
    if rejection is not None:
        assert rejection == "wrong"
        return
    assert message.kind in KINDS
    assert 0 < len(message.sender) <= MAX_NAME_CHARS
    assert len(message.partition_digests) in (0, PARTITIONS)
    assert all(
        0 < len(record.name) <= MAX_NAME_CHARS and len(record.metadata) <= MAX_METADATA_BYTES
        for record in message.records
    )


class EventMachine(RuleBasedStateMachine):
    """Three members under loss, duplication, reordering and restarts, while time passes.

    `SteppedFleet` checks its invariants after each event: a recorded incarnation never decreases,
    only its owner raises it, and a dead member does not return with the incarnation of its death.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SteppedFleet()

    @rule(index=st.integers(0, 2), ms=st.sampled_from([1.0, 250.0, 500.0, 2000.0, 4000.0, 20000.0]))
    def time_passes(self, index: int, ms: float) -> None:
        """Let time pass, then tick one member."""
        self.fleet.apply_event(("tick", f"m{index}", ms))

    @precondition(lambda self: self.fleet.in_flight)
    @rule(event=st.sampled_from(["deliver", "lose", "duplicate"]), position=st.integers(0, 7))
    def datagram_event(self, event: str, position: int) -> None:
        """Deliver, lose or duplicate one of the datagrams in flight."""
        self.fleet.apply_event((event, position % len(self.fleet.in_flight)))

    @rule()
    def member_restarts(self) -> None:
        """Restart m1."""
        self.fleet.apply_event(("restart", "m1"))

    @invariant()
    def datagrams_are_bounded(self) -> None:
        """Check that each message in flight fits into a datagram."""
        for _, _, message in self.fleet.in_flight:
            assert len(Codec("f").write(message)) <= MAX_BYTES


class SettlingMachine(EventMachine):
    """The same events, after which all members have to be alive in views that are equal."""

    def teardown(self) -> None:
        """End the faults and check that the members recover."""
        self.fleet.settle()


def test_views_converge_after_any_order_of_events() -> None:
    run_state_machine_as_test(
        SettlingMachine, settings=settings(REPRODUCIBLE, max_examples=20, stateful_step_count=40)
    )


def test_no_order_of_events_breaks_an_invariant() -> None:
    run_state_machine_as_test(
        EventMachine, settings=settings(REPRODUCIBLE, max_examples=150, stateful_step_count=50)
    )


def test_an_injected_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Roster.apply

    def apply_any(self: Roster, now: float, record: Record, evidence: str = "") -> None:
        """Apply a record even if it is out of date."""
        if record.name in self.members:
            self.members[record.name].record = record
        original(self, now, record, evidence)

    monkeypatch.setattr(Roster, "apply", apply_any)
    # The shortest history and further faults are not searched for.
    search_settings = settings(
        REPRODUCIBLE,
        max_examples=100,
        stateful_step_count=40,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        print_blob=False,
    )
    with pytest.raises(AssertionError, match="an incarnation went back|the dead returned"):
        run_state_machine_as_test(EventMachine, settings=search_settings)
