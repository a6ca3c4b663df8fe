"""What a worker gets that has started a short time ago: a part of what a warm one gets, spread over front
ends that share nothing (docs/design.md, Cold model hosts). Times are milliseconds."""

from __future__ import annotations

from .interface import Settings
from .state import TokenBucket


def warm_share_at(age: float, settings: Settings) -> float:
    """The part of its full capacity that a worker can bear at this age, from `cold_share` to 1."""
    grown = age / max(settings.cold_period, settings.tick)
    if grown >= 1:
        return 1.0
    return settings.cold_share + (1 - settings.cold_share) * max(0.0, grown)


def take_cold_token(
    budget: TokenBucket, now: float, warmth: float, calls_each: float, settings: Settings
) -> bool:
    """Take one call from a worker's budget, where it has one left. Against pushing over any slow start, at
    the cost of speed where it is quicker than told: half of the fatal multiple of what a warm worker gets
    from this front end, which is `calls_each` in a keep-alive; in fractions where many share it."""
    rate = warmth * settings.overload_multiple / 2 * calls_each / settings.keep_alive
    return budget.take_token(now, rate, max(1.0, rate * settings.overload_time / 2))
