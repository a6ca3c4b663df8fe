"""The operator's [store] table."""

from __future__ import annotations

import msgspec

from .decide.commit import POLICIES


class StoreError(ValueError):
    """A key or a folder that can't be used; the message begins with its name."""


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where and how records are kept."""

    folder: str
    sync: str = "group"  # when a record is durable: see docs/store.md
    interval_ms: float = 50.0
    queue_mb: float = 8.0  # records that wait for the disk; beyond it they are refused and counted
    segment_mb: float = 64.0
    budget_mb: float = 1024.0  # of the folder; beyond it the oldest go, though needed, and are reported
    snapshot_every: int = 100_000  # records

    def check(self) -> None:
        if self.sync not in POLICIES:
            raise StoreError(f"store.sync: one of {', '.join(POLICIES)} is wanted, not {self.sync!r}")
        for key, least, most in (
            ("interval_ms", 1, 60_000),
            ("queue_mb", 0.01, 1024),
            ("segment_mb", 0.01, 4096),
            ("budget_mb", 2 * self.segment_mb, 1e9),
            ("snapshot_every", 100, 1e9),
        ):
            if not least <= getattr(self, key) <= most:
                raise StoreError(f"store.{key}: {least:g} to {most:g} is wanted")
