"""A circuit breaker for one version of a plug-in: closed, open, half-open."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

CLOSED, OPEN, HALF_OPEN = "closed", "open", "half-open"


@dataclass(frozen=True, slots=True)
class BreakerLimits:
    """The breaker opens after `consecutive_faults`, or when `fault_share` of the last `window` calls fail."""

    consecutive_faults: int = 5
    window: int = 40
    fault_share: float = 0.5
    first_pause_ms: float = 1000.0
    max_pause_ms: float = 60_000.0
    closing_successes: int = 3  # consecutive, one call at a time


@dataclass(slots=True)
class Breaker:
    """Each call that `allow` admits must be reported by `record_success` or `record_fault`."""

    limits: BreakerLimits = field(default_factory=BreakerLimits)
    state: str = CLOSED
    recent_faults: deque[bool] = field(default_factory=deque)  # True: the call failed
    streak: int = 0  # consecutive faults while closed, consecutive successes while half-open
    pause_ms: float = 0.0
    open_until: float = 0.0
    trial_pending: bool = False
    times_opened: int = 0

    def allow(self, now: float) -> bool:
        if self.state == OPEN and now >= self.open_until:
            self.state, self.streak, self.trial_pending = HALF_OPEN, 0, False
        if self.state == HALF_OPEN and not self.trial_pending:
            self.trial_pending = True
            return True
        return self.state == CLOSED

    def record_success(self, now: float) -> None:
        if self.state == HALF_OPEN:
            self.trial_pending, self.streak = False, self.streak + 1
            if self.streak >= self.limits.closing_successes:
                self.state, self.streak, self.pause_ms = CLOSED, 0, 0.0
                self.recent_faults.clear()
        elif self.state == CLOSED:
            self.streak = 0
            self.record_result(False)

    def record_fault(self, now: float) -> None:
        if self.state == HALF_OPEN:
            return self.trip(now)
        if self.state == CLOSED:
            self.streak += 1
            self.record_result(True)
            window_full = len(self.recent_faults) >= self.limits.window
            if self.streak >= self.limits.consecutive_faults or (
                window_full and sum(self.recent_faults) >= self.limits.fault_share * len(self.recent_faults)
            ):
                self.trip(now)

    def record_result(self, failed: bool) -> None:
        self.recent_faults.append(failed)
        while len(self.recent_faults) > self.limits.window:
            self.recent_faults.popleft()

    def trip(self, now: float) -> None:
        """Open the breaker. The pause doubles each time and starts over once the breaker has closed."""
        self.pause_ms = min(max(2 * self.pause_ms, self.limits.first_pause_ms), self.limits.max_pause_ms)
        self.state, self.open_until, self.streak, self.trial_pending = OPEN, now + self.pause_ms, 0, False
        self.times_opened += 1
        self.recent_faults.clear()
