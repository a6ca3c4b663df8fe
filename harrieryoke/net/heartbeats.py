"""How old the news is that a heartbeat of the event bus brings.

A heartbeat tells what the bus knew when it was written, which may be long before it is read: a slow link or a
process that stood still hands over many at once. It can't have been written before the connection began, nor
sooner than an interval after the one before, so that is what it is trusted for. And the bus hears of a change
some time after it, while a drain counts from the change itself.
"""

from __future__ import annotations

INTERVAL_MS = 1000.0  # between two heartbeats, by the protocol
PROPAGATION_DELAY_MS = 1000.0  # from a change until the bus has it; 0.6 to 0.9 s were seen on four days


class Heartbeats:
    """Those of one connection, which began to be made at `begun`. Times are milliseconds of one clock."""

    def __init__(self, started_at: float) -> None:
        self.started_at, self.written_at = started_at, started_at - INTERVAL_MS
        self.first_delay_ms: float | None = None  # from the connection's begin to the first heartbeat

    def record(self, now: float) -> float:
        """One more has been read: return as of when all changes have come, if its number is ours."""
        self.written_at = min(now, self.written_at + INTERVAL_MS)
        if self.first_delay_ms is None:
            self.first_delay_ms = now - self.started_at
        return self.written_at - PROPAGATION_DELAY_MS

    def lags(self, now: float, max_lag_ms: float) -> bool:
        """Whether heartbeats that come more rarely than expected have made the bound older than `max_lag_ms`. A lag
        that the first one had, too, comes from the link, and another connection would not be without it."""
        lag = now - self.written_at
        return self.first_delay_ms is not None and lag > max(max_lag_ms, 2 * self.first_delay_ms)
