"""The [background] table of the operator's configuration."""

from __future__ import annotations

import msgspec


class BackgroundError(ValueError):
    """An invalid [background] key; the message begins with the key."""


class BackgroundSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits on all background work together."""

    time_share: float = 0.1  # share of the event loop's time
    mb_per_s: float = 16.0

    def check(self) -> None:
        if not 0.001 <= self.time_share <= 0.9:
            raise BackgroundError("background.time_share: must be between 0.001 and 0.9")
        if not 0.01 <= self.mb_per_s <= 10_000:
            raise BackgroundError("background.mb_per_s: must be between 0.01 and 10000")
