"""What one front end makes of each worker: whether it is listed, alive, cold, slow, and gets new work."""

from __future__ import annotations

from math import exp2, inf, sqrt
from random import Random

from . import interface as i
from .interface import Effect, ListScope, Outcome, WorkerStatus
from .load_limit import INITIAL_LIMIT, MIN_LIMIT, OVERLOADED_RATIO
from .slow_start import take_cold_token, warm_share_at
from .state import (
    NEVER,
    Function,
    PossibleRestart,
    Request,
    RoutingState,
    TokenBucket,
    Worker,
    WorkerLoad,
    digest,
)

UNREACHABLE_ZONE_EJECTIONS = (
    3  # workers out and nothing heard of their zone between: one or two may have failed by themselves
)


class WorkerHealth(RoutingState):
    """The part of the router that looks after workers. The router sets the values that follow from its
    settings."""

    settings: i.Settings
    rng: Random
    others_share: float  # share of the calls that other front ends send
    shortest_latency_target: float  # of all classes, in milliseconds
    latency_ratio: float  # answers' time against the aim, of all workers together
    load_time_factor: float  # loads' time against the told time

    def on_workers_listed(self, event: i.WorkersListed) -> None:
        if event.scope is ListScope.FAILED:
            return self.schedule(self.settings.list_ask_within / 4, self.emit, i.FollowList())
        if event.scope is not ListScope.CHANGES:
            self.mark_gone(e.worker for e in event.workers)
        for e in event.workers:
            started = NEVER if e.started is None else e.started
            first = WorkerLoad(OVERLOADED_RATIO / 2, max(2.0, INITIAL_LIMIT / self.settings.front_ends))
            w = self.workers.setdefault(e.worker, Worker(e, NEVER, digest(str(e.worker)), first))
            if started > w.started and not w.is_known_start(e):
                self.reinstate(w)
                self.start_cold(w, started)
                w.slowness_factor, w.load, w.backoff = 1.0, first, 0.0
            w.entry, w.active = e, e.status is WorkerStatus.UP
            self.ejections_by_zone[e.zone] = 0  # news of a zone: it is worth a call again
        self.peak_active_workers = max(self.peak_active_workers, sum(w.active for w in self.workers.values()))
        for w in self.workers.values():
            if w.entry.status is WorkerStatus.GONE and not w.removal_scheduled:
                w.removal_scheduled = True
                self.schedule(self.settings.keep_alive, self.remove_when_idle, w)

    def on_list_confirmed(self, event: i.ListConfirmed) -> None:
        self.list_age.confirm(event)
        self.list_current = self.list_age.is_current(self.now, self.settings)

    def remove_when_idle(self, w: Worker) -> None:
        """Forgets a worker that has gone, once nothing is out there: hosts come back under ever new ids."""
        wid = w.entry.worker
        w.removal_scheduled = w.entry.status is WorkerStatus.GONE
        if w.removal_scheduled and (
            w.in_flight or any(wid in f.pending_orders for f in self.functions.values())
        ):
            self.schedule(self.settings.keep_alive, self.remove_when_idle, w)
        elif w.removal_scheduled:
            self.remove_worker(wid)

    def start_cold(self, w: Worker, started: float) -> None:
        """It has started anew: its copies are gone; its budget begins spread over the front ends."""
        w.started, w.cold_budget, w.suspected_classes = started, TokenBucket(self.rng.random(), self.now), {}
        self.all_warm_at = max(self.all_warm_at, w.started + self.settings.cold_period)
        self.reset_worker(w)

    def is_usable(self, w: Worker) -> bool:
        """Listed, not out, not in the dark. If most are out for silence, our own sight is in doubt."""
        if not w.active or self.refuses_work(w):
            return False
        return (
            not self.zone_unreachable(w)
            if not w.ejected
            else not w.unreachable and 2 * self.ejected_count > len(self.workers)
        )

    def zone_unreachable(self, w: Worker) -> bool:
        """Guards against learning of a lost zone by a call for each of its workers, where another answers."""
        return (
            self.ejections_by_zone.get(w.entry.zone, 0)
            >= UNREACHABLE_ZONE_EJECTIONS
            > min(self.ejections_by_zone.values())
        )

    def is_suspected(self, w: Worker, f: Function) -> bool:
        return f.class_index in w.suspected_classes and w.suspected_classes[f.class_index][0] > self.now

    def accepts_new_work(self, wid: int, f: Function) -> bool:
        return self.is_usable(w := self.workers[wid]) and not (
            self.is_suspected(w, f) or w.hold_off.is_active(self.now)
        )

    def warm_share(self, w: Worker) -> float:
        return warm_share_at(self.now - self.latest_start(w), self.settings)

    def latest_start(self, w: Worker) -> float:
        """Its last start as told, or one that it may have had and that counts as told by now."""
        if self.list_current or w.possible_restart.latest <= self.list_age.listed_until(w.entry.worker):
            return w.started
        told = self.now >= w.possible_restart.earliest + self.settings.discovery_delay
        return max(w.started, w.possible_restart.latest) if told else w.started

    def has_room(self, w: Worker, r: Request) -> bool:
        shut = w.hold_off.is_active(self.now) or w.full_until.get(r.event.tenant, NEVER) > self.now
        return len(w.in_flight) < w.load.attempt_limit and not shut

    def take_cold_budget(self, w: Worker) -> bool:
        warmth = self.warm_share(w)
        return warmth >= 1 or take_cold_token(
            w.cold_budget, self.now, warmth, self.recent_calls / self.peak_active_workers, self.settings
        )

    def estimated_latency_ratio(
        self, w: Worker
    ) -> float:  # what is long unheard of is taken to be as the others
        own = exp2(-8 * (self.now - w.last_heard) / self.settings.keep_alive)
        return self.latency_ratio + (w.load.latency_ratio - self.latency_ratio) * own

    def estimated_in_progress(
        self, w: Worker
    ) -> float:  # as last reported; what is long untold is as the others
        return self.mean_in_progress + (w.in_progress - self.mean_in_progress) * exp2(
            -2 * (self.now - w.reported_at) / self.settings.keep_alive
        )

    def is_overloaded(self, w: Worker) -> bool:
        """Answers take long there, or it holds clearly more than others do: copies elsewhere serve better."""
        return (
            self.estimated_latency_ratio(w) >= OVERLOADED_RATIO
            or self.estimated_in_progress(w) > 1.5 * self.mean_in_progress + 1
        )

    def expected_duration(self, w: Worker) -> float:
        return max(self.estimated_latency_ratio(w), OVERLOADED_RATIO / 4) * self.shortest_latency_target

    def slowness(self, w: Worker, usual: float) -> float:
        """Answers' time against the usual; fades while nothing is heard, grows with unanswered silence."""
        faded = 1 + (w.slowness_factor - 1) * exp2(
            -4 * max(0.0, self.now - w.last_heard) / self.settings.keep_alive
        )
        silence = self.now - max(w.last_heard, next(iter(w.in_flight.values()))) if w.in_flight else 0.0
        return max(faded / sqrt(self.warm_share(w)), silence / usual)

    def eject(self, w: Worker, dead: bool) -> None:
        """Out until an ask is answered, each time for longer; a dead one will have started anew: cold."""
        first, self.ejected_count, w.may_have_restarted = (
            not w.backoff,
            self.ejected_count + (not w.ejected),
            dead or w.ejected,
        )
        self.ejections_by_zone[w.entry.zone] += not w.ejected
        w.backoff = min(max(2 * w.backoff, self.settings.connect_timeout), self.settings.keep_alive)
        w.ejected, w.query_pending, w.unreachable, least = (
            True,
            False,
            dead,
            max(1.0, MIN_LIMIT / self.settings.front_ends),
        )
        w.load.attempt_limit = (
            least if dead else max(least, w.load.attempt_limit / 2)
        )  # silence proves no overload
        if dead:
            self.start_cold(w, self.now)
        pause = (
            0.0 if first and not dead and self.settings.may_order else w.backoff * (0.5 + self.rng.random())
        )
        self.schedule(pause, self.query_ejected if self.settings.may_order else self.reinstate, w)

    def on_connection_reset(self, w: Worker) -> None:
        """A connection broke off: no proof of a restart, nor of load. Out only if nothing came since the
        last break. Guards against storms of resets, which took workers out one after the other."""
        again = (
            self.now - w.last_disconnect > self.settings.connect_timeout
        )  # what was open on the connection ends together
        if again and w.last_heard < w.last_disconnect and not w.ejected:
            self.eject(w, dead=False)
        w.last_disconnect = self.now if again else w.last_disconnect
        w.possible_restart = PossibleRestart(w.last_heard, self.now)

    def query_ejected(self, w: Worker) -> None:
        if w.ejected and not w.query_pending and not w.removal_scheduled:
            w.query_pending, ask = w.active, i.OrderCopies(w.entry.worker, next(iter(self.functions)), 0)
            self.emit(ask) if w.active else self.schedule(w.backoff, self.query_ejected, w)

    def on_attempt_overdue(self, key: tuple[int, int]) -> None:
        """Overdue: its class is doubted there until one is answered, a worker quiet since is asked."""
        if key not in self.attempts:
            return
        w, f, sent = self.attempts[key]
        if self.last_heard < sent:  # all are quiet: that proves nothing
            self.all_silent_since = min(self.all_silent_since, sent)
            return self.schedule(self.overdue_timeout(w, f) / 2, self.on_attempt_overdue, key)
        self.suspect(w, f)
        if w.last_served:
            w.unanswered_classes.add(f.class_index)
        if w.last_heard <= sent and not w.ejected:
            self.eject(w, dead=False)  # what is out there stays until the ask, too, has no answer
            return self.schedule(self.settings.connect_timeout, self.on_attempt_overdue, key)
        r = self.requests.get(key[0])
        if (
            r
            and r.request_class.effect is Effect.SAFE
            and r.attempt_count < r.max_attempts
            and (w.ejected or self.is_class_hung(w, f, sent))
        ):
            self.cancel_attempt(*key)

    def is_class_hung(self, w: Worker, f: Function, sent: float) -> bool:
        """It has served another class since, and none of this one: no lack of room, the class hangs."""
        return w.last_served.get(f.class_index, NEVER) <= sent < max(w.last_served.values(), default=NEVER)

    def is_on_trial(self, w: Worker, f: Function) -> bool:
        """After silence one attempt of the class at a time, until an answer clears it."""
        return f.class_index in w.unanswered_classes and any(
            sent >= w.started and self.attempts[key][1].class_index == f.class_index
            for key, sent in w.in_flight.items())  # fmt: skip

    def suspect(self, w: Worker, f: Function) -> None:
        until, pause = w.suspected_classes.get(f.class_index, (NEVER, self.settings.keep_alive / 8))
        if until <= self.now:
            pause = min(2 * pause, 2 * self.settings.keep_alive)
            w.suspected_classes[f.class_index] = (self.now + pause * (0.5 + self.rng.random()), pause)

    def overdue_timeout(self, w: Worker, f: Function) -> float:
        load = (
            0.0 if w.entry.worker in f.copies else 2 * f.load_time * self.load_time_factor
        )  # it may wait for one
        return max(4 * f.mean_duration, 2 * self.expected_duration(w)) + load

    def reinstate(self, w: Worker) -> None:
        if self.now - self.all_silent_since > self.settings.keep_alive:  # all may have started anew meanwhile
            for v in self.workers.values():
                self.start_cold(v, self.now)
        self.all_silent_since = inf
        w.last_heard = self.last_heard = self.now
        w.hold_off.end()
        self.ejections_by_zone[w.entry.zone] = 0
        if w.ejected and w.may_have_restarted:  # it may have started at any moment until this answer
            self.start_cold(w, self.now)
        if w.ejected:
            w.ejected, w.slowness_factor, w.unreachable, self.ejected_count = (
                False,
                1.0,
                False,
                self.ejected_count - 1,
            )

    # --- leases ---

    def refuses_work(self, w: Worker) -> bool:
        """Its lease has run out, and it said, or kept silent about it, that it takes no new work."""
        return not self.list_current and self.list_age.refuses(
            w.entry.worker, w.lease, self.now, self.settings
        )

    def lease_end(self, w: Worker) -> float:
        """When the last new work may begin to be written to it."""
        return self.list_age.expires_at(w.entry.worker, w.lease, self.settings)

    def ensure_lease(self, w: Worker) -> bool:
        """Whether new work may go there. Where its own answer has to tell, it is probed: on demand, so that
        a fleet whose lists grow old in the same moment asks each worker no sooner than it needs it."""
        if self.list_current or self.list_age.allows(w.entry.worker, w.lease, self.now, self.settings):
            return True
        if self.settings.may_probe and not w.lease.probe_pending and w.lease.probe_at <= self.now:
            w.lease.probe_pending = True
            self.emit(i.Probe(w.entry.worker))
        return False

    def on_probe_ended(self, e: i.ProbeEnded) -> None:
        if not (w := self.workers.get(e.worker)):
            return
        w.lease.probe_pending = False
        if e.outcome is Outcome.NOT_SENT:
            w.hold_off.extend(self.now, self.settings.connect_timeout)
        elif e.outcome is Outcome.OK:
            w.lease.renew(self.now - e.duration)
        else:
            w.lease.deny(self.now, self.settings.connect_timeout * (0.5 + self.rng.random()))
        if e.outcome in (Outcome.OK, Outcome.ERROR):
            self.reinstate(w)
        elif e.outcome is Outcome.NO_CONNECTION and not w.ejected:
            self.eject(w, dead=True)
        elif e.outcome is Outcome.RESET:
            self.on_connection_reset(w)
        self.functions_to_dispatch |= {f.name: f for f in self.functions.values() if f.waiting}

    def cancel_attempt(self, rid: int, attempt: int) -> None:
        if self.settings.may_cancel:
            self.emit(i.CancelAttempt(rid, attempt))
