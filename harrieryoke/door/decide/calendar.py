"""When to come back: a calendar of promises, so that whoever returns at its time is served, and not all at
once.

Time ahead is cut into days of some milliseconds; each has room for the work that the tenant's share of the
measured service rate can do in it. A refused client gets the first day, no sooner than its real wait, that
has room left. One promise a client, with a seat for each of its refused calls; it counts against the
tenant's share from then on, and lapses if the client does not come.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Rate:
    """Work done a millisecond, as it was lately. Work is in the scheduler's units."""

    per_ms: float
    done: float = 0.0
    since: float | None = None
    window: float = 500.0

    def ended(self, now: float, work: float, busy: bool) -> None:
        """`busy`: calls waited meanwhile. A door without a queue tells nothing of what could be done."""
        if self.since is None or now < self.since or now - self.since > 8 * self.window or not busy:
            self.since, self.done = now, 0.0
            return
        self.done += work
        if now - self.since >= self.window:
            self.per_ms += 0.4 * (self.done / (now - self.since) - self.per_ms)
            self.since, self.done = now, 0.0


@dataclass(slots=True)
class Seat:
    """One call's place in a promise."""

    at: float  # when it may come
    day: tuple[str, int]  # whose, and which
    cost: float


@dataclass(slots=True)
class Calendar:
    """Promises by client, and by tenant and day. A client has one promise, with a seat for each of its
    refused calls, `seats` at most: beyond them it is told the time of its last one. Clients are bounded by
    `most`; beyond it nobody is promised anything, and the wait alone is told."""

    day_ms: float = 25.0
    grace_ms: float = 2000.0
    early_ms: float = 5.0  # the platform's own slack on a client's clock
    most: int = 20_000
    seats: int = 8
    fill: float = 0.8  # of a day's room that may be promised: the rest is for newcomers
    promises: dict[Hashable, list[Seat]] = field(default_factory=dict)  # by time, the soonest first
    days: dict[tuple[str, int], float] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    swept: float = 0.0

    def promise(
        self, client: Hashable, tenant: str, cost: float, wait: float, per_ms: float, now: float
    ) -> float:
        """Milliseconds from now at which the client is to come: never less than `wait`. `per_ms` is the work
        that the tenant's share can do a millisecond."""
        self.sweep(now)
        room = max(1e-9, self.fill * per_ms * self.day_ms)
        held = self.promises.get(client, [])
        if len(held) >= self.seats:
            self.counts["asked-again"] += 1
            return max(wait, held[-1].at - now)
        if not held and len(self.promises) >= self.most:
            self.counts["full"] += 1
            return wait + self.most * cost / max(per_ms, 1e-9) / 2
        day = int((now + wait) // self.day_ms) + 1
        if held:  # its calls come one after the other: no later one is told to come sooner
            day = max(day, held[-1].day[1])
        limit = day + 4096
        while day < limit and self.days.get((tenant, day), 0.0) + cost > max(room, cost):
            day += 1
        self.days[tenant, day] = self.days.get((tenant, day), 0.0) + cost
        at = day * self.day_ms
        self.promises.setdefault(client, held).append(Seat(at, (tenant, day), cost))
        self.counts["promised"] += 1
        return at - now

    def returns(self, client: Hashable, now: float) -> bool:
        """Whether the client keeps its promise by coming now. One seat is used up then; who comes early
        keeps it and gains nothing."""
        self.lapse(client, now)
        held = self.promises.get(client)
        if held is None:
            return False
        if now < held[0].at - self.early_ms:
            self.counts["early"] += 1
            return False
        self.leave(client, held)
        self.counts["kept"] += 1
        return True

    def waits(self, client: Hashable, now: float) -> bool:
        """Whether the client was told to stay away until later than now."""
        held = self.promises.get(client)
        return held is not None and now < held[0].at - self.early_ms

    def leave(self, client: Hashable, held: list[Seat]) -> None:
        """The soonest seat is free again, for its day."""
        seat = held.pop(0)
        if not held:
            del self.promises[client]
        left = self.days.pop(seat.day, 0.0) - seat.cost
        if left > 1e-9:
            self.days[seat.day] = left

    def lapse(self, client: Hashable, now: float) -> None:
        held = self.promises.get(client)
        while held and held[0].at + self.grace_ms < now:
            self.leave(client, held)
            self.counts["lapsed"] += 1

    def sweep(self, now: float) -> None:
        """Once a second at most: what has lapsed goes. A clock that stepped back moves no promise further
        away than it was told."""
        if 0 <= now - self.swept < 1000.0:
            return
        back = now < self.swept
        self.swept = now
        if back:
            self.promises.clear()
            self.days.clear()
        for client in list(self.promises):
            self.lapse(client, now)
