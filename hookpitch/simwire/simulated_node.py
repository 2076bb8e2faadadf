"""One node of the bench: its router, and the host that writes the router's decisions as lines.

State: the router, None until its settings could be read; where discovery has to be polled, the
schedule of polls and the wake-up asked for it.
"""

from __future__ import annotations

from hookpitch.balancer.interface import Deployment, EndpointUpdate
from hookpitch.balancer.router import Router
from hookpitch.core.seeded_random import seeded_random
from hookpitch.simwire.codec import ABSENT, format_seconds
from hookpitch.startup.poll_schedule import NEVER, PollSchedule, WatchLoss

DEFAULT_POLL_INTERVAL_MS = 10000.0
WAKEUP_MARGIN_MS = 0.0005  # the wire's times are cut to microseconds: wake after, never before


class SimulatedNode:
    """A RouterHost whose calls become lines; `lines` is shared by all nodes of a batch."""

    def __init__(self, name: str, lines: list[str]) -> None:
        self.name = name
        self.lines = lines
        self.router: Router | None = None
        self.kind_names: tuple[str, ...] = ()
        self.settings_error = ""  # reported with the next reply
        self.poll_schedule: PollSchedule | None = None
        self._wakeup_at = NEVER

    def start(self, now: float, deployment: Deployment) -> None:
        """Make the router, and the schedule of polls where discovery has to be polled."""
        self.kind_names = deployment.kinds
        self.router = Router(now, deployment)
        if deployment.polling_required:
            interval_ms = deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS
            draws = seeded_random(deployment.seed, "ask")
            self.poll_schedule = PollSchedule(now, deployment.nodes, interval_ms, draws)

    def reply(self, now: float) -> None:
        """Write all that is to be said for a batch."""
        if self.settings_error:
            self.lines.append(f"EXCEPTION {self.name} {self.settings_error}")
            self.settings_error = ""
        if self.router is None:
            return
        while self.router.decide(now, self):
            pass
        self.poll(now)

    # ---- the router's host

    def send(self, rpc_id: str, backend_id: str, timeout_ms: float, start_within_ms: float) -> None:
        """Write an attempt."""
        timeout = format_seconds(timeout_ms)
        self.lines.append(f"RELAY {self.name} {rpc_id} {backend_id} {timeout}")

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Write an attempt's cancellation."""
        self.lines.append(f"RETRACT {self.name} {rpc_id} {attempt}")

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Write a rejection."""
        retry_after = format_seconds(retry_after_ms) if retry_after_ms > 0 else ABSENT
        self.lines.append(f"REJECT {self.name} {rpc_id} {retry_after}")

    def fail(self, rpc_id: str) -> None:
        """Write an RPC's failure."""
        self.lines.append(f"LOSE {self.name} {rpc_id}")

    def close_idle(self, backend_id: str) -> None:
        """Write that idle connections are closed."""
        self.lines.append(f"SHUT_IDLE {self.name} {backend_id}")

    def schedule_wakeup(self, at_ms: float) -> None:
        """Write when the node wants to be woken."""
        self.lines.append(f"TIMER {self.name} {format_seconds(at_ms + WAKEUP_MARGIN_MS)} 0")

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Record an ejection."""
        self._record(f"{backend_id} off the path after {failures} failures in a row")

    def backend_recovered(self, backend_id: str) -> None:
        """Record a recovery."""
        self._record(f"{backend_id} back on the path")

    def _record(self, text: str) -> None:
        self.lines.append(f"RECORD {self.name} {text}")

    # ---- discovery

    def poll(self, now: float) -> None:
        """Poll discovery if the time has come, and ask to be woken for the next poll."""
        schedule = self.poll_schedule
        if schedule is None:
            return
        if schedule.due_at <= now:
            schedule.poll_started(now)
            self.lines.append(f"SUBSCRIBE {self.name} 1")
        if schedule.due_at < NEVER and schedule.due_at != self._wakeup_at:
            self._wakeup_at = schedule.due_at
            self.schedule_wakeup(schedule.due_at)

    def endpoints_received(self, now: float, kind: EndpointUpdate) -> None:
        """Keep the schedule in step with discovery's answers."""
        if self.poll_schedule is None or kind == EndpointUpdate.CACHED:
            return
        if kind == EndpointUpdate.FAILED:
            self.poll_schedule.poll_failed(now, WatchLoss.ENDED)
        else:
            self.poll_schedule.endpoints_received()
