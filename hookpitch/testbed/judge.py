"""Judges a recorded history by the four rules of a deployment.

Rule 1: an RPC gets one answer, in time, and is not sent afterwards. Rule 2: an RPC that is not
idempotent takes effect at most once, and is not sent again once a server may have executed it.
Rule 3: after a grace period, a node sends nothing to a server that is out of service or banned.
Rule 4: a cold server is not overloaded. Other checks have a name instead of a number.

A history has what clients, servers, origin and discovery observed. What nodes report of
themselves is not used, except that `check_counters` compares their counters with the history. A
violation names the rule and contains all events of its RPC. Times are in milliseconds; every time
limit is extended by `Rules.tolerance_ms`.
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
    """Applies the rules of one deployment to histories."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def judge(self, history: History, end: float) -> list[Violation]:
        """Return all violations, ordered by time; `end` is the time at which the run ended."""
        context = CheckContext(self.rules, history)
        RpcChecks(context).check_all(end)
        ServerChecks(context).check_all()
        context.violations.sort(key=lambda violation: (violation.at, violation.rpc, violation.rule))
        return context.violations

    def check_counters(
        self, history: History, counters: Mapping[str, Mapping[str, int]]
    ) -> list[Violation]:
        """Return a violation for each counter that differs from what was observed."""
        return check_counters(history, counters)
