"""The operator's [door] table."""

from __future__ import annotations

import msgspec


class DoorError(ValueError):
    """A key that can't be used; the message begins with its name."""


class DoorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Fair queues before the module. Times are milliseconds."""

    queue: int = 2048  # calls that wait; at the bound the least worth of the busiest leaves
    inside_first: int = 64  # calls handed on and not ended: at the start, and its bounds
    inside_least: int = 8
    inside_most: int = 4096
    wait_share: float = 0.45  # of a call's time that it may wait here
    promises: int = 20_000  # clients that were told when to come back

    def check(self) -> None:
        for key, least, most in (
            ("queue", 1, 1_000_000),
            ("inside_least", 1, 100_000),
            ("inside_first", self.inside_least, self.inside_most),
            ("inside_most", self.inside_least, 1_000_000),
            ("wait_share", 0.01, 0.5),
            ("promises", 0, 1_000_000),
        ):
            if not least <= getattr(self, key) <= most:
                raise DoorError(f"door.{key}: {least:g} to {most:g} is wanted")
