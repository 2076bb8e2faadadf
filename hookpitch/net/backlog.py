"""Runs the commands of clients that send faster than the node reads, a few at a time and in turn.

A connection is here while its input buffer holds complete commands that were left for later; it
reads nothing meanwhile. Invariant: all connections here together run at most `COMMANDS_PER_TURN`
commands in a turn of the event loop, so that however many of them there are, and however fast they
send, the other connections and the deadlines are served in between.
"""

from __future__ import annotations

from typing import Protocol

from hookpitch.net.clock import Clock

COMMANDS_PER_TURN = 64
COMMANDS_PER_CONNECTION = 16  # in one turn, as long as others wait


class BacklogClient(Protocol):
    """A connection with commands left for later."""

    has_backlog: bool

    def run_commands(self, limit: int) -> int:
        """Run up to `limit` commands, and return how many were run."""


class Backlog:
    """The connections whose commands are run in turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._clients: dict[BacklogClient, None] = {}  # the next one first
        self._is_scheduled = False

    def add(self, client: BacklogClient) -> None:
        """Run the commands of a connection from the next turn on."""
        self._clients[client] = None
        self._schedule()

    def remove(self, client: BacklogClient) -> None:
        """Forget a connection that has no commands left, or has ended."""
        self._clients.pop(client, None)

    def _schedule(self) -> None:
        if not self._is_scheduled and self._clients:
            self._is_scheduled = True
            self._clock.deadlines.add(self._clock.now(), self._run_turn)

    def _run_turn(self, now: float) -> None:
        self._is_scheduled = False
        remaining = COMMANDS_PER_TURN
        for client in list(self._clients)[:COMMANDS_PER_TURN]:
            if remaining <= 0:
                break
            del self._clients[client]
            remaining -= client.run_commands(min(remaining, COMMANDS_PER_CONNECTION))
            if client.has_backlog:
                self._clients[client] = None  # behind the others
        self._schedule()
