"""The operators' log: plain prints to standard error, rate-limited for each kind of line."""

from __future__ import annotations

import sys
import time
from contextlib import suppress


class Log:
    """`kind` is the fixed first word that the on-call page lists; the rest tells of one case."""

    def __init__(self, name: str = "-", lines_per_s: int = 20) -> None:
        self.name, self.lines_per_s = name, lines_per_s
        self.lines_in_second: dict[str, int] = {}
        self.current_second = 0
        self.totals: dict[str, int] = {}

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        """One line, unless this kind has had its lines of this second; what was left out is counted. `fields`
        are for whoever reads by machine; here they come behind the text."""
        now = time.time()
        if int(now) != self.current_second:
            for missed, count in self.lines_in_second.items():
                if count > self.lines_per_s:
                    self.try_write_line(
                        now, "log-limited", f"{missed}: {count - self.lines_per_s} lines left out"
                    )
            self.current_second, self.lines_in_second = int(now), {}
        self.totals[kind] = self.totals.get(kind, 0) + 1
        self.lines_in_second[kind] = self.lines_in_second.get(kind, 0) + 1
        if self.lines_in_second[kind] <= self.lines_per_s:
            self.try_write_line(now, kind, text, fields)

    def try_write_line(
        self, now: float, kind: str, text: str, fields: dict[str, object] | None = None
    ) -> None:
        """Guards whoever has something to tell against a full disk under the log: only the line is lost."""
        with suppress(OSError):
            self.write_line(now, kind, text, fields)

    def format_time(self, now: float, format: str = "%H:%M:%S") -> str:
        return time.strftime(format, time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}"

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        told = "".join(f" {key}={value}" for key, value in (fields or {}).items())
        print(
            f"{self.format_time(now)} {self.name} {kind} {text}{told}".rstrip(), file=sys.stderr, flush=True
        )
