"""Records of the decision module, and the bookkeeping that keeps them consistent."""

from __future__ import annotations

from _blake2 import blake2b
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any, NamedTuple

from .hold_off import HoldOff
from .interface import Action, RequestArrived, RequestClass, SetTimer, WorkerEntry, WorkerStatus
from .repeat_rules import PossibleRun
from .work_lease import ListAge, WorkLease

NEVER = -1e18  # a time before all others
MIN_STALE_TASKS = 256  # fewer are not worth a pass over all scheduled tasks
STALE_SHARE = 1 / 4  # of all scheduled tasks, from which the stale ones are removed


def count_since(times: deque[float], since: float) -> int:
    """Drops the times before `since` from an ascending queue and returns how many are left."""
    while times and times[0] < since:
        times.popleft()
    return len(times)


def digest(text: str) -> int:
    """A 64-bit hash of the text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; `tokens` is the level at `updated_at`."""

    tokens: float = 0.0
    updated_at: float = NEVER
    rate_per_s: float = 0.0  # 0: the caller passes the rate

    def take_token(self, now: float, rate_per_ms: float, capacity: float) -> bool:
        """Refills up to `capacity` and takes a token if there is one."""
        self.tokens = min(capacity, self.tokens + (now - self.updated_at) * rate_per_ms)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class WorkerLoad:
    """Adaptive concurrency limit of a worker."""

    latency_ratio: float  # mean duration of answers relative to the latency target
    attempt_limit: float = 0.0  # own attempts in flight


@dataclass(slots=True)
class Copy:
    """Known copies of one function at one worker."""

    count: int
    last_seen: float  # last known use or report; it cannot have been idle for longer
    others_in_flight: float = 0.0  # mean number of requests of other front ends


@dataclass(frozen=True, slots=True)
class PossibleRestart:
    """Interval in which a worker may have restarted: a connection broke, or a loaded copy was missing."""

    earliest: float = NEVER
    latest: float = NEVER


@dataclass(slots=True)
class Worker:
    """What this front end knows of one worker."""

    entry: WorkerEntry
    started: float
    digest: int
    load: WorkerLoad
    slowness_factor: float = 1.0  # mean duration of answers relative to that of their function
    cold_budget: TokenBucket = field(default_factory=TokenBucket)  # limits attempts during slow start
    hold_off: HoldOff = field(default_factory=HoldOff)
    lease: WorkLease = field(default_factory=WorkLease)
    active: bool = True
    unreachable: bool = False  # refused the last connection
    ejected: bool = False  # out of use until a query is answered
    may_have_restarted: bool = False  # refused a connection or left a query unanswered
    query_pending: bool = False
    removal_scheduled: bool = False  # left the list; removed once nothing is in progress
    backoff: float = 0.0  # between queries of an ejected worker
    in_progress: float = 0.0  # requests in its last load report
    reported_at: float = NEVER  # time of that report
    last_heard: float = NEVER
    last_disconnect: float = NEVER
    possible_restart: PossibleRestart = field(default_factory=PossibleRestart)
    full_until: dict[int | None, float] = field(default_factory=dict)  # by tenant
    # class -> end and duration of the suspicion
    suspected_classes: dict[int, tuple[float, float]] = field(default_factory=dict)
    unanswered_classes: set[int] = field(default_factory=set)  # classes with an overdue attempt
    last_served: dict[int, float] = field(default_factory=dict)  # class -> last successful answer
    # own attempts -> time of sending, oldest first
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)

    def at_same_place(self, entry: WorkerEntry) -> WorkerEntry:
        """The entry with the place that is known: the news that a worker has gone need not name its place."""
        return replace(entry, zone=self.entry.zone, kind=self.entry.kind, cell=self.entry.cell)

    def is_known_start(self, entry: WorkerEntry) -> bool:
        """Whether a new list entry refers to the start that is already known."""
        stamp = entry.start_stamp
        return entry is not self.entry and stamp is not None and stamp == self.entry.start_stamp


