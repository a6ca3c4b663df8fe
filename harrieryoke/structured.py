"""Structured logging with structlog, as JSON or as coloured text.

`log.Log`, which the platform uses, writes the same kinds and texts; its rate limits apply here too.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec
import structlog

from .log import Log

FORMATS = ("json", "console")


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The [log] table of the operator configuration file."""

    format: str = "json"  # or "console"


class StructuredLog(Log):
    """Writes one event per line: `at` (ISO, UTC), `invoker`, `event` (the kind), `text`, and the fields."""

    def __init__(self, name: str, lines_per_s: int, settings: LogSettings) -> None:
        super().__init__(name, lines_per_s)
        renderer: Any = structlog.dev.ConsoleRenderer()
        if settings.format == "json":
            renderer = structlog.processors.JSONRenderer(serializer=encode)
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.add_log_level, renderer],
            invoker=name,
        )

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        timestamp = self.format_time(now, "%Y-%m-%dT%H:%M:%S") + "Z"
        text_field = {"text": text} if text else {}
        self.logger.info(kind, at=timestamp, **text_field, **(fields or {}))


def encode(event: Any, **_: Any) -> str:
    """Serialize an event as JSON."""
    return msgspec.json.encode(event, enc_hook=str).decode()
