"""The [store] table of the operator's configuration."""

from __future__ import annotations

import msgspec

from .decide.commit import SYNC_POLICIES


class StoreError(ValueError):
    """An invalid [store] key or an unusable directory; the message begins with the key."""


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where and how records are stored."""

    folder: str
    sync: str = "group"  # when a record counts as durable: see docs/store.md
    interval_ms: float = 50.0
    queue_mb: float = 8.0  # records not yet durable; beyond this, records are refused and counted
    segment_mb: float = 64.0
    budget_mb: float = 1024.0  # beyond it the oldest segments are removed, even if needed, and reported
    snapshot_every: int = 100_000  # records

    def check(self) -> None:
        if self.sync not in SYNC_POLICIES:
            raise StoreError(f"store.sync: must be one of {', '.join(SYNC_POLICIES)}, not {self.sync!r}")
        for key, minimum, maximum in (
            ("interval_ms", 1, 60_000),
            ("queue_mb", 0.01, 1024),
            ("segment_mb", 0.01, 4096),
            ("budget_mb", 2 * self.segment_mb, 1e9),
            ("snapshot_every", 100, 1e9),
        ):
            if not minimum <= getattr(self, key) <= maximum:
                raise StoreError(f"store.{key}: must be between {minimum:g} and {maximum:g}")
