"""Billing periods: intervals of Unix time that open, close and are sealed with a digest.

A period is open from its first entry on. Some grace time after its end, or on an operator's request, it is
sealed: the count and digest of its entries are recorded, and nothing more counts in it. A later entry for a
sealed period counts in the first open one and names the period it belongs to.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .entry import Entry, SetDigest


class PeriodError(ValueError):
    """An operation that is not possible for a period, which the message names."""


@dataclass(slots=True)
class Period:
    number: int
    entry_set: SetDigest = field(default_factory=SetDigest)
    seal_digest: str = ""  # digest of its entries; empty while it is open
    sealed_at_ms: int = 0
    gap_count: int = 0  # entries that record missing entries


@dataclass(slots=True)
class Periods:
    """Times are milliseconds. At most `max_periods` periods are kept: the oldest sealed ones are discarded,
    and `sealed_up_to` records that they were sealed."""

    length_ms: int
    grace_ms: int
    max_periods: int = 400
    by_number: dict[int, Period] = field(default_factory=dict)
    sealed_up_to: int = -1  # this period and all before it are sealed

    def period_at(self, time_ms: int) -> int:
        return time_ms // self.length_ms

    def start_of(self, number: int) -> int:
        return number * self.length_ms

    def open_period_for(self, time_ms: int) -> int:
        """The period in which an entry of that time counts: its own, or the first open one after it."""
        number = max(self.period_at(time_ms), self.sealed_up_to + 1)
        while number in self.by_number and self.by_number[number].seal_digest:
            number += 1
        return number

    def add(self, entry: Entry, is_gap: bool) -> None:
        period = self.by_number.get(entry.period)
        if period is None:
            period = self.by_number[entry.period] = Period(entry.period)
        if period.seal_digest or entry.period <= self.sealed_up_to:
            raise PeriodError(f"period {entry.period} is sealed")
        period.entry_set.add(entry)
        period.gap_count += is_gap

    def due_for_sealing(self, now: int) -> list[int]:
        """Open periods whose grace time has passed. If the clock steps ahead by mistake, periods are sealed
        too early; entries that follow once it is set back count in later periods and name their own."""
        open_numbers = sorted(number for number, period in self.by_number.items() if not period.seal_digest)
        return [number for number in open_numbers if now >= self.start_of(number + 1) + self.grace_ms]

    def seal(self, number: int, now: int) -> Period:
        """Raises PeriodError if the period is sealed already or is not over yet."""
        if number <= self.sealed_up_to or (number in self.by_number and self.by_number[number].seal_digest):
            raise PeriodError(f"period {number} is sealed already")
        if now < self.start_of(number + 1):
            raise PeriodError(f"period {number} is not over: it ends at {self.start_of(number + 1)}")
        open_before = [
            other
            for other, other_period in self.by_number.items()
            if other < number and not other_period.seal_digest
        ]
        if open_before:
            raise PeriodError(f"period {min(open_before)} before it is still open")
        period = self.by_number.setdefault(number, Period(number))
        period.seal_digest, period.sealed_at_ms = period.entry_set.to_text(), now
        self.discard_oldest()
        return period

    def rows(self) -> list[dict[str, object]]:
        return [
            {
                "period": period.number,
                "begin_ms": self.start_of(period.number),
                "entries": period.entry_set.count,
                "sealed": period.seal_digest,
                "gaps": period.gap_count,
            }
            for period in self.by_number.values()
        ]

    def discard_oldest(self) -> None:
        for number in sorted(self.by_number)[: max(0, len(self.by_number) - self.max_periods)]:
            if not self.by_number[number].seal_digest:
                return
            del self.by_number[number]
            self.sealed_up_to = max(self.sealed_up_to, number)
