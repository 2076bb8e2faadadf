"""The node's reactor: Twisted's on epoll, with short turns in which servers' answers go before new
work.

Source: `EPollReactor.doPoll` of Twisted; only the order and the number of the events taken differ.
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

EVENTS_PER_TURN = (
    48  # looked at between two looks at the deadlines; the kernel gives those left over next time
)
ACCEPTS_PER_TURN = 16  # new connections taken in one turn
LATER = (Server, Port)  # clients and their door


class AdminConnection(Server):
    """An operator's connection: not among those that wait for others in a turn."""


class AdminPort(Port):
    transport = AdminConnection


class PrioritizedReactor(EPollReactor):
    def listenFirst(self, port: int, factory: Any, backlog: int, interface: str) -> Port:  # noqa: ANN401, N802
        """As `listenTCP`, for connections that go before clients in each turn."""
        door = AdminPort(port, factory, backlog, interface, self)
        door.startListening()
        return door

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """One turn. Danger: hundreds of ready clients in one turn hold up every deadline and every
        answer."""
        try:
            found = self._poller.poll(-1 if timeout is None else timeout, EVENTS_PER_TURN)
        except OSError as fault:
            if fault.errno == errno.EINTR:
                return
            raise
        selectables, later = self._selectables, []
        for fd, event in found:
            selectable = selectables.get(fd)
            if type(selectable) in LATER:
                later.append((fd, event))
            elif selectable is not None:
                self._act(selectable, fd, event)
        for fd, event in later:
            selectable = selectables.get(fd)  # what came before may have closed it
            if selectable is not None:
                self._act(selectable, fd, event)
                if isinstance(selectable, Port) and selectable.numberAccepts > ACCEPTS_PER_TURN:
                    # Danger: Twisted takes ever more at a time while a burst lasts.
                    selectable.numberAccepts = ACCEPTS_PER_TURN

    def _act(self, selectable: Any, fd: int, event: int) -> None:  # noqa: ANN401
        if event != EPOLLIN:
            return self._doReadOrWrite(selectable, fd, event)
        try:
            why = selectable.doRead()
        except Exception:  # one connection's fault ends that connection, as in Twisted's own loop
            why = sys.exc_info()[1]
            log.err()
        if why:
            self._disconnectSelectable(selectable, why, True)

    doIteration = doPoll  # noqa: N815


def install() -> PrioritizedReactor:
    """Make it the process's reactor; to be called before `twisted.internet.reactor` is imported."""
    reactor = PrioritizedReactor()
    installReactor(reactor)
    return reactor
