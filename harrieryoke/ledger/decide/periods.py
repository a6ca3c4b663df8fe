"""Periods: stretches of the Unix clock that open, close, and are sealed with a digest.

A period is open from its first entry. Some grace after its end, or by an operator's word, it is closed; then
nothing more counts in it, and it is sealed: the count and the digest of its entries are written down and
never change. What comes for a closed period counts in the first open one and says where it came from.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .entry import Entry, Sum


class PeriodError(ValueError):
    """What can't be done with a period; the message names it."""


@dataclass(slots=True)
class Period:
    number: int
    sum: Sum = field(default_factory=Sum)
    sealed: str = ""  # the digest, once it is closed
    sealed_at: int = 0
    gaps: int = 0  # entries that say that something is missing


@dataclass(slots=True)
class Periods:
    """Times are milliseconds. Bounded by `most`: the oldest sealed ones are forgotten; that they were sealed
    is kept as a floor."""

    length: int
    grace: int
    most: int = 400
    known: dict[int, Period] = field(default_factory=dict)
    floor: int = -1  # all up to here are sealed

    def of(self, at: int) -> int:
        return at // self.length

    def begin(self, number: int) -> int:
        return number * self.length

    def open_for(self, at: int) -> int:
        """Where an entry of that time counts: its period, or the first open one after it."""
        number = max(self.of(at), self.floor + 1)
        while number in self.known and self.known[number].sealed:
            number += 1
        return number

    def add(self, entry: Entry, gap: bool) -> None:
        period = self.known.get(entry.period)
        if period is None:
            period = self.known[entry.period] = Period(entry.period)
        if period.sealed or entry.period <= self.floor:
            raise PeriodError(f"period {entry.period} is sealed")
        period.sum.add(entry)
        period.gaps += gap

    def due(self, now: int) -> list[int]:
        """Open periods whose grace is over. A clock that stepped ahead by mistake closes too early; what
        comes after it steps back counts in the next ones, with its own period named."""
        still = sorted(n for n, period in self.known.items() if not period.sealed)
        return [number for number in still if now >= self.begin(number + 1) + self.grace]

    def seal(self, number: int, now: int) -> Period:
        """Raises PeriodError for one that is sealed, or that is not over yet."""
        if number <= self.floor or (number in self.known and self.known[number].sealed):
            raise PeriodError(f"period {number} is sealed already")
        if now < self.begin(number + 1):
            raise PeriodError(f"period {number} is not over: it ends at {self.begin(number + 1)}")
        earlier = [n for n, p in self.known.items() if n < number and not p.sealed]
        if earlier:
            raise PeriodError(f"period {min(earlier)} before it is open")
        period = self.known.setdefault(number, Period(number))
        period.sealed, period.sealed_at = period.sum.hex(), now
        self.forget()
        return period

    def rows(self) -> list[dict[str, object]]:
        """For operators."""
        return [
            {
                "period": p.number,
                "begin_ms": self.begin(p.number),
                "entries": p.sum.count,
                "sealed": p.sealed,
                "gaps": p.gaps,
            }
            for p in self.known.values()
        ]

    def forget(self) -> None:
        for number in sorted(self.known)[: max(0, len(self.known) - self.most)]:
            if not self.known[number].sealed:
                return
            del self.known[number]
            self.floor = max(self.floor, number)
