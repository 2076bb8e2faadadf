"""Hosts many nodes on the bench's wire: reads batches of lines, and writes a reply to each.

State: the nodes by name, and the time of the batch at hand. A line that cannot be read is named on
the error stream and harms nothing else. Only nodes that a batch has touched write to its reply.
"""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from hookpitch.balancer.deployment import parse_deployment
from hookpitch.balancer.interface import Endpoint, EndpointUpdate
from hookpitch.balancer.router import Router
from hookpitch.simwire import codec
from hookpitch.simwire.codec import WireError, parse_ms, split_values
from hookpitch.simwire.simulated_node import SimulatedNode

MAX_QUOTED = 200  # characters of a line that is named
MAX_ENTRY_QUOTED = 120

Handler = Callable[[SimulatedNode, Router, str], None]


class Adapter:
    """Reads batches, writes replies."""

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.nodes: dict[str, SimulatedNode] = {}
        self._source = source
        self._sink = sink
        self._errors = errors
        self._lines: list[str] = []  # of the reply
        self._touched: dict[str, SimulatedNode] = {}  # by this batch, in order
        self._now = 0.0
        self._handlers: dict[str, Handler] = {
            "REQUEST": self._request,
            "TIMEOUT_FIRED": self._timer_fired,
            "CLIENT_GONE": self._client_gone,
            "SETTLED": self._settled,
            "ACCEPTED": self._accepted,
            # No probe or message is ever sent, so none is answered.
            "PEER_DATA": self._ignored,
            "SAMPLED": self._ignored,
        }

    def run(self) -> None:
        """Serve until the source ends."""
        lines = iter(self._source)
        for raw in lines:
            line = raw.rstrip("\r\n")
            try:
                self._line(line, lines)
            except ValueError as error:
                quoted = f"{line[:MAX_QUOTED]!r}"
                print(f"hookpitch: {error}: {quoted}", file=self._errors, flush=True)

    def _line(self, line: str, following: Iterator[str]) -> None:
        word, _, rest = line.partition(" ")
        if word == "EOB":
            self._reply()
        elif word == "BEGIN_BATCH":
            self._now = parse_ms(rest)
        elif word == "HELLO":
            self._hello(rest)
        elif word == "PEERS_KNOWN":
            self._peers_known(rest, following)
        elif word == "EXIT":
            self._exit(rest)
        elif line:
            self._event(word, rest)

    def _reply(self) -> None:
        touched = self._touched
        self._touched = {}
        for node in touched.values():
            node.reply(self._now)
        self._lines.append("ACK\n")
        self._sink.write("\n".join(self._lines))
        self._sink.flush()
        self._lines.clear()

    # ---- lines of one node

    def _event(self, word: str, rest: str) -> None:
        handler = self._handlers.get(word)
        if handler is None:
            raise WireError(f"unknown message '{word}'")
        node, router = self._started_node(rest)
        handler(node, router, rest)

    def _started_node(self, rest: str) -> tuple[SimulatedNode, Router]:
        name = rest.partition(" ")[0]
        node = self.nodes.get(name)
        if node is None or node.router is None:
            raise WireError(f"unknown instance '{name}'")
        return node, node.router

    def _touch(self, node: SimulatedNode) -> None:
        self._touched[node.name] = node

    def _hello(self, rest: str) -> None:
        name, seed, settings = split_values(rest, 3)
        node = self.nodes[name] = SimulatedNode(name, self._lines)
        self._touch(node)
        try:
            deployment = parse_deployment(int(seed), json.loads(settings))
        except ValueError as error:
            node.settings_error = str(error)
            raise
        node.start(self._now, deployment)

    def _exit(self, rest: str) -> None:
        name = rest.partition(" ")[0]
        if name not in self.nodes:
            raise WireError(f"unknown instance '{name}'")
        del self.nodes[name]
        self._touched.pop(name, None)

    def _request(self, node: SimulatedNode, router: Router, rest: str) -> None:
        values = split_values(rest, 9)
        self._touch(node)
        request = codec.parse_request(values)
        router.rpc_arrived(
            self._now,
            request.rpc_id,
            request.key,
            request.method,
            request.tenant,
            request.write,
            request.patience_ms,
            0.0,
            request.work_ms,
        )

    def _settled(self, node: SimulatedNode, router: Router, rest: str) -> None:
        values = split_values(rest, 9)
        self._touch(node)
        settled = codec.parse_settled(values)
        router.attempt_ended(
            self._now,
            settled.rpc_id,
            settled.attempt,
            settled.outcome,
            settled.last,
            settled.took_ms,
            settled.report,
        )

    def _accepted(self, node: SimulatedNode, router: Router, rest: str) -> None:
        values = split_values(rest, 5)
        self._touch(node)
        started = codec.parse_accepted(values)
        router.stream_started(self._now, started.rpc_id, started.attempt)

    def _client_gone(self, node: SimulatedNode, router: Router, rest: str) -> None:
        self._touch(node)
        router.client_disconnected(self._now, split_values(rest, 2)[1])

    def _timer_fired(self, node: SimulatedNode, router: Router, rest: str) -> None:
        self._touch(node)
        router.timer_fired(self._now)

    def _ignored(self, node: SimulatedNode, router: Router, rest: str) -> None:
        self._touch(node)

    # ---- endpoint lists, the one message of several lines

    def _peers_known(self, rest: str, following: Iterator[str]) -> None:
        known = self.nodes.get(rest.partition(" ")[0])
        kind_names = known.kind_names if known is not None else ()
        endpoints, fault = self._read_endpoints(rest, following, kind_names)
        node, router = self._started_node(rest)
        if fault:
            raise WireError(fault)
        self._touch(node)
        kind = EndpointUpdate(int(split_values(rest, 4)[1]))
        node.endpoints_received(self._now, kind)
        if kind != EndpointUpdate.FAILED:
            router.update_endpoints(self._now, kind, endpoints)

    @staticmethod
    def _read_endpoints(
        rest: str, following: Iterator[str], kind_names: tuple[str, ...]
    ) -> tuple[list[Endpoint], str]:
        """Return the ENTRY lines that follow, and the last fault among them.

        All are taken off the wire even where one is at fault, or the node is unknown.
        """
        values = rest.split(" ")
        if len(values) != 4:
            return [], "PEERS_KNOWN has four values"
        count = int(values[3]) if values[3] != codec.ABSENT else 0
        endpoints: list[Endpoint] = []
        fault = ""
        for _ in range(count):
            line = next(following, "").rstrip("\r\n")
            try:
                endpoints.append(codec.parse_endpoint(line, kind_names))
            except ValueError as error:
                fault = f"{error} in {line[:MAX_ENTRY_QUOTED]!r}"
        return endpoints, fault


def main() -> None:
    """Serve standard input and output."""
    gc.freeze()
    Adapter(sys.stdin, sys.stdout, sys.stderr).run()
