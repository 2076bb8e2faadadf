"""Judges a recorded history by the four rules: what clients, servers, origin and discovery saw.

It asks nothing of the node. A violation names its rule and comes with the whole history of its
RPC. Times in ms; on sockets each limit is `Rules.tolerance_ms` longer.
"""

from __future__ import annotations

from collections.abc import Mapping

from hookpitch.fakes.history import History
from hookpitch.testbed.check_context import CheckContext
from hookpitch.testbed.counter_checks import check_counters
from hookpitch.testbed.rpc_checks import RpcChecks
from hookpitch.testbed.rules import Rules, Violation
from hookpitch.testbed.server_checks import ServerChecks


class Judge:
    """Applies one deployment's rules to histories."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def judge(self, history: History, end: float) -> list[Violation]:
        """All violations, ordered by time; `end`: when the run ended."""
        context = CheckContext(self.rules, history)
        RpcChecks(context).check_all(end)
        ServerChecks(context).check_all()
        context.violations.sort(key=lambda one: (one.at, one.rpc, one.rule))
        return context.violations

    def check_counters(
        self, history: History, counters: Mapping[str, Mapping[str, int]]
    ) -> list[Violation]:
        """Violations of nodes that counted other than clients and servers saw."""
        return check_counters(history, counters)