@dataclass(slots=True, eq=False)
class Function:
    """What is known of one function from its requests and answers."""

    name: str
    digest: int
    class_index: int
    load_time: float
    mean_duration: float
    memory: float = 0.0
    slots: int = 1
    last_used: float = NEVER  # on a clock that excludes idle time
    copy_width: float = 1.0  # number of workers that should have copies
    sole_user: bool = False  # a copy expired between own requests: no other front end renews it
    dispatch_scheduled: bool = False
    maintenance_scheduled: bool = False  # of its copies
    has_history: bool = False  # a copy was known at some time
    forgotten: bool = False  # no longer in the table of functions
    source: str = ""  # of the request that named it first
    copies: dict[int, Copy] = field(default_factory=dict)
    own_in_flight: dict[int, int] = field(default_factory=dict)  # by worker
    pending_orders: dict[int, float] = field(default_factory=dict)  # worker -> time of the order
    load_failed_until: dict[int, float] = field(default_factory=dict)  # by worker
    missed_until: dict[int, float] = field(default_factory=dict)  # workers without a copy
    waiting: list[Request] = field(default_factory=list)
    placement_order: list[int] = field(default_factory=list)
    placement_order_expires: float = NEVER  # the order changes while workers warm up

    def in_use(self) -> bool:
        """Whether a request waits for it, or an attempt or order of it is in progress."""
        return bool(self.waiting or self.pending_orders or any(self.own_in_flight.values()))

    def is_blank(self, now: float) -> bool:
        """Whether nothing is known of it that its next request would not bring again."""
        if self.has_history or self.dispatch_scheduled or self.in_use():
            return False
        return all(until <= now for until in self.load_failed_until.values())


@dataclass(slots=True, eq=False)
class Request:
    """A request without a final answer."""

    event: RequestArrived
    request_class: RequestClass
    arrived_at: float
    target_time: float  # later answers earn the late worth
    worth: float  # of an answer by the target time; reduced over the tenant's share
    max_attempts: int
    function: Function
    attempt_count: int = 0
    in_flight: dict[int, int] = field(default_factory=dict)  # attempt -> worker
    possible_runs: list[PossibleRun] = field(default_factory=list)
    done: bool = False


class Attempt(NamedTuple):
    """An attempt in progress; `entry` is the worker's entry in the list when it was sent."""

    worker: Worker
    function: Function
    sent_at: float
    entry: WorkerEntry


