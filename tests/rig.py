"""Hand-made events for `Router`, and a checker of the five rules over what it answers."""

from __future__ import annotations

from dataclasses import replace

from harrieryoke.interface import (
    Action,
    AttemptEnded,
    DeduplicationScope,
    Effect,
    Event,
    Fail,
    ListScope,
    OrderCopies,
    OrderEnded,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestDropped,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from harrieryoke.router import Router

SAFE = RequestClass("look", 500, 2000, 1.0, 0.2, Effect.SAFE)
KEYED = RequestClass("price", 500, 2000, 2.0, 0.2, Effect.KEYED, DeduplicationScope.CELL, 1500)
UNSAFE = RequestClass("pay", 500, 2000, 5.0, 0.2, Effect.UNSAFE)
SETTINGS = Settings(
    classes=(SAFE, KEYED, UNSAFE),
    tick=2,
    max_attempts=3,
    may_cancel=True,
    cold_period=8000,
    cold_share=0.2,
    overload_multiple=4,
    overload_time=1000,
    keep_alive=10000,
    answer_slack=16,
    memory_by_kind=(4000.0,),
)
PROOF = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.MISS)


def workers(count: int, **changes: object) -> tuple[WorkerEntry, ...]:
    """Workers 1 to `count`, two to a cell."""
    return tuple(replace(WorkerEntry(n, cell=n // 2), **changes) for n in range(1, count + 1))  # type: ignore[arg-type]


class Rig:
    """One Router with a clock; every answer is checked against the rules as it comes."""

    def __init__(self, settings: Settings = SETTINGS, count: int = 4) -> None:
        self.settings, self.now = settings, 1000.0
        self.router = Router(settings, 7)
        self.requests: dict[int, RequestArrived] = {}
        self.ended: set[int] = set()
        self.log: list[tuple[float, Action]] = []
        self.attempts: dict[int, list[tuple[int, float]]] = {}
        self.outcomes: dict[tuple[int, int], Outcome] = {}
        self.closed: dict[int, float] = {}
        self.timers: list[tuple[float, str]] = []
        self.orders: list[float] = []
        self.arrivals: dict[int, float] = {}  # of what its client did not take back
        self.give(WorkersListed(ListScope.REMEMBERED, workers(count)))

    def give(self, *events: Event) -> list[Action]:
        """Hands events over and checks what comes back."""
        for e in events:
            if isinstance(e, RequestArrived):
                self.requests[e.request] = e
                self.arrivals[e.request] = self.now
            elif isinstance(e, AttemptEnded):
                self.outcomes[e.request, e.attempt] = e.outcome
                if e.finished:
                    self.ended.add(e.request)
            elif isinstance(e, RequestDropped):
                self.ended.add(e.request)
                self.arrivals.pop(e.request, None)
            elif isinstance(e, WorkersListed):
                for w in e.workers:
                    if w.status is WorkerStatus.UP:
                        self.closed.pop(w.worker, None)
                    else:
                        self.closed.setdefault(w.worker, self.now)
        actions = self.router.handle(self.now, list(events))
        for a in actions:
            self.check(a)
            self.log.append((self.now, a))
        return actions

    def check(self, a: Action) -> None:
        """The five rules, as far as one front end's actions show them."""
        if isinstance(a, StartAttempt):
            kind = self.settings.classes[self.requests[a.request].class_index]
            past = self.attempts.setdefault(a.request, [])
            assert a.request not in self.ended, "sent after its end"
            assert len(past) < self.settings.max_attempts, "too many attempts"
            open_ = [n for n in range(len(past)) if (a.request, n) not in self.outcomes]
            assert not open_, "two attempts at once"
            ran = [p for n, p in enumerate(past) if self.outcomes[a.request, n] not in PROOF]
            if kind.effect is Effect.UNSAFE:
                assert not ran, "effect twice"
            if kind.effect is Effect.KEYED:
                near = [w // 2 == a.worker // 2 and self.now - t < kind.repeat_window for w, t in ran]
                assert all(near), "key lost"
            assert a.worker not in self.closed, "sent to a draining worker"
            past.append((a.worker, self.now))
        elif isinstance(a, OrderCopies) and a.copies:
            assert a.worker not in self.closed, "order to a draining worker"
            self.orders.append(self.now)
            if self.settings.order_limit_window:
                since = self.now - self.settings.order_limit_window
                taken = sum(t > since for t in self.arrivals.values())
                ration = self.settings.order_limit_floor + self.settings.order_limit_share * taken
                assert sum(t > since for t in self.orders) <= ration, "loads not rationed"
        elif isinstance(a, Refuse | Fail):
            assert a.request not in self.ended, "two final answers"
            self.ended.add(a.request)
            r = self.requests[a.request]
            assert self.now <= r.deadline + self.settings.answer_slack, "answered too late"
            past = self.attempts.get(a.request, [])
            maybe = any(self.outcomes.get((a.request, n)) not in PROOF for n in range(len(past)))
            effect = self.settings.classes[r.class_index].effect
            assert isinstance(a, Fail) or effect is Effect.SAFE or not maybe, "refused what may have run"
        elif isinstance(a, SetTimer):
            self.timers.append((a.at, a.name))

    def ask(self, request: int, class_index: int = 0, function: str = "f", lanes: int = 2) -> list[Action]:
        """One request arrives."""
        due = self.now + 2000
        return self.give(RequestArrived(request, class_index, function, due, None, None, 400, lanes, 500))

    def settle(self, request: int, outcome: Outcome = Outcome.OK, took: float = 100) -> list[Action]:
        """The request's newest attempt ends."""
        n = len(self.attempts[request]) - 1
        done = outcome is Outcome.OK or request in self.ended
        return self.give(AttemptEnded(request, self.attempts[request][n][0], n, outcome, took, done))

    def loaded(self, worker: int, outcome: Outcome = Outcome.OK, function: str = "f") -> list[Action]:
        """An order is answered."""
        return self.give(OrderEnded(worker, function, outcome, int(outcome is Outcome.OK), 500))

    def wait(self, ms: float) -> list[Action]:
        """Lets time pass, firing timers as due; attempts out at their client's end time out just then."""
        until, seen = self.now + ms, len(self.log)
        while moments := [t for t in self.moments() if t <= until]:
            self.now = max(self.now, min(moments))
            for rid in [rid for rid in self.open_attempts() if self.requests[rid].deadline <= self.now]:
                self.settle(rid, Outcome.TIMEOUT, 2000)
            for timer in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(timer)
                self.give(TimerFired(timer[1]))
        self.now = until
        return [a for _, a in self.log[seen:]]

    def open_attempts(self) -> list[int]:
        """Requests whose newest attempt has no outcome yet."""
        return [rid for rid, past in self.attempts.items() if (rid, len(past) - 1) not in self.outcomes]

    def moments(self) -> list[float]:
        """When something will happen by itself."""
        return [at for at, _ in self.timers] + [self.requests[rid].deadline for rid in self.open_attempts()]


def sends(actions: list[Action]) -> list[tuple[int, int]]:
    """(request, worker) of each attempt."""
    return [(a.request, a.worker) for a in actions if isinstance(a, StartAttempt)]


def loads(actions: list[Action]) -> list[tuple[int, str]]:
    """(worker, function) of each order with a count."""
    return [(a.worker, a.function) for a in actions if isinstance(a, OrderCopies) and a.copies]
