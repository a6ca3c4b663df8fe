"""What the decision module remembers. Plain records: no decision and no tuned value lives here."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from heapq import heappop, heappush
from math import inf
from typing import Any

from .hold_off import HoldOff
from .interface import Action, RequestArrived, RequestClass, SetTimer, WorkerEntry, WorkerStatus
from .work_lease import ListAge, WorkLease

NEVER = -1e18


def count_since(times: deque[float], since: float) -> int:
    """How many of the rising times lie at or after `since`; older ones are forgotten."""
    while times and times[0] < since:
        times.popleft()
    return len(times)


def digest(text: str) -> int:
    """A number that is the same at every front end and every start."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


@dataclass(slots=True)
class TokenBucket:
    """What has accrued and when that was last counted."""

    tokens: float = 0.0
    updated_at: float = NEVER
    rate_per_s: float = 0.0  # a second, where it is fixed

    def take_token(self, now: float, rate: float, depth: float) -> bool:
        """Fills at `rate` a millisecond up to `depth`; takes one where one is left."""
        self.tokens, self.updated_at = min(depth, self.tokens + (now - self.updated_at) * rate), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class WorkerLoad:
    """How a worker, or all of them, bears what we send."""

    latency_ratio: float  # answers' time against the aim
    attempt_limit: float = 0.0  # own attempts at a time


@dataclass(slots=True)
class Copy:
    """Believed copies of one function at one worker."""

    count: int
    last_seen: float  # last sign that it stands; its idle time began then at the earliest
    others_in_flight: float = 0.0  # crowd told beyond our own


@dataclass(frozen=True, slots=True)
class PossibleRestart:
    """A connection broke off, or a copy that should stand was missed: between these times the worker may have
    started anew, or not."""

    earliest: float = NEVER
    latest: float = NEVER


@dataclass(slots=True)
class Worker:
    """What this front end believes of one worker."""

    entry: WorkerEntry
    started: float
    digest: int
    load: WorkerLoad
    slowness_factor: float = 1.0  # answers' time against the usual of their function
    cold_budget: TokenBucket = field(default_factory=TokenBucket)  # sends while it is cold
    hold_off: HoldOff = field(default_factory=HoldOff)
    lease: WorkLease = field(default_factory=WorkLease)
    active: bool = True
    unreachable: bool = False  # it refused a connection when last tried
    ejected: bool = False  # taken out until an ask is answered
    may_have_restarted: bool = (
        False  # it refused a connection or left an ask unanswered: it may have started anew
    )
    query_pending: bool = False
    removal_scheduled: bool = False  # it has gone from the list and is about to be forgotten
    backoff: float = 0.0
    in_progress: float = 0.0  # requests in hand, as its last report told
    reported_at: float = NEVER  # when that was
    last_heard: float = NEVER
    last_disconnect: float = NEVER  # a connection to it last broke off
    possible_restart: PossibleRestart = field(default_factory=PossibleRestart)  # the last one
    full_until: dict[int | None, float] = field(default_factory=dict)  # it turned the tenant's away
    suspected_classes: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )  # class -> until, and for how long
    unanswered_classes: set[int] = field(default_factory=set)  # classes overdue, until one is answered
    last_served: dict[int, float] = field(default_factory=dict)  # class -> its last good answer
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)  # own attempts, oldest first

    def is_known_start(self, told: WorkerEntry) -> bool:
        """Whether the list tells again of the start that it told of before."""
        stamp = told.start_stamp
        return told is not self.entry and stamp is not None and stamp == self.entry.start_stamp


@dataclass(slots=True)
class Function:
    """What requests and answers told of one function."""

    name: str
    digest: int
    class_index: int
    load_time: float
    mean_duration: float  # mean time of an answer
    memory: float = 0.0
    slots: int = 1
    last_used: float = NEVER  # on the clock that stands still while nothing arrives
    copy_width: float = 1.0  # places of its order that hold copies, as far as answers tell
    sole_user: bool = False  # a copy lapsed between our own calls: nobody else keeps it
    dispatch_scheduled: bool = False  # its next look is on the agenda
    copies: dict[int, Copy] = field(default_factory=dict)
    own_in_flight: dict[int, int] = field(default_factory=dict)  # own attempts in flight at each worker
    pending_orders: dict[int, float] = field(default_factory=dict)  # orders out, and since when
    load_failed_until: dict[int, float] = field(
        default_factory=dict
    )  # workers that could not load it, until when
    missed_until: dict[int, float] = field(default_factory=dict)  # workers that missed it, until when
    waiting: list[Request] = field(default_factory=list)
    placement_order: list[int] = field(default_factory=list)
    placement_order_expires: float = NEVER  # when it is to be made anew: hosts warm up


@dataclass(slots=True)
class Request:
    """One request that is owed its final answer."""

    event: RequestArrived
    request_class: RequestClass
    arrived_at: float
    target_time: float  # an answer after this is late
    worth: float  # what it earns in time; less where it is beyond its tenant's share
    max_attempts: int  # attempts, in all
    attempt_count: int = 0
    in_flight: dict[int, int] = field(default_factory=dict)  # attempt -> worker
    possible_runs: list[tuple[WorkerEntry, float]] = field(
        default_factory=list
    )  # where it may have run, and sent when
    done: bool = False


