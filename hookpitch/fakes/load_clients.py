"""Clients on Twisted: open-loop arrivals, patience, tries again, and some that leave, never read
or send
rubbish.

An RPC is asked when it is due, however late the answers are. What a client saw goes into the
history:
`asked` when its last byte was written, and then exactly one of `answered`, `lost` or `left`; an RPC
that has none of them by its deadline is for the judge.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hookpitch.core.resp import (
    MAX_BULK_BYTES,
    NEED_DATA,
    ErrorReply,
    NeedData,
    Parser,
    ProtocolError,
    command,
)
from hookpitch.core.ring import Ring
from hookpitch.fakes.history import History

RUBBISH = (
    b"*1\r\n$-5\r\n",
    b"\x00\xff\x13\x37" * 20 + b"\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$99999999999\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$3\r\nabcdef\r\n",
    b"*2000000\r\n",
)
UNFINISHED = (
    b"*4\r\n$7\r\nOBJ.GET\r\n$3\r\nk",
    b"*4\r\n",
    b"*5\r\n$7\r\nOBJ.SET\r\n$3\r\nkey\r\n$2\r\nr1\r\n$6\r\nc=read\r\n$500000\r\nww",
)
GRACE_MS = 300.0  # past its patience, a client closes the connection
READ_PAUSE_S = 0.004  # of a slow reader, after each piece
HEAD_PARTS = (
    12  # in which it is written, so that no pause reaches the 250 ms after which it may have to go
)
HEAD_MS = 1800.0  # the longest that an honest client takes for its request: the node owes it 2 s


@dataclass(frozen=True, slots=True)
class Kind:
    """A method as clients ask for it."""

    name: str
    share: float
    wait_ms: float
    write: bool = False
    size: int = 0  # bytes of a write's value


@dataclass(frozen=True, slots=True)
class Manner:
    """How clients behave."""

    tries: int = 0  # again, after an answer that is no value
    pause_ms: float = 30.0  # before each
    leaving: float = 0.0  # the part that closes its connection halfway through its patience
    fresh: float = 0.0  # the part that opens a connection of its own and closes it after
    most: int = 200  # connections to a node
    slow: float = 0.0  # the part of connections that pause after each piece they read
    halving: float = (
        0.0  # of those that close after one RPC, the part that closes its own way at once
    )


class Keys:
    """Keys by a power law; `hot` adds one that takes a part of all."""

    def __init__(self, count: int, skew: float) -> None:
        self.count, self.hot = count, 0.0
        self._sums = list(accumulate((n + 1) ** -skew for n in range(count)))

    def draw(self, chance: random.Random) -> str:
        if self.hot and chance.random() < self.hot:
            return "hot"
        return f"key{bisect_left(self._sums, chance.random() * self._sums[-1])}"


class Asked:
    """One RPC of a client."""

    __slots__ = ("rpc", "kind", "key", "at", "again", "open")

    def __init__(self, rpc: str, kind: Kind, key: str, at: float, again: int) -> None:
        self.rpc, self.kind, self.key, self.at, self.again, self.open = (
            rpc,
            kind,
            key,
            at,
            again,
            True,
        )


class Caller(Protocol):
    """One connection to a node; one RPC at a time, as the platform's clients keep it."""

    def __init__(self, crowd: Crowd, node: str, asked: Asked | None, single: bool) -> None:
        self.crowd, self.node, self.single = crowd, node, single
        self.ring = Ring()
        self.parser = Parser(self.ring)
        self.due: deque[Asked] = deque()
        self.first = asked
        self.lost, self.port = False, 0
        self.slow = crowd.manner.slow > 0 and crowd.chance.random() < crowd.manner.slow

    def connectionMade(self) -> None:
        self.port = self.transport.getHost().port
        if self.first is not None:
            self.ask(self.first)

    def ask(self, asked: Asked) -> None:
        crowd, kind = self.crowd, asked.kind
        self.due.append(asked)
        left = kind.wait_ms
        words = [
            b"OBJ.SET" if kind.write else b"OBJ.GET",
            asked.key.encode(),
            asked.rpc.encode(),
            f"c={kind.name},d={left:.0f}".encode(),
        ]
        if kind.write:
            words.append(b"w" * kind.size)
        asked.at = crowd.now()
        crowd.history.add(asked.at, "asked", self.node, asked.rpc, kind.name, left, self.port)
        self.transport.write(command(*words))
        chance = crowd.chance.random()
        if chance < crowd.manner.leaving:
            crowd.reactor.callLater(left * crowd.chance.random() / 1000, self.leave, asked)
        crowd.reactor.callLater((left + GRACE_MS) / 1000, self.give_up, asked)
        if self.single and crowd.manner.halving and crowd.chance.random() < crowd.manner.halving:
            self.transport.loseWriteConnection()

    def dataReceived(self, data: bytes) -> None:
        self.ring.write(data)
        if self.slow:
            self.transport.pauseProducing()
            self.crowd.reactor.callLater(READ_PAUSE_S, self.read_on)
        try:
            while True:
                answer = self.large()
                if answer is None:
                    answer = self.parser.next_value()
                if answer is NEED_DATA:
                    return
                if not self.due:
                    self.crowd.history.add(
                        self.crowd.now(), "answered", self.node, "", "nobody asked"
                    )
                    continue
                self.answered(self.due.popleft(), answer)
        except ProtocolError:
            self.transport.loseConnection()

    def large(self) -> bytes | NeedData | None:
        """A value too large for the parser, once it is whole; None where something else comes
        next."""
        head = self.ring.peek(16)
        end = head.find(b"\r\n")
        if head[:1] != b"$" or not head[1:end].isdigit() or int(head[1:end]) <= MAX_BULK_BYTES:
            return None
        whole = end + 2 + int(head[1:end]) + 2
        if len(self.ring) < whole:
            return NEED_DATA
        return self.ring.read(whole)[end + 2 : -2]

    def read_on(self) -> None:
        if not self.lost:
            self.transport.resumeProducing()

    def answered(self, asked: Asked, answer: object) -> None:
        crowd = self.crowd
        asked.open = False
        if isinstance(answer, ErrorReply):
            how = "exhausted" if answer.startswith(b"BUSY") else "errored"
        elif isinstance(answer, bytes) and answer.startswith(f"{asked.rpc}:{asked.key}:".encode()):
            how = "completed"
        else:
            how = "wrong"
        crowd.history.add(crowd.now(), "answered", self.node, asked.rpc, how)
        crowd.ended(asked, how)
        if self.single:
            self.transport.loseConnection()
        else:
            crowd.free(self)

    def leave(self, asked: Asked) -> None:
        if asked.open and not self.lost:
            asked.open = False
            self.crowd.history.add(self.crowd.now(), "left", self.node, asked.rpc)
            self.due.clear()
            self.transport.abortConnection()

    def give_up(self, asked: Asked) -> None:
        if asked.open and not self.lost:
            asked.open = False
            self.due.clear()
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        for asked in self.due:
            asked.open = False
            self.crowd.history.add(self.crowd.now(), "lost", self.node, asked.rpc, port=self.port)
            self.crowd.ended(asked, "lost")
        self.due.clear()
        self.crowd.gone(self)


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, crowd: Crowd, node: str, asked: Asked, single: bool) -> None:
        self.crowd, self.node, self.asked, self.single = crowd, node, asked, single

    def buildProtocol(self, addr: object) -> Caller:
        return Caller(self.crowd, self.node, self.asked, self.single)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.crowd.held[self.node] -= 1
        self.crowd.refused += 1
        self.crowd.ended(self.asked, "refused")


