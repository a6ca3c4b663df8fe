"""Slow start: a worker that started recently gets a share of the load of a warm one.

The share is divided over front ends that do not communicate (docs/design.md, Cold model hosts). Times are
milliseconds.
"""

from __future__ import annotations

from .interface import Settings
from .state import TokenBucket


def warm_share_at(age: float, settings: Settings) -> float:
    """Share of its full capacity that a worker can bear at this age, from `cold_share` to 1."""
    warmed_share = age / max(settings.cold_period, settings.tick)
    if warmed_share >= 1:
        return 1.0
    return settings.cold_share + (1 - settings.cold_share) * max(0.0, warmed_share)


def take_cold_token(
    bucket: TokenBucket, now: float, warm_share: float, calls_per_worker: float, settings: Settings
) -> bool:
    """Takes a request from the slow-start budget of a worker if one is left.

    The rate is half of the overload multiple of what a warm worker gets from this front end, which is
    `calls_per_worker` in a keep-alive period. This is safe for any worker in slow start, at the cost of speed
    at one that warms up faster than configured. With many front ends, the rate of each may be only a fraction
    of a request in a keep-alive period.
    """
    rate_per_ms = warm_share * settings.overload_multiple / 2 * calls_per_worker / settings.keep_alive
    return bucket.take_token(now, rate_per_ms, max(1.0, rate_per_ms * settings.overload_time / 2))
