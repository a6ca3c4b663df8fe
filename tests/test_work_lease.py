"""Leases for new work: many front ends while discovery is unreachable, on one simulated clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.interface import (
    Action,
    AttemptEnded,
    Event,
    ListConfirmed,
    ListScope,
    OrderCopies,
    OrderEnded,
    Outcome,
    Probe,
    ProbeEnded,
    Settings,
    StartAttempt,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from harrieryoke.router import Router
from harrieryoke.work_lease import ListAge, WorkLease

from .rig import SETTINGS, Rig, loads, sends, workers
from .test_many import MESH_SETTINGS, Mesh

PROBING = replace(MESH_SETTINGS, may_probe=True)
DISCOVERY_DELAY = PROBING.discovery_delay
HEARTBEAT_MS = 1000.0
HOSTS = 6


class OutageMesh(Mesh):
    """Discovery confirms the list each second while it is reachable. Draining hosts reject new work."""

    def __init__(self, front_ends: int, settings: Settings = PROBING, heartbeats: bool = True) -> None:
        self.discovery_reachable, self.heartbeat_at = heartbeats, 0.0
        self.draining: dict[int, float] = {}  # host -> start of the drain
        self.probes: list[tuple[float, int, int]] = []  # time, front end, worker
        self.outcomes: dict[int, Outcome] = {}  # request -> outcome of its last attempt
        self.late_work: list[tuple[float, int, int]] = []  # attempts and orders after the discovery delay
        super().__init__(front_ends, HOSTS)
        self.routers = [Router(replace(settings, front_ends=front_ends), seed) for seed in range(front_ends)]
        self.broadcast(WorkersListed(ListScope.REMEMBERED, workers(HOSTS)))

    def deliver(self) -> None:
        if self.discovery_reachable and self.now >= self.heartbeat_at:
            self.heartbeat_at = self.now + HEARTBEAT_MS
            self.broadcast(ListConfirmed(self.now))
        super().deliver()

    def handle_events(self, index: int, *events: Event) -> None:
        self.outcomes |= {event.request: event.outcome for event in events if isinstance(event, AttemptEnded)}
        super().handle_events(index, *events)

    def answer(self, index: int, action: Action) -> None:
        if not isinstance(action, Probe):
            return
        self.probes.append((self.now, index, action.worker))
        if action.worker not in self.unresponsive:
            outcome, after = Outcome.ERROR if action.worker in self.draining else Outcome.OK, 2.0
        else:
            outcome, after = Outcome.TIMEOUT, PROBING.connect_timeout
        ended = ProbeEnded(action.worker, outcome, after)
        self.pending_answers.append((self.now + after, index, ended))  # type: ignore[arg-type]

    def record_new_work(self, index: int, worker: int) -> None:
        if self.now > self.draining.get(worker, self.now) + DISCOVERY_DELAY:
            self.late_work.append((self.now, index, worker))

    def answer_call(self, index: int, request: int, worker: int) -> None:
        self.record_new_work(index, worker)
        if worker not in self.draining:
            return super().answer_call(index, request, worker)
        number = self.routers[index].requests[request].attempt_count - 1
        self.pending_answers.append(
            (self.now + 1.0, index, AttemptEnded(request, worker, number, Outcome.FULL, 1.0, False))
        )

    def answer_order(self, index: int, action: OrderCopies) -> None:
        stands = (action.worker, action.function) in self.copies
        if action.copies:
            self.record_new_work(index, action.worker)
        if action.worker not in self.draining or not action.copies or stands:
            return super().answer_order(index, action)
        full = OrderEnded(action.worker, action.function, Outcome.FULL, 0, 1.0)
        self.pending_answers.append((self.now + 1.0, index, full))  # type: ignore[arg-type]

    def served(self, since: int) -> float:
        """Share of the requests after number `since` that were answered."""
        calls = range(since + 1, self.last_request - 20)  # the last are still open
        return sum(self.outcomes.get(call) is Outcome.OK for call in calls) / len(calls)


def lose_discovery(mesh: OutageMesh, drained: tuple[int, ...]) -> None:
    """Makes discovery unreachable; half a second later hosts drain."""
    mesh.play(5000, 100, 12)
    mesh.discovery_reachable = False
    mesh.play(500, 100, 12)
    mesh.draining = dict.fromkeys(drained, mesh.now)
    mesh.play(DISCOVERY_DELAY, 100, 12)


@pytest.mark.parametrize("drained", [(), (3,), (1, 3, 5), (1, 2, 3, 4, 5)])
@pytest.mark.parametrize("front_ends", [1, 3, 20, 200])
def test_new_work_at_draining_hosts_stops_after_the_discovery_delay(
    front_ends: int, drained: tuple[int, ...]
) -> None:
    mesh = OutageMesh(front_ends)
    lose_discovery(mesh, drained)
    before, asked = mesh.last_request, len(mesh.probes)
    mesh.play(13_000, 100, 12)
    assert mesh.late_work == [] and mesh.served(before) > 0.9
    probes = mesh.probes[asked:]
    assert len(probes) < mesh.last_request - before, "more probes than calls"
    bursts = Counter((int(at // 100), worker) for at, _, worker in probes)
    assert max(bursts.values(), default=0) <= 20, "many front ends ask one host at once"


def test_discovery_that_returns_ends_the_probes() -> None:
    mesh = OutageMesh(20)
    lose_discovery(mesh, (3,))
    mesh.play(3000, 100, 12)
    mesh.discovery_reachable, mesh.closed_hosts = True, {3}
    mesh.broadcast(WorkersListed(ListScope.CHANGES, (WorkerEntry(3, status=WorkerStatus.DRAINING),)))
    mesh.play(100, 100, 12)
    asked, before = len(mesh.probes), mesh.last_request
    mesh.play(10_000, 100, 12)
    assert len(mesh.probes) == asked and mesh.served(before) > 0.99


@pytest.mark.parametrize("front_ends", [1, 20])
def test_while_discovery_answers_leases_change_no_decision(front_ends: int) -> None:
    with_age, without = OutageMesh(front_ends), OutageMesh(front_ends, heartbeats=False)
    for mesh in (with_age, without):
        mesh.play(20_000, 100, 12)
    assert with_age.sends == without.sends and with_age.orders == without.orders
    assert with_age.probes == without.probes == []


def quiet_outage(settings: Settings = PROBING, count: int = 4) -> tuple[Rig, int]:
    """Returns a front end after an outage without requests, and the host that has its function loaded."""
    rig = Rig(settings, count)
    rig.give(ListConfirmed(rig.now))
    rig.ask(1)
    head = rig.attempts[1][0][0]
    rig.settle(1, Outcome.MISS, 1)
    rig.loaded(head)
    rig.settle(1)
    rig.wait(settings.discovery_delay)
    return rig, head


def probed_workers(actions: list[Action]) -> list[int]:
    return [action.worker for action in actions if isinstance(action, Probe)]


def test_a_request_after_a_quiet_outage_waits_for_a_probe_of_its_host() -> None:
    rig, head = quiet_outage()
    asked = rig.ask(2)
    assert sends(asked) == [] and probed_workers(asked) == [head] and probed_workers(rig.ask(3)) == []
    assert sends(rig.give(ProbeEnded(head, Outcome.OK, 2.0))) == [(2, head), (3, head)]
    rig.settle(2)
    rig.settle(3)
    rig.wait(DISCOVERY_DELAY - 500)
    assert sends(rig.ask(4)) == [(4, head)]  # renewed by the answered requests
    rig.settle(4)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.NO_CONNECTION])
def test_after_a_failed_probe_another_host_is_probed(outcome: Outcome) -> None:
    rig, head = quiet_outage()
    rig.ask(2)
    after = rig.give(ProbeEnded(head, outcome, 2.0))
    (other,) = probed_workers(after)
    assert other != head and not sends(after) and not loads(after)
    after = rig.give(ProbeEnded(other, Outcome.OK, 2.0))
    assert [worker for _, worker in sends(after)] + [worker for worker, _ in loads(after)] == [other]


def test_an_unresponsive_host_is_probed_with_backoff() -> None:
    rig, head = quiet_outage(count=1)
    asked = []
    for n in range(40):
        seen = len(rig.log)
        rig.ask(2 + n)
        rig.wait(500)
        asked += [at for at, action in rig.log[seen:] if isinstance(action, Probe)]
        if rig.router.workers[head].lease.probe_pending:
            rig.give(ProbeEnded(head, Outcome.TIMEOUT, PROBING.connect_timeout))
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    assert 4 <= len(asked) <= 16 and max(gaps) >= 2000 and min(gaps) >= PROBING.connect_timeout / 2


def test_without_probes_a_host_with_an_expired_lease_gets_no_work() -> None:
    rig, head = quiet_outage(replace(PROBING, may_probe=False))
    asked = rig.ask(2)
    assert probed_workers(asked) == [] and sends(asked) == [] and loads(asked) == []


def test_attempts_and_orders_carry_the_end_of_the_lease() -> None:
    rig = Rig(PROBING)
    confirmed = rig.now - 3000
    rig.give(ListConfirmed(confirmed))
    actions = rig.ask(1) + rig.settle(1, Outcome.MISS, 1)
    bounds = [action.start_by for action in actions if isinstance(action, StartAttempt | OrderCopies)]
    assert bounds == [confirmed + DISCOVERY_DELAY] * 2


def test_a_host_with_an_unreadable_entry_is_probed_while_discovery_answers() -> None:
    rig = Rig(PROBING)
    ((_, head),) = sends(rig.ask(1))
    rig.settle(1)
    rig.give(ListConfirmed(rig.now, frozenset({head})))
    rig.wait(DISCOVERY_DELAY)
    rig.give(ListConfirmed(rig.now, frozenset({head})))
    assert probed_workers(rig.ask(2)) == [head]
    rig.give(ListConfirmed(rig.now))
    assert (2, head) in [
        (request, worker) for _, action in rig.log for request, worker in sends([action])
    ] or sends(rig.ask(3))


@pytest.mark.parametrize("sign", [Outcome.RESET, Outcome.MISS])
@pytest.mark.parametrize("confirmed", [False, True])
def test_a_host_that_may_have_restarted_is_cold_after_the_discovery_delay(
    confirmed: bool, sign: Outcome
) -> None:
    rig, head = quiet_outage()
    worker = rig.router.workers[head]
    rig.ask(2)
    rig.give(ProbeEnded(head, Outcome.OK, 2.0))
    seen = rig.now
    rig.settle(2)
    rig.ask(3)
    rig.wait(1000)
    rig.settle(3, sign, 1000)
    assert rig.router.warm_share(worker) == 1
    rig.wait(seen + DISCOVERY_DELAY - rig.now)
    if confirmed:
        rig.give(ListConfirmed(rig.now))
    rig.ask(4)
    assert (rig.router.warm_share(worker) < 1) is not confirmed
    rig.router.now = seen + 1000 + PROBING.cold_period
    assert rig.router.warm_share(worker) == 1


@given(
    confirmed=st.none() | st.floats(0, 1e5),
    proven=st.floats(-1e5, 1e5),
    doubtful=st.booleans(),
    now=st.floats(0, 2e5),
    may_probe=st.booleans(),
)
def test_no_lease_outlasts_its_confirmations(
    confirmed: float | None, proven: float, doubtful: bool, now: float, may_probe: bool
) -> None:
    settings, lease, age = replace(SETTINGS, may_probe=may_probe), WorkLease(), ListAge()
    lease.renew(proven)
    if confirmed is not None:
        age.confirm(ListConfirmed(confirmed, frozenset({1} if doubtful else ())))
    rests_on = [proven] + ([] if doubtful or confirmed is None else [confirmed])
    allowed = age.allows(1, lease, now, settings)
    assert not allowed or confirmed is None or now < max(rests_on) + settings.discovery_delay
    assert age.expires_at(1, lease, settings) == (
        float("inf") if confirmed is None else max(rests_on) + settings.discovery_delay
    )
    assert not (allowed and age.refuses(1, lease, now, settings))
    assert allowed or not age.is_current(now, settings)
    assert may_probe or allowed or age.refuses(1, lease, now, settings)


def test_the_pauses_between_probes_grow_to_a_limit_and_are_reset() -> None:
    lease, pauses = WorkLease(), []
    for _ in range(6):
        lease.deny(1000.0, 250.0)
        pauses.append(lease.probe_at - 1000.0)
    assert pauses == [250.0, 500.0, 1000.0, 2000.0, 4000.0, 4000.0]
    lease.renew(1000.0)
    lease.deny(1000.0, 250.0)
    assert lease.probe_at == 1250.0
