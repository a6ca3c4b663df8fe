"""The operators' log: lines on standard error, rate-limited for each kind of line."""

from __future__ import annotations

import sys
import time
from contextlib import suppress

# never omitted: each tells of calls that were lost
UNLIMITED_KINDS = frozenset({"calls-dropped", "end-fault"})


class Log:
    """Writes log lines. `kind` is the fixed first word, listed on the on-call page."""

    def __init__(self, name: str = "-", lines_per_s: int = 20) -> None:
        self.name, self.lines_per_s = name, lines_per_s
        self.lines_in_second: dict[str, int] = {}
        self.current_second = 0
        self.totals: dict[str, int] = {}

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        """Write a line, unless the kind has reached its rate limit; omitted lines are counted.

        `fields` are for structured logs; here they follow the text.
        """
        now = time.time()
        if int(now) != self.current_second:
            for limited, count in self.lines_in_second.items():
                if count > self.lines_per_s and limited not in UNLIMITED_KINDS:
                    self.try_write_line(
                        now, "log-limited", f"{limited}: {count - self.lines_per_s} lines omitted"
                    )
            self.current_second, self.lines_in_second = int(now), {}
        self.totals[kind] = self.totals.get(kind, 0) + 1
        self.lines_in_second[kind] = self.lines_in_second.get(kind, 0) + 1
        if self.lines_in_second[kind] <= self.lines_per_s or kind in UNLIMITED_KINDS:
            self.try_write_line(now, kind, text, fields)

    def try_write_line(
        self, now: float, kind: str, text: str, fields: dict[str, object] | None = None
    ) -> None:
        """Write a line; on an error, such as a full disk, only the line is lost."""
        with suppress(OSError):
            self.write_line(now, kind, text, fields)

    def format_time(self, now: float, format: str = "%H:%M:%S") -> str:
        """Format a Unix time in UTC, with milliseconds."""
        return time.strftime(format, time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        """Write one line to standard error."""
        suffix = "".join(f" {key}={value}" for key, value in (fields or {}).items())
        print(
            f"{self.format_time(now)} {self.name} {kind} {text}{suffix}".rstrip(), file=sys.stderr, flush=True
        )
