"""3, 20 and 200 front ends over a small model of hosts that load copies, cold and silent ones among them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harrieryoke.interface import (
    Action,
    AttemptEnded,
    CopyLookup,
    Event,
    ListScope,
    OrderCopies,
    OrderEnded,
    Outcome,
    RequestArrived,
    StartAttempt,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from harrieryoke.router import Router
from harrieryoke.state import Function, digest

from .rig import SETTINGS, workers
from .test_fleet import ANSWER_MS, Fleet

O = Outcome  # noqa: E741
LOAD_MS = 400.0
LANES = 4
RULES = replace(
    SETTINGS,
    reports_concurrent_requests=True,
    reports_copy_lookup=True,
    order_limit_window=5000,
    order_limit_floor=6,
    order_limit_share=0.3,
)


class Mesh(Fleet):
    """Hosts hold, miss and load copies; `dumb` ones answer nothing. Counts what the rules are about."""

    def __init__(self, front_ends: int, count: int) -> None:
        self.copies: dict[tuple[int, str], float] = {}  # (worker, function) -> from when it stands
        self.names: dict[int, str] = {}
        self.dumb: set[int] = set()
        self.closed: set[int] = set()
        self.taken: list[list[float]] = [[] for _ in range(front_ends)]
        self.orders: list[tuple[float, int, int]] = []  # when, front end, worker
        self.asks: list[float] = []
        self.loads = 0
        super().__init__(front_ends, count)
        self.routers = [Router(replace(RULES, front_ends=front_ends), seed) for seed in range(front_ends)]
        self.tell(WorkersListed(ListScope.REMEMBERED, workers(count)))

    def give(self, n: int, *events: Event) -> None:
        for e in events:
            if isinstance(e, RequestArrived):
                self.names[e.request] = e.function
                self.taken[n].append(self.now)
        for a in self.routers[n].handle(self.now, list(events)):
            if isinstance(a, StartAttempt):
                assert a.worker not in self.closed, "sent to a host that drains"
                self.sends.append((self.now, n, a.worker))
                self.answer_call(n, a.request, a.worker)
            elif isinstance(a, OrderCopies):
                self.answer_order(n, a)
            else:
                self.answer(n, a)

    def answer(self, n: int, action: Action) -> None:
        """Anything else; these hosts are not probed."""

    def answer_call(self, n: int, request: int, worker: int) -> None:
        if worker in self.dumb:
            return
        router = self.routers[n]
        number = router.requests[request].attempt_count - 1
        stands = self.copies.get((worker, self.names[request]))
        if stands is None:
            done = AttemptEnded(request, worker, number, O.MISS, 1.0, False)
            self.open.append((self.now + 1.0, n, done))
        else:
            end = max(stands, self.now) + ANSWER_MS
            found = CopyLookup.LOADED if stands <= self.now else CopyLookup.WAITED_FOR_LOAD
            done = AttemptEnded(request, worker, number, O.OK, end - self.now, True, found)
            self.open.append((end, n, done))

    def answer_order(self, n: int, a: OrderCopies) -> None:
        assert a.worker not in self.closed or not a.copies, "ordered at a host that drains"
        if a.copies:
            self.orders.append((self.now, n, a.worker))
            own = sum(t > self.now - 5000 and k == n for t, k, _ in self.orders)
            assert own <= 6 + 0.3 * sum(t > self.now - 5000 for t in self.taken[n]), "loads not rationed"
        else:
            self.asks.append(self.now)
        if a.worker in self.dumb:
            return
        if a.copies and (a.worker, a.function) not in self.copies:
            self.loads += 1
            self.copies[a.worker, a.function] = self.now + LOAD_MS
        stands = self.copies.get((a.worker, a.function), self.now)
        done = OrderEnded(a.worker, a.function, O.OK, int(bool(a.copies)), max(2.0, stands - self.now))
        self.open.append((max(stands, self.now + 2.0), n, done))  # type: ignore[arg-type]

    def step(self, ms: float) -> None:
        """Time passes by `ms`; timers fire as they would in front ends that handle what is due each 5 ms."""
        until = self.now + ms
        while self.now < until:
            self.now += 5.0
            self.deliver()
            for n, router in enumerate(self.routers):
                if router.scheduled and router.scheduled[0][0] <= self.now:
                    self.give(n, TimerFired("agenda"))

    def play(self, ms: float, calls_a_second: float, functions: int) -> None:
        until = self.now + ms
        while self.now < until:
            self.step(1000 / calls_a_second)
            self.serial += 1
            n, name = self.serial * 7 % len(self.routers), f"f{self.serial * 5 % functions}"
            ask = RequestArrived(self.serial, 0, name, self.now + 2000, None, None, 400, LANES, LOAD_MS)
            self.give(n, ask)


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_after_a_release_the_fleet_orders_in_proportion_to_need(front_ends: int) -> None:
    mesh, functions = Mesh(front_ends, 6), 12
    mesh.play(4000, 100, functions)
    mesh.copies.clear()  # released anew: nothing stands anywhere
    before, loads = len(mesh.orders), mesh.loads
    mesh.play(3000, 100, functions)
    assert functions <= mesh.loads - loads <= 3 * functions
    assert len(mesh.orders) - before <= 6 * functions  # not one for each front end and function


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_one_silent_host_does_not_set_all_front_ends_asking_at_once(front_ends: int) -> None:
    mesh = Mesh(front_ends, 6)
    mesh.play(4000, 100, 12)
    mesh.asks.clear()
    mesh.dumb.add(mesh.sends[-1][2])
    mesh.play(4000, 100, 12)
    together = max((sum(at <= t < at + 100 for t in mesh.asks) for at in mesh.asks), default=0)
    assert mesh.asks and together <= max(3, front_ends // 4)


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_a_host_that_drains_gets_nothing_new_from_any_front_end(front_ends: int) -> None:
    mesh = Mesh(front_ends, 6)
    mesh.play(3000, 100, 12)
    leaving = mesh.sends[-1][2]
    mesh.tell(WorkersListed(ListScope.CHANGES, (WorkerEntry(leaving, status=WorkerStatus.DRAINING),)))
    mesh.closed.add(leaving)  # `give` holds each send and order against it
    before = len(mesh.sends)
    mesh.play(2000, 100, 12)
    assert len(mesh.sends) - before >= 150


@pytest.mark.parametrize("front_ends", [3, 40, 200])
def test_hosts_that_replace_most_take_calls_while_they_are_cold(front_ends: int) -> None:
    """Seen where 24 of 40 were replaced: all went to the 16 old ones, 40 calls at a time at each, while the
    new ones held one or none."""
    mesh = Mesh(front_ends, 10)
    mesh.play(4000, 100, 61)
    left = tuple(WorkerEntry(n, status=WorkerStatus.DRAINING) for n in range(1, 7))
    new = tuple(WorkerEntry(n, started=mesh.now) for n in range(11, 17))
    mesh.tell(WorkersListed(ListScope.CHANGES, left + new))
    mesh.closed.update(range(1, 7))
    started = mesh.now
    mesh.play(RULES.cold_period, 100, 61)
    late = [w for at, _, w in mesh.sends if at > started + RULES.cold_period / 4]
    assert sum(w > 10 for w in late) >= len(late) / 20  # before: one in 600


@pytest.mark.parametrize("share", [0.2, 0.6, 1.0])
def test_a_worker_leads_the_order_of_as_many_functions_as_its_warmth_bears(share: float) -> None:
    mesh = Mesh(2, 5)
    grown = (share - RULES.cold_share) / (1 - RULES.cold_share)
    entry = WorkerEntry(5, started=mesh.now - grown * RULES.cold_period)
    mesh.tell(WorkersListed(ListScope.CHANGES, (entry,)))
    heads = []
    for router in mesh.routers:
        router.now = mesh.now
        functions = [Function(f"f{n}", digest(f"f{n}"), 0, LOAD_MS, 100) for n in range(3000)]
        heads.append([router.ordered_workers(f)[0] for f in functions])
    assert heads[0] == heads[1]
    assert heads[0].count(5) / 3000 == pytest.approx(share / (4 + share), abs=0.03)
