"""The node's log: one JSON object per line on standard error, written with structlog."""

from __future__ import annotations

import contextlib
import os
import stat
from typing import Any

import structlog
from twisted.logger import LogLevel, globalLogPublisher

from hookpitch.core.counters import Counters

MAX_FAULT_LINES = 64  # unhandled errors that are logged; further ones are only counted
STANDARD_ERROR = 2


class _LossyStream:
    """Writes to a descriptor, and drops text that would block.

    A log pipe that nobody reads must not stop the node.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        with contextlib.suppress(OSError):
            if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
                os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError):
            os.write(self._descriptor, text.encode(errors="replace"))

    def flush(self) -> None:
        """Do nothing, as nothing is buffered."""


def start_logging(name: str, counters: Counters) -> Any:  # noqa: ANN401 - structlog's logger types are created at run time
    """Return the logger of the node `name`; also log and count errors that Twisted catches."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=_LossyStream(STANDARD_ERROR)),  # type: ignore[arg-type]
    )
    logger = structlog.get_logger().bind(node=name)

    def observe(event: dict[str, Any]) -> None:
        if event.get("log_level") not in (LogLevel.error, LogLevel.critical):
            return
        counters.add("faults")
        if counters.counts["faults"] <= MAX_FAULT_LINES:
            failure = event.get("log_failure")
            text = failure.getTraceback() if failure else str(event.get("log_format"))
            logger.error("fault", text=text)

    globalLogPublisher.addObserver(observe)
    return logger
