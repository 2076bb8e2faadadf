"""Properties of membership: the codec under damage anywhere, the state machine in any order."""

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
from test_members import World

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

# The same examples each time: a run that finds something finds it again.
SAME = settings(
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
MARKED = st.one_of(st.just(()), st.tuples(*[st.integers(0, 65535)] * PARTITIONS))
MESSAGES = st.builds(
    Message,
    st.sampled_from(KINDS),
    NAMES,
    COUNTS,
    st.text(max_size=MAX_NAME_CHARS),
    st.lists(RECORDS, max_size=MAX_RECORDS_PER_DATAGRAM).map(tuple),
    st.booleans(),
    MARKED,
    st.binary(max_size=300),
)


@settings(SAME, max_examples=150)
@given(MESSAGES)
def test_a_message_is_read_as_written_within_its_bounds(message: Message) -> None:
    data = Codec("f").write(message)
    back = Codec("f").read(data)
    assert len(data) <= MAX_BYTES
    assert back.records == message.records[: len(back.records)]
    assert replace(back, records=message.records) == message
    if len(back.records) < len(message.records):  # left out: the next would not have fitted
        one_more = replace(message, records=message.records[: len(back.records) + 1])
        assert len(Codec("f").write(one_more)) == len(data)


@settings(SAME, max_examples=150)
@given(MESSAGES, st.data())
def test_a_datagram_truncated_or_altered_at_any_byte_is_refused(
    message: Message, data: st.DataObject
) -> None:
    codec = Codec("f")
    whole = codec.write(message)
    at = data.draw(st.integers(0, len(whole) - 1))
    turned = bytearray(whole)
    turned[at] ^= data.draw(st.integers(1, 255))
    for bad in (whole[:at], bytes(turned), whole + b"x"):
        with pytest.raises(ValueError, match="torn|foreign|version|wrong"):
            codec.read(bad)


@settings(SAME, max_examples=200)
@given(st.binary(max_size=200), st.data())
def test_any_body_is_refused_in_one_word_or_within_bounds(body: bytes, data: st.DataObject) -> None:
    codec = Codec("f")
    if data.draw(st.booleans()):  # near to a true one
        true = bytearray(codec.write(data.draw(MESSAGES))[HEADER.size :])
        for _ in range(data.draw(st.integers(1, 3))):
            true[data.draw(st.integers(0, len(true) - 1))] = data.draw(st.integers(0, 255))
        body = bytes(true)
    try:
        m = codec.read(
            codec.write(Message(MessageKind.GOSSIP, "m"))[:12] + codec.checksum(body) + body
        )
    except ValueError as fault:
        assert str(fault) == "wrong"
        return
    assert m.kind in KINDS
    assert 0 < len(m.sender) <= MAX_NAME_CHARS
    assert len(m.partition_digests) in (0, PARTITIONS)
    assert all(
        0 < len(r.name) <= MAX_NAME_CHARS and len(r.metadata) <= MAX_METADATA_BYTES
        for r in m.records
    )


class Any(RuleBasedStateMachine):
    """Three members: time, loss, repetition, any order, restarts. `World` checks its invariants at
    every
    step: an incarnation never goes back, only its owner raises one, the dead do not return at
    theirs."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @rule(n=st.integers(0, 2), ms=st.sampled_from([1.0, 250.0, 500.0, 2000.0, 4000.0, 20000.0]))
    def time_passes(self, n: int, ms: float) -> None:
        self.world.step(("tick", f"m{n}", ms))

    @precondition(lambda self: self.world.flying)
    @rule(what=st.sampled_from(["come", "lose", "twice"]), i=st.integers(0, 7))
    def a_datagram(self, what: str, i: int) -> None:
        self.world.step((what, i % len(self.world.flying)))

    @rule()
    def one_restarts(self) -> None:
        self.world.step(("restart", "m1"))

    @invariant()
    def what_is_sent_is_bounded(self) -> None:
        for _, _, message in self.world.flying:
            assert len(Codec("f").write(message)) <= MAX_BYTES


class Settles(Any):
    """Whatever has come, once faults end nobody is held dead and views become one."""

    def teardown(self) -> None:
        self.world.settle()


def test_views_converge_after_any_order_of_events() -> None:
    run_state_machine_as_test(
        Settles, settings=settings(SAME, max_examples=20, stateful_step_count=40)
    )


def test_no_order_of_events_breaks_an_invariant() -> None:
    run_state_machine_as_test(
        Any, settings=settings(SAME, max_examples=150, stateful_step_count=50)
    )


def test_an_injected_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    right = Roster.apply

    def wrong(self: Roster, now: float, r: Record, evidence: str = "") -> None:
        if r.name in self.members:
            self.members[r.name].record = r  # old news, too
        right(self, now, r, evidence)

    monkeypatch.setattr(Roster, "apply", wrong)
    with pytest.raises(AssertionError, match="an incarnation went back|the dead returned"):
        # Found is enough: it need not be the shortest history, nor the only fault.
        found = settings(
            SAME,
            max_examples=100,
            stateful_step_count=40,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            print_blob=False,
        )
        run_state_machine_as_test(Any, settings=found)
