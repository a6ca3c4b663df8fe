"""The operator's [background] table."""

from __future__ import annotations

import msgspec


class BackgroundError(ValueError):
    """A key that can't be used; the message begins with its name."""


class BackgroundSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Bounds of all background work together."""

    time_share: float = 0.1  # of the loop's time in each second
    mb_per_s: float = 16.0

    def check(self) -> None:
        if not 0.001 <= self.time_share <= 0.9:
            raise BackgroundError("background.time_share: 0.001 to 0.9 is wanted")
        if not 0.01 <= self.mb_per_s <= 10_000:
            raise BackgroundError("background.mb_per_s: 0.01 to 10000 is wanted")
