"""Log lines, written with structlog: one JSON object a line, on standard error."""

from __future__ import annotations

import contextlib
import os
import stat
from typing import Any

import structlog
from twisted.logger import LogLevel, globalLogPublisher

from hookpitch.core.counters import Counters

MAX_FAULT_LINES = 64  # of faults in full; further ones are only counted


class _Sink:
    """Danger: a log that nobody reads or holds any more must not stop the node. Lines are left
    out."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        with contextlib.suppress(OSError):
            if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
                os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError):
            os.write(self._descriptor, text.encode(errors="replace"))

    def flush(self) -> None:
        pass


def start_logging(name: str, counters: Counters) -> Any:  # noqa: ANN401
    """The node's logger. Faults that Twisted catches go there as well, and are counted."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=_Sink(2)),  # type: ignore[arg-type]
    )
    logger = structlog.get_logger().bind(node=name)

    def observe(event: dict[str, Any]) -> None:
        if event.get("log_level") in (LogLevel.error, LogLevel.critical):
            counters.add("faults")
            if counters.counts["faults"] <= MAX_FAULT_LINES:
                failure = event.get("log_failure")
                text = failure.getTraceback() if failure else str(event.get("log_format"))
                logger.error("fault", text=text)

    globalLogPublisher.addObserver(observe)
    return logger
