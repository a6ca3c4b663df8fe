"""Retry-after reservations: refused clients return spread over time, and are served if they return on time.

Time ahead is cut into intervals of equal length. The work reserved in one interval is bounded by what the
tenant's share of the measured service rate can do in it. A refused client gets the first interval with room
left that begins no sooner than its estimated wait. A client holds one reservation for each of its refused
calls. A reservation counts against the tenant's share until it is used, or expires because the client did
not return.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass, field

RATE_SMOOTHING = 0.4  # weight of the newest window in the moving average
MAX_GAP_WINDOWS = 8  # after a longer gap between two completions the measurement starts over
MIN_WORK_PER_MS = 1e-9  # keeps divisions finite
MAX_INTERVALS_SEARCHED = 4096
SWEEP_PERIOD_MS = 1000.0


@dataclass(slots=True)
class ServiceRate:
    """Moving average of the work done per millisecond. Work is in the scheduler's units."""

    work_per_ms: float
    completed_work: float = 0.0
    window_start: float | None = None
    window_ms: float = 500.0

    def record(self, now: float, work: float, backlogged: bool) -> None:
        """Count a completed call. `backlogged`: calls waited meanwhile. Without a queue the rate reflects the
        demand and not the capacity, so nothing is measured."""
        if (
            self.window_start is None
            or now < self.window_start
            or now - self.window_start > MAX_GAP_WINDOWS * self.window_ms
            or not backlogged
        ):
            self.window_start, self.completed_work = now, 0.0
            return
        self.completed_work += work
        if now - self.window_start >= self.window_ms:
            self.work_per_ms += RATE_SMOOTHING * (
                self.completed_work / (now - self.window_start) - self.work_per_ms
            )
            self.window_start, self.completed_work = now, 0.0


@dataclass(slots=True)
class Reservation:
    """Capacity reserved for the return of one refused call."""

    return_at: float
    interval: tuple[str, int]  # tenant and interval number
    cost: float


@dataclass(slots=True)
class ReservationBook:
    """Reservations by client, and reserved work by tenant and interval.

    A client has one reservation for each of its refused calls, `max_per_client` at most; beyond them it gets
    the time of its latest one. At `max_clients` no further client gets a reservation: it is told to wait for
    the estimated wait plus half the time in which `max_clients` calls of that cost are served.
    """

    interval_ms: float = 25.0
    grace_ms: float = 2000.0  # a reservation expires this long after its time
    early_tolerance_ms: float = 5.0  # the deviation that the platform allows a client's clock
    max_clients: int = 20_000
    max_per_client: int = 8
    reservable_share: float = 0.8  # of an interval's capacity; the rest is left to new clients
    by_client: dict[Hashable, list[Reservation]] = field(default_factory=dict)  # earliest first
    reserved_work: dict[tuple[str, int], float] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    last_sweep: float = 0.0

    def reserve(
        self, client: Hashable, tenant: str, cost: float, wait: float, work_per_ms: float, now: float
    ) -> float:
        """Return the milliseconds from now after which the client is to retry, never less than `wait`.
        `work_per_ms` is the service rate of the tenant's share."""
        self.sweep(now)
        capacity = max(MIN_WORK_PER_MS, self.reservable_share * work_per_ms * self.interval_ms)
        reservations = self.by_client.get(client, [])
        if len(reservations) >= self.max_per_client:
            self.counts["asked-again"] += 1
            return max(wait, reservations[-1].return_at - now)
        if not reservations and len(self.by_client) >= self.max_clients:
            self.counts["full"] += 1
            return wait + self.max_clients * cost / max(work_per_ms, MIN_WORK_PER_MS) / 2
        number = int((now + wait) // self.interval_ms) + 1
        if reservations:  # calls of one client keep their order: a later one never gets an earlier time
            number = max(number, reservations[-1].interval[1])
        limit = number + MAX_INTERVALS_SEARCHED
        while number < limit and self.reserved_work.get((tenant, number), 0.0) + cost > max(capacity, cost):
            number += 1
        self.reserved_work[tenant, number] = self.reserved_work.get((tenant, number), 0.0) + cost
        return_at = number * self.interval_ms
        self.by_client.setdefault(client, reservations).append(Reservation(return_at, (tenant, number), cost))
        self.counts["promised"] += 1
        return return_at - now

    def redeem(self, client: Hashable, now: float) -> bool:
        """Use up the client's earliest reservation if its time has come; return whether it was used. A client
        that returns early keeps the reservation and gets no priority."""
        self.expire(client, now)
        reservations = self.by_client.get(client)
        if reservations is None:
            return False
        if now < reservations[0].return_at - self.early_tolerance_ms:
            self.counts["early"] += 1
            return False
        self.release_earliest(client, reservations)
        self.counts["kept"] += 1
        return True

    def is_early(self, client: Hashable, now: float) -> bool:
        """Whether the client's earliest reservation is still ahead."""
        reservations = self.by_client.get(client)
        return reservations is not None and now < reservations[0].return_at - self.early_tolerance_ms

    def release_earliest(self, client: Hashable, reservations: list[Reservation]) -> None:
        """Remove the client's earliest reservation and free its work in the interval."""
        reservation = reservations.pop(0)
        if not reservations:
            del self.by_client[client]
        remaining = self.reserved_work.pop(reservation.interval, 0.0) - reservation.cost
        if remaining > 1e-9:
            self.reserved_work[reservation.interval] = remaining

    def expire(self, client: Hashable, now: float) -> None:
        """Remove the client's reservations whose grace period is over."""
        reservations = self.by_client.get(client)
        while reservations and reservations[0].return_at + self.grace_ms < now:
            self.release_earliest(client, reservations)
            self.counts["lapsed"] += 1

    def sweep(self, now: float) -> None:
        """Remove expired reservations of all clients, once a second at most. After a backward step of the
        clock all are dropped: their times would lie further ahead than the clients were told."""
        if 0 <= now - self.last_sweep < SWEEP_PERIOD_MS:
            return
        stepped_back = now < self.last_sweep
        self.last_sweep = now
        if stepped_back:
            self.by_client.clear()
            self.reserved_work.clear()
        for client in list(self.by_client):
            self.expire(client, now)
