"""When the process stood still: what reached its sockets meanwhile came earlier than it was read."""

from __future__ import annotations

from ..log import Log

MAX_WAKE_DELAY_MS = 100.0  # a process that is merely busy wakes no later than this behind its time
DRAIN_MS = 100.0  # after a pause, until all that waited on the sockets has been read


class PauseWatch:
    """Notices pauses (SIGSTOP, a machine that gives no processor) by wakes that come too late. Somebody has
    to call `wake` at least every `interval_ms`. Times are milliseconds of the monotonic clock."""

    def __init__(self, now: float, interval_ms: float, log: Log) -> None:
        self.longest_ms, self.log = interval_ms + MAX_WAKE_DELAY_MS, log
        self.restart(now)

    def restart(self, now: float) -> None:
        """What was before is no pause: nobody could ask then."""
        self.last_wake = self.paused_from = self.resumed_at = self.drained_at = now

    def record_wake(self, now: float) -> None:
        """The process runs."""
        if now - self.last_wake > self.longest_ms:
            self.paused_from, self.resumed_at, self.drained_at = self.last_wake, now, now + DRAIN_MS
            self.log("stood-still", f"for up to {now - self.last_wake:.0f} ms")
        self.last_wake = now

    def earliest_arrival(self, now: float) -> float:
        """Return since when what is read now may have waited: the begin of a pause that has just ended, or
        now."""
        self.record_wake(now)
        return self.paused_from if now < self.drained_at else now
