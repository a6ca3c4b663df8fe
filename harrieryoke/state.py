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
class Bucket:
    """What has accrued and when that was last counted."""

    left: float = 0.0
    at: float = NEVER
    rate: float = 0.0  # a second, where it is fixed

    def take(self, now: float, rate: float, depth: float) -> bool:
        """Fills at `rate` a millisecond up to `depth`; takes one where one is left."""
        self.left, self.at = min(depth, self.left + (now - self.at) * rate), now
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclass(slots=True)
class Load:
    """How a worker, or all of them, bears what we send."""

    strain: float  # answers' time against the aim
    limit: float = 0.0  # own attempts at a time


@dataclass(slots=True)
class Copy:
    """Believed copies of one function at one worker."""

    count: int
    seen: float  # last sign that it stands; its idle time began then at the earliest
    others: float = 0.0  # crowd told beyond our own


@dataclass(frozen=True, slots=True)
class PossibleRestart:
    """A connection broke off, or a copy that should stand was missed: between these times the worker may have
    started anew, or not."""

    after: float = NEVER
    by: float = NEVER


@dataclass(slots=True)
class Worker:
    """What this front end believes of one worker."""

    entry: WorkerEntry
    started: float
    digest: int
    load: Load
    slow: float = 1.0  # answers' time against the usual of their function
    budget: Bucket = field(default_factory=Bucket)  # sends while it is cold
    hold_off: HoldOff = field(default_factory=HoldOff)
    lease: WorkLease = field(default_factory=WorkLease)
    up: bool = True
    dead: bool = False  # it refused a connection when last tried
    out: bool = False  # taken out until an ask is answered
    lost: bool = False  # it refused a connection or left an ask unanswered: it may have started anew
    asked: bool = False
    leaving: bool = False  # it has gone from the list and is about to be forgotten
    backoff: float = 0.0
    held: float = 0.0  # requests in hand, as its last report told
    told: float = NEVER  # when that was
    heard: float = NEVER
    cut: float = NEVER  # a connection to it last broke off
    restart: PossibleRestart = field(default_factory=PossibleRestart)  # the last one
    full_until: dict[int | None, float] = field(default_factory=dict)  # it turned the tenant's away
    doubts: dict[int, tuple[float, float]] = field(default_factory=dict)  # class -> until, and for how long
    silent: set[int] = field(default_factory=set)  # classes overdue, until one is answered
    served: dict[int, float] = field(default_factory=dict)  # class -> its last good answer
    flying: dict[tuple[int, int], float] = field(default_factory=dict)  # own attempts, oldest first

    def knows_start(self, told: WorkerEntry) -> bool:
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
    usual: float  # mean time of an answer
    memory: float = 0.0
    lanes: int = 1
    used: float = NEVER  # on the clock that stands still while nothing arrives
    width: float = 1.0  # places of its order that hold copies, as far as answers tell
    alone: bool = False  # a copy lapsed between our own calls: nobody else keeps it
    looked: bool = False  # its next look is on the agenda
    copies: dict[int, Copy] = field(default_factory=dict)
    mine: dict[int, int] = field(default_factory=dict)  # own attempts in flight at each worker
    pending: dict[int, float] = field(default_factory=dict)  # orders out, and since when
    avoid: dict[int, float] = field(default_factory=dict)  # workers that could not load it, until when
    missed: dict[int, float] = field(default_factory=dict)  # workers that missed it, until when
    waiting: list[Request] = field(default_factory=list)
    order: list[int] = field(default_factory=list)
    order_until: float = NEVER  # when it is to be made anew: hosts warm up


@dataclass(slots=True)
class Request:
    """One request that is owed its final answer."""

    event: RequestArrived
    kind: RequestClass
    arrived: float
    aimed: float  # an answer after this is late
    worth: float  # what it earns in time; less where it is beyond its tenant's share
    most: int  # attempts, in all
    attempts: int = 0
    flying: dict[int, int] = field(default_factory=dict)  # attempt -> worker
    ran: list[tuple[WorkerEntry, float]] = field(default_factory=list)  # where it may have run, and sent when
    done: bool = False


