"""Sizes of slices, their duration, and how much of a slice an invoker may spend: an inventory model.

A slice of q tokens, used at d tokens per millisecond, costs two log entries, worth `entry_cost` tokens, every
q / d milliseconds. On average q / 2 of its tokens lie unused. A token that lies unused for one millisecond is
missed elsewhere with probability 1 / T, where T = F / D is the time in which the total demand D uses up the
F free tokens. The cost per millisecond, entry_cost * d / q + q / (2 T), is minimal at

    q = sqrt(2 * entry_cost * d * T) = sqrt(2 * entry_cost * F * d / D)

(the economic order quantity of Harris 1913, with a holding cost that rises as the budget runs out). Slices
therefore follow demand and shrink with the square root of the free tokens. Upper bounds: the invoker's share
of the free tokens, and what it uses within the maximum duration. The lower bound is the need of one call,
which ends the sequence of ever smaller slices: there is at most one slice for each call.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt


@dataclass(frozen=True, slots=True)
class SliceSizing:
    """`entry_cost`: the cost of two log entries, expressed in tokens. Times are milliseconds."""

    entry_cost: float = 20.0
    min_duration: int = 5_000  # several round trips, also across an election
    max_duration: int = 60_000
    report_interval: float = 1_000.0  # between two reports of an invoker
    retry_interval: float = 500.0  # after which a possibly lost message or entry is sent again

    def size_slice(self, free: int, rate: float, total_rate: float, min_amount: int) -> tuple[int, int, int]:
        """Returns the slice's tokens, its initial spend limit and its duration. `total_rate` is the demand of
        all requesters, including this one. All are zero where less is free than one call needs."""
        if free < min_amount:
            return 0, 0, 0
        rate = max(rate, min_amount / self.max_duration)
        share = rate / max(total_rate, rate)
        max_amount = min(share * free, rate * self.max_duration)
        amount = min(free, max(min_amount, int(min(max_amount, sqrt(2 * self.entry_cost * share * free)))))
        duration = min(self.max_duration, max(self.min_duration, ceil(2 * amount / rate)))
        return amount, min(amount, self.headroom(rate, min_amount)), duration

    def headroom(self, rate: float, min_amount: int) -> int:
        """Returns how far the spend limit lies above the tokens taken: the use until the second report after
        this one, so that one report may be lost. This bounds what is in doubt when an invoker dies."""
        return max(min_amount, ceil(2 * self.report_interval * rate))

    def reorder_point(self, rate: float, round_trip: float, min_amount: int) -> int:
        """Returns the remaining tokens at which the next slice is requested: the use in two round trips."""
        return min_amount + ceil(2 * round_trip * rate)
