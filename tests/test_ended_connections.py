"""Connections that the node ends while commands behind the last answer have been read.

A command that was read is answered; one that is still unread in the kernel makes the close a reset,
by which the client knows that it may send the command again.
"""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from peers import VALUE, NodeProcess, method_settings, receive_all_answers
from socket_node import NodeOnMemoryNetwork, get_command

from hookpitch.core.resp import ErrorReply, SimpleString, command

METHODS = [method_settings("read")]
PING, QUIT = command(b"PING"), command(b"QUIT")
BUSY = ErrorReply(b"BUSY")
SOCKETS = 64  # descriptors of a node whose clients use up their part
UNSOUND = {
    "a null word": b"*1\r\n$-1\r\n",
    "a word that is longer than told": b"*1\r\n$4\r\nPINGPING\r\n",
    "a word of 60 MB": b"*5\r\n$7\r\nOBJ.SET\r\n$60000000\r\n",
    "no array": b"noise\r\n",
    "too many words": b"*99\r\n",
}


def start_node(folder: Path, **options: object) -> NodeProcess:
    """Return a node with one cache and one method."""
    return NodeProcess(folder, 1, **({"methods": METHODS} | options))


def use_all_connections(node: NodeProcess) -> None:
    """Connect clients that say nothing until the node is over its limit of connections."""
    while node.counter("clients.guests") == 0:
        node.connect_client()


@pytest.mark.parametrize("count", [2, 4, 60])
def test_all_commands_that_were_read_over_the_limit_of_connections_are_answered(
    tmp_path: Path, count: int
) -> None:
    # Guards against the loss of the commands behind the first one (review/8).
    with start_node(tmp_path, limits={"sockets": SOCKETS}) as node:
        use_all_connections(node)
        guest = node.connect_client()
        guest.send(b"".join(get_command(f"r{index}", wait=5000) for index in range(count)))
        assert receive_all_answers(guest)[0] == [BUSY] * count


def test_commands_behind_quit_are_answered(tmp_path: Path) -> None:
    # Guards against commands that are dropped because they were read together with QUIT.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        client.send(PING + QUIT + get_command("r1", wait=5000) + PING)
        pong = SimpleString(b"PONG")
        assert receive_all_answers(client)[0] == [pong, SimpleString(b"OK"), BUSY, pong]


@pytest.mark.parametrize("unsound", UNSOUND.values(), ids=UNSOUND.keys())
def test_commands_around_an_unsound_one_are_answered(tmp_path: Path, unsound: bytes) -> None:
    # Guards against the loss of commands by another command on their connection.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        behind = [get_command(f"r{index}", wait=5000) for index in (2, 3)]
        client.send(get_command("r1", wait=5000) + unsound + b"".join(behind))
        cache = node.caches[0].accept()
        assert cache.receive_value()[2] == b"r1"
        cache.send(VALUE)
        answers, _ = receive_all_answers(client)
        assert answers[0] == b"v" and isinstance(answers[1], ErrorReply)
        assert answers[2:] == [BUSY] * 2


def test_each_of_several_unsound_commands_is_answered(tmp_path: Path) -> None:
    # Guards against answers that are one too few for the commands of a pipeline.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        null_word = UNSOUND["a null word"]
        client.send(PING + null_word * 2 + get_command("r1", wait=5000) + null_word + PING)
        answers, _ = receive_all_answers(client)
        assert [type(answer) for answer in answers] == [
            SimpleString,
            *[ErrorReply] * 4,
            SimpleString,
        ]
        assert answers[3] == BUSY


@pytest.mark.parametrize("last", [QUIT, UNSOUND["a null word"]], ids=["QUIT", "unsound"])
def test_commands_that_come_while_a_closing_connection_waits_stay_unread(
    tmp_path: Path, last: bytes
) -> None:
    # Guards against commands that are read and dropped between the last command and the close.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        client.send(get_command("r1", wait=5000) + last)
        cache = node.caches[0].accept()
        cache.receive_value()
        node.counter("rpcs.open")  # the node has read the last command
        client.send(get_command("r2", wait=5000))
        time.sleep(0.2)
        cache.send(VALUE)
        answers, end = receive_all_answers(client)
        assert answers[0] == b"v" and len(answers) == 2 and end == "reset"


def test_commands_read_after_a_half_close_are_answered(tmp_path: Path) -> None:
    # Guards against the loss of commands behind a large write that waits in the input buffer.
    with start_node(tmp_path) as node:
        client = node.connect_client()
        client.send(PING)
        client.receive_value()
        node.suspend()
        write = command(b"OBJ.SET", b"k", b"w", b"c=read,d=5000", bytes(5000))
        client.send(PING * 40 + write + PING * 2)
        client.fin()
        time.sleep(0.12)  # a client that ended its connection so long ago may have left
        node.resume()
        answers, _ = receive_all_answers(client)
        assert answers[:40] == answers[41:] + [SimpleString(b"PONG")] * 38
        assert isinstance(answers[40], ErrorReply) and len(answers) == 43


def test_a_connection_with_commands_left_is_not_evicted() -> None:
    # Guards against a close over commands that were read and wait for their turn.
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(PING * 40)
    registry = node.socket_node.clients
    assert client.protocol.has_backlog
    assert client.protocol not in registry.incomplete | registry.idle
    node.pass_time(5)
    assert client.receive() == b"+PONG\r\n" * 40 and client.protocol in registry.idle


def test_commands_left_for_later_are_answered_at_the_end_of_a_shutdown() -> None:
    # Guards against a process that ends while commands that it has read wait for their turn.
    node = NodeOnMemoryNetwork()
    client = node.connect_client()
    client.send(PING * 40 + get_command("r1"))
    node.socket_node.clients.close_all()
    assert client.receive() == b"+PONG\r\n" * 40 + b"-ERR failed\r\n"
    node.pass_time(200)
    assert client.is_closed
