"""The timer of a server fake: one pending call, at the time when the model's next job finishes."""

from __future__ import annotations

from typing import Any, Protocol

NEVER_MS = float("inf")
MS_PER_S = 1000
EARLY_WAKE_MS = 1e-6  # a timer may fire this much before the time it was set for


class JobServer(Protocol):
    """A server whose jobs finish on time. Its reactor changes when its machine restarts."""

    reactor: Any

    def now(self) -> float:
        """Return milliseconds since the start of the run."""

    def finish_jobs(self) -> None:
        """Answer the jobs that are finished by now."""


class JobTimer:
    """Calls `finish_jobs` at the earliest time it was armed for, then waits to be armed again."""

    def __init__(self, server: JobServer) -> None:
        self._server = server
        self._call: Any = None
        self._due_ms = NEVER_MS

    def arm(self, due_ms: float) -> None:
        """Call back at `due_ms`, unless an earlier call is pending."""
        if due_ms >= self._due_ms:
            return
        self._cancel_call()
        self._due_ms = due_ms
        delay_ms = max(0.0, due_ms - self._server.now())
        self._call = self._server.reactor.callLater(delay_ms / MS_PER_S, self._fire)

    def cancel(self) -> None:
        """Drop the pending call, if there is one."""
        self._cancel_call()
        self._call = None
        self._due_ms = NEVER_MS

    def _cancel_call(self) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _fire(self) -> None:
        self._call = None
        self._due_ms = NEVER_MS
        self._server.finish_jobs()
