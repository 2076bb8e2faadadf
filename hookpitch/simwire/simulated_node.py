"""One node of the simulator: its router, and the host that writes the router's decisions as lines.

State: the router, which is None until its settings have been parsed; if discovery has to be polled,
the schedule of polls and the time of the wake-up requested for the next poll.
"""

from __future__ import annotations

from hookpitch.balancer.interface import Deployment, EndpointUpdate
from hookpitch.balancer.router import Router
from hookpitch.core.seeded_random import seeded_random
from hookpitch.simwire.codec import ABSENT, format_seconds
from hookpitch.startup.poll_schedule import NEVER, PollSchedule, WatchLoss

DEFAULT_POLL_INTERVAL_MS = 10000.0
# Times are written rounded to microseconds. The margin keeps wake-ups from coming too early.
WAKEUP_MARGIN_MS = 0.0005


class SimulatedNode:
    """A RouterHost that writes each call as a line; all nodes of a batch share `lines`."""

    def __init__(self, name: str, lines: list[str]) -> None:
        self.name = name
        self.lines = lines
        self.router: Router | None = None
        self.kind_names: tuple[str, ...] = ()
        self.settings_error = ""  # written with the next reply, then cleared
        self.poll_schedule: PollSchedule | None = None
        self._wakeup_at = NEVER

    def start(self, now: float, deployment: Deployment) -> None:
        """Create the router and, if discovery has to be polled, the schedule of polls."""
        self.kind_names = deployment.kinds
        self.router = Router(now, deployment)
        if deployment.polling_required:
            interval_ms = deployment.poll_interval_ms or DEFAULT_POLL_INTERVAL_MS
            random = seeded_random(deployment.seed, "ask")
            self.poll_schedule = PollSchedule(now, deployment.nodes, interval_ms, random)

    def reply(self, now: float) -> None:
        """Write the lines of the reply to a batch."""
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
        """Write that an attempt is sent."""
        timeout = format_seconds(timeout_ms)
        self.lines.append(f"RELAY {self.name} {rpc_id} {backend_id} {timeout}")

    def cancel(self, rpc_id: str, attempt: int) -> None:
        """Write that an attempt is cancelled."""
        self.lines.append(f"RETRACT {self.name} {rpc_id} {attempt}")

    def reject(self, rpc_id: str, retry_after_ms: float) -> None:
        """Write that an RPC is rejected."""
        retry_after = format_seconds(retry_after_ms) if retry_after_ms > 0 else ABSENT
        self.lines.append(f"REJECT {self.name} {rpc_id} {retry_after}")

    def fail(self, rpc_id: str) -> None:
        """Write that an RPC has failed."""
        self.lines.append(f"LOSE {self.name} {rpc_id}")

    def close_idle(self, backend_id: str) -> None:
        """Write that the idle connections to a backend are closed."""
        self.lines.append(f"SHUT_IDLE {self.name} {backend_id}")

    def schedule_wakeup(self, at_ms: float) -> None:
        """Write when the node has to be woken up."""
        self.lines.append(f"TIMER {self.name} {format_seconds(at_ms + WAKEUP_MARGIN_MS)} 0")

    def backend_ejected(self, backend_id: str, failures: int) -> None:
        """Write a record of an ejection; its text is part of the protocol."""
        self._write_record(f"{backend_id} off the path after {failures} failures in a row")

    def backend_recovered(self, backend_id: str) -> None:
        """Write a record of a recovery; its text is part of the protocol."""
        self._write_record(f"{backend_id} back on the path")

    def _write_record(self, text: str) -> None:
        self.lines.append(f"RECORD {self.name} {text}")

    # ---- discovery

    def poll(self, now: float) -> None:
        """Poll discovery if a poll is due, and request a wake-up for the next poll."""
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
        """Update the schedule of polls after an answer of discovery."""
        if self.poll_schedule is None or kind == EndpointUpdate.CACHED:
            return
        if kind == EndpointUpdate.FAILED:
            self.poll_schedule.poll_failed(now, WatchLoss.ENDED)
        else:
            self.poll_schedule.endpoints_received()
