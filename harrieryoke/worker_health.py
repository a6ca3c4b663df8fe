"""What one front end makes of each worker: whether it is listed, alive, cold, slow, and gets new work."""

from __future__ import annotations

from math import exp2, inf, sqrt
from random import Random

from . import interface as i
from .interface import Effect, ListScope, Outcome, WorkerStatus
from .load_limit import FIRST_LIMIT, LEAST_LIMIT, STRAINED
from .slow_start import take_call, warmth_at
from .state import NEVER, Bucket, Function, Load, Memory, PossibleRestart, Request, Worker, digest

DARK = 3  # workers out and nothing heard of their zone between: one or two may have failed by themselves


class WorkerHealth(Memory):
    """The part of the router that looks after workers. The router sets the values that follow from its
    settings."""

    s: i.Settings
    rng: Random
    unseen: float  # share of the calls that other front ends send
    shortest_aim: float  # of all classes, in milliseconds
    strain: float  # answers' time against the aim, of all workers together
    stretch: float  # loads' time against the told time

    def listed(self, event: i.WorkersListed) -> None:
        if event.scope is ListScope.FAILED:
            return self.later(self.s.list_ask_within / 4, self.say, i.FollowList())
        if event.scope is not ListScope.CHANGES:
            self.mark_gone(e.worker for e in event.workers)
        for e in event.workers:
            started = NEVER if e.started is None else e.started
            first = Load(STRAINED / 2, max(2.0, FIRST_LIMIT / self.s.front_ends))
            w = self.workers.setdefault(e.worker, Worker(e, NEVER, digest(str(e.worker)), first))
            if started > w.started and not w.knows_start(e):
                self.back(w)
                self.begin_cold(w, started)
                w.slow, w.load, w.backoff = 1.0, first, 0.0
            w.entry, w.up = e, e.status is WorkerStatus.UP
            self.zones[e.zone] = 0  # news of a zone: it is worth a call again
        self.ups = max(self.ups, sum(w.up for w in self.workers.values()))
        for w in self.workers.values():
            if w.entry.status is WorkerStatus.GONE and not w.leaving:
                w.leaving = True
                self.later(self.s.keep_alive, self.part_with, w)

    def confirmed(self, event: i.ListConfirmed) -> None:
        self.list_age.take(event)
        self.list_current = self.list_age.is_current(self.now, self.s)

    def part_with(self, w: Worker) -> None:
        """Forgets a worker that has gone, once nothing is out there: hosts come back under ever new ids."""
        wid = w.entry.worker
        w.leaving = w.entry.status is WorkerStatus.GONE
        if w.leaving and (w.flying or any(wid in f.pending for f in self.functions.values())):
            self.later(self.s.keep_alive, self.part_with, w)
        elif w.leaving:
            self.strike(wid)

    def begin_cold(self, w: Worker, started: float) -> None:
        """It has started anew: its copies are gone; its budget begins spread over the front ends."""
        w.started, w.budget, w.doubts = started, Bucket(self.rng.random(), self.now), {}
        self.warm_at = max(self.warm_at, w.started + self.s.cold_period)
        self.forget(w)

    def usable(self, w: Worker) -> bool:
        """Listed, not out, not in the dark. If most are out for silence, our own sight is in doubt."""
        if not w.up or self.refuses_work(w):
            return False
        return not self.dark(w) if not w.out else not w.dead and 2 * self.outs > len(self.workers)

    def dark(self, w: Worker) -> bool:
        """Guards against learning of a lost zone by a call for each of its workers, where another answers."""
        return self.zones.get(w.entry.zone, 0) >= DARK > min(self.zones.values())

    def doubted(self, w: Worker, f: Function) -> bool:
        return f.class_index in w.doubts and w.doubts[f.class_index][0] > self.now

    def open(self, wid: int, f: Function) -> bool:
        return self.usable(w := self.workers[wid]) and not (self.doubted(w, f) or w.hold_off.holds(self.now))

    def warmth(self, w: Worker) -> float:
        return warmth_at(self.now - self.started(w), self.s)

    def started(self, w: Worker) -> float:
        """Its last start as told, or one that it may have had and that counts as told by now."""
        if self.list_current or w.restart.by <= self.list_age.listed(w.entry.worker):
            return w.started
        told = self.now >= w.restart.after + self.s.discovery_delay
        return max(w.started, w.restart.by) if told else w.started

    def has_room(self, w: Worker, r: Request) -> bool:
        shut = w.hold_off.holds(self.now) or w.full_until.get(r.event.tenant, NEVER) > self.now
        return len(w.flying) < w.load.limit and not shut

    def within_budget(self, w: Worker) -> bool:
        warmth = self.warmth(w)
        return warmth >= 1 or take_call(w.budget, self.now, warmth, self.calls / self.ups, self.s)

    def strain_at(self, w: Worker) -> float:  # what is long unheard of is taken to be as the others
        own = exp2(-8 * (self.now - w.heard) / self.s.keep_alive)
        return self.strain + (w.load.strain - self.strain) * own

    def held_at(self, w: Worker) -> float:  # as last reported; what is long untold is as the others
        return self.held + (w.held - self.held) * exp2(-2 * (self.now - w.told) / self.s.keep_alive)

    def jammed(self, w: Worker) -> bool:
        """Answers take long there, or it holds clearly more than others do: copies elsewhere serve better."""
        return self.strain_at(w) >= STRAINED or self.held_at(w) > 1.5 * self.held + 1

    def usual_time(self, w: Worker) -> float:
        return max(self.strain_at(w), STRAINED / 4) * self.shortest_aim

    def slowness(self, w: Worker, usual: float) -> float:
        """Answers' time against the usual; fades while nothing is heard, grows with unanswered silence."""
        faded = 1 + (w.slow - 1) * exp2(-4 * max(0.0, self.now - w.heard) / self.s.keep_alive)
        silence = self.now - max(w.heard, next(iter(w.flying.values()))) if w.flying else 0.0
        return max(faded / sqrt(self.warmth(w)), silence / usual)

    def take_out(self, w: Worker, dead: bool) -> None:
        """Out until an ask is answered, each time for longer; a dead one will have started anew: cold."""
        first, self.outs, w.lost = not w.backoff, self.outs + (not w.out), dead or w.out
        self.zones[w.entry.zone] += not w.out
        w.backoff = min(max(2 * w.backoff, self.s.connect_timeout), self.s.keep_alive)
        w.out, w.asked, w.dead, least = True, False, dead, max(1.0, LEAST_LIMIT / self.s.front_ends)
        w.load.limit = least if dead else max(least, w.load.limit / 2)  # silence proves no overload
        if dead:
            self.begin_cold(w, self.now)
        pause = 0.0 if first and not dead and self.s.may_order else w.backoff * (0.5 + self.rng.random())
        self.later(pause, self.ask if self.s.may_order else self.back, w)

    def cut_off(self, w: Worker) -> None:
        """A connection broke off: no proof of a restart, nor of load. Out only if nothing came since the
        last break. Guards against storms of resets, which took workers out one after the other."""
        again = self.now - w.cut > self.s.connect_timeout  # what was open on the connection ends together
        if again and w.heard < w.cut and not w.out:
            self.take_out(w, dead=False)
        w.cut = self.now if again else w.cut
        w.restart = PossibleRestart(w.heard, self.now)

    def ask(self, w: Worker) -> None:
        if w.out and not w.asked and not w.leaving:
            w.asked, ask = w.up, i.OrderCopies(w.entry.worker, next(iter(self.functions)), 0)
            self.say(ask) if w.up else self.later(w.backoff, self.ask, w)

    def overdue(self, key: tuple[int, int]) -> None:
        """Overdue: its class is doubted there until one is answered, a worker quiet since is asked."""
        if key not in self.attempts:
            return
        w, f, sent = self.attempts[key]
        if self.heard < sent:  # all are quiet: that proves nothing
            self.unheard_since = min(self.unheard_since, sent)
            return self.later(self.patience(w, f) / 2, self.overdue, key)
        self.doubt(w, f)
        if w.served:
            w.silent.add(f.class_index)
        if w.heard <= sent and not w.out:
            self.take_out(w, dead=False)  # what is out there stays until the ask, too, has no answer
            return self.later(self.s.connect_timeout, self.overdue, key)
        r = self.requests.get(key[0])
        if r and r.kind.effect is Effect.SAFE and r.attempts < r.most and (w.out or self.hung(w, f, sent)):
            self.cancel(*key)

    def hung(self, w: Worker, f: Function, sent: float) -> bool:
        """It has served another class since, and none of this one: no lack of room, the class hangs."""
        return w.served.get(f.class_index, NEVER) <= sent < max(w.served.values(), default=NEVER)

    def on_trial(self, w: Worker, f: Function) -> bool:
        """After silence one attempt of the class at a time, until an answer clears it."""
        return f.class_index in w.silent and any(
            sent >= w.started and self.attempts[key][1].class_index == f.class_index
            for key, sent in w.flying.items())  # fmt: skip

    def doubt(self, w: Worker, f: Function) -> None:
        until, pause = w.doubts.get(f.class_index, (NEVER, self.s.keep_alive / 8))
        if until <= self.now:
            pause = min(2 * pause, 2 * self.s.keep_alive)
            w.doubts[f.class_index] = (self.now + pause * (0.5 + self.rng.random()), pause)

    def patience(self, w: Worker, f: Function) -> float:
        load = 0.0 if w.entry.worker in f.copies else 2 * f.load_time * self.stretch  # it may wait for one
        return max(4 * f.usual, 2 * self.usual_time(w)) + load

    def back(self, w: Worker) -> None:
        if self.now - self.unheard_since > self.s.keep_alive:  # all may have started anew meanwhile
            for v in self.workers.values():
                self.begin_cold(v, self.now)
        self.unheard_since = inf
        w.heard = self.heard = self.now
        w.hold_off.end()
        self.zones[w.entry.zone] = 0
        if w.out and w.lost:  # it may have started at any moment until this answer
            self.begin_cold(w, self.now)
        if w.out:
            w.out, w.slow, w.dead, self.outs = False, 1.0, False, self.outs - 1

    # --- leases ---

    def refuses_work(self, w: Worker) -> bool:
        """Its lease has run out, and it said, or kept silent about it, that it takes no new work."""
        return not self.list_current and self.list_age.refuses(w.entry.worker, w.lease, self.now, self.s)

    def lease_end(self, w: Worker) -> float:
        """When the last new work may begin to be written to it."""
        return self.list_age.expires(w.entry.worker, w.lease, self.s)

    def ensure_lease(self, w: Worker) -> bool:
        """Whether new work may go there. Where its own answer has to tell, it is probed: on demand, so that
        a fleet whose lists grow old in the same moment asks each worker no sooner than it needs it."""
        if self.list_current or self.list_age.allows(w.entry.worker, w.lease, self.now, self.s):
            return True
        if self.s.may_probe and not w.lease.probed and w.lease.probe_at <= self.now:
            w.lease.probed = True
            self.say(i.Probe(w.entry.worker))
        return False

    def probe_ended(self, e: i.ProbeEnded) -> None:
        if not (w := self.workers.get(e.worker)):
            return
        w.lease.probed = False
        if e.outcome is Outcome.NOT_SENT:
            w.hold_off.extend(self.now, self.s.connect_timeout)
        elif e.outcome is Outcome.OK:
            w.lease.renew(self.now - e.duration)
        else:
            w.lease.deny(self.now, self.s.connect_timeout * (0.5 + self.rng.random()))
        if e.outcome in (Outcome.OK, Outcome.ERROR):
            self.back(w)
        elif e.outcome is Outcome.NO_CONNECTION and not w.out:
            self.take_out(w, dead=True)
        elif e.outcome is Outcome.RESET:
            self.cut_off(w)
        self.touched |= {f.name: f for f in self.functions.values() if f.waiting}

    def cancel(self, rid: int, attempt: int) -> None:
        if self.s.may_cancel:
            self.say(i.CancelAttempt(rid, attempt))
