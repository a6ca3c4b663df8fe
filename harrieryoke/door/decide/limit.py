"""Adaptive limit on the calls in flight: handed to the decision module and not ended.

Additive increase while the limit is used and calls end well within their latency targets; multiplicative
decrease, at most once per mean duration, when too many are late (Chiu and Jain 1989). A pause without any
completion says nothing about the load: the limit stays. After a pause or a decrease the limit grows by one
for each completion, which doubles it in every round of calls, until it is back at its earlier value.
"""

from __future__ import annotations

from dataclasses import dataclass

USED_SHARE = 0.7  # of the limit: with fewer calls in flight the limit does not grow
SMOOTHING = 0.05  # weight of the newest call in the moving averages
MIN_STALL_MS = 1000.0
STALL_DURATIONS = 4  # mean durations without a completion that count as a stall
MIN_DECREASE_PERIOD_MS = 200.0
DECREASE_FACTOR = 0.85
RECOVERY_SHARE = 0.9  # of the limit before a decrease: up to here it recovers fast
GROWTH_PER_ROUND = 16  # above the recovery target, for each `limit` completions


@dataclass(slots=True)
class ConcurrencyLimit:
    """Times are milliseconds."""

    minimum: float = 8.0
    maximum: float = 4096.0
    limit: float = 64.0
    late_threshold: float = 0.8  # of the latency target: a call that took longer counts as late
    tolerated_late_share: float = 0.15
    late_share: float = 0.0  # moving average
    mean_duration: float = 200.0  # moving average
    in_flight: int = 0
    last_decrease: float = -1e18
    last_completion: float = -1e18
    recovery_target: float = 0.0  # after a decrease or a stall the limit grows fast up to here
    stalls: int = 0

    def available(self) -> int:
        """How many more calls may be handed on."""
        return max(0, int(self.limit) - self.in_flight)

    def begin(self) -> None:
        """Count a call that is handed on."""
        self.in_flight += 1

    def end(self, now: float, duration: float, latency_target: float, informative: bool) -> None:
        """Count the end of a call in flight and adapt the limit. `informative` is False for calls that were
        withdrawn, or refused before they reached a host: they say nothing about the load."""
        used = self.in_flight + 1 > USED_SHARE * self.limit
        self.in_flight = max(0, self.in_flight - 1)
        if not informative:
            return
        stalled = now - self.last_completion > max(MIN_STALL_MS, STALL_DURATIONS * self.mean_duration)
        self.last_completion = now
        if stalled:
            # A stall's long durations must not be read as too many calls in flight.
            self.stalls += 1
            self.last_decrease, self.recovery_target = now, max(self.recovery_target, self.limit)
            return
        ratio = duration / latency_target
        self.mean_duration += SMOOTHING * (duration - self.mean_duration)
        self.late_share += SMOOTHING * ((ratio > self.late_threshold) - self.late_share)
        if self.late_share > self.tolerated_late_share and now - self.last_decrease > max(
            MIN_DECREASE_PERIOD_MS, self.mean_duration
        ):
            self.recovery_target = max(self.minimum, RECOVERY_SHARE * self.limit)
            self.limit = max(self.minimum, DECREASE_FACTOR * self.limit)
            self.last_decrease, self.late_share = now, 0.5 * self.late_share
        elif used and self.late_share <= self.tolerated_late_share / 2:
            growth = (
                1.0 if self.limit < self.recovery_target else 1.0 / max(1.0, self.limit / GROWTH_PER_ROUND)
            )
            self.limit = min(self.maximum, self.limit + growth)
