"""3, 20 and 200 front ends over simulated model hosts that load copies; some are cold or unresponsive."""

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

LOAD_MS = 400.0
SLOTS = 4
MESH_SETTINGS = replace(
    SETTINGS,
    reports_concurrent_requests=True,
    reports_copy_lookup=True,
    order_limit_window=5000,
    order_limit_floor=6,
    order_limit_share=0.3,
)


class Mesh(Fleet):
    """Hosts that serve, miss and load copies; `unresponsive` ones do not answer. Checks the order limit."""

    def __init__(self, front_ends: int, count: int) -> None:
        self.copies: dict[tuple[int, str], float] = {}  # (worker, function) -> when it is loaded
        self.function_names: dict[int, str] = {}
        self.unresponsive: set[int] = set()
        self.closed_hosts: set[int] = set()
        self.arrivals: list[list[float]] = [[] for _ in range(front_ends)]
        self.orders: list[tuple[float, int, int]] = []  # time, front end, worker
        self.queries: list[float] = []
        self.loads = 0
        super().__init__(front_ends, count)
        self.routers = [
            Router(replace(MESH_SETTINGS, front_ends=front_ends), seed) for seed in range(front_ends)
        ]
        self.broadcast(WorkersListed(ListScope.REMEMBERED, workers(count)))

    def handle_events(self, index: int, *events: Event) -> None:
        for event in events:
            if isinstance(event, RequestArrived):
                self.function_names[event.request] = event.function
                self.arrivals[index].append(self.now)
        for action in self.routers[index].handle(self.now, list(events)):
            if isinstance(action, StartAttempt):
                assert action.worker not in self.closed_hosts, "sent to a host that drains"
                self.sends.append((self.now, index, action.worker))
                self.answer_call(index, action.request, action.worker)
            elif isinstance(action, OrderCopies):
                self.answer_order(index, action)
            else:
                self.answer(index, action)

    def answer(self, index: int, action: Action) -> None:
        """Handles other actions; these hosts are not probed."""

    def answer_call(self, index: int, request: int, worker: int) -> None:
        if worker in self.unresponsive:
            return
        router = self.routers[index]
        number = router.requests[request].attempt_count - 1
        loaded_at = self.copies.get((worker, self.function_names[request]))
        if loaded_at is None:
            ended = AttemptEnded(request, worker, number, Outcome.MISS, 1.0, False)
            self.pending_answers.append((self.now + 1.0, index, ended))
        else:
            end = max(loaded_at, self.now) + ANSWER_MS
            lookup = CopyLookup.LOADED if loaded_at <= self.now else CopyLookup.WAITED_FOR_LOAD
            ended = AttemptEnded(request, worker, number, Outcome.OK, end - self.now, True, lookup)
            self.pending_answers.append((end, index, ended))

    def answer_order(self, index: int, order: OrderCopies) -> None:
        assert order.worker not in self.closed_hosts or not order.copies, "ordered at a host that drains"
        if order.copies:
            self.orders.append((self.now, index, order.worker))
            recent = sum(at > self.now - 5000 and front_end == index for at, front_end, _ in self.orders)
            assert recent <= 6 + 0.3 * sum(
                at > self.now - 5000 for at in self.arrivals[index]
            ), "order limit exceeded"
        else:
            self.queries.append(self.now)
        if order.worker in self.unresponsive:
            return
        if order.copies and (order.worker, order.function) not in self.copies:
            self.loads += 1
            self.copies[order.worker, order.function] = self.now + LOAD_MS
        loaded_at = self.copies.get((order.worker, order.function), self.now)
        ended = OrderEnded(
            order.worker, order.function, Outcome.OK, int(bool(order.copies)), max(2.0, loaded_at - self.now)
        )
        self.pending_answers.append((max(loaded_at, self.now + 2.0), index, ended))  # type: ignore[arg-type]

    def step(self, ms: float) -> None:
        """Advances the clock by `ms`; front ends handle their timers every 5 ms."""
        until = self.now + ms
        while self.now < until:
            self.now += 5.0
            self.deliver()
            for index, router in enumerate(self.routers):
                if router.scheduled and router.scheduled[0][0] <= self.now:
                    self.handle_events(index, TimerFired("agenda"))

    def play(self, ms: float, calls_a_second: float, functions: int) -> None:
        until = self.now + ms
        while self.now < until:
            self.step(1000 / calls_a_second)
            self.last_request += 1
            index, name = self.last_request * 7 % len(self.routers), f"f{self.last_request * 5 % functions}"
            ask = RequestArrived(self.last_request, 0, name, self.now + 2000, None, None, 400, SLOTS, LOAD_MS)
            self.handle_events(index, ask)


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_after_a_release_the_fleet_orders_in_proportion_to_need(front_ends: int) -> None:
    mesh, functions = Mesh(front_ends, 6), 12
    mesh.play(4000, 100, functions)
    mesh.copies.clear()  # as after a release: no copy is loaded
    before, loads = len(mesh.orders), mesh.loads
    mesh.play(3000, 100, functions)
    assert functions <= mesh.loads - loads <= 3 * functions
    assert len(mesh.orders) - before <= 6 * functions  # rather than one per front end and function


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_an_unresponsive_host_is_not_queried_by_all_front_ends_at_once(front_ends: int) -> None:
    mesh = Mesh(front_ends, 6)
    mesh.play(4000, 100, 12)
    mesh.queries.clear()
    mesh.unresponsive.add(mesh.sends[-1][2])
    mesh.play(4000, 100, 12)
    together = max((sum(at <= t < at + 100 for t in mesh.queries) for at in mesh.queries), default=0)
    assert mesh.queries and together <= max(3, front_ends // 4)


@pytest.mark.parametrize("front_ends", [3, 20, 200])
def test_a_draining_host_gets_no_new_work_from_any_front_end(front_ends: int) -> None:
    mesh = Mesh(front_ends, 6)
    mesh.play(3000, 100, 12)
    leaving = mesh.sends[-1][2]
    mesh.broadcast(WorkersListed(ListScope.CHANGES, (WorkerEntry(leaving, status=WorkerStatus.DRAINING),)))
    mesh.closed_hosts.add(leaving)  # `give` fails at an attempt or order there
    before = len(mesh.sends)
    mesh.play(2000, 100, 12)
    assert len(mesh.sends) - before >= 150


@pytest.mark.parametrize("front_ends", [3, 40, 200])
def test_hosts_that_replace_most_take_calls_while_they_are_cold(front_ends: int) -> None:
    """Guards against sending all requests to the old hosts while cold ones take one or none.

    After 24 of 40 hosts were replaced, each of the other 16 had 40 requests at a time.
    """
    mesh = Mesh(front_ends, 10)
    mesh.play(4000, 100, 61)
    left = tuple(WorkerEntry(n, status=WorkerStatus.DRAINING) for n in range(1, 7))
    new = tuple(WorkerEntry(n, started=mesh.now) for n in range(11, 17))
    mesh.broadcast(WorkersListed(ListScope.CHANGES, left + new))
    mesh.closed_hosts.update(range(1, 7))
    started = mesh.now
    mesh.play(MESH_SETTINGS.cold_period, 100, 61)
    late = [worker for at, _, worker in mesh.sends if at > started + MESH_SETTINGS.cold_period / 4]
    assert sum(worker > 10 for worker in late) >= len(late) / 20  # the fault had one in 600


@pytest.mark.parametrize("share", [0.2, 0.6, 1.0])
def test_a_cold_worker_comes_first_for_a_share_of_functions_by_its_capacity(share: float) -> None:
    mesh = Mesh(2, 5)
    grown = (share - MESH_SETTINGS.cold_share) / (1 - MESH_SETTINGS.cold_share)
    entry = WorkerEntry(5, started=mesh.now - grown * MESH_SETTINGS.cold_period)
    mesh.broadcast(WorkersListed(ListScope.CHANGES, (entry,)))
    heads = []
    for router in mesh.routers:
        router.now = mesh.now
        functions = [Function(f"f{n}", digest(f"f{n}"), 0, LOAD_MS, 100) for n in range(3000)]
        heads.append([router.ordered_workers(f)[0] for f in functions])
    assert heads[0] == heads[1]
    assert heads[0].count(5) / 3000 == pytest.approx(share / (4 + share), abs=0.03)
