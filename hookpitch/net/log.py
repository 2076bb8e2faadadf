"""Log lines, written with structlog: one JSON object a line, on standard error."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog
from twisted.logger import LogLevel, globalLogPublisher

from hookpitch.core.counters import Counters

LINES_MOST = 64  # of faults in full; further ones are only counted


class _Sink:
    """Danger: a log that nobody reads any more must not end the node."""

    def __init__(self, file: TextIO) -> None:
        self._file = file

    def write(self, text: str) -> None:
        try:
            self._file.write(text)
            self._file.flush()
        except (OSError, ValueError):
            pass

    def flush(self) -> None:
        pass


def start(name: str, counters: Counters) -> Any:  # noqa: ANN401
    """The node's logger. Faults that Twisted catches go there as well, and are counted."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=_Sink(sys.stderr)),  # type: ignore[arg-type]
    )
    logger = structlog.get_logger().bind(node=name)

    def observe(event: dict[str, Any]) -> None:
        if event.get("log_level") in (LogLevel.error, LogLevel.critical):
            counters.add("faults")
            if counters.counts["faults"] <= LINES_MOST:
                failure = event.get("log_failure")
                text = failure.getTraceback() if failure else str(event.get("log_format"))
                logger.error("fault", text=text)

    globalLogPublisher.addObserver(observe)
    return logger
