"""Estimates how recent the news is that a heartbeat of the event bus confirms.

A heartbeat carries the last event's number as of when it was written, which may be long before it is read:
after a slow link or a stalled process many are read at once. It can't have been written before the connection
was opened, nor sooner than one interval after its predecessor, so it is trusted for no more than that. The
bus in turn learns of a change some time after it, while a drain counts from the change itself.
"""

from __future__ import annotations

INTERVAL_MS = 1000.0  # between two heartbeats, by the protocol
PROPAGATION_DELAY_MS = 1000.0  # from a change until the bus has it, which takes up to 0.9 s


class Heartbeats:
    """The heartbeats of one connection, whose dial began at `started_at`. All times are of one clock."""

    def __init__(self, started_at: float) -> None:
        self.started_at, self.written_at = started_at, started_at - INTERVAL_MS
        self.first_delay_ms: float | None = None  # from the start of the dial to the first heartbeat

    def record(self, now: float) -> float:
        """Record a heartbeat; return the time up to which it confirms changes, if its number is the last."""
        self.written_at = min(now, self.written_at + INTERVAL_MS)
        if self.first_delay_ms is None:
            self.first_delay_ms = now - self.started_at
        return self.written_at - PROPAGATION_DELAY_MS

    def lags(self, now: float, max_lag_ms: float) -> bool:
        """Return whether infrequent heartbeats have left the estimate more than `max_lag_ms` behind.

        A lag that the first heartbeat already had comes from the link; a new connection would have it too.
        """
        lag = now - self.written_at
        return self.first_delay_ms is not None and lag > max(max_lag_ms, 2 * self.first_delay_ms)
