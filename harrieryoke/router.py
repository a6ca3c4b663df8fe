"""The router: decides what to do for each event of `interface.py`. docs/design.md describes the design.

`state.py` holds its records, `worker_health.py` tracks workers and `copy_width.py` places copies.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp2
from random import Random
from typing import Any

from .copy_width import CopyPlacement, adapt_copy_width
from .function_table import forget_unused, make_room, shrink, table_bytes
from .interface import (
    Action,
    AttemptEnded,
    CopyLookup,
    Event,
    Fail,
    FollowList,
    ListConfirmed,
    MemoryPressureChanged,
    OrderEnded,
    Outcome,
    PrewarmRequested,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestDropped,
    Settings,
    SettingsChanged,
    StartAttempt,
    WorkersListed,
)
from .load_limit import LATENCY_WEIGHT, OVERLOADED_RATIO, adapt_limit
from .repeat_rules import PossibleRun, may_refuse, may_repeat
from .state import Function, PossibleRestart, Request, TokenBucket, Worker, digest

NOT_EXECUTED = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.MISS)
INITIAL_ORDER_CAP = 6.0  # orders of this front end in progress
MIN_ORDER_CAP = 2.0
MAX_ORDER_CAP = 12.0
EARLY_REFUSAL_SHARE = 0.45  # of the time to the deadline: the refusal arrives in the first half
MAX_REQUESTS_PER_SLOT = 3  # of this front end at a copy, with the queued ones
PREWARM_LIMIT_SHARE = 0.5  # of the order limit
TASKS_OF_REQUEST = 2  # scheduled for each request: its early refusal and its rejection
LOAD_DURATION_SHARE = 0.3  # of the load time; shorter answers come from a copy that was already loaded

# weights of a new value in exponential moving averages
LOAD_TIME_WEIGHT = 0.2
IN_PROGRESS_WEIGHT = 0.05
OTHERS_IN_FLIGHT_WEIGHT = 0.3
SLOWNESS_WEIGHT = 0.1
MEAN_DURATION_WEIGHT = 0.05


class Router(CopyPlacement):
    """The decisions of one front end: `handle` takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.order_cap, self.load_time_factor = INITIAL_ORDER_CAP, 1.0
        self.latency_ratio = OVERLOADED_RATIO / 2
        self.change_settings(SettingsChanged(settings))
        if settings.list_on_request:
            self.schedule(0.0, self.emit, FollowList())
        self.handlers: dict[type, Callable[[Any], None]] = {
            WorkersListed: self.on_workers_listed,
            ListConfirmed: self.on_list_confirmed,
            RequestArrived: self.on_request_arrived,
            RequestDropped: self.close_request,
            AttemptEnded: self.on_attempt_ended,
            OrderEnded: self.on_order_ended,
            ProbeEnded: self.on_probe_ended,
            PrewarmRequested: lambda event: self.prewarm_requests.append(event.function),
            SettingsChanged: self.change_settings,
            MemoryPressureChanged: self.on_memory_pressure_changed,
        }

    def change_settings(self, event: SettingsChanged) -> None:
        """Applies new settings; learned state and the classes of open requests stay."""
        self.settings = settings = event.settings
        self.others_share = 1 - 1 / settings.front_ends
        self.shortest_latency_target = settings.shortest_latency_target()
        self.dispatch_interval = max(settings.tick, self.shortest_latency_target / 50)
        for index, tenant in enumerate(settings.tenants):
            self.tenant_buckets.setdefault(index, TokenBucket()).rate_per_s = (
                tenant.allowance_per_s / settings.front_ends
            )

    def on_memory_pressure_changed(self, event: MemoryPressureChanged) -> None:
        """Has functions forgotten while the memory is short."""
        self.memory_is_short = event.is_short

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Processes a round of events and returns the actions to take."""
        self.now, self.actions, self.functions_to_dispatch = now, [], {}
        self.list_current = self.list_age.is_current(now, self.settings)
        for event in events:
            self.handlers.get(type(event), bool)(event)
        self.run_due_tasks()
        shrink(self, self.settings)
        for function in list(self.functions_to_dispatch.values()):
            self.dispatch(function)
        self.order_missing_copies()
        self.prewarm()
        self.set_timer()
        return self.actions

    def memory_bytes(self) -> int:
        """Returns what is remembered of functions takes."""
        return table_bytes(self)

    # --- orders ---

    def on_order_ended(self, event: OrderEnded) -> None:
        """Updates the worker, its copies and the order cap after an order."""
        if not (worker := self.workers.get(event.worker)):
            return
        worker.query_pending = False
        if event.outcome is Outcome.NOT_SENT:  # says nothing about the worker
            worker.hold_off.extend(self.now, self.settings.connect_timeout)
            self.schedule(worker.backoff * (0.5 + self.rng.random()), self.query_ejected, worker)
        elif event.outcome is Outcome.RESET and not worker.ejected:
            self.on_connection_reset(worker)
        elif event.outcome in (Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET):
            # if this was a query to an ejected worker, ejecting it again schedules the next query
            self.eject(worker, unreachable=event.outcome is Outcome.NO_CONNECTION)
        else:
            self.reinstate(worker)
        if (function := self.functions.get(event.function)) is None:
            return
        ordered_at = self.release_order(function, event.worker, event.outcome is not Outcome.NOT_SENT)
        self.functions_to_dispatch[function.name] = function
        if event.copies > 0:
            self.record_copy(function, event.worker, event.copies)
        if ordered_at is None or event.outcome is Outcome.NOT_SENT:
            return
        load_ratio, cap_change = event.duration / function.load_time, 0.0
        if event.outcome is not Outcome.OK:
            function.load_failed_until[event.worker] = self.now + function.load_time
            cap_change = -1.0 if event.outcome is Outcome.ERROR else 0.0
        elif load_ratio > LOAD_DURATION_SHARE:
            self.load_time_factor += LOAD_TIME_WEIGHT * (max(1.0, load_ratio) - self.load_time_factor)
            cap_change = -0.5 if load_ratio > 3 else 0.25
        self.order_cap = min(MAX_ORDER_CAP, max(MIN_ORDER_CAP, self.order_cap + cap_change))

    def order_missing_copies(self) -> None:
        """Orders a copy of each function that has waiting requests and no copy, the most valuable first."""
        waiting = [
            function
            for function in self.functions_to_dispatch.values()
            if function.waiting and not self.is_loading(function)
        ]
        without_copy = [function for function in waiting if not any(self.usable_copies(function))]
        for function in sorted(
            without_copy,
            key=lambda function: -sum(self.value_per_work(request, function) for request in function.waiting),
        ):
            worker_id = self.next_place(function)
            if worker_id is not None and not self.order_copy(function, worker_id, 1.0):
                return

    def prewarm(self) -> None:
        """Orders copies that advice asks for, within half of the order limit and of the order cap."""
        for function in filter(None, map(self.functions.get, self.prewarm_requests)):
            below_half_cap = self.orders_in_progress < self.order_cap / 2
            has_spare_capacity = below_half_cap and not self.is_loading(function)
            self.use_function(function)
            if (
                has_spare_capacity
                and not any(self.usable_copies(function))
                and (worker_id := self.next_place(function)) is not None
            ):
                self.order_copy(function, worker_id, PREWARM_LIMIT_SHARE)
        self.prewarm_requests.clear()

    # --- choice of a worker ---

    def value_per_work(self, request: Request, function: Function) -> float:
        """Worth per unit of work; that of late requests and those over their tenant's share is reduced."""
        is_late = self.now + function.mean_duration / 2 > request.target_time
        worth = request.worth * (request.request_class.late_worth if is_late else 1.0)
        return worth if self.settings.worth_by_work else worth / function.mean_duration

    def may_send(self, request: Request, worker: Worker) -> bool:
        """Whether the class allows another attempt at the worker after those that may have executed."""
        return may_repeat(
            request.request_class, request.possible_runs, worker.entry, self.now, self.settings.tick
        )

    def choose_worker(self, function: Function, request: Request) -> int | None:
        """Returns the worker with the lowest cost: load per slot, scaled by its slowness.

        A random share of the average load stands for the requests of other front ends.
        """
        if (
            self.latency_ratio > 0.75 * OVERLOADED_RATIO
            and self.now + function.mean_duration / 2 > request.target_time
        ):
            return None  # a request that will miss its target anyway must not delay others
        costs: list[tuple[bool, float, int]] = []
        for worker_id, worker, copy in self.candidate_copies(function, request):
            slots, own = function.slots * copy.count, function.own_in_flight.get(worker_id, 0)
            random_share = self.rng.random()
            if own >= MAX_REQUESTS_PER_SLOT * slots or not self.has_room(worker, request):
                continue
            expected = self.expected_duration(worker)
            # a request abandoned while it runs would add to the worker's overload
            if request.event.deadline - self.now < expected or not self.may_send(request, worker):
                continue
            queue_share = max(0.0, own + copy.others_in_flight + 1 - slots) / slots
            others = self.others_share * (random_share + self.estimated_in_progress(worker))
            in_progress = 1 + len(worker.in_flight) + others
            cost_factor = (request.event.cost_factors or {}).get(worker_id, 1.0)
            cost = in_progress * self.slowness(worker, expected) * (1 + queue_share) * cost_factor
            if not self.is_on_trial(worker, function):
                costs.append((self.is_suspected(worker, function), cost, worker_id))
        ranked = (self.workers[worker_id] for *_, worker_id in sorted(costs))
        accepting = (
            worker for worker in ranked if self.ensure_lease(worker) and self.take_cold_budget(worker)
        )
        return next((worker.entry.worker for worker in accepting), None)

    def dispatch(self, function: Function) -> None:
        """Sends the waiting requests of the function that find room, by value and then by deadline."""
        function.waiting, still_waiting = [request for request in function.waiting if not request.done], []
        blocked_tenants: list[int | None] = []  # tenants with a request that found no room
        for request in sorted(
            function.waiting,
            key=lambda request: (-self.value_per_work(request, function), request.event.deadline),
        ):
            blocked = request.event.tenant in blocked_tenants and (function.copies or request.attempt_count)
            if not blocked and (worker_id := self.choose_worker(function, request)) is not None:
                worker = self.workers[worker_id]
                timeout = self.overdue_timeout(worker, function)
                attempt = self.record_attempt(request, function, worker)
                self.schedule(timeout, self.on_attempt_overdue, attempt)
                self.emit(StartAttempt(request.event.request, worker_id, start_by=self.lease_end(worker)))
            else:
                still_waiting.append(request)
                blocked_tenants += [] if request.possible_runs else [request.event.tenant]
        function.waiting = still_waiting
        self.order_extra_copies(function)
        if still_waiting and not function.dispatch_scheduled:
            delay = self.dispatch_interval + (self.now - still_waiting[-1].arrived_at) / 8
            self.schedule(delay, self.dispatch_again, function)
            function.dispatch_scheduled = True

    def dispatch_again(self, function: Function) -> None:
        """Has the function dispatched at the end of this round."""
        function.dispatch_scheduled = False
        if function.is_blank(self.now):
            self.forget_function(function)
        if not function.forgotten:
            self.functions_to_dispatch[function.name] = function

    # --- requests, attempts and final answers ---

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Records a new request and queues it; a repeated event is ignored."""
        if event.request in self.requests:
            return
        request_class = self.settings.classes[min(event.class_index, len(self.settings.classes) - 1)]
        window = self.settings.order_limit_window + self.settings.tick
        arrived_at = self.record_arrival(event.received_at, window)
        gap, self.last_arrival = self.now - self.last_arrival, self.now
        # a pause of all arrivals must not count as a lack of demand for each function
        self.total_idle_time += gap if gap > self.settings.keep_alive / 8 else 0.0
        self.recent_calls = 1 + self.recent_calls * exp2(-gap / self.settings.keep_alive / 0.69)
        if (function := self.functions.get(event.function)) is None:
            load_time = event.load_time or request_class.latency_target
            mean_duration = request_class.latency_target / 4
            function = Function(
                event.function, digest(event.function), event.class_index, load_time, mean_duration
            )
            function.source = event.source
            self.add_function(function)
            self.used_once[function.name] = function
        else:
            self.used_once.pop(function.name, None)
        function.memory, function.slots = event.memory, max(1, event.slots)
        self.use_function(function)
        advised_target = event.latency_target or request_class.latency_target
        target_time = arrived_at + min(request_class.latency_target, advised_target)
        request = self.requests[event.request] = Request(
            event,
            request_class,
            arrived_at,
            target_time,
            request_class.worth,
            self.settings.max_attempts,
            function,
        )
        bucket = self.tenant_buckets.get(event.tenant)
        if bucket and (rate := bucket.rate_per_s):
            capacity = max(1.0, rate)  # the allowance of one second, at least one request
            if not bucket.take_token(self.now, rate / 1000, capacity):
                request.worth *= self.settings.over_share_worth
        self.enqueue(function, request)

    def add_function(self, function: Function) -> None:
        """Adds a function to the table, and has those long unused looked for."""
        make_room(self, self.settings, function.source)
        self.remember_function(function)
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.schedule(self.settings.keep_alive, self.sweep_functions, None)

    def sweep_functions(self, _: None) -> None:
        """Removes the functions long unused; runs each keep-alive as long as more than one is left."""
        self.sweep_scheduled = forget_unused(self, self.settings)
        if self.sweep_scheduled:
            self.schedule(self.settings.keep_alive, self.sweep_functions, None)

    def enqueue(self, function: Function, request: Request) -> None:
        """Queues a request and schedules its early refusal and its rejection before the deadline."""
        function.waiting.append(request)
        self.functions_to_dispatch[function.name] = function
        lifetime = request.event.deadline - request.arrived_at
        refusal_time = request.arrived_at + EARLY_REFUSAL_SHARE * lifetime
        self.schedule(max(0.0, refusal_time - self.now), self.give_up_early, request)
        self.schedule(request.event.deadline - 2 * self.dispatch_interval - self.now, self.reject, request)

    def give_up_early(self, request: Request) -> None:
        """Rejects a request that cannot be answered by its deadline, or that no attempt or order serves."""
        if request.done or request.in_flight:
            return
        remaining = request.event.deadline - self.now
        in_time = any(
            self.expected_duration(worker) <= remaining
            for worker in self.workers.values()
            if self.is_usable(worker)
        )
        if not in_time or not (request.attempt_count or request.function.pending_orders):
            return self.reject(request)
        self.schedule(4 * self.dispatch_interval, self.give_up_early, request)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Learns from the outcome, then closes, retries or rejects the request."""
        if (attempt := self.release_attempt(event.request, event.attempt)) is None:
            return
        worker, function, sent_at, entry = attempt
        self.functions_to_dispatch[function.name] = function
        request = self.requests.get(event.request)
        self.learn_from_attempt(event, worker, function, request, sent_at)
        if request and event.outcome not in NOT_EXECUTED:
            request.possible_runs.append(PossibleRun(entry, sent_at))
        if event.finished:
            self.close_request(event)
        elif request and not request.in_flight:
            has_time = request.event.deadline - self.now > 2 * self.dispatch_interval
            retry = has_time and request.attempt_count < request.max_attempts
            retry = retry and any(self.may_send(request, other) for other in self.workers.values())
            self.enqueue(function, request) if retry else self.reject(request)
        elif function.is_blank(self.now):
            self.forget_function(function)

    def learn_from_attempt(
        self, event: AttemptEnded, worker: Worker, function: Function, request: Request | None, sent_at: float
    ) -> None:
        """Updates what is known of the worker, the function and its copy from the outcome of an attempt."""
        worker_id = worker.entry.worker
        latency_target = request.request_class.latency_target if request else self.shortest_latency_target
        if event.report and event.report.in_progress is not None:
            worker.in_progress, worker.reported_at = event.report.in_progress, self.now
            self.mean_in_progress += IN_PROGRESS_WEIGHT * (worker.in_progress - self.mean_in_progress)
        if event.outcome is Outcome.NO_CONNECTION:
            self.eject(worker, unreachable=True)
        elif event.outcome is Outcome.NOT_SENT:
            # if the request has ended, it was not sent for that reason, which says nothing about the worker
            if request is not None:
                worker.hold_off.extend(self.now, self.settings.connect_timeout)
        elif event.outcome is Outcome.RESET:
            self.on_connection_reset(worker)
        elif event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            self.reinstate(worker)
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            worker.unanswered_classes.discard(function.class_index)
        if event.outcome is Outcome.MISS or event.load_failed:
            lost_copy = function.copies.pop(worker_id, None)
            if lost_copy is not None and self.now - lost_copy.last_seen < self.settings.keep_alive:
                worker.possible_restart = PossibleRestart(lost_copy.last_seen, self.now)
            expired = lost_copy is not None and self.now - lost_copy.last_seen > self.settings.keep_alive
            function.sole_user = function.sole_user or expired
            function.missed_until[worker_id] = self.now + self.settings.keep_alive / 4
        elif event.outcome is Outcome.ERROR:
            self.suspect(worker, function)
        elif event.outcome is Outcome.FULL and request:  # may apply to this tenant only
            worker.full_until[request.event.tenant] = self.now + function.mean_duration
            adapt_copy_width(function, 1 + self.others_share, len(self.workers))
        elif event.outcome is Outcome.OK:
            was_loaded = worker_id in function.copies and worker_id not in function.pending_orders
            worker.backoff = 0.0
            worker.lease.renew(sent_at)
            copy = self.record_copy(function, worker_id)
            worker.suspected_classes.pop(function.class_index, None)
            worker.last_served[function.class_index] = self.now
            others = max(0.0, (event.concurrent_requests or 0) - function.own_in_flight.get(worker_id, 0))
            if self.settings.reports_concurrent_requests:
                copy.others_in_flight += OTHERS_IN_FLIGHT_WEIGHT * (others - copy.others_in_flight)
            includes_load = event.copy_lookup in (CopyLookup.STARTED_LOAD, CopyLookup.WAITED_FOR_LOAD)
            if includes_load or not (event.copy_lookup or was_loaded):
                return  # the duration includes a load
            load_share = (
                others / function.slots / copy.count
                if self.settings.reports_concurrent_requests
                else event.duration / latency_target / OVERLOADED_RATIO
            )
            adapt_copy_width(function, load_share, len(self.workers))
            relative_duration = min(8.0, event.duration / function.mean_duration)
            worker.slowness_factor += SLOWNESS_WEIGHT * (relative_duration - worker.slowness_factor)
            function.mean_duration += MEAN_DURATION_WEIGHT * (event.duration - function.mean_duration)
        unanswered = event.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and event.duration > latency_target
        conclusive = (
            event.outcome is Outcome.OK
            or self.estimated_latency_ratio(worker) > OVERLOADED_RATIO / 2
            or not self.is_suspected(worker, function)
        )
        if (
            conclusive
            and not (unanswered and self.is_class_hung(worker, function, sent_at))
            and (event.outcome is Outcome.OK or unanswered)
        ):
            # counts unanswered attempts too: otherwise many front ends keep each other's queues full
            latency_ratio = min(3.0, event.duration / latency_target)
            self.latency_ratio += LATENCY_WEIGHT * (latency_ratio - self.latency_ratio)
            adapt_limit(worker.load, latency_ratio, len(worker.in_flight), self.settings.front_ends)

    def reject(self, request: Request) -> None:
        """Answers a request that cannot be served by a refusal or, if it may have executed, a failure."""
        if not request.done and not request.in_flight:
            request_id = request.event.request
            retry_after = self.settings.max_retry_after if self.settings.sends_retry_after else None
            may_be_refused = may_refuse(request.request_class, request.possible_runs)
            self.emit(Refuse(request_id, retry_after or None) if may_be_refused else Fail(request_id))
            self.close_request(request.event)

    def close_request(self, event: RequestDropped | AttemptEnded | RequestArrived) -> None:
        """Forgets an answered or dropped request and cancels its attempts."""
        if request := self.requests.pop(event.request, None):
            request.done = True
            if isinstance(event, RequestDropped):  # else dropped requests would raise the order limit
                self.withdraw_arrival(request.arrived_at)
            for attempt in request.in_flight:
                self.cancel_attempt(event.request, attempt)
            self.stale_tasks += TASKS_OF_REQUEST
            self.leave_function(request)

    def leave_function(self, request: Request) -> None:
        """Has a function forgotten of which nothing is known, once its last request has ended.

        Otherwise ever new names would be kept for as long as functions that were served.
        """
        function = request.function
        if request in function.waiting:
            function.waiting.remove(request)
        if function.is_blank(self.now):
            self.forget_function(function)