class Crowd:
    """All clients of a run. `rate` and `only` may be changed while it runs."""

    def __init__(
        self,
        reactor: Any,
        history: History,
        seed: int,
        nodes: dict[str, tuple[str, int]],
        kinds: Sequence[Kind],
        keys: Keys,
        rate: float,
        manner: Manner,
        begun: float,
    ) -> None:
        """`nodes`: by name, where to dial; `rate`: RPCs a second over all; `begun`: seconds on the
        reactor's clock."""
        self.reactor, self.history, self.nodes, self.kinds, self.keys = (
            reactor,
            history,
            nodes,
            kinds,
            keys,
        )
        self.chance, self.rate, self.manner, self.begun = random.Random(seed), rate, manner, begun
        self.idle: dict[str, deque[Caller]] = {name: deque() for name in nodes}
        self.held = dict.fromkeys(nodes, 0)
        self.in_use = list(nodes)  # nodes that the front deals connections to
        self.count = self.refused = self.no_room = 0
        self.ending = False
        self._due = 0.0

    def now(self) -> float:
        return (self.reactor.seconds() - self.begun) * 1000

    def start(self, after_s: float = 0.0) -> None:
        self._due = self.now() + after_s * 1000
        self._next()

    def stop(self) -> None:
        """No more are asked."""
        self.ending = True

    def _next(self) -> None:
        self._due += self.chance.expovariate(max(1e-9, self.rate)) * 1000
        self.reactor.callLater(max(0.0, self._due - self.now()) / 1000, self._arrive)

    def _arrive(self) -> None:
        if self.ending:
            return
        kind = self.chance.choices(self.kinds, [k.share for k in self.kinds])[0]
        self.ask(kind, self.keys.draw(self.chance), 0)
        self._next()

    def ask(self, kind: Kind, key: str, again: int) -> None:
        if not self.in_use:
            return
        self.count += 1
        asked = Asked(f"q{self.count}", kind, key, self.now(), again)
        node = self.in_use[self.chance.randrange(len(self.in_use))]
        single = self.chance.random() < self.manner.fresh
        idle = self.idle[node]
        while idle and not single:
            caller = idle.pop()
            if not caller.lost:
                caller.ask(asked)
                return
        if self.held[node] >= self.manner.most:
            self.no_room += 1
            return
        self.held[node] += 1
        host, port = self.nodes[node]
        self.reactor.connectTCP(host, port, _Dial(self, node, asked, single), timeout=3.0)

    def free(self, caller: Caller) -> None:
        self.idle[caller.node].append(caller)

    def gone(self, caller: Caller) -> None:
        self.held[caller.node] -= 1

    def ended(self, asked: Asked, how: str) -> None:
        if how != "completed" and asked.again < self.manner.tries and not self.ending:
            self.reactor.callLater(
                self.manner.pause_ms / 1000, self.ask, asked.kind, asked.key, asked.again + 1
            )


