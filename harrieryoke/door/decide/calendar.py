"""When to come back: a calendar of promises, so that whoever returns at its time is served, and not all at
once.

Time ahead is cut into days of some milliseconds; each has room for the work that the tenant's share of the
measured service rate can do in it. A refused client gets the first day, no sooner than its real wait, that
has room left. One promise a client; it counts against the tenant's share from then on, and lapses if the
client does not come.
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
class Promise:
    at: float  # when the client may come
    until: float  # and when it lapses
    day: int
    cost: float


@dataclass(slots=True)
class Calendar:
    """Promises by client, and by tenant and day. Bounded by `most`; beyond it nobody is promised anything,
    and the wait alone is told."""

    day_ms: float = 25.0
    grace_ms: float = 2000.0
    early_ms: float = 5.0  # the platform's own slack on a client's clock
    most: int = 20_000
    fill: float = 0.8  # of a day's room that may be promised: the rest is for newcomers
    promises: dict[Hashable, Promise] = field(default_factory=dict)
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
        if (held := self.promises.get(client)) is not None:
            self.counts["asked-again"] += 1  # one a client: the promise that it has stays
            return max(wait, held.at - now)
        if len(self.promises) >= self.most:
            self.counts["full"] += 1
            return wait + self.most * cost / max(per_ms, 1e-9) / 2
        day = int((now + wait) // self.day_ms) + 1
        limit = day + 4096
        while day < limit and self.days.get((tenant, day), 0.0) + cost > max(room, cost):
            day += 1
        self.days[tenant, day] = self.days.get((tenant, day), 0.0) + cost
        at = day * self.day_ms
        self.promises[client] = Promise(at, at + self.grace_ms, day, cost)
        self.counts["promised"] += 1
        return at - now

    def returns(self, client: Hashable, tenant: str, now: float) -> bool:
        """Whether the client keeps its promise by coming now. It is used up then; one that comes early
        keeps it and gains nothing."""
        held = self.promises.get(client)
        if held is None:
            return False
        if now < held.at - self.early_ms:
            self.counts["early"] += 1
            return False
        self.forget(client, tenant)
        kept = now <= held.until
        self.counts["kept" if kept else "lapsed"] += 1
        return kept

    def waits(self, client: Hashable, now: float) -> bool:
        """Whether the client was told to stay away until later than now."""
        held = self.promises.get(client)
        return held is not None and now < held.at - self.early_ms

    def forget(self, client: Hashable, tenant: str) -> None:
        held = self.promises.pop(client)
        left = self.days.get((tenant, held.day), 0.0) - held.cost
        if left > 1e-9:
            self.days[tenant, held.day] = left
        else:
            self.days.pop((tenant, held.day), None)

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
            return
        for client in [c for c, p in self.promises.items() if p.until < now]:
            del self.promises[client]
            self.counts["lapsed"] += 1
        for key in [k for k in self.days if (k[1] + 1) * self.day_ms + self.grace_ms < now]:
            del self.days[key]
