"""Placement of a function's copies: at which workers they are, and over how many workers they are spread."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import islice
from math import inf, log1p

from .interface import DropCopies, OrderCopies
from .state import NEVER, Copy, Function, Request, Worker, count_since
from .worker_health import WorkerHealth

RENEWAL_KEEP_ALIVES = 3.0  # keep-alives without use until renewal stops
RENEWAL_AGE_SHARE = 0.7  # of a keep-alive; a copy is renewed after this
RENEWAL_LIMIT_SHARE = 0.5  # of the order limit
EXTRA_COPY_LIMIT_SHARE = 0.75  # of the order limit
MAX_WIDTH_INCREASE = 2.0  # factor
WIDTH_DECREASE = 0.97  # factor
IDLE_LOAD_SHARE = 0.5  # of the slots; the copy width decreases below this


def adapt_copy_width(function: Function, load_share: float, worker_count: int) -> None:
    """Raises the number of copies of a function whose slots are overcommitted, lowers it where they are idle.

    `load_share` is the number of requests at the copies as a share of their slots.
    """
    if load_share > 1:
        function.copy_width = min(
            worker_count, max(function.copy_width, len(function.copies)) * min(MAX_WIDTH_INCREASE, load_share)
        )
    function.copy_width = max(
        1.0, function.copy_width * (WIDTH_DECREASE if load_share < IDLE_LOAD_SHARE else 1.0)
    )


class CopyPlacement(WorkerHealth):
    """The part of the router that tracks copies and orders new ones."""

    order_cap: float  # limit of own orders in progress

    def ordered_workers(self, function: Function) -> list[int]:
        """Returns the workers in the function's rendezvous hash order, weighted by their capacity.

        The order is the same at every front end.
        """
        if len(function.placement_order) != len(self.workers) or function.placement_order_expires <= self.now:
            function.placement_order = sorted(
                self.workers, key=lambda worker_id: self.placement_rank(function, self.workers[worker_id])
            )
            all_warm = self.now >= self.all_warm_at
            function.placement_order_expires = inf if all_warm else self.now + self.settings.cold_period / 16
        return function.placement_order

    def placement_rank(self, function: Function, worker: Worker) -> float:
        """Rank in the weighted rendezvous hash; a cold worker comes first for fewer functions."""
        mixed = ((function.digest ^ worker.digest) * worker.digest % (1 << 64) >> 11) / (1 << 53)
        return -log1p(-mixed) / self.warm_share(worker)

    def advised_order(self, function: Function, cost_factors: Mapping[int, float] | None) -> list[int]:
        """The placement order, sorted by the cost factors of advice where there are any."""
        if not cost_factors:
            return self.ordered_workers(function)
        return sorted(self.ordered_workers(function), key=lambda worker_id: cost_factors.get(worker_id, 1.0))

    def usable_copies(self, function: Function) -> Iterator[tuple[int, Worker, Copy]]:
        """Yields the known copies at usable workers, in placement order."""
        worker_ids = list(function.copies)
        if len(worker_ids) > 1:
            worker_ids.sort(key=self.ordered_workers(function).index)
        for worker_id in worker_ids:
            if self.is_usable(self.workers[worker_id]):
                yield worker_id, self.workers[worker_id], function.copies[worker_id]

    def record_copy(self, function: Function, worker_id: int, count: int = 0) -> Copy:
        """Notes that the worker has the function loaded; a count of 0 means that it was not reported."""
        self.schedule_maintenance(function)
        function.has_history = True
        copy = function.copies.setdefault(worker_id, Copy(1, self.now))
        copy.last_seen, copy.count = self.now, max(1, count or copy.count)
        function.missed_until.pop(worker_id, None)
        return copy

    def schedule_maintenance(self, function: Function) -> None:
        """Has the copies of the function looked after; at most one such task is scheduled."""
        if not function.maintenance_scheduled and not function.forgotten:
            function.maintenance_scheduled = True
            self.with_copies[function.name] = function
            self.schedule(self.settings.keep_alive / 4, self.maintain_copies, function)

    def maintain_copies(self, function: Function) -> None:
        """Forgets copies long unseen, renews the first copy of a function in use and drops idle extra copies.

        Copies are kept longer where more front ends may use them. Each front end renews with a probability of
        one in the number of front ends, or always if it is the only user.
        """
        if function.forgotten:
            return
        function.maintenance_scheduled = False
        keep_alive, front_ends = self.settings.keep_alive, self.settings.front_ends
        for worker_id, copy in list(function.copies.items()):
            expired = self.now - copy.last_seen > keep_alive * max(1, front_ends / 4)
            unused = expired and not function.own_in_flight.get(worker_id)
            if unused and worker_id not in function.pending_orders:
                del function.copies[worker_id]
        for position, (worker_id, worker, copy) in enumerate(list(self.usable_copies(function))):
            age = self.now - copy.last_seen
            unused_time = self.now - self.total_idle_time - function.last_used
            in_use = unused_time < RENEWAL_KEEP_ALIVES * keep_alive
            if position == 0 and age > RENEWAL_AGE_SHARE * keep_alive and in_use:
                renews = age < keep_alive and (function.sole_user or self.rng.random() * front_ends < 1)
                if renews and self.ensure_lease(worker):
                    self.order_copy(function, worker_id, RENEWAL_LIMIT_SHARE)
            elif (
                position
                and self.settings.idle_copy_price
                and age > keep_alive * front_ends / 6
                and not function.own_in_flight.get(worker_id)
            ):
                self.drop_copies(function, worker_id)
        if function.copies:
            self.schedule_maintenance(function)
        else:
            self.with_copies.pop(function.name, None)

    def drop_copies(self, function: Function, worker_id: int) -> None:
        """Has the worker unload the idle copies of the function."""
        del function.copies[worker_id]
        self.emit(DropCopies(worker_id, function.name))

    # --- orders ---

    def order_copy(self, function: Function, worker_id: int, share: float) -> bool:
        """Orders a copy unless the order cap or this `share` of the order limit is reached.

        Arrivals are counted over a window shorter by a tick and orders over one longer by a tick, so that the
        limit also holds for an observer whose window is off by a tick.
        """
        window_start = self.now - self.settings.order_limit_window
        arrivals = count_since(self.arrival_times, window_start + self.settings.tick)
        order_limit = (self.settings.order_limit_floor + self.settings.order_limit_share * arrivals) * share
        limit_reached = (
            self.settings.order_limit_window
            and count_since(self.order_times, window_start - self.settings.tick) + 1 > order_limit
        )
        cap_reached = self.orders_in_progress >= self.order_cap
        if (
            worker_id in function.pending_orders
            or cap_reached
            or limit_reached
            or not self.settings.may_order
        ):
            return False
        self.free_memory(function, worker_id)
        self.record_order(function, worker_id)
        self.emit(OrderCopies(worker_id, function.name, 1, self.lease_end(self.workers[worker_id])))
        return True

    def free_memory(self, function: Function, worker_id: int) -> None:
        """Drops idle extra copies at a worker whose known copies leave too little memory for this load."""
        kind = self.workers[worker_id].entry.kind
        available_mb = dict(enumerate(self.settings.memory_by_kind)).get(kind, inf)
        loaded_here = []
        if worker_id not in function.copies:
            loaded_here = [other for other in self.with_copies.values() if worker_id in other.copies]
        loaded_mb = sum(other.copies[worker_id].count * other.memory for other in loaded_here)
        needed_mb = function.memory + loaded_mb
        for other in loaded_here:
            if needed_mb <= available_mb:  # a running total: recounting for each function would be quadratic
                return
            unused_time = self.now - other.copies[worker_id].last_seen
            unused = unused_time > self.shortest_latency_target * self.settings.front_ends
            if unused and not other.own_in_flight.get(worker_id) and len(other.copies) > 1:
                needed_mb -= other.copies[worker_id].count * other.memory
                self.drop_copies(other, worker_id)

    def is_loading(self, function: Function, max_orders: int = 1) -> bool:
        """Whether no further order may go out: the order cap is reached, or `max_orders` orders are pending.

        Orders that take much longer than the expected load time do not count as pending.
        """
        since = self.now - 4 * function.load_time * self.load_time_factor
        return (
            self.orders_in_progress >= self.order_cap
            or sum(ordered_at > since for ordered_at in function.pending_orders.values()) >= max_orders
        )

    def next_place(self, function: Function) -> int | None:
        """Returns the first worker in placement order without a copy that accepts an order."""
        advice = (request.event.cost_factors for request in function.waiting if request.event.cost_factors)
        order = self.advised_order(function, next(advice, None))
        candidates = (
            worker_id
            for worker_id in order
            if worker_id not in function.copies and worker_id not in function.pending_orders
        )
        if function.copies and self.others_share:
            # another front end may have loaded a copy there: a request tries the worker before an order does
            candidates = (
                worker_id
                for worker_id in candidates
                if function.missed_until.get(worker_id, NEVER) > self.now
            )
        candidates = (
            worker_id
            for worker_id in candidates
            if function.load_failed_until.get(worker_id, NEVER) <= self.now
            and self.accepts_new_work(worker_id, function)
        )
        worker_id = next(candidates, None)
        return worker_id if worker_id is not None and self.ensure_lease(self.workers[worker_id]) else None

    def order_extra_copies(self, function: Function) -> None:
        """Orders copies up to the copy width, which grows once all copies are busy, full or overloaded."""
        if function.copies and not any(
            function.own_in_flight.get(worker_id, 0) + copy.others_in_flight < function.slots * copy.count
            and not self.is_overloaded(worker)
            and not self.is_suspected(worker, function)
            and max(worker.full_until.values(), default=NEVER) <= self.now
            for worker_id, worker, copy in self.usable_copies(function)
        ):
            function.copy_width = max(function.copy_width, min(len(self.workers), len(function.copies) + 1.0))
        missing = int(function.copy_width) - len(function.copies)
        if not function.copies or missing <= 0 or self.is_loading(function, missing):
            return
        if (worker_id := self.next_place(function)) is not None:
            self.order_copy(function, worker_id, EXTRA_COPY_LIMIT_SHARE)

    def candidate_copies(self, function: Function, request: Request) -> Iterator[tuple[int, Worker, Copy]]:
        """Yields usable copies, then the first workers of the order: other front ends load copies there."""
        yield from self.usable_copies(function)
        is_last_attempt = request.attempt_count >= max(1, request.max_attempts - 1)
        if is_last_attempt or (function.copies and not self.others_share):
            return
        places = (
            worker_id
            for worker_id in self.advised_order(function, request.event.cost_factors)
            if self.accepts_new_work(worker_id, function)
        )
        for worker_id in islice(places, int(function.copy_width)):
            if (
                worker_id not in function.copies
                and worker_id not in function.pending_orders
                and function.missed_until.get(worker_id, NEVER) <= self.now
            ):
                yield worker_id, self.workers[worker_id], Copy(1, self.now)
