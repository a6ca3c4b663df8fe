"""All decisions of the router (docs/design.md). `interface.py` has its interface, `state.py` its records."""

from collections.abc import Callable, Iterator
from itertools import islice
from math import exp2, inf, log1p
from random import Random
from typing import Any

from . import interface as i
from .copy_width import adapt_copy_width
from .interface import CopyLookup, Outcome
from .load_limit import OVERLOADED_RATIO, adapt_limit
from .repeat_rules import may_refuse, may_repeat
from .state import NEVER, Copy, Function, PossibleRestart, Request, TokenBucket, Worker, count_since, digest
from .worker_health import WorkerHealth

NOT_EXECUTED = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.MISS)
INITIAL_ORDER_CAP, MIN_ORDER_CAP, MAX_ORDER_CAP = 6.0, 2.0, 12.0  # own orders in progress
EARLY_REFUSAL_SHARE = 0.45  # of a request's time: a refusal that leaves now still comes within its first half
RENEWAL_KEEP_ALIVES = 3.0  # keep-alives without use until renewal stops
FORGET_KEEP_ALIVES = 8.0  # keep-alives without use until a function is forgotten


class Router(WorkerHealth):
    """The decisions of one front end: `handle` takes what came in and returns what to do."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.order_cap, self.load_time_factor = INITIAL_ORDER_CAP, 1.0  # loads' time against the told time
        self.latency_ratio = OVERLOADED_RATIO / 2  # of all workers together
        self.change_settings(i.SettingsChanged(settings))
        if settings.list_on_request:
            self.schedule(0.0, self.emit, i.FollowList())
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.WorkersListed: self.on_workers_listed, i.ListConfirmed: self.on_list_confirmed, i.RequestArrived: self.on_request_arrived,
            i.RequestDropped: self.close_request, i.AttemptEnded: self.on_attempt_ended,
            i.OrderEnded: self.on_order_ended, i.ProbeEnded: self.on_probe_ended,
            i.PrewarmRequested: lambda e: self.prewarm_requests.append(e.function),
            i.SettingsChanged: self.change_settings}  # fmt: skip

    def change_settings(self, e: i.SettingsChanged) -> None:
        """What follows from the settings. What was learned stays, and open requests keep what they have."""
        self.settings = s = e.settings
        self.others_share = 1 - 1 / s.front_ends  # share of the calls that others send
        self.shortest_latency_target = s.shortest_latency_target()
        self.dispatch_interval = max(s.tick, self.shortest_latency_target / 50)
        for n, t in enumerate(s.tenants):
            self.tenant_buckets.setdefault(n, TokenBucket()).rate_per_s = t.allowance_per_s / s.front_ends

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.now, self.actions, self.functions_to_dispatch = now, [], {}
        self.list_current = self.list_age.is_current(now, self.settings)
        for event in events:
            self.handlers.get(type(event), bool)(event)
        self.run_due_tasks()
        for f in list(self.functions_to_dispatch.values()):
            self.dispatch(f)
        self.order_missing_copies()
        self.prewarm()
        self.set_timer()
        return self.actions

    # --- copy table ---

    def ordered_workers(self, f: Function) -> list[int]:
        """The function's hash order of workers, the same at every front end, by what each can bear by now."""
        if len(f.placement_order) != len(self.workers) or f.placement_order_expires <= self.now:
            f.placement_order = sorted(
                self.workers, key=lambda wid: self.placement_rank(f, self.workers[wid])
            )
            f.placement_order_expires = (
                self.now + self.settings.cold_period / 16 if self.now < self.all_warm_at else float("inf")
            )
        return f.placement_order

    def placement_rank(
        self, f: Function, w: Worker
    ) -> float:  # a cold one leads for fewer functions, not for none
        mixed = ((f.digest ^ w.digest) * w.digest % (1 << 64) >> 11) / (1 << 53)
        return -log1p(-mixed) / self.warm_share(w)

    def advised_order(self, f: Function, bias: Any) -> list[int]:
        """The hash order, with what advice prefers first and what it avoids last."""
        return (
            sorted(self.ordered_workers(f), key=lambda wid: bias.get(wid, 1.0))
            if bias
            else self.ordered_workers(f)
        )

    def usable_copies(self, f: Function) -> Iterator[tuple[int, Worker, Copy]]:
        for wid in (
            sorted(f.copies, key=self.ordered_workers(f).index) if len(f.copies) > 1 else list(f.copies)
        ):
            if self.is_usable(self.workers[wid]):
                yield wid, self.workers[wid], f.copies[wid]

    def record_copy(self, f: Function, wid: int, count: int = 0) -> Copy:
        if not f.copies:
            self.schedule(self.settings.keep_alive / 4, self.maintain_copies, f)
        copy = f.copies.setdefault(wid, Copy(1, self.now))
        copy.last_seen, copy.count = self.now, max(1, count or copy.count)
        f.missed_until.pop(wid, None)
        return copy

    def maintain_copies(self, f: Function) -> None:
        """Lets old beliefs lapse, later where others use copies too; renews the first copy of what was used
        lately, drops idle extras. Of many front ends one in as many renews, unless it lapsed meanwhile."""
        keep, ours = self.settings.keep_alive, self.settings.front_ends
        for wid, copy in list(f.copies.items()):
            unused = self.now - copy.last_seen > keep * max(1, ours / 4) and not f.own_in_flight.get(wid)
            if unused and wid not in f.pending_orders:
                del f.copies[wid]
        for n, (wid, w, copy) in enumerate(list(self.usable_copies(f))):
            age = self.now - copy.last_seen
            if (
                n == 0
                and age > 0.7 * keep
                and self.now - self.total_idle_time - f.last_used < RENEWAL_KEEP_ALIVES * keep
            ):
                if age < keep and (f.sole_user or self.rng.random() * ours < 1) and self.ensure_lease(w):
                    self.order_copy(f, wid, 0.5)
            elif (
                n and self.settings.idle_copy_price and age > keep * ours / 6 and not f.own_in_flight.get(wid)
            ):
                self.drop_copies(f, wid)
        if f.copies:
            self.schedule(keep / 4, self.maintain_copies, f)

    def drop_copies(self, f: Function, wid: int) -> None:
        del f.copies[wid]
        self.emit(i.DropCopies(wid, f.name))

    # --- orders ---

    def order_copy(self, f: Function, wid: int, share: float) -> bool:
        """Orders a copy within the cap and this `share` of the ration, counted a tick to the safe side."""
        past = self.now - self.settings.order_limit_window
        taken = count_since(self.arrival_times, past + self.settings.tick)
        ration = (self.settings.order_limit_floor + self.settings.order_limit_share * taken) * share
        spent = (
            self.settings.order_limit_window
            and count_since(self.order_times, past - self.settings.tick) + 1 > ration
        )
        if (
            wid in f.pending_orders
            or self.orders_in_progress >= self.order_cap
            or spent
            or not self.settings.may_order
        ):
            return False
        self.free_memory(f, wid)
        self.record_order(f, wid)
        self.emit(i.OrderCopies(wid, f.name, 1, self.lease_end(self.workers[wid])))
        return True

    def free_memory(self, f: Function, wid: int) -> None:
        """Drops our idle extra copies at a worker that our account shows short of memory for this load."""
        room = dict(enumerate(self.settings.memory_by_kind)).get(self.workers[wid].entry.kind, inf)
        here = [g for g in self.functions.values() if wid in g.copies] if wid not in f.copies else []
        held = f.memory + sum(g.copies[wid].count * g.memory for g in here)
        for g in here:
            if held <= room:  # guards the core against counting anew for each function, which is quadratic
                return
            quiet = (
                self.now - g.copies[wid].last_seen > self.shortest_latency_target * self.settings.front_ends
            )
            if quiet and not g.own_in_flight.get(wid) and len(g.copies) > 1:
                held -= g.copies[wid].count * g.memory
                self.drop_copies(g, wid)

    def is_loading(self, f: Function, most: int = 1) -> bool:
        """At the cap, or that many orders are out that have not overstayed their time: no other may go."""
        since = self.now - 4 * f.load_time * self.load_time_factor
        return (
            self.orders_in_progress >= self.order_cap
            or sum(at > since for at in f.pending_orders.values()) >= most
        )

    def next_place(self, f: Function) -> int | None:
        """The first worker along the order that lacks the function and may be loaded."""
        order = self.advised_order(
            f, next((r.event.cost_factors for r in f.waiting if r.event.cost_factors), None)
        )
        free = (wid for wid in order if wid not in f.copies and wid not in f.pending_orders)
        if f.copies and self.others_share:  # others may have put one there: a request tries the place first
            free = (wid for wid in free if f.missed_until.get(wid, NEVER) > self.now)
        free = (
            wid
            for wid in free
            if f.load_failed_until.get(wid, NEVER) <= self.now and self.accepts_new_work(wid, f)
        )
        wid = next(free, None)
        return wid if wid is not None and self.ensure_lease(self.workers[wid]) else None

    def on_order_ended(self, e: i.OrderEnded) -> None:
        if not (w := self.workers.get(e.worker)):
            return
        w.query_pending = False
        if e.outcome is Outcome.NOT_SENT:  # nothing was asked: this tells nothing of the worker
            w.hold_off.extend(self.now, self.settings.connect_timeout)
            self.schedule(w.backoff * (0.5 + self.rng.random()), self.query_ejected, w)
        elif e.outcome is Outcome.RESET and not w.ejected:
            self.on_connection_reset(w)
        elif e.outcome in (Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET):  # a lost ask: once more
            self.eject(w, dead=e.outcome is Outcome.NO_CONNECTION)
        else:
            self.reinstate(w)
        if (f := self.functions.get(e.function)) is None:
            return
        sent, self.functions_to_dispatch[f.name] = (
            self.release_order(f, e.worker, e.outcome is not Outcome.NOT_SENT),
            f,
        )
        if e.copies > 0:
            self.record_copy(f, e.worker, e.copies)
        if sent is None or e.outcome is Outcome.NOT_SENT:
            return
        stretch, change = e.duration / f.load_time, 0.0
        if e.outcome is not Outcome.OK:
            f.load_failed_until[e.worker], change = (
                self.now + f.load_time,
                -1.0 if e.outcome is Outcome.ERROR else 0.0,
            )
        elif stretch > 0.3:  # it was a load, not a copy that stood
            self.load_time_factor += 0.2 * (max(1.0, stretch) - self.load_time_factor)
            change = -0.5 if stretch > 3 else 0.25
        self.order_cap = min(MAX_ORDER_CAP, max(MIN_ORDER_CAP, self.order_cap + change))

    def order_missing_copies(self) -> None:
        """Orders one copy for each function waited for that has none, the most worth waiting first."""
        held = [f for f in self.functions_to_dispatch.values() if f.waiting and not self.is_loading(f)]
        bare = [f for f in held if not any(self.usable_copies(f))]
        for f in sorted(bare, key=lambda f: -sum(self.value_per_work(r, f) for r in f.waiting)):
            if (wid := self.next_place(f)) is not None and not self.order_copy(f, wid, 1.0):
                return

    def prewarm(self) -> None:
        """Advice to keep functions warm. Loads come after own needs, from half the ration and the cap."""
        for f in filter(None, map(self.functions.get, self.prewarm_requests)):
            spare = self.orders_in_progress < self.order_cap / 2 and not self.is_loading(f)
            f.last_used = self.now - self.total_idle_time
            if spare and not any(self.usable_copies(f)) and (wid := self.next_place(f)) is not None:
                self.order_copy(f, wid, 0.5)
        self.prewarm_requests.clear()

    def order_extra_copies(self, f: Function) -> None:
        """Added copies along the order, up to the width; a place more once all are busy, full or jammed."""
        if f.copies and not any(
            f.own_in_flight.get(wid, 0) + copy.others_in_flight < f.slots * copy.count and not self.is_overloaded(w)
            and not self.is_suspected(w, f) and max(w.full_until.values(), default=NEVER) <= self.now
            for wid, w, copy in self.usable_copies(f)
        ):  # fmt: skip
            f.copy_width = max(f.copy_width, min(len(self.workers), len(f.copies) + 1.0))
        more = int(f.copy_width) - len(f.copies)
        if (
            f.copies
            and more > 0
            and not self.is_loading(f, more)
            and (place := self.next_place(f)) is not None
        ):
            self.order_copy(f, place, 0.75)

    # --- choosing ---

    def value_per_work(self, r: Request, f: Function) -> float:
        """Worth for each unit of work; late and over-share requests count for what they still earn."""
        worth = r.worth * (
            r.request_class.late_worth if self.now + f.mean_duration / 2 > r.target_time else 1.0
        )
        return worth if self.settings.worth_by_work else worth / f.mean_duration

    def may_send(self, r: Request, w: Worker) -> bool:
        """Rule two: what may have run goes out again only as its class allows."""
        return may_repeat(r.request_class, r.possible_runs, w.entry, self.now, self.settings.tick)

    def choose_worker(self, f: Function, r: Request) -> int | None:
        """The copy with fewest attempts for its lanes and its worker's pace; a draw stands for the unseen."""
        if self.latency_ratio > 0.75 * OVERLOADED_RATIO and self.now + f.mean_duration / 2 > r.target_time:
            return None  # what comes too late anyway must not make others late
        costs: list[tuple[bool, float, int]] = []
        for wid, w, copy in self.candidate_copies(f, r):
            lanes, mine, draw = f.slots * copy.count, f.own_in_flight.get(wid, 0), self.rng.random()
            if mine >= 3 * lanes or not self.has_room(w, r):
                continue
            usual = self.expected_duration(
                w
            )  # what would be given up at work feeds the jam of a jammed worker
            if r.event.deadline - self.now < usual or not self.may_send(r, w):
                continue
            queue = max(0.0, mine + copy.others_in_flight + 1 - lanes) / lanes
            busy = 1 + len(w.in_flight) + self.others_share * (draw + self.estimated_in_progress(w))
            cost = busy * self.slowness(w, usual) * (1 + queue) * (r.event.cost_factors or {}).get(wid, 1.0)
            if not self.is_on_trial(w, f):
                costs.append((self.is_suspected(w, f), cost, wid))
        ranked = (self.workers[wid] for *_, wid in sorted(costs))
        chosen = (w for w in ranked if self.ensure_lease(w) and self.take_cold_budget(w))
        return next((w.entry.worker for w in chosen), None)

    def candidate_copies(self, f: Function, r: Request) -> Iterator[tuple[int, Worker, Copy]]:
        """Believed copies, and the first places of the order where others put theirs, by its width."""
        yield from self.usable_copies(f)
        if r.attempt_count >= max(1, r.max_attempts - 1) or (f.copies and not self.others_share):
            return
        places = (wid for wid in self.advised_order(f, r.event.cost_factors) if self.accepts_new_work(wid, f))
        for wid in islice(places, int(f.copy_width)):
            if (
                wid not in f.copies
                and wid not in f.pending_orders
                and f.missed_until.get(wid, NEVER) <= self.now
            ):
                yield wid, self.workers[wid], Copy(1, self.now)

    def dispatch(self, f: Function) -> None:
        f.waiting, kept = [r for r in f.waiting if not r.done], []
        stuck: list[int | None] = []  # tenants whose requests, free to go, found no room just now
        for r in sorted(f.waiting, key=lambda r: (-self.value_per_work(r, f), r.event.deadline)):
            idle = r.event.tenant in stuck and (f.copies or r.attempt_count)
            if not idle and (wid := self.choose_worker(f, r)) is not None:
                w = self.workers[wid]
                self.schedule(
                    self.overdue_timeout(w, f), self.on_attempt_overdue, self.record_attempt(r, f, w)
                )
                self.emit(i.StartAttempt(r.event.request, wid, start_by=self.lease_end(w)))
            else:
                kept.append(r)
                stuck += [] if r.possible_runs else [r.event.tenant]
        f.waiting = kept
        self.order_extra_copies(f)
        if kept and not f.dispatch_scheduled:
            self.schedule(
                self.dispatch_interval + (self.now - kept[-1].arrived_at) / 8, self.dispatch_again, f
            )
            f.dispatch_scheduled = True

    def dispatch_again(self, f: Function) -> None:
        f.dispatch_scheduled, self.functions_to_dispatch[f.name] = False, f

    # --- attempts and final answers ---

    def on_request_arrived(self, e: i.RequestArrived) -> None:
        if e.request in self.requests:
            return
        kind = self.settings.classes[min(e.class_index, len(self.settings.classes) - 1)]
        came = self.record_arrival(e.received_at, self.settings.order_limit_window + self.settings.tick)
        gap, self.last_arrival = self.now - self.last_arrival, self.now
        self.total_idle_time += (
            gap if gap > self.settings.keep_alive / 8 else 0.0
        )  # a stall must not read as no demand
        self.recent_calls = 1 + self.recent_calls * exp2(-gap / self.settings.keep_alive / 0.69)
        if (f := self.functions.get(e.function)) is None:
            self.schedule(FORGET_KEEP_ALIVES * self.settings.keep_alive, self.forget_unused, e.function)
            f = Function(
                e.function,
                digest(e.function),
                e.class_index,
                e.load_time or kind.latency_target,
                kind.latency_target / 4,
            )
            self.functions[e.function] = f
        f.memory, f.slots, f.last_used = e.memory, max(1, e.slots), self.now - self.total_idle_time
        aimed = came + min(kind.latency_target, e.latency_target or kind.latency_target)
        r = self.requests[e.request] = Request(e, kind, came, aimed, kind.worth, self.settings.max_attempts)
        bucket = self.tenant_buckets.get(e.tenant)  # a second deep, at least one call
        if (
            bucket
            and bucket.rate_per_s
            and not bucket.take_token(self.now, bucket.rate_per_s / 1000, max(1.0, bucket.rate_per_s))
        ):
            r.worth *= self.settings.over_share_worth
        self.enqueue(f, r)

    def forget_unused(self, name: str) -> None:
        """Forgets a function long unused of which nothing is out. Guards against calls made only once."""
        f, keep = self.functions[name], self.settings.keep_alive
        left = FORGET_KEEP_ALIVES * keep - (self.now - self.total_idle_time - f.last_used)
        busy = f.waiting or f.copies or f.pending_orders or any(f.own_in_flight.values())
        if left <= 0 and not busy:
            if len(self.functions) > 1:  # one must be there to ask workers about
                del self.functions[name]
        else:
            self.schedule(max(left, keep), self.forget_unused, name)

    def enqueue(self, f: Function, r: Request) -> None:
        f.waiting.append(r)
        self.functions_to_dispatch[f.name] = f
        half = r.arrived_at + EARLY_REFUSAL_SHARE * (r.event.deadline - r.arrived_at)
        self.schedule(max(0.0, half - self.now), self.give_up_early, (f, r))
        self.schedule(r.event.deadline - 2 * self.dispatch_interval - self.now, self.reject, r)

    def give_up_early(self, held: tuple[Function, Request]) -> None:
        """Gives up at once where nobody can answer in time, or half went by and no load is on its way."""
        f, r = held
        if r.done or r.in_flight:
            return
        left = r.event.deadline - self.now
        in_time = any(self.expected_duration(w) <= left for w in self.workers.values() if self.is_usable(w))
        if not in_time or not (r.attempt_count or f.pending_orders):
            return self.reject(r)
        self.schedule(4 * self.dispatch_interval, self.give_up_early, held)

    def on_attempt_ended(self, e: i.AttemptEnded) -> None:
        if (known := self.release_attempt(e.request, e.attempt)) is None:
            return
        w, f, sent = known
        self.functions_to_dispatch[f.name] = f
        r = self.requests.get(e.request)
        self.learn_from_attempt(e, w, f, r, sent)
        if r and e.outcome not in NOT_EXECUTED:
            r.possible_runs.append((w.entry, sent))
        if e.finished:
            self.close_request(e)
        elif r and not r.in_flight:
            again = (
                r.event.deadline - self.now > 2 * self.dispatch_interval and r.attempt_count < r.max_attempts
            )
            again = again and any(self.may_send(r, v) for v in self.workers.values())
            self.enqueue(f, r) if again else self.reject(r)

    def learn_from_attempt(
        self, e: i.AttemptEnded, w: Worker, f: Function, r: Request | None, sent: float
    ) -> None:
        wid, aim = w.entry.worker, r.request_class.latency_target if r else self.shortest_latency_target
        if e.report and e.report.in_progress is not None:
            w.in_progress, w.reported_at = e.report.in_progress, self.now
            self.mean_in_progress += 0.05 * (w.in_progress - self.mean_in_progress)
        if e.outcome is Outcome.NO_CONNECTION:
            self.eject(w, dead=True)
        elif e.outcome is Outcome.NOT_SENT:
            w.hold_off.extend(self.now, self.settings.connect_timeout)
        elif e.outcome is Outcome.RESET:
            self.on_connection_reset(w)
        elif e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            self.reinstate(w)
        if e.outcome in (Outcome.OK, Outcome.ERROR):
            w.unanswered_classes.discard(f.class_index)
        if e.outcome is Outcome.MISS or e.load_failed:
            old = f.copies.pop(wid, None)
            if old is not None and self.now - old.last_seen < self.settings.keep_alive:
                w.possible_restart = PossibleRestart(old.last_seen, self.now)
            f.sole_user = f.sole_user or (
                old is not None and self.now - old.last_seen > self.settings.keep_alive
            )
            f.missed_until[wid] = self.now + self.settings.keep_alive / 4
        elif e.outcome is Outcome.ERROR:
            self.suspect(w, f)
        elif e.outcome is Outcome.FULL and r:  # it may be full for one tenant alone: the others go on
            w.full_until[r.event.tenant] = self.now + f.mean_duration
            adapt_copy_width(f, 1 + self.others_share, len(self.workers))
        elif e.outcome is Outcome.OK:
            sure, w.backoff = wid in f.copies and wid not in f.pending_orders, 0.0
            w.lease.renew(sent)
            copy = self.record_copy(f, wid)
            w.suspected_classes.pop(f.class_index, None)
            w.last_served[f.class_index] = self.now
            crowd = max(0.0, (e.concurrent_requests or 0) - f.own_in_flight.get(wid, 0))
            copy.others_in_flight += (
                0.3 * (crowd - copy.others_in_flight) if self.settings.reports_concurrent_requests else 0.0
            )
            if e.copy_lookup in (CopyLookup.STARTED_LOAD, CopyLookup.WAITED_FOR_LOAD) or not (
                e.copy_lookup or sure
            ):
                return  # its time tells of a load
            share = (
                crowd / f.slots / copy.count
                if self.settings.reports_concurrent_requests
                else e.duration / aim / OVERLOADED_RATIO
            )
            adapt_copy_width(f, share, len(self.workers))
            w.slowness_factor += 0.1 * (min(8.0, e.duration / f.mean_duration) - w.slowness_factor)
            f.mean_duration += 0.05 * (e.duration - f.mean_duration)
        unanswered = e.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and e.duration > aim
        told = (
            e.outcome is Outcome.OK
            or self.estimated_latency_ratio(w) > OVERLOADED_RATIO / 2
            or not self.is_suspected(w, f)
        )
        if (
            told
            and not (unanswered and self.is_class_hung(w, f, sent))
            and (e.outcome is Outcome.OK or unanswered)
        ):
            # what never came back tells of a crowd too, else many front ends keep each other's queues full
            took = min(3.0, e.duration / aim)
            self.latency_ratio += 0.1 * (took - self.latency_ratio)
            adapt_limit(w.load, took, len(w.in_flight), self.settings.front_ends)

    def reject(self, r: Request) -> None:
        """The final answer of what cannot be served: a refusal where that is lawful, else a failure."""
        if not r.done and not r.in_flight:
            rid, away = (
                r.event.request,
                self.settings.max_retry_after if self.settings.sends_retry_after else None,
            )
            self.emit(
                i.Refuse(rid, away or None) if may_refuse(r.request_class, r.possible_runs) else i.Fail(rid)
            )
            self.close_request(r.event)

    def close_request(self, e: i.RequestDropped | i.AttemptEnded | i.RequestArrived) -> None:
        if r := self.requests.pop(e.request, None):
            r.done = True
            if isinstance(e, i.RequestDropped):  # or who asks and takes back buys orders beyond the ration
                self.withdraw_arrival(r.arrived_at)
            for attempt in r.in_flight:
                self.cancel_attempt(e.request, attempt)
