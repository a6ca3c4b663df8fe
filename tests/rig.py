"""A harness that drives a `Router` by events and checks five invariants over its actions."""

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
NOT_EXECUTED = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.MISS)


def workers(count: int, **changes: object) -> tuple[WorkerEntry, ...]:
    """Entries of workers 1 to `count`, two to a cell."""
    return tuple(replace(WorkerEntry(n, cell=n // 2), **changes) for n in range(1, count + 1))  # type: ignore[arg-type]


class Rig:
    """A Router with a simulated clock; checks the invariants for every action."""

    def __init__(self, settings: Settings = SETTINGS, count: int = 4) -> None:
        self.settings, self.now = settings, 1000.0
        self.router = Router(settings, 7)
        self.requests: dict[int, RequestArrived] = {}
        self.ended: set[int] = set()
        self.log: list[tuple[float, Action]] = []
        self.attempts: dict[int, list[tuple[int, float]]] = {}
        self.outcomes: dict[tuple[int, int], Outcome] = {}
        self.closed_workers: dict[int, float] = {}
        self.timers: list[tuple[float, str]] = []
        self.orders: list[float] = []
        self.arrivals: dict[int, float] = {}  # of requests that were not dropped
        self.give(WorkersListed(ListScope.REMEMBERED, workers(count)))

    def give(self, *events: Event) -> list[Action]:
        """Passes events to the router and checks the actions that it returns."""
        for event in events:
            if isinstance(event, RequestArrived):
                self.requests[event.request] = event
                self.arrivals[event.request] = self.now
            elif isinstance(event, AttemptEnded):
                self.outcomes[event.request, event.attempt] = event.outcome
                if event.finished:
                    self.ended.add(event.request)
            elif isinstance(event, RequestDropped):
                self.ended.add(event.request)
                self.arrivals.pop(event.request, None)
            elif isinstance(event, WorkersListed):
                for entry in event.workers:
                    if entry.status is WorkerStatus.UP:
                        self.closed_workers.pop(entry.worker, None)
                    else:
                        self.closed_workers.setdefault(entry.worker, self.now)
        actions = self.router.handle(self.now, list(events))
        for action in actions:
            self.check(action)
            self.log.append((self.now, action))
        return actions

    def check(self, action: Action) -> None:
        """Checks the invariants, as far as the actions of one front end show them."""
        if isinstance(action, StartAttempt):
            request_class = self.settings.classes[self.requests[action.request].class_index]
            earlier = self.attempts.setdefault(action.request, [])
            assert action.request not in self.ended, "sent after its end"
            assert len(earlier) < self.settings.max_attempts, "too many attempts"
            open_ = [
                number for number in range(len(earlier)) if (action.request, number) not in self.outcomes
            ]
            assert not open_, "two attempts at once"
            possible_runs = [
                run
                for number, run in enumerate(earlier)
                if self.outcomes[action.request, number] not in NOT_EXECUTED
            ]
            if request_class.effect is Effect.UNSAFE:
                assert not possible_runs, "executed twice"
            if request_class.effect is Effect.KEYED:
                deduplicated = [
                    worker // 2 == action.worker // 2 and self.now - at < request_class.repeat_window
                    for worker, at in possible_runs
                ]
                assert all(deduplicated), "repeated outside the deduplication window or scope"
            assert action.worker not in self.closed_workers, "sent to a draining worker"
            earlier.append((action.worker, self.now))
        elif isinstance(action, OrderCopies) and action.copies:
            assert action.worker not in self.closed_workers, "order to a draining worker"
            self.orders.append(self.now)
            if self.settings.order_limit_window:
                since = self.now - self.settings.order_limit_window
                arrivals = sum(at > since for at in self.arrivals.values())
                order_limit = self.settings.order_limit_floor + self.settings.order_limit_share * arrivals
                assert sum(at > since for at in self.orders) <= order_limit, "order limit exceeded"
        elif isinstance(action, Refuse | Fail):
            assert action.request not in self.ended, "two final answers"
            self.ended.add(action.request)
            request = self.requests[action.request]
            assert self.now <= request.deadline + self.settings.answer_slack, "answered too late"
            earlier = self.attempts.get(action.request, [])
            may_have_run = any(
                self.outcomes.get((action.request, number)) not in NOT_EXECUTED
                for number in range(len(earlier))
            )
            effect = self.settings.classes[request.class_index].effect
            assert (
                isinstance(action, Fail) or effect is Effect.SAFE or not may_have_run
            ), "refused what may have run"
        elif isinstance(action, SetTimer):
            self.timers.append((action.at, action.name))

    def ask(self, request: int, class_index: int = 0, function: str = "f", slots: int = 2) -> list[Action]:
        """A request arrives."""
        deadline = self.now + 2000
        return self.give(
            RequestArrived(request, class_index, function, deadline, None, None, 400, slots, 500)
        )

    def settle(self, request: int, outcome: Outcome = Outcome.OK, duration: float = 100) -> list[Action]:
        """The latest attempt of the request ends."""
        attempt = len(self.attempts[request]) - 1
        finished = outcome is Outcome.OK or request in self.ended
        return self.give(
            AttemptEnded(request, self.attempts[request][attempt][0], attempt, outcome, duration, finished)
        )

    def loaded(self, worker: int, outcome: Outcome = Outcome.OK, function: str = "f") -> list[Action]:
        """An order ends."""
        return self.give(OrderEnded(worker, function, outcome, int(outcome is Outcome.OK), 500))

    def wait(self, ms: float) -> list[Action]:
        """Advances the clock, fires timers, and times out open attempts at the deadline of their request."""
        until, seen = self.now + ms, len(self.log)
        while due_times := [time for time in self.next_times() if time <= until]:
            self.now = max(self.now, min(due_times))
            for request in [
                request for request in self.open_attempts() if self.requests[request].deadline <= self.now
            ]:
                self.settle(request, Outcome.TIMEOUT, 2000)
            for timer in [time for time in self.timers if time[0] <= self.now]:
                self.timers.remove(timer)
                self.give(TimerFired(timer[1]))
        self.now = until
        return [action for _, action in self.log[seen:]]

    def open_attempts(self) -> list[int]:
        """Requests whose latest attempt has no outcome yet."""
        return [
            request
            for request, attempts in self.attempts.items()
            if (request, len(attempts) - 1) not in self.outcomes
        ]

    def next_times(self) -> list[float]:
        """Times of the next timers and deadlines."""
        return [at for at, _ in self.timers] + [
            self.requests[request].deadline for request in self.open_attempts()
        ]


def sends(actions: list[Action]) -> list[tuple[int, int]]:
    """(request, worker) of each attempt."""
    return [(action.request, action.worker) for action in actions if isinstance(action, StartAttempt)]


def loads(actions: list[Action]) -> list[tuple[int, str]]:
    """(worker, function) of each order with a count."""
    return [
        (action.worker, action.function)
        for action in actions
        if isinstance(action, OrderCopies) and action.copies
    ]
