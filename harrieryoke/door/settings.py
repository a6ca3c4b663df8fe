"""The [door] table of the operator's file."""

from __future__ import annotations

import msgspec


class DoorError(ValueError):
    """An invalid value; the message begins with the key's name."""


class DoorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Fair queues before the decision module. Times are milliseconds."""

    queue: int = 2048  # waiting calls; at the bound the least worth of the busiest tenant is evicted
    inside_first: int = 64  # initial limit on the calls in flight; the next two are its bounds
    inside_least: int = 8
    inside_most: int = 4096
    wait_share: float = 0.45  # of the time to a call's deadline that it may wait in the queue
    promises: int = 20_000  # clients with a reservation to return

    def check(self) -> None:
        """Check all values. Raises DoorError."""
        for key, minimum, maximum in (
            ("queue", 1, 1_000_000),
            ("inside_least", 1, 100_000),
            ("inside_first", self.inside_least, self.inside_most),
            ("inside_most", self.inside_least, 1_000_000),
            ("wait_share", 0.01, 0.5),
            ("promises", 0, 1_000_000),
        ):
            if not minimum <= getattr(self, key) <= maximum:
                raise DoorError(f"door.{key}: must be between {minimum:g} and {maximum:g}")
