"""Tests that no crowd of clients takes a node's process over its memory limit, or starves others.

The process is told the least memory that the platform names and the most descriptors that its
scored days allow.
"""

from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
from crowds import (
    AnsweringServers,
    Crowd,
    UsualClient,
    read_command,
    read_nothing,
    send_at_full_speed,
    send_unfinished,
    stay_idle,
)
from peers import NodeProcess, method_settings

from hookpitch.core.resp import command

LEAST_MEMORY_MB = 32
DESCRIPTORS = 1024
CROWD = 440  # connections: nearly all that the descriptors leave to clients
CROWD_S = 3.0

WRITE_HEAD = b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$12\r\nc=read,d=900\r\n"
UNFINISHED = {
    "nothing": b"",
    "a value": WRITE_HEAD + b"$65000\r\n" + b"x" * 64_000,
    "a large value": WRITE_HEAD + b"$4000000\r\n" + b"x" * 100_000,
    "many large fields": b"*16\r\n" + (b"$60000\r\n" + b"x" * 60_000 + b"\r\n") * 12,
    "many short fields": b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$60000\r\n"
    + b"a=1," * 14_000,
    "a long line": b"*" + b"1" * 4000,
}


def run_beside(
    folder: Path,
    play: Callable[[Crowd], None],
    crowd_size: int,
    value: bytes = b"v" * 100,
    memory_mb: int = LEAST_MEMORY_MB,
) -> UsualClient:
    """Play a crowd against one process; check its memory and that a usual client is answered."""
    methods = [method_settings("read", soft_s=0.4, hard_deadline_s=1.0)]
    limits = {"memory_mb": memory_mb, "sockets": DESCRIPTORS}
    with NodeProcess(folder, limits=limits, methods=methods) as node:
        with AnsweringServers(node, value), UsualClient(node) as usual:
            crowd = Crowd(node, crowd_size, CROWD_S)
            try:
                play(crowd)
            finally:
                crowd.close()
        assert node.process.poll() is None, node.logs
        peak_mb = node.peak_memory_kb() / 1024
    assert peak_mb < memory_mb, f"{peak_mb:.1f} MB"
    assert not usual.late, usual.late
    return usual


@pytest.mark.parametrize("unfinished", UNFINISHED)
def test_hundreds_of_unfinished_commands_stay_within_the_memory_limit(
    tmp_path: Path, unfinished: str
) -> None:
    play = (
        stay_idle
        if unfinished == "nothing"
        else partial(send_unfinished, data=UNFINISHED[unfinished])
    )
    usual = run_beside(tmp_path, play, CROWD)
    assert usual.served > 0


def test_hundreds_of_clients_that_write_slowly_stay_within_the_memory_limit(
    tmp_path: Path,
) -> None:
    play = partial(send_unfinished, data=UNFINISHED["a value"], bytes_per_round=300)
    assert run_beside(tmp_path, play, CROWD).served > 0


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
@pytest.mark.parametrize(("value_bytes", "pipelined"), [(60_000, 1), (60_000, 16), (1_000_000, 1)])
def test_hundreds_of_clients_that_read_no_answer_stay_within_the_memory_limit(
    tmp_path: Path, value_bytes: int, pipelined: int, memory_mb: int
) -> None:
    play = partial(read_nothing, commands_per_round=pipelined)
    run_beside(tmp_path, play, CROWD, b"v" * value_bytes, memory_mb)


def reads_under_new_names(number: int) -> bytes:
    """Return a hundred reads, each with a key, an id and a tenant of its own."""
    numbers = range(100 * number, 100 * number + 100)
    return b"".join(
        command(b"OBJ.GET", b"key%d" % at, b"id%d" % at, b"c=read,d=900,t=t%d" % at)
        for at in numbers
    )


def unsound_reads(number: int) -> bytes:
    """Return a hundred reads of methods that do not exist, each with another name."""
    numbers = range(100 * number, 100 * number + 100)
    return b"".join(command(b"OBJ.GET", b"k", b"i%d" % at, b"c=c%d,d=9" % at) for at in numbers)


FLOODS = {
    "PING": lambda _: command(b"PING") * 500,
    "unknown commands": lambda _: command(b"FOO", b"bar") * 500,
    "unsound reads": unsound_reads,
    "long extras under new names": lambda number: command(
        b"OBJ.GET", b"k", b"i%d" % number, b"c=x%d," % number + b"a=1," * 15_000
    ),
    "reads under new names": reads_under_new_names,
    "reads of one key": lambda number: read_command(number, key=b"k") * 1,
}


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("connections", [1, 50])
@pytest.mark.parametrize("flood", FLOODS)
def test_a_client_at_full_speed_neither_fills_the_memory_nor_starves_others(
    tmp_path: Path, flood: str, connections: int, reads: bool
) -> None:
    play = partial(send_at_full_speed, make_commands=FLOODS[flood], reads=reads)
    usual = run_beside(tmp_path, play, connections)
    assert usual.served > usual.rejected
