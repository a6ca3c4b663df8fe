"""Health of workers as one front end sees it: listed, reachable, cold, slow, and allowed new work."""

from __future__ import annotations

from math import exp2, inf, sqrt
from random import Random

from .interface import (
    CancelAttempt,
    Effect,
    FollowList,
    ListConfirmed,
    ListScope,
    OrderCopies,
    Outcome,
    Probe,
    ProbeEnded,
    Settings,
    WorkersListed,
    WorkerStatus,
)
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

# ejections in a zone since the last answer from it; one or two workers may fail independently
UNREACHABLE_ZONE_EJECTIONS = 3


class WorkerHealth(RoutingState):
    """The part of the router that tracks workers. The router sets the attributes declared here."""

    settings: Settings
    rng: Random
    others_share: float  # share of all requests that other front ends send
    shortest_latency_target: float  # of all classes
    latency_ratio: float  # mean duration of answers relative to the latency target, over all workers
    load_time_factor: float  # mean duration of loads relative to the load time of requests

    def on_workers_listed(self, event: WorkersListed) -> None:
        """Applies a worker list or a change to it."""
        if event.scope is ListScope.FAILED:
            return self.schedule(self.settings.list_ask_within / 4, self.emit, FollowList())
        if event.scope is not ListScope.CHANGES:
            self.mark_gone(entry.worker for entry in event.workers)
        for entry in event.workers:
            started = NEVER if entry.started is None else entry.started
            attempt_limit = max(2.0, INITIAL_LIMIT / self.settings.front_ends)
            initial_load = WorkerLoad(OVERLOADED_RATIO / 2, attempt_limit)
            new_worker = Worker(entry, NEVER, digest(str(entry.worker)), initial_load)
            worker = self.workers.setdefault(entry.worker, new_worker)
            if entry.status is WorkerStatus.GONE:
                entry = worker.at_same_place(entry)
            if started > worker.started and not worker.is_known_start(entry):
                self.reinstate(worker)
                self.start_cold(worker, started)
                worker.slowness_factor, worker.load, worker.backoff = 1.0, initial_load, 0.0
            worker.entry, worker.active = entry, entry.status is WorkerStatus.UP
            self.ejections_by_zone[entry.zone] = 0  # the zone may be reachable again
        active_count = sum(worker.active for worker in self.workers.values())
        self.peak_active_workers = max(self.peak_active_workers, active_count)
        for worker in self.workers.values():
            if worker.entry.status is WorkerStatus.GONE and not worker.removal_scheduled:
                worker.removal_scheduled = True
                self.schedule(self.settings.keep_alive, self.remove_when_idle, worker)

    def on_list_confirmed(self, event: ListConfirmed) -> None:
        """Notes until when the worker list is known to be complete."""
        self.list_age.confirm(event)
        self.list_current = self.list_age.is_current(self.now, self.settings)

    def remove_when_idle(self, worker: Worker) -> None:
        """Removes a worker that left the list, once nothing is in progress there: restarts bring new ids."""
        worker_id = worker.entry.worker
        worker.removal_scheduled = worker.entry.status is WorkerStatus.GONE
        if worker.removal_scheduled and (
            worker.in_flight
            or any(worker_id in function.pending_orders for function in self.functions.values())
        ):
            self.schedule(self.settings.keep_alive, self.remove_when_idle, worker)
        elif worker.removal_scheduled:
            self.remove_worker(worker_id)

    def start_cold(self, worker: Worker, started: float) -> None:
        """Treats the worker as started at `started`: without copies, and with a slow-start budget.

        The budget starts at a random level, which spreads the first requests of many front ends.
        """
        worker.started, worker.suspected_classes = started, {}
        worker.cold_budget = TokenBucket(self.rng.random(), self.now)
        self.all_warm_at = max(self.all_warm_at, worker.started + self.settings.cold_period)
        self.reset_worker(worker)

    def is_usable(self, worker: Worker) -> bool:
        """Whether the worker takes work: active, not ejected, and in a reachable zone.

        If most workers are ejected, the cause may be this front end's network: those that only did not answer
        are used then.
        """
        if not worker.active or self.refuses_work(worker):
            return False
        if not worker.ejected:
            return not self.zone_unreachable(worker)
        return not worker.unreachable and 2 * self.ejected_count > len(self.workers)

    def zone_unreachable(self, worker: Worker) -> bool:
        """Whether the zone seems lost while another answers; saves an attempt at each of its workers."""
        ejections = self.ejections_by_zone.get(worker.entry.zone, 0)
        return ejections >= UNREACHABLE_ZONE_EJECTIONS > min(self.ejections_by_zone.values())

    def is_suspected(self, worker: Worker, function: Function) -> bool:
        """Whether requests of the function's class recently failed or were overdue at the worker."""
        class_index = function.class_index
        return class_index in worker.suspected_classes and worker.suspected_classes[class_index][0] > self.now

    def accepts_new_work(self, worker_id: int, function: Function) -> bool:
        """Whether the worker is usable, not suspected for the class and not held off."""
        if not self.is_usable(worker := self.workers[worker_id]):
            return False
        return not (self.is_suspected(worker, function) or worker.hold_off.is_active(self.now))

    def warm_share(self, worker: Worker) -> float:
        """Share of its full capacity that the worker can bear at its age."""
        return warm_share_at(self.now - self.latest_start(worker), self.settings)

    def latest_start(self, worker: Worker) -> float:
        """The last listed start, or a later possible restart that discovery should have listed by now."""
        restart = worker.possible_restart
        if self.list_current or restart.latest <= self.list_age.listed_until(worker.entry.worker):
            return worker.started
        is_published = self.now >= restart.earliest + self.settings.discovery_delay
        return max(worker.started, restart.latest) if is_published else worker.started

    def has_room(self, worker: Worker, request: Request) -> bool:
        """Whether the worker's limit allows another attempt, and the worker is neither held off nor full."""
        is_full = worker.full_until.get(request.event.tenant, NEVER) > self.now
        blocked = worker.hold_off.is_active(self.now) or is_full
        return len(worker.in_flight) < worker.load.attempt_limit and not blocked

    def take_cold_budget(self, worker: Worker) -> bool:
        """Whether the worker is warm, or its slow-start budget allows a request, which is then counted."""
        warm_share = self.warm_share(worker)
        if warm_share >= 1:
            return True
        calls_per_worker = self.recent_calls / self.peak_active_workers
        return take_cold_token(worker.cold_budget, self.now, warm_share, calls_per_worker, self.settings)

    def estimated_latency_ratio(self, worker: Worker) -> float:
        """The worker's latency ratio; without recent answers it approaches the mean of all workers."""
        weight = exp2(-8 * (self.now - worker.last_heard) / self.settings.keep_alive)
        return self.latency_ratio + (worker.load.latency_ratio - self.latency_ratio) * weight

    def estimated_in_progress(self, worker: Worker) -> float:
        """The worker's last reported load; without recent reports it approaches the mean of all workers."""
        weight = exp2(-2 * (self.now - worker.reported_at) / self.settings.keep_alive)
        return self.mean_in_progress + (worker.in_progress - self.mean_in_progress) * weight

    def is_overloaded(self, worker: Worker) -> bool:
        """Whether the worker answers slowly or has clearly more in progress than the mean."""
        return (
            self.estimated_latency_ratio(worker) >= OVERLOADED_RATIO
            or self.estimated_in_progress(worker) > 1.5 * self.mean_in_progress + 1
        )

    def expected_duration(self, worker: Worker) -> float:
        """Expected duration of an attempt at the worker."""
        return max(self.estimated_latency_ratio(worker), OVERLOADED_RATIO / 4) * self.shortest_latency_target

    def slowness(self, worker: Worker, expected: float) -> float:
        """Relative duration of answers; decays without answers, grows while attempts are unanswered."""
        age = max(0.0, self.now - worker.last_heard)
        decayed = 1 + (worker.slowness_factor - 1) * exp2(-4 * age / self.settings.keep_alive)
        silence = 0.0
        if worker.in_flight:
            silence = self.now - max(worker.last_heard, next(iter(worker.in_flight.values())))
        return max(decayed / sqrt(self.warm_share(worker)), silence / expected)

    def eject(self, worker: Worker, unreachable: bool) -> None:
        """Takes the worker out of use until a query is answered, with exponential backoff between queries.

        One that refused a connection counts as restarted, and so as cold.
        """
        first_ejection = not worker.backoff
        self.ejected_count += not worker.ejected
        worker.may_have_restarted = unreachable or worker.ejected
        self.ejections_by_zone[worker.entry.zone] += not worker.ejected
        worker.backoff = min(max(2 * worker.backoff, self.settings.connect_timeout), self.settings.keep_alive)
        worker.ejected, worker.query_pending, worker.unreachable = True, False, unreachable
        min_limit = max(1.0, MIN_LIMIT / self.settings.front_ends)
        # an unanswered attempt does not prove overload, so it only halves the limit
        halved_limit = max(min_limit, worker.load.attempt_limit / 2)
        worker.load.attempt_limit = min_limit if unreachable else halved_limit
        if unreachable:
            self.start_cold(worker, self.now)
        queries_at_once = first_ejection and not unreachable and self.settings.may_order
        delay = 0.0 if queries_at_once else worker.backoff * (0.5 + self.rng.random())
        self.schedule(delay, self.query_ejected if self.settings.may_order else self.reinstate, worker)

    def on_connection_reset(self, worker: Worker) -> None:
        """Notes a broken connection, which proves neither a restart nor overload.

        Ejects the worker only if it has not answered since the previous disconnect: otherwise a storm of
        resets would eject one worker after the other.
        """
        # attempts that share a connection end together and count once
        is_new_break = self.now - worker.last_disconnect > self.settings.connect_timeout
        if is_new_break and worker.last_heard < worker.last_disconnect and not worker.ejected:
            self.eject(worker, unreachable=False)
        worker.last_disconnect = self.now if is_new_break else worker.last_disconnect
        worker.possible_restart = PossibleRestart(worker.last_heard, self.now)

    def query_ejected(self, worker: Worker) -> None:
        """Queries an ejected worker by an order of 0 copies, once it is active."""
        if worker.ejected and not worker.query_pending and not worker.removal_scheduled:
            query = OrderCopies(worker.entry.worker, next(iter(self.functions)), 0)
            worker.query_pending = worker.active
            self.emit(query) if worker.active else self.schedule(worker.backoff, self.query_ejected, worker)

    def on_attempt_overdue(self, key: tuple[int, int]) -> None:
        """Suspects the attempt's class at its worker; ejects the worker if it has not answered since."""
        if key not in self.attempts:
            return
        worker, function, sent_at, _ = self.attempts[key]
        if self.last_heard < sent_at:  # no worker answered since: the fault may be local
            self.all_silent_since = min(self.all_silent_since, sent_at)
            return self.schedule(self.overdue_timeout(worker, function) / 2, self.on_attempt_overdue, key)
        self.suspect(worker, function)
        if worker.last_served:
            worker.unanswered_classes.add(function.class_index)
        if worker.last_heard <= sent_at and not worker.ejected:
            self.eject(worker, unreachable=False)  # the attempt stays until the query fails too
            return self.schedule(self.settings.connect_timeout, self.on_attempt_overdue, key)
        request = self.requests.get(key[0])
        if not request or request.request_class.effect is not Effect.SAFE:
            return
        may_retry = request.attempt_count < request.max_attempts
        if may_retry and (worker.ejected or self.is_class_hung(worker, function, sent_at)):
            self.cancel_attempt(*key)

    def is_class_hung(self, worker: Worker, function: Function, sent_at: float) -> bool:
        """Whether the worker has since answered another class but not this one, which rules out overload."""
        class_served = worker.last_served.get(function.class_index, NEVER)
        return class_served <= sent_at < max(worker.last_served.values(), default=NEVER)

    def is_on_trial(self, worker: Worker, function: Function) -> bool:
        """Whether the class is unanswered at the worker and has an attempt in flight there.

        Until it gets an answer, such a class has no more than one attempt in flight.
        """
        return function.class_index in worker.unanswered_classes and any(
            sent_at >= worker.started and self.attempts[key].function.class_index == function.class_index
            for key, sent_at in worker.in_flight.items()
        )

    def suspect(self, worker: Worker, function: Function) -> None:
        """Avoids the worker for the function's class, each time for twice as long."""
        initial = (NEVER, self.settings.keep_alive / 8)
        until, duration = worker.suspected_classes.get(function.class_index, initial)
        if until <= self.now:
            duration = min(2 * duration, 2 * self.settings.keep_alive)
            until = self.now + duration * (0.5 + self.rng.random())
            worker.suspected_classes[function.class_index] = (until, duration)

    def overdue_timeout(self, worker: Worker, function: Function) -> float:
        """Time after which an unanswered attempt is overdue; without a known copy it may wait for a load."""
        is_loaded = worker.entry.worker in function.copies
        load_time = 0.0 if is_loaded else 2 * function.load_time * self.load_time_factor
        return max(4 * function.mean_duration, 2 * self.expected_duration(worker)) + load_time

    def reinstate(self, worker: Worker) -> None:
        """Notes an answer of the worker and ends its ejection."""
        if self.now - self.all_silent_since > self.settings.keep_alive:  # all may have restarted meanwhile
            for other in self.workers.values():
                self.start_cold(other, self.now)
        self.all_silent_since = inf
        worker.last_heard = self.last_heard = self.now
        worker.hold_off.end()
        self.ejections_by_zone[worker.entry.zone] = 0
        if worker.ejected and worker.may_have_restarted:  # the restart may have been at any time up to now
            self.start_cold(worker, self.now)
        if worker.ejected:
            worker.ejected, worker.unreachable = False, False
            worker.slowness_factor = 1.0
            self.ejected_count -= 1

    # --- leases ---

    def refuses_work(self, worker: Worker) -> bool:
        """Whether the worker's lease has expired and no probe can renew it now."""
        if self.list_current:
            return False
        return self.list_age.refuses(worker.entry.worker, worker.lease, self.now, self.settings)

    def lease_end(self, worker: Worker) -> float:
        """Latest time at which writing new work to the worker may start."""
        return self.list_age.expires_at(worker.entry.worker, worker.lease, self.settings)

    def ensure_lease(self, worker: Worker) -> bool:
        """Whether the worker may get new work; if its lease has expired, it is probed.

        Probes are sent on demand, so that front ends whose lists age at the same time do not probe all
        workers at once.
        """
        if self.list_current:
            return True
        if self.list_age.allows(worker.entry.worker, worker.lease, self.now, self.settings):
            return True
        if self.settings.may_probe and not worker.lease.probe_pending and worker.lease.probe_at <= self.now:
            worker.lease.probe_pending = True
            self.emit(Probe(worker.entry.worker))
        return False

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Renews or denies the worker's lease by the outcome of a probe."""
        if not (worker := self.workers.get(event.worker)):
            return
        worker.lease.probe_pending = False
        if event.outcome is Outcome.NOT_SENT:
            worker.hold_off.extend(self.now, self.settings.connect_timeout)
        elif event.outcome is Outcome.OK:
            worker.lease.renew(self.now - event.duration)
        else:
            worker.lease.deny(self.now, self.settings.connect_timeout * (0.5 + self.rng.random()))
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            self.reinstate(worker)
        elif event.outcome is Outcome.NO_CONNECTION and not worker.ejected:
            self.eject(worker, unreachable=True)
        elif event.outcome is Outcome.RESET:
            self.on_connection_reset(worker)
        self.functions_to_dispatch |= {
            function.name: function for function in self.functions.values() if function.waiting
        }

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Cancels an attempt where the settings allow it."""
        if self.settings.may_cancel:
            self.emit(CancelAttempt(request_id, attempt))
