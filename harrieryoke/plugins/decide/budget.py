"""What one plug-in has used of its budgets, and the pauses between the starts of its process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Allowance:
    """Fills at `rate` a second up to `depth`. What is charged may go below 0: the debt is waited for."""

    rate: float
    depth: float
    left: float = 0.0
    at: float | None = None

    def fill(self, now: float) -> None:
        since = 0.0 if self.at is None else max(0.0, now - self.at)
        self.left = self.depth if self.at is None else min(self.depth, self.left + since * self.rate / 1000)
        self.at = now

    def has(self, now: float) -> bool:
        self.fill(now)
        return self.left > 0

    def charge(self, now: float, amount: float) -> None:
        self.fill(now)
        self.left = max(self.left - amount, -self.depth)

    def take(self, now: float) -> bool:
        """One unit, where there is one."""
        self.fill(now)
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclass(slots=True)
class Restarts:
    """Pauses between starts of a process that keeps ending: they double, and shrink with good service."""

    first: float = 50.0
    longest: float = 10_000.0
    pause: float = 0.0
    count: int = 0

    def ended(self) -> float:
        """The process has ended against our will; for so many milliseconds it is not started again."""
        self.pause = min(max(2 * self.pause, self.first), self.longest)
        self.count += 1
        return self.pause

    def served(self) -> None:
        """It has answered well."""
        self.pause = self.pause / 2 if self.pause > self.first else 0.0
