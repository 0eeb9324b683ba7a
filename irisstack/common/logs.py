"""Structured logging: one event per line, with the same keys in every process."""

import logging
import sys
import time
from contextlib import suppress
from typing import Literal, TextIO, cast

import structlog

Format = Literal["json", "console"]
LEVELS = ("debug", "info", "warning", "error", "critical")


def _add_monotonic_time(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Add the monotonic time in seconds: timestamps alone cannot tell a step of the wall clock from a gap."""
    event["monotonic_s"] = round(time.monotonic(), 3)
    return event


class _BestEffortStream:
    """A stream that drops lines it cannot write: a full disk must not end the process."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, text: str) -> int:
        with suppress(OSError):
            self._stream.write(text)
        return len(text)

    def flush(self) -> None:
        with suppress(OSError):
            self._stream.flush()


def configure(log_format: Format = "json", level: str = "info", stream: TextIO | None = None) -> None:
    """Configure all loggers of the process; they write to `stream`, standard output by default.

    `json` writes one object per line, `console` aligned text for people (coloured only on a terminal).
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=stream is not None and stream.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_monotonic_time,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, _BestEffortStream(stream or sys.stdout))),
        cache_logger_on_first_use=stream is None,
    )
