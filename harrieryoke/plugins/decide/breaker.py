"""A circuit breaker for one version of a plug-in: closed, open, half-open."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

CLOSED, OPEN, HALF_OPEN = "closed", "open", "half-open"


@dataclass(frozen=True, slots=True)
class BreakerLimits:
    """Opens after `in_a_row` faults, or when `share` of the last `window` calls failed. Times in ms."""

    in_a_row: int = 5
    window: int = 40
    share: float = 0.5
    first_pause: float = 1000.0
    longest_pause: float = 60_000.0
    trials: int = 3  # good answers in a row, one at a time, that close it


@dataclass(slots=True)
class Breaker:
    """`allows` says whether a call may go; each call that went must be told of by `good` or `bad`."""

    limits: BreakerLimits = field(default_factory=BreakerLimits)
    state: str = CLOSED
    last: deque[bool] = field(default_factory=deque)  # True: it failed
    row: int = 0  # faults in a row while closed, good answers in a row while half-open
    pause: float = 0.0
    until: float = 0.0
    trying: bool = False
    opened: int = 0  # how often it was put out

    def allows(self, now: float) -> bool:
        if self.state == OPEN and now >= self.until:
            self.state, self.row, self.trying = HALF_OPEN, 0, False
        if self.state == HALF_OPEN and not self.trying:
            self.trying = True
            return True
        return self.state == CLOSED

    def good(self, now: float) -> None:
        if self.state == HALF_OPEN:
            self.trying, self.row = False, self.row + 1
            if self.row >= self.limits.trials:
                self.state, self.row, self.pause = CLOSED, 0, 0.0
                self.last.clear()
        elif self.state == CLOSED:
            self.row = 0
            self.note(False)

    def bad(self, now: float) -> None:
        if self.state == HALF_OPEN:
            return self.put_out(now)
        if self.state == CLOSED:
            self.row += 1
            self.note(True)
            crowded = len(self.last) >= self.limits.window
            if self.row >= self.limits.in_a_row or (
                crowded and sum(self.last) >= self.limits.share * len(self.last)
            ):
                self.put_out(now)

    def note(self, failed: bool) -> None:
        self.last.append(failed)
        while len(self.last) > self.limits.window:
            self.last.popleft()

    def put_out(self, now: float) -> None:
        """For twice as long as the last time, until it was closed in between."""
        self.pause = min(max(2 * self.pause, self.limits.first_pause), self.limits.longest_pause)
        self.state, self.until, self.row, self.trying = OPEN, now + self.pause, 0, False
        self.opened += 1
        self.last.clear()