class Memory:
    """All that one front end remembers; empty at its start."""

    def __init__(self) -> None:
        self.now = self.stalled = self.last_arrival = self.heard = 0.0
        self.unheard_since = inf  # when the first attempt was sent that is overdue, where all are silent
        self.zones: dict[int, int] = {}  # zone -> workers that went out since it was last heard
        self.list_age = ListAge()
        self.list_current = True  # in this round no lease can have run out
        self.held = 0.0  # mean of what reports told
        self.ups = 1  # the most workers that took calls at once, of those not forgotten
        self.warm_at = NEVER  # when the last one that started is warm
        self.calls = 0.0  # own calls of about the last keep-alive
        self.timer = NEVER
        self.outs = self.ordering = self.serial = 0
        self.out: list[Action] = []
        self.workers: dict[int, Worker] = {}
        self.functions: dict[str, Function] = {}
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Worker, Function, float]] = {}
        self.agenda: list[tuple[float, int, Callable[[Any], None], Any]] = []  # a heap
        self.touched: dict[str, Function] = {}
        self.ordered: deque[float] = deque()
        self.arrivals: deque[float] = deque()
        self.allowances: dict[int | None, Bucket] = {}
        self.wishes: list[str] = []  # functions that advice wants warm, of this round

    def say(self, action: Action) -> None:
        """One more action in the answer."""
        self.out.append(action)

    def mark_gone(self, named: Iterable[int]) -> None:
        """A whole list came: whoever it does not name is gone."""
        listed = dict.fromkeys(named)
        for wid, w in self.workers.items():
            if wid not in listed:
                w.entry, w.up = replace(w.entry, status=WorkerStatus.GONE), False

    def forget(self, w: Worker) -> None:
        """It starts anew: strikes its classes, its copies, and the orders that it had a place in."""
        w.silent.clear()
        w.served.clear()
        for f in self.functions.values():
            f.copies.pop(w.entry.worker, None)
            f.order = []

    def strike(self, wid: int) -> None:
        """Forgets a worker altogether."""
        w = self.workers.pop(wid)
        zone, self.outs = w.entry.zone, self.outs - w.out
        self.ups = max(1, sum(w.up for w in self.workers.values()))
        if all(w.entry.zone != zone for w in self.workers.values()):
            self.zones.pop(zone, None)
        for f in self.functions.values():
            f.order = []
            for kept in (f.copies, f.mine, f.avoid, f.missed):
                kept.pop(wid, None)

    def count_in(self, taken: float | None, window: float) -> float:
        """One more call, which came at `taken` or now: returns when. Those older than the window are
        forgotten."""
        came = self.now if taken is None else min(taken, self.now)
        insort(self.arrivals, came)
        count_since(self.arrivals, self.now - window)
        return came

    def count_out(self, arrived: float) -> None:
        """A call that its client took back no longer counts."""
        if arrived in self.arrivals:
            self.arrivals.remove(arrived)

    def book_order(self, f: Function, wid: int) -> None:
        """Notes a new order everywhere it counts."""
        f.pending[wid] = self.now
        self.ordering += 1
        self.ordered.append(self.now)

    def unbook_order(self, f: Function, wid: int, sent: bool) -> float | None:
        """Takes an order that has ended out of all counts: when it was given, None where nobody knows of it.
        One that was never sent counts for no ration."""
        at = f.pending.pop(wid, None)
        self.ordering -= at is not None
        if at is not None and not sent and at in self.ordered:
            self.ordered.remove(at)
        return at

    def book(self, r: Request, f: Function, w: Worker) -> tuple[int, int]:
        """Notes a new attempt everywhere it counts."""
        key, wid = (r.event.request, r.attempts), w.entry.worker
        w.flying[key], self.attempts[key], r.flying[r.attempts] = self.now, (w, f, self.now), wid
        f.mine[wid] = f.mine.get(wid, 0) + 1
        r.attempts += 1
        return key

    def unbook(self, request: int, attempt: int) -> tuple[Worker, Function, float] | None:
        """Takes an attempt that has ended out of all counts."""
        if known := self.attempts.pop((request, attempt), None):
            known[0].flying.pop((request, attempt), None)
            known[1].mine[known[0].entry.worker] -= 1
            if r := self.requests.get(request):
                r.flying.pop(attempt, None)
        return known

    def later(self, wait: float, what: Callable[[Any], None], subject: Any) -> None:
        """Puts something on the agenda, in whole microseconds, so that no timer fires a little early."""
        self.serial += 1
        heappush(self.agenda, (round(self.now + wait + 0.001, 3), self.serial, what, subject))

    def run_agenda(self) -> None:
        """Does what is due."""
        while self.agenda and self.agenda[0][0] <= self.now:
            _, _, what, subject = heappop(self.agenda)
            what(subject)

    def set_timer(self) -> None:
        """One timer for the next thing that is due, and none when nothing is."""
        if self.agenda and not self.now < self.timer <= self.agenda[0][0]:
            self.timer = self.agenda[0][0]
            self.out.append(SetTimer("agenda", self.timer))
