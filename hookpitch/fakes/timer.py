"""The timer of a fake server: one pending call at the time when the model's next job finishes."""

from __future__ import annotations

from typing import Any, Protocol

NEVER_MS = float("inf")
MS_PER_S = 1000
EARLY_WAKE_MS = 1e-6  # a timer may fire this much before its due time


class JobServer(Protocol):
    """A server whose jobs finish at known times.

    Its `reactor` is replaced when its machine restarts.
    """

    reactor: Any

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""

    def finish_jobs(self) -> None:
        """Answer the jobs that have finished."""


class JobTimer:
    """Calls `finish_jobs` once, at the earliest of the times it was armed for."""

    def __init__(self, server: JobServer) -> None:
        self._server = server
        self._call: Any = None
        self._due_ms = NEVER_MS

    def arm(self, due_ms: float) -> None:
        """Schedule a call at `due_ms` unless a call at that time or earlier is pending."""
        if due_ms >= self._due_ms:
            return
        self._cancel_call()
        self._due_ms = due_ms
        delay_ms = max(0.0, due_ms - self._server.now())
        self._call = self._server.reactor.callLater(delay_ms / MS_PER_S, self._fire)

    def cancel(self) -> None:
        """Cancel the pending call, if any."""
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