class Rude(Protocol):
    """Sends what can't be read, or nothing at all, and sees whether it is told so or closed."""

    def __init__(self, rudes: Rudes, data: bytes) -> None:
        self.rudes, self.data, self.told, self.at = rudes, data, False, 0.0

    def connectionMade(self) -> None:
        self.at = self.rudes.crowd.now()
        if self.data:
            self.transport.write(self.data)

    def dataReceived(self, data: bytes) -> None:
        self.told = True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.rudes.ended(self.rudes.crowd.now() - self.at)


class Rudes(ClientFactory):
    """Bad clients: `per_s` new ones a second, each with rubbish, or (a third) with nothing to say.
    `unfinished`: in place of rubbish, the begin of a request that never ends."""

    noisy = False

    def __init__(self, crowd: Crowd, per_s: float, unfinished: bool = False) -> None:
        self.crowd, self.per_s, self.until = crowd, per_s, 0.0
        self.said = UNFINISHED if unfinished else RUBBISH
        self.chance = random.Random(crowd.count + 7)
        self.kept_ms: list[float] = []

    def start(self, seconds: float) -> None:
        self.until = self.crowd.now() + seconds * 1000
        self._next()

    def _next(self) -> None:
        if self.crowd.now() < self.until:
            host, port = self.crowd.nodes[
                self.chance.choice(self.crowd.in_use or list(self.crowd.nodes))
            ]
            self.crowd.reactor.connectTCP(host, port, self, timeout=3.0)
            self.crowd.reactor.callLater(self.chance.expovariate(self.per_s), self._next)

    def buildProtocol(self, addr: object) -> Rude:
        return Rude(self, b"" if self.chance.random() < 1 / 3 else self.chance.choice(self.said))

    def ended(self, kept_ms: float) -> None:
        self.kept_ms.append(kept_ms)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        pass


class SlowHead(Caller):
    """An honest client that writes on without a stop, a few bytes at a time: its RPC counts as
    asked with the
    last of them."""

    def ask(self, asked: Asked) -> None:
        words = ("OBJ.GET", asked.key, asked.rpc, f"c={asked.kind.name},d={asked.kind.wait_ms:.0f}")
        text = command(*(word.encode() for word in words))
        span, parts = self.crowd.chance.random() * HEAD_MS / 1000, HEAD_PARTS
        for n in range(parts):
            piece = text[len(text) * n // parts : len(text) * (n + 1) // parts]
            self.crowd.reactor.callLater(
                span * n / (parts - 1), self.rest, asked, piece, n == parts - 1
            )

    def rest(self, asked: Asked, piece: bytes, last: bool) -> None:
        crowd, left = self.crowd, asked.kind.wait_ms
        if self.lost:
            if last:
                crowd.history.add(crowd.now(), "cut", self.node, what=asked.rpc)
            return
        self.transport.write(piece)
        if last:
            self.due.append(asked)
            asked.at = crowd.now()
            crowd.history.add(
                asked.at, "asked", self.node, asked.rpc, asked.kind.name, left, self.port
            )
            crowd.reactor.callLater((left + GRACE_MS) / 1000, self.give_up, asked)


class SlowHeads:
    """`per_s` of them a second, each on a connection of its own."""

    def __init__(self, crowd: Crowd, per_s: float) -> None:
        self.crowd, self.per_s, self.until = crowd, per_s, 0.0
        self.chance = random.Random(crowd.count + 11)

    def start(self, seconds: float) -> None:
        self.until = self.crowd.now() + seconds * 1000
        self._next()

    def _next(self) -> None:
        crowd = self.crowd
        if crowd.now() >= self.until:
            return
        crowd.count += 1
        kind = next(kind for kind in crowd.kinds if not kind.write)
        node = self.chance.choice(crowd.in_use or list(crowd.nodes))
        asked = Asked(
            f"q{crowd.count}", kind, crowd.keys.draw(self.chance), crowd.now(), crowd.manner.tries
        )
        crowd.held[node] += 1
        host, port = crowd.nodes[node]
        crowd.reactor.connectTCP(host, port, _SlowDial(crowd, node, asked, True), timeout=3.0)
        crowd.reactor.callLater(self.chance.expovariate(self.per_s), self._next)


class _SlowDial(_Dial):
    def buildProtocol(self, addr: object) -> SlowHead:
        return SlowHead(self.crowd, self.node, self.asked, self.single)
