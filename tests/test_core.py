"""Tests of the parts of the core, some of them in seeded random runs."""

import random

import pytest

from hookpitch.core.deadlines import Deadlines
from hookpitch.core.memory_budget import MemoryBudget
from hookpitch.core.reply_queue import ReplyQueue
from hookpitch.core.request_parser import INVALID, RequestFields, parse_extras
from hookpitch.core.resp import (
    DROPPED_WORD,
    MAX_BUFFERED_VALUE_BYTES,
    MAX_COMMAND_WORD_BYTES,
    NEED_DATA,
    ErrorReply,
    Parser,
    ProtocolError,
    SimpleString,
    bulk,
    command,
)
from hookpitch.core.ring import INITIAL_CAPACITY, Ring
from hookpitch.core.slot_table import SlotTable


@pytest.mark.parametrize("seed", range(8))
def test_a_ring_returns_the_bytes_written_in_order(seed: int) -> None:
    rng, ring, expected = random.Random(seed), Ring(), b""
    for _ in range(3000):
        if rng.random() < 0.5:
            data = rng.randbytes(rng.choice([0, 1, 7, 300, 5000]))
            ring.write(data)
            expected += data
        else:
            count = rng.choice([1, 10, 4000, 20000])
            assert ring.read(count) == expected[:count]
            expected = expected[count:]
        offset = rng.randrange(len(expected) + 1)
        assert (
            len(ring) == len(expected) and ring.peek(50, offset) == expected[offset : offset + 50]
        )
        assert ring.find_line_end(offset) == expected.find(b"\n", offset)
    ring.read(len(ring))
    assert ring.capacity <= 16 * INITIAL_CAPACITY


def parse(data: bytes, rng: random.Random, commands_only: bool = False) -> list[object]:
    """Return all values of the input, which arrives in pieces."""
    ring, values = Ring(), []
    parser = Parser(ring, commands_only)
    while data:
        piece = rng.randint(1, rng.choice([1, 5, 100, 70000]))
        ring.write(data[:piece])
        data = data[piece:]
        while True:
            value = parser.next_value()
            if value is NEED_DATA:
                break
            values.append(value)
    assert parser.at_boundary
    return values


@pytest.mark.parametrize("seed", range(8))
def test_values_are_parsed_however_the_input_is_split(seed: int) -> None:
    rng = random.Random(seed)
    big = rng.randbytes(65536)
    data = (
        b"*3\r\n" + bulk(big) + bulk(None) + bulk(b"") + b"+OK\r\n-BUSY 5\r\n:-7\r\n*-1\r\n*0\r\n"
    )
    data += b"*1\r\n*1\r\n" + bulk(b"\r\n")
    assert parse(data, rng) == [[big, None, b""], b"OK", b"BUSY 5", -7, None, [], [[b"\r\n"]]]
    longest = rng.randbytes(MAX_COMMAND_WORD_BYTES)
    value = rng.randbytes(MAX_BUFFERED_VALUE_BYTES)
    data = command(b"PING") + command(b"OBJ.SET", b"k", longest, b"e", value)
    assert parse(data, rng, True) == [[b"PING"], [b"OBJ.SET", b"k", longest, b"e", value]]


@pytest.mark.parametrize("seed", range(8))
def test_words_that_no_command_has_are_dropped_however_the_input_is_split(seed: int) -> None:
    rng = random.Random(seed)
    words = [b"A", rng.randbytes(MAX_COMMAND_WORD_BYTES + 1), b"", b"d", b"e", b"f", b"", b"g"]
    data = b"*%d\r\n" % len(words) + b"".join(map(bulk, words)) + command(b"PING")
    (first, second) = parse(data, rng, True)
    kept = [word for word in first if word is not DROPPED_WORD]
    assert kept == [b"A", b"", b"d", b"e"] and len(first) == len(words)
    assert second == [b"PING"]


