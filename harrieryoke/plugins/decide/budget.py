"""Rate budgets of a plug-in, and the back-off between starts of its process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Refills at `rate` tokens a second up to `capacity`.

    A charge may leave a debt of up to `capacity`, which must be refilled first.
    """

    rate: float
    capacity: float
    tokens: float = 0.0
    refilled_at: float | None = None

    def refill(self, now: float) -> None:
        elapsed = 0.0 if self.refilled_at is None else max(0.0, now - self.refilled_at)
        self.tokens = (
            self.capacity
            if self.refilled_at is None
            else min(self.capacity, self.tokens + elapsed * self.rate / 1000)
        )
        self.refilled_at = now

    def has_tokens(self, now: float) -> bool:
        self.refill(now)
        return self.tokens > 0

    def charge(self, now: float, amount: float) -> None:
        self.refill(now)
        self.tokens = max(self.tokens - amount, -self.capacity)

    def try_take(self, now: float) -> bool:
        """Take one token if there is one."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class RestartBackoff:
    """Exponential back-off for a process that keeps ending; it shrinks again with each success."""

    first_ms: float = 50.0
    max_ms: float = 10_000.0
    pause_ms: float = 0.0
    count: int = 0

    def record_exit(self) -> float:
        """Record an unexpected end of the process; return the milliseconds until the next start."""
        self.pause_ms = min(max(2 * self.pause_ms, self.first_ms), self.max_ms)
        self.count += 1
        return self.pause_ms

    def record_success(self) -> None:
        self.pause_ms = self.pause_ms / 2 if self.pause_ms > self.first_ms else 0.0
