"""The commands that clients send: what each one does, and its reply.

A handler gets the connection, the command's words and the time in ms for which the command had
waited when it was read. It adds exactly one reply, or one slot for a later reply, to the
connection's queue.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hookpitch.core.reply_slot import ReplySlot
from hookpitch.core.resp import DroppedWord, bulk
from hookpitch.core.rpc_table import FAILED_REPLY

if TYPE_CHECKING:
    from hookpitch.net.client_connection import ClientConnection

RPC_WORD_COUNTS = {b"OBJ.GET": 4, b"OBJ.SET": 5}

BUSY = b"-BUSY\r\n"
OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING = b"-ERR draining\r\n"
TOO_LONG = b"-ERR word too long\r\n"
UNKNOWN_COMMAND = b"-ERR unknown command\r\n"
INVALID_RPC = b"-ERR wrong number of words, unknown class or bad wait\r\n"


def run_command(connection: ClientConnection, words: list[bytes], age_ms: float) -> None:
    """Run one complete command."""
    words[0] = words[0].upper()
    HANDLERS.get(words[0], _handle_unknown)(connection, words, age_ms)


def _handle_rpc(connection: ClientConnection, words: list[bytes], age_ms: float) -> None:
    slot = connection.pending_replies.add()
    answer = _answer_without_accepting(connection, words)
    if answer is None:
        answer = _accept_rpc(connection, slot, words, age_ms)
    if answer is not None:
        connection.set_answer(slot, answer)


def _answer_without_accepting(connection: ClientConnection, words: list[bytes]) -> bytes | None:
    """Return the answer to an RPC that cannot be accepted, whatever it says; otherwise None."""
    has_left = connection.reading.client_has_left or connection.peer_half_closed
    if has_left or connection.registry.fails_new_requests:
        connection.host.counters.add("rpcs.client_left")
        return FAILED_REPLY
    if connection.is_over_limit:
        connection.stop_reading()
        return _reject(connection, words, "rpcs.no_room")
    if connection.is_closing:
        return _reject(connection, words, "rpcs.closing")
    if connection.value is not None and connection.value.is_refused:
        return _reject(connection, words, "rpcs.no_memory")
    if connection.reading.is_end_hidden:
        return _reject(connection, words, "rpcs.backlog")
    return None


def _reject(connection: ClientConnection, words: list[bytes], counter: str) -> bytes:
    connection.host.counters.add(counter)
    connection.host.record_rejected(words)
    return BUSY


def _accept_rpc(
    connection: ClientConnection, slot: ReplySlot, words: list[bytes], age_ms: float
) -> bytes | None:
    """Pass an RPC to the host; return its answer where the RPC ends at once."""
    rpc = None
    if len(words) == RPC_WORD_COUNTS[words[0]]:
        if connection.value is not None:
            words[4] = connection.value.chunks
        now = connection.clock.now()
        # A wait behind a streamed response says nothing about the load of this node.
        load_wait_ms = 0.0 if connection.reading.was_behind_stream else age_ms
        rpc = connection.host.accept(now, connection, slot, words, age_ms, load_wait_ms)
        if rpc is not None:
            connection.value_taken()  # the RPC owns the value now
            if rpc.pending:
                connection.rpcs[slot] = rpc
            return None
    if slot.answer is not None:
        return slot.answer
    connection.host.counters.add("clients.wrong")
    return INVALID_RPC


def _handle_ping(connection: ClientConnection, words: list[bytes], _: float) -> None:
    if connection.registry.reports_draining:
        connection.add_reply(DRAINING)
    elif len(words) == 1:
        connection.add_reply(PONG)
    elif isinstance(words[1], DroppedWord):
        connection.host.counters.add("clients.wrong")
        connection.add_reply(TOO_LONG)
    else:
        connection.add_reply(bulk(words[1]))


def _handle_info(connection: ClientConnection, _words: list[bytes], _: float) -> None:
    connection.add_reply(bulk(connection.registry.info()))


def _handle_ignored(connection: ClientConnection, _words: list[bytes], _: float) -> None:
    """Accept a command that client libraries send after connecting and that has no effect."""
    connection.add_reply(OK)


def _handle_quit(connection: ClientConnection, _words: list[bytes], _: float) -> None:
    connection.add_reply(OK)
    connection.stop_reading()


def _handle_unknown(connection: ClientConnection, _words: list[bytes], _: float) -> None:
    connection.host.counters.add("clients.wrong")
    connection.add_reply(UNKNOWN_COMMAND)


Handler = Callable[["ClientConnection", list[bytes], float], None]

HANDLERS: dict[bytes, Handler] = {
    b"OBJ.GET": _handle_rpc,
    b"OBJ.SET": _handle_rpc,
    b"PING": _handle_ping,
    b"INFO": _handle_info,
    b"CLIENT": _handle_ignored,
    b"SELECT": _handle_ignored,
    b"QUIT": _handle_quit,
}
