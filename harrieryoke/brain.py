"""All decisions of the router (docs/design.md). `interface.py` has its interface, `state.py` its records."""

from collections.abc import Callable, Iterator
from itertools import islice
from math import exp2, inf, log1p
from random import Random
from typing import Any

from . import interface as i
from .copy_width import widen
from .interface import CopyLookup, Outcome
from .load_limit import STRAINED, adapt_limit
from .repeat_rules import may_refuse, may_repeat
from .state import NEVER, Bucket, Copy, Function, PossibleRestart, Request, Worker, count_since, digest
from .worker_health import WorkerHealth

NEVER_RAN = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.MISS)
ORDERS_FIRST, ORDERS_LEAST, ORDERS_MOST = 6.0, 2.0, 12.0  # own orders in progress
HALF = 0.45  # of a request's time: a refusal that leaves now still comes within its first half
IDLE_WINDOW = 3.0  # keep-alives without use until renewal stops
FORGET = 8.0  # keep-alives without use until a function is forgotten


class Router(WorkerHealth):
    """The decisions of one front end: `handle` takes what came in and returns what to do."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.order_cap, self.stretch = ORDERS_FIRST, 1.0  # loads' time against the told time
        self.strain = STRAINED / 2  # of all workers together
        self.retune(i.SettingsChanged(settings))
        if settings.list_on_request:
            self.later(0.0, self.say, i.FollowList())
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.WorkersListed: self.listed, i.ListConfirmed: self.confirmed, i.RequestArrived: self.arrive,
            i.RequestDropped: self.close, i.AttemptEnded: self.attempt_ended,
            i.OrderEnded: self.order_ended, i.ProbeEnded: self.probe_ended,
            i.PrewarmRequested: lambda e: self.wishes.append(e.function),
            i.SettingsChanged: self.retune}  # fmt: skip

    def retune(self, e: i.SettingsChanged) -> None:
        """What follows from the settings. What was learned stays, and open requests keep what they have."""
        self.s = s = e.settings
        self.unseen = 1 - 1 / s.front_ends  # share of the calls that others send
        self.shortest_aim = s.shortest_latency_target()
        self.sweep = max(s.tick, self.shortest_aim / 50)
        for n, t in enumerate(s.tenants):
            self.allowances.setdefault(n, Bucket()).rate = t.allowance_per_s / s.front_ends

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.now, self.out, self.touched = now, [], {}
        self.list_current = self.list_age.is_current(now, self.s)
        for event in events:
            self.handlers.get(type(event), bool)(event)
        self.run_agenda()
        for f in list(self.touched.values()):
            self.dispatch(f)
        self.cover()
        self.warm()
        self.set_timer()
        return self.out

    # --- copy table ---

    def order_for(self, f: Function) -> list[int]:
        """The function's hash order of workers, the same at every front end, by what each can bear by now."""
        if len(f.order) != len(self.workers) or f.order_until <= self.now:
            f.order = sorted(self.workers, key=lambda wid: self.rank(f, self.workers[wid]))
            f.order_until = self.now + self.s.cold_period / 16 if self.now < self.warm_at else float("inf")
        return f.order

    def rank(self, f: Function, w: Worker) -> float:  # a cold one leads for fewer functions, not for none
        mixed = ((f.digest ^ w.digest) * w.digest % (1 << 64) >> 11) / (1 << 53)
        return -log1p(-mixed) / self.warmth(w)

    def advised(self, f: Function, bias: Any) -> list[int]:
        """The hash order, with what advice prefers first and what it avoids last."""
        return sorted(self.order_for(f), key=lambda wid: bias.get(wid, 1.0)) if bias else self.order_for(f)

    def believed(self, f: Function) -> Iterator[tuple[int, Worker, Copy]]:
        for wid in sorted(f.copies, key=self.order_for(f).index) if len(f.copies) > 1 else list(f.copies):
            if self.usable(self.workers[wid]):
                yield wid, self.workers[wid], f.copies[wid]

    def believe(self, f: Function, wid: int, count: int = 0) -> Copy:
        if not f.copies:
            self.later(self.s.keep_alive / 4, self.tend, f)
        copy = f.copies.setdefault(wid, Copy(1, self.now))
        copy.seen, copy.count = self.now, max(1, count or copy.count)
        f.missed.pop(wid, None)
        return copy

    def tend(self, f: Function) -> None:
        """Lets old beliefs lapse, later where others use copies too; renews the first copy of what was used
        lately, drops idle extras. Of many front ends one in as many renews, unless it lapsed meanwhile."""
        keep, ours = self.s.keep_alive, self.s.front_ends
        for wid, copy in list(f.copies.items()):
            unused = self.now - copy.seen > keep * max(1, ours / 4) and not f.mine.get(wid)
            if unused and wid not in f.pending:
                del f.copies[wid]
        for n, (wid, w, copy) in enumerate(list(self.believed(f))):
            age = self.now - copy.seen
            if n == 0 and age > 0.7 * keep and self.now - self.stalled - f.used < IDLE_WINDOW * keep:
                if age < keep and (f.alone or self.rng.random() * ours < 1) and self.ensure_lease(w):
                    self.order(f, wid, 0.5)
            elif n and self.s.idle_copy_price and age > keep * ours / 6 and not f.mine.get(wid):
                self.drop(f, wid)
        if f.copies:
            self.later(keep / 4, self.tend, f)

    def drop(self, f: Function, wid: int) -> None:
        del f.copies[wid]
        self.say(i.DropCopies(wid, f.name))

    # --- orders ---

    def order(self, f: Function, wid: int, share: float) -> bool:
        """Orders a copy within the cap and this `share` of the ration, counted a tick to the safe side."""
        past = self.now - self.s.order_limit_window
        taken = count_since(self.arrivals, past + self.s.tick)
        ration = (self.s.order_limit_floor + self.s.order_limit_share * taken) * share
        spent = self.s.order_limit_window and count_since(self.ordered, past - self.s.tick) + 1 > ration
        if wid in f.pending or self.ordering >= self.order_cap or spent or not self.s.may_order:
            return False
        self.make_room(f, wid)
        self.book_order(f, wid)
        self.say(i.OrderCopies(wid, f.name, 1, self.lease_end(self.workers[wid])))
        return True

    def make_room(self, f: Function, wid: int) -> None:
        """Drops our idle extra copies at a worker that our account shows short of memory for this load."""
        room = dict(enumerate(self.s.memory_by_kind)).get(self.workers[wid].entry.kind, inf)
        here = [g for g in self.functions.values() if wid in g.copies] if wid not in f.copies else []
        held = f.memory + sum(g.copies[wid].count * g.memory for g in here)
        for g in here:
            if held <= room:  # guards the core against counting anew for each function, which is quadratic
                return
            quiet = self.now - g.copies[wid].seen > self.shortest_aim * self.s.front_ends
            if quiet and not g.mine.get(wid) and len(g.copies) > 1:
                held -= g.copies[wid].count * g.memory
                self.drop(g, wid)

    def loading(self, f: Function, most: int = 1) -> bool:
        """At the cap, or that many orders are out that have not overstayed their time: no other may go."""
        since = self.now - 4 * f.load_time * self.stretch
        return self.ordering >= self.order_cap or sum(at > since for at in f.pending.values()) >= most

    def place(self, f: Function) -> int | None:
        """The first worker along the order that lacks the function and may be loaded."""
        order = self.advised(f, next((r.event.cost_factors for r in f.waiting if r.event.cost_factors), None))
        free = (wid for wid in order if wid not in f.copies and wid not in f.pending)
        if f.copies and self.unseen:  # others may have put one there: a request tries the place first
            free = (wid for wid in free if f.missed.get(wid, NEVER) > self.now)
        free = (wid for wid in free if f.avoid.get(wid, NEVER) <= self.now and self.open(wid, f))
        wid = next(free, None)
        return wid if wid is not None and self.ensure_lease(self.workers[wid]) else None

    def order_ended(self, e: i.OrderEnded) -> None:
        if not (w := self.workers.get(e.worker)):
            return
        w.asked = False
        if e.outcome is Outcome.NOT_SENT:  # nothing was asked: this tells nothing of the worker
            w.hold_off.extend(self.now, self.s.connect_timeout)
            self.later(w.backoff * (0.5 + self.rng.random()), self.ask, w)
        elif e.outcome is Outcome.RESET and not w.out:
            self.cut_off(w)
        elif e.outcome in (Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET):  # a lost ask: once more
            self.take_out(w, dead=e.outcome is Outcome.NO_CONNECTION)
        else:
            self.back(w)
        if (f := self.functions.get(e.function)) is None:
            return
        sent, self.touched[f.name] = self.unbook_order(f, e.worker, e.outcome is not Outcome.NOT_SENT), f
        if e.copies > 0:
            self.believe(f, e.worker, e.copies)
        if sent is None or e.outcome is Outcome.NOT_SENT:
            return
        stretch, change = e.duration / f.load_time, 0.0
        if e.outcome is not Outcome.OK:
            f.avoid[e.worker], change = self.now + f.load_time, -1.0 if e.outcome is Outcome.ERROR else 0.0
        elif stretch > 0.3:  # it was a load, not a copy that stood
            self.stretch += 0.2 * (max(1.0, stretch) - self.stretch)
            change = -0.5 if stretch > 3 else 0.25
        self.order_cap = min(ORDERS_MOST, max(ORDERS_LEAST, self.order_cap + change))

    def cover(self) -> None:
        """Orders one copy for each function waited for that has none, the most worth waiting first."""
        held = [f for f in self.touched.values() if f.waiting and not self.loading(f)]
        bare = [f for f in held if not any(self.believed(f))]
        for f in sorted(bare, key=lambda f: -sum(self.value(r, f) for r in f.waiting)):
            if (wid := self.place(f)) is not None and not self.order(f, wid, 1.0):
                return

    def warm(self) -> None:
        """Advice to keep functions warm. Loads come after own needs, from half the ration and the cap."""
        for f in filter(None, map(self.functions.get, self.wishes)):
            spare = self.ordering < self.order_cap / 2 and not self.loading(f)
            f.used = self.now - self.stalled
            if spare and not any(self.believed(f)) and (wid := self.place(f)) is not None:
                self.order(f, wid, 0.5)
        self.wishes.clear()

    def more_room(self, f: Function) -> None:
        """Added copies along the order, up to the width; a place more once all are busy, full or jammed."""
        if f.copies and not any(
            f.mine.get(wid, 0) + copy.others < f.lanes * copy.count and not self.jammed(w)
            and not self.doubted(w, f) and max(w.full_until.values(), default=NEVER) <= self.now
            for wid, w, copy in self.believed(f)
        ):  # fmt: skip
            f.width = max(f.width, min(len(self.workers), len(f.copies) + 1.0))
        more = int(f.width) - len(f.copies)
        if f.copies and more > 0 and not self.loading(f, more) and (place := self.place(f)) is not None:
            self.order(f, place, 0.75)

    # --- choosing ---

    def value(self, r: Request, f: Function) -> float:
        """Worth for each unit of work; late and over-share requests count for what they still earn."""
        worth = r.worth * (r.kind.late_worth if self.now + f.usual / 2 > r.aimed else 1.0)
        return worth if self.s.worth_by_work else worth / f.usual

    def may_go(self, r: Request, w: Worker) -> bool:
        """Rule two: what may have run goes out again only as its class allows."""
        return may_repeat(r.kind, r.ran, w.entry, self.now, self.s.tick)

    def choose(self, f: Function, r: Request) -> int | None:
        """The copy with fewest attempts for its lanes and its worker's pace; a draw stands for the unseen."""
        if self.strain > 0.75 * STRAINED and self.now + f.usual / 2 > r.aimed:
            return None  # what comes too late anyway must not make others late
        costs: list[tuple[bool, float, int]] = []
        for wid, w, copy in self.candidates(f, r):
            lanes, mine, draw = f.lanes * copy.count, f.mine.get(wid, 0), self.rng.random()
            if mine >= 3 * lanes or not self.has_room(w, r):
                continue
            usual = self.usual_time(w)  # what would be given up at work feeds the jam of a jammed worker
            if r.event.deadline - self.now < usual or not self.may_go(r, w):
                continue
            queue = max(0.0, mine + copy.others + 1 - lanes) / lanes
            busy = 1 + len(w.flying) + self.unseen * (draw + self.held_at(w))
            cost = busy * self.slowness(w, usual) * (1 + queue) * (r.event.cost_factors or {}).get(wid, 1.0)
            if not self.on_trial(w, f):
                costs.append((self.doubted(w, f), cost, wid))
        ranked = (self.workers[wid] for *_, wid in sorted(costs))
        chosen = (w for w in ranked if self.ensure_lease(w) and self.within_budget(w))
        return next((w.entry.worker for w in chosen), None)

    def candidates(self, f: Function, r: Request) -> Iterator[tuple[int, Worker, Copy]]:
        """Believed copies, and the first places of the order where others put theirs, by its width."""
        yield from self.believed(f)
        if r.attempts >= max(1, r.most - 1) or (f.copies and not self.unseen):
            return
        places = (wid for wid in self.advised(f, r.event.cost_factors) if self.open(wid, f))
        for wid in islice(places, int(f.width)):
            if wid not in f.copies and wid not in f.pending and f.missed.get(wid, NEVER) <= self.now:
                yield wid, self.workers[wid], Copy(1, self.now)

    def dispatch(self, f: Function) -> None:
        f.waiting, kept = [r for r in f.waiting if not r.done], []
        stuck: list[int | None] = []  # tenants whose requests, free to go, found no room just now
        for r in sorted(f.waiting, key=lambda r: (-self.value(r, f), r.event.deadline)):
            idle = r.event.tenant in stuck and (f.copies or r.attempts)
            if not idle and (wid := self.choose(f, r)) is not None:
                w = self.workers[wid]
                self.later(self.patience(w, f), self.overdue, self.book(r, f, w))
                self.say(i.StartAttempt(r.event.request, wid, start_by=self.lease_end(w)))
            else:
                kept.append(r)
                stuck += [] if r.ran else [r.event.tenant]
        f.waiting = kept
        self.more_room(f)
        if kept and not f.looked:
            self.later(self.sweep + (self.now - kept[-1].arrived) / 8, self.look, f)
            f.looked = True

    def look(self, f: Function) -> None:
        f.looked, self.touched[f.name] = False, f

    # --- attempts and final answers ---

    def arrive(self, e: i.RequestArrived) -> None:
        if e.request in self.requests:
            return
        kind = self.s.classes[min(e.class_index, len(self.s.classes) - 1)]
        came = self.count_in(e.received_at, self.s.order_limit_window + self.s.tick)
        gap, self.last_arrival = self.now - self.last_arrival, self.now
        self.stalled += gap if gap > self.s.keep_alive / 8 else 0.0  # a stall must not read as no demand
        self.calls = 1 + self.calls * exp2(-gap / self.s.keep_alive / 0.69)
        if (f := self.functions.get(e.function)) is None:
            self.later(FORGET * self.s.keep_alive, self.fade, e.function)
            f = Function(
                e.function,
                digest(e.function),
                e.class_index,
                e.load_time or kind.latency_target,
                kind.latency_target / 4,
            )
            self.functions[e.function] = f
        f.memory, f.lanes, f.used = e.memory, max(1, e.slots), self.now - self.stalled
        aimed = came + min(kind.latency_target, e.latency_target or kind.latency_target)
        r = self.requests[e.request] = Request(e, kind, came, aimed, kind.worth, self.s.max_attempts)
        bucket = self.allowances.get(e.tenant)  # a second deep, at least one call
        if bucket and bucket.rate and not bucket.take(self.now, bucket.rate / 1000, max(1.0, bucket.rate)):
            r.worth *= self.s.over_share_worth
        self.hold(f, r)

    def fade(self, name: str) -> None:
        """Forgets a function long unused of which nothing is out. Guards against calls made only once."""
        f, keep = self.functions[name], self.s.keep_alive
        left = FORGET * keep - (self.now - self.stalled - f.used)
        busy = f.waiting or f.copies or f.pending or any(f.mine.values())
        if left <= 0 and not busy:
            if len(self.functions) > 1:  # one must be there to ask workers about
                del self.functions[name]
        else:
            self.later(max(left, keep), self.fade, name)

    def hold(self, f: Function, r: Request) -> None:
        f.waiting.append(r)
        self.touched[f.name] = f
        half = r.arrived + HALF * (r.event.deadline - r.arrived)
        self.later(max(0.0, half - self.now), self.despair, (f, r))
        self.later(r.event.deadline - 2 * self.sweep - self.now, self.end, r)

    def despair(self, held: tuple[Function, Request]) -> None:
        """Gives up at once where nobody can answer in time, or half went by and no load is on its way."""
        f, r = held
        if r.done or r.flying:
            return
        left = r.event.deadline - self.now
        in_time = any(self.usual_time(w) <= left for w in self.workers.values() if self.usable(w))
        if not in_time or not (r.attempts or f.pending):
            return self.end(r)
        self.later(4 * self.sweep, self.despair, held)

    def attempt_ended(self, e: i.AttemptEnded) -> None:
        if (known := self.unbook(e.request, e.attempt)) is None:
            return
        w, f, sent = known
        self.touched[f.name] = f
        r = self.requests.get(e.request)
        self.learn(e, w, f, r, sent)
        if r and e.outcome not in NEVER_RAN:
            r.ran.append((w.entry, sent))
        if e.finished:
            self.close(e)
        elif r and not r.flying:
            again = r.event.deadline - self.now > 2 * self.sweep and r.attempts < r.most
            again = again and any(self.may_go(r, v) for v in self.workers.values())
            self.hold(f, r) if again else self.end(r)

    def learn(self, e: i.AttemptEnded, w: Worker, f: Function, r: Request | None, sent: float) -> None:
        wid, aim = w.entry.worker, r.kind.latency_target if r else self.shortest_aim
        if e.report and e.report.in_progress is not None:
            w.held, w.told = e.report.in_progress, self.now
            self.held += 0.05 * (w.held - self.held)
        if e.outcome is Outcome.NO_CONNECTION:
            self.take_out(w, dead=True)
        elif e.outcome is Outcome.NOT_SENT:
            w.hold_off.extend(self.now, self.s.connect_timeout)
        elif e.outcome is Outcome.RESET:
            self.cut_off(w)
        elif e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            self.back(w)
        if e.outcome in (Outcome.OK, Outcome.ERROR):
            w.silent.discard(f.class_index)
        if e.outcome is Outcome.MISS or e.load_failed:
            old = f.copies.pop(wid, None)
            if old is not None and self.now - old.seen < self.s.keep_alive:
                w.restart = PossibleRestart(old.seen, self.now)
            f.alone = f.alone or (old is not None and self.now - old.seen > self.s.keep_alive)
            f.missed[wid] = self.now + self.s.keep_alive / 4
        elif e.outcome is Outcome.ERROR:
            self.doubt(w, f)
        elif e.outcome is Outcome.FULL and r:  # it may be full for one tenant alone: the others go on
            w.full_until[r.event.tenant] = self.now + f.usual
            widen(f, 1 + self.unseen, len(self.workers))
        elif e.outcome is Outcome.OK:
            sure, w.backoff = wid in f.copies and wid not in f.pending, 0.0
            w.lease.renew(sent)
            copy = self.believe(f, wid)
            w.doubts.pop(f.class_index, None)
            w.served[f.class_index] = self.now
            crowd = max(0.0, (e.concurrent_requests or 0) - f.mine.get(wid, 0))
            copy.others += 0.3 * (crowd - copy.others) if self.s.reports_concurrent_requests else 0.0
            if e.copy_lookup in (CopyLookup.STARTED_LOAD, CopyLookup.WAITED_FOR_LOAD) or not (
                e.copy_lookup or sure
            ):
                return  # its time tells of a load
            share = (
                crowd / f.lanes / copy.count
                if self.s.reports_concurrent_requests
                else e.duration / aim / STRAINED
            )
            widen(f, share, len(self.workers))
            w.slow += 0.1 * (min(8.0, e.duration / f.usual) - w.slow)
            f.usual += 0.05 * (e.duration - f.usual)
        unanswered = e.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and e.duration > aim
        told = e.outcome is Outcome.OK or self.strain_at(w) > STRAINED / 2 or not self.doubted(w, f)
        if told and not (unanswered and self.hung(w, f, sent)) and (e.outcome is Outcome.OK or unanswered):
            # what never came back tells of a crowd too, else many front ends keep each other's queues full
            took = min(3.0, e.duration / aim)
            self.strain += 0.1 * (took - self.strain)
            adapt_limit(w.load, took, len(w.flying), self.s.front_ends)

    def end(self, r: Request) -> None:
        """The final answer of what cannot be served: a refusal where that is lawful, else a failure."""
        if not r.done and not r.flying:
            rid, away = r.event.request, self.s.max_retry_after if self.s.sends_retry_after else None
            self.say(i.Refuse(rid, away or None) if may_refuse(r.kind, r.ran) else i.Fail(rid))
            self.close(r.event)

    def close(self, e: i.RequestDropped | i.AttemptEnded | i.RequestArrived) -> None:
        if r := self.requests.pop(e.request, None):
            r.done = True
            if isinstance(e, i.RequestDropped):  # or who asks and takes back buys orders beyond the ration
                self.count_out(r.arrived)
            for attempt in r.flying:
                self.cancel(e.request, attempt)