class RoutingState:
    """State of one front end; empty at start."""

    def __init__(self) -> None:
        self.now = self.total_idle_time = self.last_arrival = self.last_heard = 0.0
        self.all_silent_since = inf  # first overdue attempt since the last answer of any worker
        self.ejections_by_zone: dict[int, int] = {}  # zone -> ejections since its last answer
        self.list_age = ListAge()
        self.list_current = True  # no lease can have expired in this round
        self.mean_in_progress = 0.0  # over load reports
        self.peak_active_workers = 1  # since the last removal of a worker
        self.all_warm_at = NEVER
        self.recent_calls = 0.0  # decaying count of own requests, roughly those in the last keep-alive
        self.timer_at = NEVER
        self.ejected_count = self.orders_in_progress = self.task_serial = 0
        self.actions: list[Action] = []
        self.workers: dict[int, Worker] = {}
        self.functions: dict[str, Function] = {}  # in the order of their last use
        self.used_once: dict[str, Function] = {}  # those that only one request has named, in that order
        self.by_source: dict[str, dict[str, Function]] = {}  # each source's functions, in that order
        self.with_copies: dict[str, Function] = {}  # each that has copies, and some that had
        self.sweep_scheduled = False  # of functions long unused
        self.memory_is_short = False
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.scheduled: list[tuple[float, int, Callable[[Any], None], Any]] = []  # heap
        self.stale_tasks = 0  # about how many scheduled tasks have nothing to do any more
        self.functions_to_dispatch: dict[str, Function] = {}
        self.order_times: deque[float] = deque()
        self.arrival_times: deque[float] = deque()
        self.tenant_buckets: dict[int | None, TokenBucket] = {}
        self.prewarm_requests: list[str] = []  # functions, in this round

    def emit(self, action: Action) -> None:
        """Adds an action to the result of this round."""
        self.actions.append(action)

    def mark_gone(self, listed_ids: Iterable[int]) -> None:
        """Marks the workers that a whole list does not name as gone."""
        listed = dict.fromkeys(listed_ids)
        for worker_id, worker in self.workers.items():
            if worker_id not in listed:
                worker.entry, worker.active = replace(worker.entry, status=WorkerStatus.GONE), False

    def reset_worker(self, worker: Worker) -> None:
        """Clears what a restart of the worker invalidates: served classes, copies and placement orders."""
        worker.unanswered_classes.clear()
        worker.last_served.clear()
        for function in self.functions.values():
            function.copies.pop(worker.entry.worker, None)
            function.placement_order = []

    def remove_worker(self, worker_id: int) -> None:
        """Removes a worker and all that is known of it."""
        worker = self.workers.pop(worker_id)
        zone = worker.entry.zone
        self.ejected_count -= worker.ejected
        self.peak_active_workers = max(1, sum(worker.active for worker in self.workers.values()))
        if all(worker.entry.zone != zone for worker in self.workers.values()):
            self.ejections_by_zone.pop(zone, None)
        for function in self.functions.values():
            function.placement_order = []
            for by_worker in (
                function.copies,
                function.own_in_flight,
                function.load_failed_until,
                function.missed_until,
            ):
                by_worker.pop(worker_id, None)

    def record_arrival(self, received_at: float | None, window: float) -> float:
        """Counts a request that arrived at `received_at` or now and returns that time.

        Drops arrivals before the window.
        """
        arrived_at = self.now if received_at is None else min(received_at, self.now)
        insort(self.arrival_times, arrived_at)
        count_since(self.arrival_times, self.now - window)
        return arrived_at

    def withdraw_arrival(self, arrived_at: float) -> None:
        """Stops counting a request that its client dropped."""
        if arrived_at in self.arrival_times:
            self.arrival_times.remove(arrived_at)

    def record_order(self, function: Function, worker_id: int) -> None:
        """Counts a new order."""
        function.pending_orders[worker_id] = self.now
        self.orders_in_progress += 1
        self.order_times.append(self.now)

    def release_order(self, function: Function, worker_id: int, sent: bool) -> float | None:
        """Stops counting an order that has ended; returns when it was given, None if it is unknown.

        An order that was not sent does not count for the order limit either.
        """
        ordered_at = function.pending_orders.pop(worker_id, None)
        self.orders_in_progress -= ordered_at is not None
        if ordered_at is not None and not sent and ordered_at in self.order_times:
            self.order_times.remove(ordered_at)
        return ordered_at

    def record_attempt(self, request: Request, function: Function, worker: Worker) -> tuple[int, int]:
        """Counts a new attempt and returns its key."""
        key, worker_id = (request.event.request, request.attempt_count), worker.entry.worker
        worker.in_flight[key] = self.now
        self.attempts[key] = Attempt(worker, function, self.now, worker.entry)
        request.in_flight[request.attempt_count] = worker_id
        function.own_in_flight[worker_id] = function.own_in_flight.get(worker_id, 0) + 1
        request.attempt_count += 1
        return key

    def release_attempt(self, request_id: int, number: int) -> Attempt | None:
        """Stops counting an attempt that has ended; returns where and when it was sent."""
        if attempt := self.attempts.pop((request_id, number), None):
            attempt.worker.in_flight.pop((request_id, number), None)
            attempt.function.own_in_flight[attempt.entry.worker] -= 1
            if request := self.requests.get(request_id):
                request.in_flight.pop(number, None)
        return attempt

    def schedule(self, delay: float, action: Callable[[Any], None], argument: Any) -> None:
        """Schedules a call of `action`, in whole microseconds, so that no timer fires slightly early."""
        self.task_serial += 1
        heappush(self.scheduled, (round(self.now + delay + 0.001, 3), self.task_serial, action, argument))

    def run_due_tasks(self) -> None:
        """Runs the tasks that are due."""
        while self.scheduled and self.scheduled[0][0] <= self.now:
            _, _, action, argument = heappop(self.scheduled)
            self.stale_tasks -= self.stale_tasks > 0 and self.is_stale(argument)
            action(argument)
        if self.stale_tasks > max(MIN_STALE_TASKS, len(self.scheduled) * STALE_SHARE):
            self.scheduled = [task for task in self.scheduled if not self.is_stale(task[3])]
            heapify(self.scheduled)
            self.stale_tasks = 0

    def is_stale(self, argument: object) -> bool:
        """Whether a scheduled task with this argument has nothing to do any more.

        Such tasks would keep the records of ended requests until their deadlines.
        """
        if isinstance(argument, Request):
            return argument.done
        if isinstance(argument, Function):
            return argument.forgotten
        return isinstance(argument, tuple) and argument not in self.attempts

    def use_function(self, function: Function) -> None:
        """Records a use of the function now."""
        function.last_used = self.now - self.total_idle_time
        for table in (self.functions, self.by_source[function.source]):
            table[function.name] = table.pop(function.name)

    def remember_function(self, function: Function) -> None:
        """Adds a function to the table."""
        self.functions[function.name] = function
        self.by_source.setdefault(function.source, {})[function.name] = function

    def forget_function(self, function: Function) -> None:
        """Removes a function, unless it is the last one: a query to an ejected worker has to name one."""
        if len(self.functions) > 1 and not function.forgotten:
            del self.functions[function.name]
            of_source = self.by_source[function.source]
            del of_source[function.name]
            if not of_source:
                del self.by_source[function.source]
            self.used_once.pop(function.name, None)
            self.with_copies.pop(function.name, None)
            function.forgotten = True
            self.stale_tasks += function.maintenance_scheduled + function.dispatch_scheduled

    def set_timer(self) -> None:
        """Requests a timer for the next scheduled task unless one is set."""
        if self.scheduled and not self.now < self.timer_at <= self.scheduled[0][0]:
            self.timer_at = self.scheduled[0][0]
            self.actions.append(SetTimer("agenda", self.timer_at))
