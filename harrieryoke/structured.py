"""The log by structlog, for installations that read it by machine: JSON, or text with colours for people.

On the platform the lean `log.Log` prints the same kinds and words. Rate limits and counts are its, here too.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec
import structlog

from .log import Log

FORMATS = ("json", "console")


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's [log] table."""

    format: str = "json"  # or "console"


class StructuredLog(Log):
    """One event a line: `at` (ISO, UTC), `invoker`, `event` (the kind), `text`, and its fields."""

    def __init__(self, name: str, lines_per_s: int, told: LogSettings) -> None:
        super().__init__(name, lines_per_s)
        renderer: Any = structlog.dev.ConsoleRenderer()
        if told.format == "json":
            renderer = structlog.processors.JSONRenderer(serializer=encode)
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.add_log_level, renderer],
            invoker=name,
        )

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        stamp = self.format_time(now, "%Y-%m-%dT%H:%M:%S") + "Z"
        told = {"text": text} if text else {}
        self.logger.info(kind, at=stamp, **told, **(fields or {}))


def encode(event: Any, **_: Any) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()
