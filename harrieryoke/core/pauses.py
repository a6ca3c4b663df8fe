"""Detects pauses of the process, during which data arrived at its sockets without being read."""

from __future__ import annotations

from ..log import Log

MAX_WAKE_DELAY_MS = 100.0  # a busy process wakes at most this long after the scheduled time
DRAIN_MS = 100.0  # after a pause, until all waiting data has been read


class PauseWatch:
    """Detects pauses, such as SIGSTOP or a lack of CPU time, by late wakes.

    `record_wake` must be called at least every `interval_ms`. Times are milliseconds of the monotonic clock.
    """

    def __init__(self, now: float, interval_ms: float, log: Log) -> None:
        self.longest_ms, self.log = interval_ms + MAX_WAKE_DELAY_MS, log
        self.restart(now)

    def restart(self, now: float) -> None:
        """Ignore the time before `now`: the watch was not in use."""
        self.last_wake = self.paused_from = self.resumed_at = self.drained_at = now

    def record_wake(self, now: float) -> None:
        """Record that the process runs at `now`, and log the pause before it, if any."""
        if now - self.last_wake > self.longest_ms:
            self.paused_from, self.resumed_at, self.drained_at = self.last_wake, now, now + DRAIN_MS
            self.log("stood-still", f"for up to {now - self.last_wake:.0f} ms")
        self.last_wake = now

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which data read now may have arrived.

        That is the start of a pause that has just ended, or `now`.
        """
        self.record_wake(now)
        return self.paused_from if now < self.drained_at else now