def test_simple_strings_and_error_replies_have_types_of_their_own() -> None:
    values = parse(b"+OK\r\n-OK\r\n", random.Random(1))
    assert [type(value) for value in values] == [SimpleString, ErrorReply]


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"+PING\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$-1\r\n",
        b"*99999\r\n",
        b"*1\r\n$65537\r\n",
        b"*x\r\n",
        b"*1\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 5000,
        b"*1\r\n*1\r\n$1\r\na\r\n",
        b"\x16\x03\x01",
    ],
)
def test_input_that_is_no_command_raises_a_protocol_error(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse(data, random.Random(1), True)


@pytest.mark.parametrize("seed", range(20))
def test_arbitrary_bytes_raise_nothing_but_protocol_errors(seed: int) -> None:
    rng = random.Random(seed)
    data = bytearray(b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n*3\r\n$1\r\na\r\n$-1\r\n$1\r\nb\r\n" * 5)
    for _ in range(rng.randint(1, 5)):
        data[rng.randrange(len(data))] = rng.choice(b"*$:+-0129\r\nx\xff")
    ring = Ring()
    parser = Parser(ring, rng.random() < 0.5)
    try:
        for byte in data:
            ring.write(bytes([byte]))
            while parser.next_value() is not NEED_DATA:
                pass
    except ProtocolError:
        pass


def test_the_handle_of_a_freed_slot_stays_invalid_after_the_slot_is_reused() -> None:
    slots: SlotTable[str] = SlotTable()
    slot_a, slot_b = slots.add("a"), slots.add("b")
    slots.free(slot_a)
    slot_c = slots.add("c")
    assert (slots.get(slot_a), slots.get(slot_b), slots.get(slot_c), len(slots)) == (
        None,
        "b",
        "c",
        2,
    )
    slots.free(slot_a)
    assert slots.get(slot_c) == "c" and slots.values() == ["c", "b"]


@pytest.mark.parametrize("seed", range(8))
def test_deadlines_run_in_order_and_cancelled_ones_never(seed: int) -> None:
    rng, armed, ran = random.Random(seed), [], []
    deadlines = Deadlines(armed.append)
    pending, due = [], []
    for number in range(500):
        at = rng.randrange(1000)
        pending.append(
            (
                deadlines.add(at, lambda now, number=number, at=at: ran.append((at, number))),
                at,
                number,
            )
        )
        if rng.random() < 0.6:
            deadlines.cancel(pending.pop(rng.randrange(len(pending)))[0])
    due = sorted((at, number) for _, at, number in pending)
    assert len(deadlines) == len(due) and armed[-1] <= due[0][0]
    deadlines.run(500)
    assert ran == [entry for entry in due if entry[0] <= 500]
    assert armed[-1] == next(entry[0] for entry in due if entry[0] > 500)
    deadlines.run(2000)
    assert ran == due and not len(deadlines)


def test_extras_are_read_into_typed_fields_and_malformed_ones_are_invalid() -> None:
    assert parse_extras(b"c=read,d=12.5,t=acme") == RequestFields(b"read", 12.5, "acme")
    assert parse_extras(b"c=read") == RequestFields(b"read", None, "")
    for extras in (b"c=read,c=read", b"c=read,d=soon", b"c", b"", b"c=" + b"x" * 512):
        assert parse_extras(extras) == INVALID
    assert RequestFields(b"read", 900.0).timeout_within(400.0) == 400.0
    assert RequestFields(b"read").timeout_within(400.0) == 400.0


def test_answers_that_wait_are_held_in_the_budget_until_they_are_taken_or_dropped() -> None:
    budget = MemoryBudget(1000)
    queue = ReplyQueue(budget)
    first, second, third = queue.add(), queue.add(), queue.add()
    assert queue.answer(second, b"v" * 700, b"-ERR\r\n", is_blocked=False)
    assert 700 < budget.used <= 1000
    assert not queue.answer(third, b"v" * 700, b"-ERR\r\n", is_blocked=False)
    assert queue.take_ready() == b""
    assert queue.answer(first, b"+OK\r\n", b"-ERR\r\n", is_blocked=False)
    assert queue.take_ready() == b"+OK\r\n" + b"v" * 700 + b"-ERR\r\n"
    assert budget.used == len(queue) == 0
    late, cleared = queue.add(), queue.add()
    queue.answer(cleared, b"v" * 300, b"-ERR\r\n", is_blocked=False)
    queue.clear()
    queue.answer(late, b"v" * 300, b"-ERR\r\n", is_blocked=False)
    assert budget.used == 0 and queue.take_ready() == b""


def test_a_part_of_the_memory_counts_in_the_whole() -> None:
    whole = MemoryBudget(100)
    one, other = MemoryBudget(80, whole), MemoryBudget(80, whole)
    assert one.reserve(70) and not other.reserve(40) and other.reserve(30)
    assert not one.has(1) and whole.used == 100
    other.hold(5)  # what has to be kept in any case
    assert whole.used == 105 and not other.reserve(0)
    other.release(35)
    assert one.has(10) and not one.has(11) and whole.used == 70
