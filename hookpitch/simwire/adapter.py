"""Hosts many nodes for the simulator: reads batches of lines, and writes a reply to each batch.

State: the nodes by name, and the time of the current batch. A line that cannot be parsed is
reported on the error stream and affects nothing else. Only the nodes that a batch addresses write
to its reply.
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

MAX_QUOTED = 200  # characters of a line in the message of an error
MAX_ENTRY_QUOTED = 120  # characters of an ENTRY line

# Handles a message to one node; the text holds the values of the line, separated by spaces.
Handler = Callable[[SimulatedNode, Router, str], None]


class Adapter:
    """Reads batches from `source`, writes replies to `sink` and error messages to `errors`."""

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.nodes: dict[str, SimulatedNode] = {}
        self._source = source
        self._sink = sink
        self._errors = errors
        self._lines: list[str] = []  # the lines of the current reply
        self._addressed: dict[str, SimulatedNode] = {}  # the nodes to reply for, in order
        self._now = 0.0
        self._handlers: dict[str, Handler] = {
            "REQUEST": self._handle_request,
            "TIMEOUT_FIRED": self._handle_timer,
            "CLIENT_GONE": self._handle_client_gone,
            "SETTLED": self._handle_settled,
            "ACCEPTED": self._handle_accepted,
            # These answer a probe or a message of a node, and no node sends any.
            "PEER_DATA": self._ignore,
            "SAMPLED": self._ignore,
        }

    def run(self) -> None:
        """Handle lines until the source ends."""
        lines = iter(self._source)
        for raw_line in lines:
            line = raw_line.rstrip("\r\n")
            try:
                self._handle_line(line, lines)
            except ValueError as error:
                quoted = f"{line[:MAX_QUOTED]!r}"
                print(f"hookpitch: {error}: {quoted}", file=self._errors, flush=True)

    def _handle_line(self, line: str, following: Iterator[str]) -> None:
        message_name, _, values_text = line.partition(" ")
        if message_name == "EOB":
            self._write_reply()
        elif message_name == "BEGIN_BATCH":
            self._now = parse_ms(values_text)
        elif message_name == "HELLO":
            self._handle_hello(values_text)
        elif message_name == "PEERS_KNOWN":
            self._handle_peers_known(values_text, following)
        elif message_name == "EXIT":
            self._handle_exit(values_text)
        elif line:
            self._handle_event(message_name, values_text)

    def _write_reply(self) -> None:
        addressed = self._addressed
        self._addressed = {}
        for node in addressed.values():
            node.reply(self._now)
        self._lines.append("ACK\n")
        self._sink.write("\n".join(self._lines))
        self._sink.flush()
        self._lines.clear()

    # ---- lines of one node

    def _handle_event(self, message_name: str, values_text: str) -> None:
        handler = self._handlers.get(message_name)
        if handler is None:
            raise WireError(f"unknown message {message_name!r}")
        node, router = self._find_started_node(values_text)
        handler(node, router, values_text)

    def _find_started_node(self, values_text: str) -> tuple[SimulatedNode, Router]:
        name = values_text.partition(" ")[0]
        node = self.nodes.get(name)
        if node is None or node.router is None:
            raise WireError(f"node {name!r} is unknown or was not started")
        return node, node.router

    def _mark_addressed(self, node: SimulatedNode) -> None:
        self._addressed[node.name] = node

    def _handle_hello(self, values_text: str) -> None:
        name, seed, settings = split_values(values_text, 3)
        node = self.nodes[name] = SimulatedNode(name, self._lines)
        self._mark_addressed(node)
        try:
            deployment = parse_deployment(int(seed), json.loads(settings))
        except ValueError as error:
            node.settings_error = str(error)
            raise
        node.start(self._now, deployment)

    def _handle_exit(self, values_text: str) -> None:
        name = values_text.partition(" ")[0]
        if name not in self.nodes:
            raise WireError(f"node {name!r} is unknown")
        del self.nodes[name]
        self._addressed.pop(name, None)

    def _handle_request(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        values = split_values(values_text, 9)
        self._mark_addressed(node)
        request = codec.parse_request(values)
        router.rpc_arrived(
            self._now,
            request.rpc_id,
            request.key,
            request.method,
            request.tenant,
            request.write,
            request.timeout_ms,
            0.0,
            request.work_ms,
        )

    def _handle_settled(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        values = split_values(values_text, 9)
        self._mark_addressed(node)
        ended = codec.parse_settled(values)
        router.attempt_ended(
            self._now,
            ended.rpc_id,
            ended.attempt,
            ended.outcome,
            ended.ends_rpc,
            ended.latency_ms,
            ended.report,
        )

    def _handle_accepted(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        values = split_values(values_text, 5)
        self._mark_addressed(node)
        started = codec.parse_accepted(values)
        router.stream_started(self._now, started.rpc_id, started.attempt)

    def _handle_client_gone(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        self._mark_addressed(node)
        router.client_disconnected(self._now, split_values(values_text, 2)[1])

    def _handle_timer(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        self._mark_addressed(node)
        router.timer_fired(self._now)

    def _ignore(self, node: SimulatedNode, router: Router, values_text: str) -> None:
        self._mark_addressed(node)

    # ---- endpoint lists, the only message of several lines

    def _handle_peers_known(self, values_text: str, following: Iterator[str]) -> None:
        receiver = self.nodes.get(values_text.partition(" ")[0])
        kind_names = receiver.kind_names if receiver is not None else ()
        endpoints, entry_error = self._read_endpoints(values_text, following, kind_names)
        node, router = self._find_started_node(values_text)
        if entry_error:
            raise WireError(entry_error)
        self._mark_addressed(node)
        kind = EndpointUpdate(int(split_values(values_text, 4)[1]))
        node.endpoints_received(self._now, kind)
        if kind != EndpointUpdate.FAILED:
            router.update_endpoints(self._now, kind, endpoints)

    @staticmethod
    def _read_endpoints(
        values_text: str, following: Iterator[str], kind_names: tuple[str, ...]
    ) -> tuple[list[Endpoint], str]:
        """Parse the ENTRY lines that follow; return the endpoints and the last error message.

        All ENTRY lines are consumed, even if one is malformed or the node is unknown.
        """
        values = values_text.split(" ")
        if len(values) != 4:
            return [], "expected 4 values after PEERS_KNOWN"
        count = int(values[3]) if values[3] != codec.ABSENT else 0
        endpoints: list[Endpoint] = []
        entry_error = ""
        for _ in range(count):
            line = next(following, "").rstrip("\r\n")
            try:
                endpoints.append(codec.parse_endpoint(line, kind_names))
            except ValueError as error:
                entry_error = f"{error} in {line[:MAX_ENTRY_QUOTED]!r}"
        return endpoints, entry_error


def main() -> None:
    """Run the adapter on standard input and output."""
    # Most objects that the imports created live as long as the process, so scanning them is wasted.
    gc.freeze()
    Adapter(sys.stdin, sys.stdout, sys.stderr).run()
