"""When the process stood still: what reached its sockets meanwhile came earlier than it was read."""

from __future__ import annotations

from ..log import Log

LATE_MS = 100.0  # a process that is merely busy wakes no later than this behind its time
SETTLE_MS = 100.0  # after a pause, until all that waited on the sockets has been read


class PauseWatch:
    """Notices pauses (SIGSTOP, a machine that gives no processor) by wakes that come too late. Somebody has
    to call `wake` at least every `interval_ms`. Times are milliseconds of the monotonic clock."""

    def __init__(self, now: float, interval_ms: float, log: Log) -> None:
        self.longest_ms, self.log = interval_ms + LATE_MS, log
        self.restart(now)

    def restart(self, now: float) -> None:
        """What was before is no pause: nobody could ask then."""
        self.seen = self.began = self.resumed = self.settled = now

    def wake(self, now: float) -> None:
        """The process runs."""
        if now - self.seen > self.longest_ms:
            self.began, self.resumed, self.settled = self.seen, now, now + SETTLE_MS
            self.log("stood-still", f"for up to {now - self.seen:.0f} ms")
        self.seen = now

    def earliest(self, now: float) -> float:
        """Return since when what is read now may have waited: the begin of a pause that has just ended, or
        now."""
        self.wake(now)
        return self.began if now < self.settled else now