class RoutingState:
    """All that one front end remembers; empty at its start."""

    def __init__(self) -> None:
        self.now = self.total_idle_time = self.last_arrival = self.last_heard = 0.0
        self.all_silent_since = inf  # when the first attempt was sent that is overdue, where all are silent
        self.ejections_by_zone: dict[int, int] = {}  # zone -> workers that went out since it was last heard
        self.list_age = ListAge()
        self.list_current = True  # in this round no lease can have run out
        self.mean_in_progress = 0.0  # mean of what reports told
        self.peak_active_workers = 1  # the most workers that took calls at once, of those not forgotten
        self.all_warm_at = NEVER  # when the last one that started is warm
        self.recent_calls = 0.0  # own calls of about the last keep-alive
        self.timer_at = NEVER
        self.ejected_count = self.orders_in_progress = self.task_serial = 0
        self.actions: list[Action] = []
        self.workers: dict[int, Worker] = {}
        self.functions: dict[str, Function] = {}
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Worker, Function, float]] = {}
        self.scheduled: list[tuple[float, int, Callable[[Any], None], Any]] = []  # a heap
        self.functions_to_dispatch: dict[str, Function] = {}
        self.order_times: deque[float] = deque()
        self.arrival_times: deque[float] = deque()
        self.tenant_buckets: dict[int | None, TokenBucket] = {}
        self.prewarm_requests: list[str] = []  # functions that advice wants warm, of this round

    def emit(self, action: Action) -> None:
        """One more action in the answer."""
        self.actions.append(action)

    def mark_gone(self, named: Iterable[int]) -> None:
        """A whole list came: whoever it does not name is gone."""
        listed = dict.fromkeys(named)
        for wid, w in self.workers.items():
            if wid not in listed:
                w.entry, w.active = replace(w.entry, status=WorkerStatus.GONE), False

    def reset_worker(self, w: Worker) -> None:
        """It starts anew: strikes its classes, its copies, and the orders that it had a place in."""
        w.unanswered_classes.clear()
        w.last_served.clear()
        for f in self.functions.values():
            f.copies.pop(w.entry.worker, None)
            f.placement_order = []

    def remove_worker(self, wid: int) -> None:
        """Forgets a worker altogether."""
        w = self.workers.pop(wid)
        zone, self.ejected_count = w.entry.zone, self.ejected_count - w.ejected
        self.peak_active_workers = max(1, sum(w.active for w in self.workers.values()))
        if all(w.entry.zone != zone for w in self.workers.values()):
            self.ejections_by_zone.pop(zone, None)
        for f in self.functions.values():
            f.placement_order = []
            for kept in (f.copies, f.own_in_flight, f.load_failed_until, f.missed_until):
                kept.pop(wid, None)

    def record_arrival(self, taken: float | None, window: float) -> float:
        """One more call, which came at `taken` or now: returns when. Those older than the window are
        forgotten."""
        came = self.now if taken is None else min(taken, self.now)
        insort(self.arrival_times, came)
        count_since(self.arrival_times, self.now - window)
        return came

    def withdraw_arrival(self, arrived: float) -> None:
        """A call that its client took back no longer counts."""
        if arrived in self.arrival_times:
            self.arrival_times.remove(arrived)

    def record_order(self, f: Function, wid: int) -> None:
        """Notes a new order everywhere it counts."""
        f.pending_orders[wid] = self.now
        self.orders_in_progress += 1
        self.order_times.append(self.now)

    def release_order(self, f: Function, wid: int, sent: bool) -> float | None:
        """Takes an order that has ended out of all counts: when it was given, None where nobody knows of it.
        One that was never sent counts for no ration."""
        at = f.pending_orders.pop(wid, None)
        self.orders_in_progress -= at is not None
        if at is not None and not sent and at in self.order_times:
            self.order_times.remove(at)
        return at

    def record_attempt(self, r: Request, f: Function, w: Worker) -> tuple[int, int]:
        """Notes a new attempt everywhere it counts."""
        key, wid = (r.event.request, r.attempt_count), w.entry.worker
        w.in_flight[key], self.attempts[key], r.in_flight[r.attempt_count] = self.now, (w, f, self.now), wid
        f.own_in_flight[wid] = f.own_in_flight.get(wid, 0) + 1
        r.attempt_count += 1
        return key

    def release_attempt(self, request: int, attempt: int) -> tuple[Worker, Function, float] | None:
        """Takes an attempt that has ended out of all counts."""
        if known := self.attempts.pop((request, attempt), None):
            known[0].in_flight.pop((request, attempt), None)
            known[1].own_in_flight[known[0].entry.worker] -= 1
            if r := self.requests.get(request):
                r.in_flight.pop(attempt, None)
        return known

    def schedule(self, wait: float, what: Callable[[Any], None], subject: Any) -> None:
        """Puts something on the agenda, in whole microseconds, so that no timer fires a little early."""
        self.task_serial += 1
        heappush(self.scheduled, (round(self.now + wait + 0.001, 3), self.task_serial, what, subject))

    def run_due_tasks(self) -> None:
        """Does what is due."""
        while self.scheduled and self.scheduled[0][0] <= self.now:
            _, _, what, subject = heappop(self.scheduled)
            what(subject)

    def set_timer(self) -> None:
        """One timer for the next thing that is due, and none when nothing is."""
        if self.scheduled and not self.now < self.timer_at <= self.scheduled[0][0]:
            self.timer_at = self.scheduled[0][0]
            self.actions.append(SetTimer("agenda", self.timer_at))
