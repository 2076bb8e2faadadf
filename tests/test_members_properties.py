"""Properties of membership: the codec with corrupted input, the state machine in any order."""

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
from test_members import MembershipModel

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

# The examples are the same in each run, so that a failure is reproducible.
DETERMINISTIC = settings(
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


@settings(DETERMINISTIC, max_examples=150)
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


@settings(DETERMINISTIC, max_examples=150)
@given(MESSAGES, st.data())
def test_a_datagram_truncated_or_altered_at_any_byte_is_refused(
    message: Message, data: st.DataObject
) -> None:
    codec = Codec("f")
    datagram = codec.write(message)
    at = data.draw(st.integers(0, len(datagram) - 1))
    altered = bytearray(datagram)
    altered[at] ^= data.draw(st.integers(1, 255))
    for damaged in (datagram[:at], bytes(altered), datagram + b"x"):
        with pytest.raises(ValueError, match="torn|foreign|version|wrong"):
            codec.read(damaged)


@settings(DETERMINISTIC, max_examples=200)
@given(st.binary(max_size=200), st.data())
def test_any_body_is_refused_in_one_word_or_within_bounds(body: bytes, data: st.DataObject) -> None:
    codec = Codec("f")
    if data.draw(st.booleans()):  # a valid body with up to three changed bytes
        encoded = bytearray(codec.write(data.draw(MESSAGES))[HEADER.size :])
        for _ in range(data.draw(st.integers(1, 3))):
            encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
        body = bytes(encoded)
    try:
        decoded = codec.read(
            codec.write(Message(MessageKind.GOSSIP, "m"))[:12] + codec.checksum(body) + body
        )
    except ValueError as error:
        assert str(error) == "wrong"
        return
    assert decoded.kind in KINDS
    assert 0 < len(decoded.sender) <= MAX_NAME_CHARS
    assert len(decoded.partition_digests) in (0, PARTITIONS)
    assert all(
        0 < len(record.name) <= MAX_NAME_CHARS and len(record.metadata) <= MAX_METADATA_BYTES
        for record in decoded.records
    )


class AnyOrderOfEvents(RuleBasedStateMachine):
    """Three members with any order of timers, losses, duplicates, delays and restarts.

    `MembershipModel` checks its invariants at every step.
    """

    def __init__(self) -> None:
        super().__init__()
        self.model = MembershipModel()

    @rule(n=st.integers(0, 2), ms=st.sampled_from([1.0, 250.0, 500.0, 2000.0, 4000.0, 20000.0]))
    def time_passes(self, n: int, ms: float) -> None:
        self.model.step(("tick", f"m{n}", ms))

    @precondition(lambda self: self.model.in_flight)
    @rule(event=st.sampled_from(["deliver", "drop", "duplicate"]), index=st.integers(0, 7))
    def datagram_event(self, event: str, index: int) -> None:
        self.model.step((event, index % len(self.model.in_flight)))

    @rule()
    def member_restarts(self) -> None:
        self.model.step(("restart", "m1"))

    @invariant()
    def sent_datagrams_are_bounded(self) -> None:
        for _, _, message in self.model.in_flight:
            assert len(Codec("f").write(message)) <= MAX_BYTES


class ConvergesAfterFaults(AnyOrderOfEvents):
    """After faults end, no running member is held dead and all views become equal."""

    def teardown(self) -> None:
        self.model.settle()


def test_views_converge_after_any_order_of_events() -> None:
    run_state_machine_as_test(
        ConvergesAfterFaults,
        settings=settings(DETERMINISTIC, max_examples=20, stateful_step_count=40),
    )


def test_no_order_of_events_breaks_an_invariant() -> None:
    run_state_machine_as_test(
        AnyOrderOfEvents, settings=settings(DETERMINISTIC, max_examples=150, stateful_step_count=50)
    )


def test_an_injected_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Roster.apply

    def accept_every_record(self: Roster, now: float, record: Record, evidence: str = "") -> None:
        if record.name in self.members:
            self.members[record.name].record = record  # even an older record
        original(self, now, record, evidence)

    monkeypatch.setattr(Roster, "apply", accept_every_record)
    with pytest.raises(AssertionError, match="an incarnation went back|the dead returned"):
        # The fault only has to be found: the history is not shrunk, nor are other faults searched.
        search_settings = settings(
            DETERMINISTIC,
            max_examples=100,
            stateful_step_count=40,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            print_blob=False,
        )
        run_state_machine_as_test(AnyOrderOfEvents, settings=search_settings)
