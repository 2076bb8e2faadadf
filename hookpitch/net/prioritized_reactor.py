"""The node's reactor: Twisted's epoll reactor, which handles backends before clients.

Each turn handles only a few events. The code follows `EPollReactor.doPoll` of Twisted; only the
order and the number of the events differ.
"""

from __future__ import annotations

import errno
import sys
from select import EPOLLIN
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.internet.tcp import Port, Server
from twisted.python import log

# Events handled between two checks of the deadlines; the kernel reports the rest in the next turn.
EVENTS_PER_TURN = 48
ACCEPTS_PER_TURN = 16
LOW_PRIORITY = (Server, Port)  # clients' connections and their listening socket


class AdminTransport(Server):
    """The transport of an operator's connection, which is handled before clients' connections."""


class AdminPort(Port):
    """The operators' listening socket, which is handled before clients' connections."""

    transport = AdminTransport


class PrioritizedReactor(EPollReactor):
    """Handles clients' connections and their listening socket after all others."""

    def listen_prioritized(
        self,
        port: int,
        factory: Any,  # noqa: ANN401 - Twisted's factories have no common type
        backlog: int,
        interface: str,
    ) -> Port:
        """Listen like `listenTCP`, for connections that are handled before clients in each turn."""
        admin_port = AdminPort(port, factory, backlog, interface, self)
        admin_port.startListening()
        return admin_port

    def doPoll(self, timeout: float | None) -> None:
        """Run one turn of the event loop.

        The number of events is limited, so that hundreds of ready clients delay neither deadlines
        nor responses.
        """
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, EVENTS_PER_TURN)
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        low_priority = []
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if type(selectable) in LOW_PRIORITY:
                low_priority.append((descriptor, event))
            elif selectable is not None:
                self._handle(selectable, descriptor, event)
        for descriptor, event in low_priority:
            selectable = self._selectables.get(descriptor)  # an earlier event may have closed it
            if selectable is None:
                continue
            self._handle(selectable, descriptor, event)
            if isinstance(selectable, Port):
                # Twisted increases the number of accepts while a burst of connections lasts.
                selectable.numberAccepts = min(selectable.numberAccepts, ACCEPTS_PER_TURN)

    doIteration = doPoll

    def _handle(self, selectable: Any, descriptor: int, event: int) -> None:  # noqa: ANN401 - any of Twisted's selectables
        if event & EPOLLIN and descriptor not in self._reads:
            event &= ~EPOLLIN  # an event handled before in this turn has stopped the reading
        if event != EPOLLIN:
            if event:
                self._doReadOrWrite(selectable, descriptor, event)
            return
        try:
            failure = selectable.doRead()
        except Exception:  # an error ends only its connection, as in Twisted's own loop
            failure = sys.exc_info()[1]
            log.err()
        if failure:
            self._disconnectSelectable(selectable, failure, True)


def install() -> PrioritizedReactor:
    """Install the process's reactor; called before `twisted.internet.reactor` is imported."""
    reactor = PrioritizedReactor()
    installReactor(reactor)
    return reactor
