"""The four rules over a recorded history: what clients, servers, origin and discovery saw.

It asks nothing of the node. A broken rule is named and comes with the whole history of its RPC.
Times in ms;
on sockets each limit is `SLACK_MS` longer, as the platform's protocol has it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hookpitch.fakes.history import Event, History

SLACK_MS = 50.0
CALL_MS = 1000.0  # that an operator waits
HEAD_MS = 2000.0  # that a client may take to write its request
FIGURE_OFF, FIGURE_PART = 3, 0.01  # by so many, or by such a part, a node's figure may be off
FIGURES = {
    "completed": "completed",
    "exhausted": "rejected",
    "errored": "failed",
}  # as clients see them
UNUSED_MS = 5000.0
BUSY_RPCS = 200  # sent by a node in the time in which it must use a server that was called back


@dataclass(frozen=True, slots=True)
class Rules:
    """What the deployment allows."""

    drain_grace_ms: float = 3000.0
    gone_told_ms: float = 6000.0  # a change counts as told by then, whether or not it arrived
    unused_ms: float = UNUSED_MS  # a server that was called back is used again by then
    heads: bool = True  # nodes have room for every honest client
    most_transmissions: int = 3
    hedging_allowed: bool = False
    retriable: Mapping[str, bool] = field(
        default_factory=dict
    )  # by method: whether it may run again
    # By method that is bound: the only kinds and the only zones it may be sent to; none named: any.
    bound: Mapping[str, tuple[Sequence[str], Sequence[str]]] = field(default_factory=dict)
    # Where the network itself tells nothing (on loopback): for how long two transmissions may seem
    # to be out, and how soon after an RPC was asked its connection's end counts as one that crossed
    # it.
    overlap_ms: float = 0.0
    crossing_ms: float = 0.0
    slack_ms: float = SLACK_MS  # on each time limit


@dataclass(frozen=True, slots=True)
class Broken:
    """One broken rule."""

    rule: str
    at: float
    rpc: str
    why: str
    story: tuple[Event, ...] = ()

    def __str__(self) -> str:
        head = (
            f"{self.rule} at {self.at:.1f} ms{f', RPC {self.rpc}' if self.rpc else ''}: {self.why}"
        )
        lines = [
            f"    {e.at:10.3f}  {e.kind:9} {e.who:10} {e.what} {e.value:g}".rstrip()
            for e in self.story
        ]
        return "\n".join([head, *lines])


class Judge:
    """Reads a history once, in order."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.broken: list[Broken] = []
        self._stories: dict[str, list[Event]] = {}

    def judge(self, history: History, end: float) -> list[Broken]:
        """All that is broken, in the order in which it was seen; `end`: the run's end, in ms."""
        self.broken, self._stories = [], {}
        for event in history.events:
            if event.rpc:
                self._stories.setdefault(event.rpc, []).append(event)
        slack = self.rules.slack_ms
        self._away = [
            (e.who, e.at, e.at + e.value + slack) for e in history.events if e.kind == "away"
        ]
        self._away += [
            (e.who, e.at - slack, e.at + slack) for e in history.events if e.kind == "stop"
        ]
        self._apart = [
            (e.what, e.who, e.at, e.at + e.value + slack)
            for e in history.events
            if e.kind == "apart"
        ]
        self._unread = {(e.who, e.port) for e in history.events if e.kind == "unread"}
        self._places = {
            e.who: tuple(e.what.split(" ")) for e in history.events if e.kind == "place"
        }
        self._network(history)
        for rpc, story in self._stories.items():
            self._rpc(rpc, story, end)
        self._servers(history)
        self.broken.sort(key=lambda b: (b.at, b.rpc, b.rule))
        return self.broken

    def _network(self, history: History) -> None:
        """A transmission that its node has closed is out no more, whenever its server learns of
        it."""
        on: dict[tuple[str, int], tuple[str, str]] = {}
        ended: dict[tuple[str, int], None] = {}  # closed so far; no port is used twice
        for e in history.events:
            if e.kind == "came":
                on[e.what, e.port] = e.rpc, e.who
                if (
                    e.what,
                    e.port,
                ) in ended:  # it was on its way when its node closed the connection
                    self._stories[e.rpc].append(Event(e.at, "closed", e.who))
            elif e.kind == "closed":
                ended[e.who, e.port] = None
                if (e.who, e.port) in on:
                    rpc, server = on.pop((e.who, e.port))
                    self._stories[rpc].append(Event(e.at, "closed", server))
        for story in self._stories.values():
            story.sort(key=lambda e: e.at)

    def _excused(self, node: str, since: float, until: float) -> bool:
        """Whether the node's process was stopped, or died, in that span."""
        return any(
            who == node and begun <= until and end >= since for who, begun, end in self._away
        )

    def _cut(self, outside: str, node: str, since: float, until: float) -> float:
        """When the last cut between them that touches that span ends; `since` where there is none.
        `outside`:
        clients or discovery."""
        cuts = ((begun, end) for o, n, begun, end in self._apart if (o, n) == (outside, node))
        return max((end for begun, end in cuts if begun <= until and end >= since), default=since)

    def _say(self, rule: str, at: float, rpc: str, why: str) -> None:
        self.broken.append(Broken(rule, at, rpc, why, tuple(self._stories.get(rpc, ()))))

    # ---- one RPC

    def _rpc(self, rpc: str, story: list[Event], end: float) -> None:
        asked = next((e for e in story if e.kind == "asked"), None)
        if asked is None:
            self._say("unknown", story[0].at, rpc, "a server was sent an RPC that no client asked")
            return
        hard = asked.at + asked.value
        # Danger: what a cut held back counts from when it came to the node.
        healed = self._cut("clients", asked.who, asked.at, hard)
        ends = [e for e in story if e.kind in ("answered", "lost", "left")]
        answers = [e for e in ends if e.kind == "answered"]
        if len(answers) > 1:
            self._say("rule 1", answers[1].at, rpc, "answered twice")
        lost = next((e for e in ends if e.kind == "lost"), None)
        if lost is not None:
            crossed = (
                lost.who,
                lost.port,
            ) in self._unread or lost.at - asked.at < self.rules.crossing_ms
            crossed |= healed > asked.at
            if not crossed and not self._excused(lost.who, lost.at - self.rules.slack_ms, lost.at):
                self._say("rule 1", lost.at, rpc, "its connection was ended with no answer")
        if any(e.what == "wrong" for e in answers):
            self._say(
                "rule 1", answers[0].at, rpc, "served with a value that was made for another RPC"
            )
        over = min((e.at for e in ends), default=float("inf"))
        late = hard + self.rules.slack_ms
        if (
            over > late
            and end > late
            and healed == asked.at
            and not self._excused(asked.who, asked.at, hard)
        ):
            why = (
                "not answered before its hard deadline"
                if over > end
                else f"answered {over - hard:.1f} ms late"
            )
            self._say("rule 1", hard, rpc, why)
        closed = min(over, hard) + self.rules.slack_ms
        if (
            healed > asked.at
        ):  # the node neither knows that its client has gone, nor since when it asked
            closed = healed + asked.value + self.rules.slack_ms
        kinds = ("came", "sent", "dropped", "closed")
        self._transmissions(rpc, asked, [e for e in story if e.kind in kinds], closed)
        effects = [e for e in story if e.kind == "effect"]
        if len(effects) > 1 and not self.rules.retriable.get(asked.what, True):
            self._say("rule 2", effects[1].at, rpc, f"{len(effects)} effects")

    def _transmissions(self, rpc: str, asked: Event, events: list[Event], closed: float) -> None:
        out: list[
            tuple[str, float]
        ] = []  # servers at which one is out, and since when beside another
        method = asked.what
        came = ran = 0
        for e in events:
            if e.kind == "came":
                came += 1
                # What a stopped server finds when it goes on was sent before.
                stood = self._excused(e.who, e.at - self.rules.slack_ms, e.at)
                if e.at > closed and not stood and not self._excused(asked.who, asked.at, e.at):
                    self._say(
                        "rule 1", e.at, rpc, "sent after its final answer or its hard deadline"
                    )
                out = [(server, min(since, e.at)) for server, since in out]
                if ran and not self.rules.retriable.get(method, True):
                    self._say("rule 2", e.at, rpc, "sent again though it may have run")
                kinds, zones = self.rules.bound.get(method, ((), ()))
                place = self._places.get(e.who)  # the origin has none, and is open to all
                if place and (
                    (kinds and place[0] not in kinds) or (zones and place[1] not in zones)
                ):
                    why = f"sent to {e.who} ({', '.join(place)}), which is not open to {method}"
                    self._say("placement", e.at, rpc, why)
                if came > self.rules.most_transmissions:
                    self._say("transmissions", e.at, rpc, f"transmission number {came}")
                out.append((e.who, float("inf")))
            else:
                for place in [p for p in out if p[0] == e.who][:1]:
                    out.remove(place)
                    self._copies(rpc, place, e.at)
                ran += e.kind != "sent" or e.what not in ("busy", "miss", "pending")

        for place in out:
            self._copies(rpc, place, float("inf"))

    def _copies(self, rpc: str, place: tuple[str, float], until: float) -> None:
        server, since = place
        if (
            since < float("inf")
            and until - since > self.rules.overlap_ms
            and not self.rules.hedging_allowed
        ):
            self._say("second copy", since, rpc, f"sent again while it was still out at {server}")

    # ---- figures

    def figures(self, history: History, told: Mapping[str, Mapping[str, int]]) -> list[Broken]:
        """What nodes counted, by node, all its processes together, against what clients and
        servers saw. What
        a client abandoned may be counted or not, and what was cut off on its way to a server."""
        method = {e.rpc: e.what for e in history.events if e.kind == "asked"}
        seen: dict[tuple[str, str], int] = {}  # node, figure
        abandoned: dict[
            tuple[str, str], int
        ] = {}  # node, method: RPCs with no answer that a client saw
        came, cut = dict[str, int](), dict[str, int]()

        def one(counts: dict, key: object, by: int = 1) -> None:
            counts[key] = counts.get(key, 0) + by

        for e in history.events:
            if e.kind == "asked":
                one(abandoned, (e.who, e.what))
            elif e.kind == "answered" and e.what in FIGURES and e.rpc in method:
                one(abandoned, (e.who, method[e.rpc]), -1)
                one(seen, (e.who, f"{FIGURES[e.what]}.{method[e.rpc]}"))
            elif e.kind in ("came", "closed"):
                one(came if e.kind == "came" else cut, e.what if e.kind == "came" else e.who)
        broken = []
        for node, counts in sorted(told.items()):
            rows = [("upstream_requests", came.get(node, 0), 2 * FIGURE_PART, cut.get(node, 0))]
            for of in sorted(set(method.values())):
                for kind in FIGURES.values():
                    left = abandoned.get((node, of), 0)
                    rows.append(
                        (f"{kind}.{of}", seen.get((node, f"{kind}.{of}"), 0), FIGURE_PART, left)
                    )
            for name, there, part, more in rows:
                said, off = counts.get(name, 0), max(FIGURE_OFF, part * there)
                if not there - off <= said <= there + off + more:
                    why = f"{node} counted {name} {said}, the others saw {there} and at most {more} more"  # noqa: E501
                    broken.append(Broken("figures", 0.0, "", why))
        return broken

    # ---- servers

    def _servers(self, history: History) -> None:
        told: dict[tuple[str, str], float] = {}  # (node, server): since when it is to be left alone
        changed: dict[str, float] = {}  # a server that is not in service: since when
        by_hand: dict[
            tuple[str, str], float
        ] = {}  # (node, server): since when it is left out by hand
        back: list[tuple[str, str, float]] = []  # node, server, when it was called back
        traffic, troubled = list[tuple[float, str]](), list[tuple[float, str]]()
        used: dict[tuple[str, str], float] = {}  # (node, server): the last transmission
        for e in history.events:
            if e.kind == "told" and " " in e.what:
                server, health = e.what.split(" ")
                if health == "in_service":
                    told.pop((e.who, server), None)
                else:
                    told.setdefault((e.who, server), self._cut("discovery", e.who, e.at, e.at))
            elif e.kind == "listed":
                if e.what == "in_service":
                    changed.pop(e.who, None)
                else:
                    changed.setdefault(e.who, e.at)
            elif e.kind == "came" and self._excused(e.who, e.at - self.rules.slack_ms, e.at):
                used[e.what, e.who] = e.at
            elif e.kind == "came":
                late = changed.get(e.who, float("inf")) + self.rules.gone_told_ms
                since = min(told.get((e.what, e.who), float("inf")), late)
                if e.at > since + self.rules.drain_grace_ms + self.rules.slack_ms:
                    why = f"sent to {e.who} {e.at - since:.0f} ms after it was told to drain"
                    self._say("rule 3", e.at, e.rpc, why)
                since = by_hand.get((e.what, e.who), float("inf"))
                if e.at > since + self.rules.drain_grace_ms + self.rules.slack_ms:
                    why = f"sent to {e.who} {e.at - since:.0f} ms after it was left out by hand"
                    self._say("rule 3", e.at, e.rpc, why)
                used[e.what, e.who] = e.at
            elif e.kind == "banned":
                by_hand.setdefault((e.who, e.what), e.at)
            elif e.kind == "back":
                by_hand.pop((e.who, e.what), None)
                back.append((e.who, e.what, e.at))
            elif (
                e.kind == "stop"
            ):  # it knows of bans from calls alone, and the next process was not called
                by_hand = {pair: at for pair, at in by_hand.items() if pair[0] != e.who}
            elif e.kind == "cut":
                if self.rules.heads and not self._excused(e.who, e.at - HEAD_MS, e.at):
                    self._say(
                        "head", e.at, "", f"{e.who} closed an honest client that was still writing"
                    )
            elif e.kind == "held":
                self._say(
                    "drain",
                    e.at,
                    "",
                    f"{e.who} holds {e.value:.0f} clients' connections in a drain",
                )
            elif e.kind == "call" and e.what != "well":
                if not self._excused(e.who, e.at - CALL_MS, e.at):
                    self._say("door", e.at, "", f"{e.who}: {e.what}")
            if e.kind in ("came", "back"):
                traffic.append((e.at, e.what if e.kind == "came" else ""))
            elif e.kind in ("down", "banned", "stop", "held", "leaving") or (
                e.kind == "listed" and e.what != "in_service"
            ):
                troubled.append((e.at, e.what if e.kind == "banned" else e.who))
            elif e.kind == "fell":
                self._say(
                    "rule 4",
                    e.at,
                    e.rpc,
                    f"{e.who} was pushed over while cold: {e.value:.1f} times its work",
                )
        end = history.events[-1].at if history.events else 0.0
        for node, server, at in back:
            until = at + self.rules.unused_ms
            # What a node does not do for want of RPCs, or as the server was down or out again, is
            # no fault.
            busy = sum(who == node and at < t <= until for t, who in traffic) >= BUSY_RPCS
            well = not any(who in (node, server) and at < t <= until for t, who in troubled)
            if end > until and busy and well and used.get((node, server), -1.0) < at:
                self._say(
                    "unused", at, "", f"{node} did not use {server} again after it was called back"
                )
