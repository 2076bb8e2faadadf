"""The names of the counters that belong to enum values; operators see them in `INFO`."""

from __future__ import annotations

from enum import Enum

from hookpitch.balancer.interface import EndpointUpdate, Outcome

OUTCOME_COUNTERS = {
    Outcome.COMPLETED: "tx.completed",
    Outcome.MISS: "tx.miss",
    Outcome.OBSOLETE: "tx.moot",
    Outcome.CANCELLED: "tx.cancelled",
    Outcome.RESET: "tx.reset",
    Outcome.CONNECT_FAILED: "tx.connect_failed",
    Outcome.TIMEOUT: "tx.timeout",
    Outcome.OVERLOADED: "tx.full",
    Outcome.ERROR: "tx.error",
    Outcome.MALFORMED: "tx.spoilt",
    Outcome.NO_MEMORY: "tx.no_memory",
}
UPDATE_COUNTERS = {
    EndpointUpdate.CACHED: "lists.cached",
    EndpointUpdate.DELTA: "lists.delta",
    EndpointUpdate.SNAPSHOT: "lists.full",
    EndpointUpdate.FAILED: "lists.failed",
}


class FinalResult(Enum):
    """How an RPC was answered: the result's counter, and the prefix of its counters per method."""

    COMPLETED = ("rpcs.completed", "completed")
    REJECTED = ("rpcs.exhausted", "rejected")
    FAILED = ("rpcs.errored", "failed")

    def __init__(self, counter: str, method_prefix: str) -> None:
        self.counter = counter
        self.method_prefix = method_prefix
