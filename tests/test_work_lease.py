"""Leases for new work: many front ends whose discovery is out of reach, on one clock."""

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
from .test_many import RULES, Mesh

O = Outcome  # noqa: E741
PROBING = replace(RULES, may_probe=True)
TOLD_WITHIN = PROBING.discovery_delay
HEARTBEAT = 1000.0
HOSTS = 6


class OutageMesh(Mesh):
    """Discovery confirms the list each second while it is in reach. Hosts that drain turn new work away."""

    def __init__(self, front_ends: int, settings: Settings = PROBING, heartbeats: bool = True) -> None:
        self.in_reach, self.heartbeat_at = heartbeats, 0.0
        self.draining: dict[int, float] = {}  # host -> since when
        self.probes: list[tuple[float, int, int]] = []  # when, front end, worker
        self.ends: dict[int, Outcome] = {}  # call -> how its last attempt ended
        self.late: list[tuple[float, int, int]] = []  # sends and orders after a drain counts as told
        super().__init__(front_ends, HOSTS)
        self.routers = [Router(replace(settings, front_ends=front_ends), seed) for seed in range(front_ends)]
        self.tell(WorkersListed(ListScope.REMEMBERED, workers(HOSTS)))

    def deliver(self) -> None:
        if self.in_reach and self.now >= self.heartbeat_at:
            self.heartbeat_at = self.now + HEARTBEAT
            self.tell(ListConfirmed(self.now))
        super().deliver()

    def give(self, n: int, *events: Event) -> None:
        self.ends |= {e.request: e.outcome for e in events if isinstance(e, AttemptEnded)}
        super().give(n, *events)

    def answer(self, n: int, action: Action) -> None:
        if not isinstance(action, Probe):
            return
        self.probes.append((self.now, n, action.worker))
        if action.worker not in self.dumb:
            outcome, after = O.ERROR if action.worker in self.draining else O.OK, 2.0
        else:
            outcome, after = O.TIMEOUT, PROBING.connect_timeout
        ended = ProbeEnded(action.worker, outcome, after)
        self.open.append((self.now + after, n, ended))  # type: ignore[arg-type]

    def note_new_work(self, n: int, worker: int) -> None:
        if self.now > self.draining.get(worker, self.now) + TOLD_WITHIN:
            self.late.append((self.now, n, worker))

    def answer_call(self, n: int, request: int, worker: int) -> None:
        self.note_new_work(n, worker)
        if worker not in self.draining:
            return super().answer_call(n, request, worker)
        number = self.routers[n].requests[request].attempt_count - 1
        self.open.append((self.now + 1.0, n, AttemptEnded(request, worker, number, O.FULL, 1.0, False)))

    def answer_order(self, n: int, a: OrderCopies) -> None:
        stands = (a.worker, a.function) in self.copies
        if a.copies:
            self.note_new_work(n, a.worker)
        if a.worker not in self.draining or not a.copies or stands:
            return super().answer_order(n, a)
        full = OrderEnded(a.worker, a.function, O.FULL, 0, 1.0)
        self.open.append((self.now + 1.0, n, full))  # type: ignore[arg-type]

    def served(self, since: int) -> float:
        """The part of the calls after the `since`-th that had an answer."""
        calls = range(since + 1, self.serial - 20)  # the last are still on their way
        return sum(self.ends.get(call) is O.OK for call in calls) / len(calls)


def lose_discovery(mesh: OutageMesh, drained: tuple[int, ...]) -> None:
    """It goes out of reach, and half a second later hosts drain."""
    mesh.play(5000, 100, 12)
    mesh.in_reach = False
    mesh.play(500, 100, 12)
    mesh.draining = dict.fromkeys(drained, mesh.now)
    mesh.play(TOLD_WITHIN, 100, 12)


@pytest.mark.parametrize("drained", [(), (3,), (1, 3, 5), (1, 2, 3, 4, 5)])
@pytest.mark.parametrize("front_ends", [1, 3, 20, 200])
def test_new_work_stops_where_a_drain_counts_as_told_and_goes_on_elsewhere(
    front_ends: int, drained: tuple[int, ...]
) -> None:
    mesh = OutageMesh(front_ends)
    lose_discovery(mesh, drained)
    before, asked = mesh.serial, len(mesh.probes)
    mesh.play(13_000, 100, 12)
    assert mesh.late == [] and mesh.served(before) > 0.9
    probes = mesh.probes[asked:]
    assert len(probes) < mesh.serial - before, "more probes than calls"
    bursts = Counter((int(at // 100), worker) for at, _, worker in probes)
    assert max(bursts.values(), default=0) <= 20, "many front ends ask one host at once"


def test_discovery_that_returns_ends_the_probes() -> None:
    mesh = OutageMesh(20)
    lose_discovery(mesh, (3,))
    mesh.play(3000, 100, 12)
    mesh.in_reach, mesh.closed = True, {3}
    mesh.tell(WorkersListed(ListScope.CHANGES, (WorkerEntry(3, status=WorkerStatus.DRAINING),)))
    mesh.play(100, 100, 12)
    asked, before = len(mesh.probes), mesh.serial
    mesh.play(10_000, 100, 12)
    assert len(mesh.probes) == asked and mesh.served(before) > 0.99


@pytest.mark.parametrize("front_ends", [1, 20])
def test_while_discovery_answers_nothing_is_other_than_without_an_age(front_ends: int) -> None:
    with_age, without = OutageMesh(front_ends), OutageMesh(front_ends, heartbeats=False)
    for mesh in (with_age, without):
        mesh.play(20_000, 100, 12)
    assert with_age.sends == without.sends and with_age.orders == without.orders
    assert with_age.probes == without.probes == []


def quiet_outage(settings: Settings = PROBING, count: int = 4) -> tuple[Rig, int]:
    """One front end with a loaded function, and an outage without a call; the host of the copy."""
    rig = Rig(settings, count)
    rig.give(ListConfirmed(rig.now))
    rig.ask(1)
    head = rig.attempts[1][0][0]
    rig.settle(1, O.MISS, 1)
    rig.loaded(head)
    rig.settle(1)
    rig.wait(settings.discovery_delay)
    return rig, head


def probed(actions: list[Action]) -> list[int]:
    return [a.worker for a in actions if isinstance(a, Probe)]


def test_a_call_after_a_quiet_time_waits_for_its_hosts_own_word() -> None:
    rig, head = quiet_outage()
    asked = rig.ask(2)
    assert sends(asked) == [] and probed(asked) == [head] and probed(rig.ask(3)) == []
    assert sends(rig.give(ProbeEnded(head, O.OK, 2.0))) == [(2, head), (3, head)]
    rig.settle(2)
    rig.settle(3)
    rig.wait(TOLD_WITHIN - 500)
    assert sends(rig.ask(4)) == [(4, head)]  # the calls that ran confirmed it
    rig.settle(4)


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMEOUT, O.RESET, O.NO_CONNECTION])
def test_where_the_word_does_not_come_another_host_is_asked(outcome: Outcome) -> None:
    rig, head = quiet_outage()
    rig.ask(2)
    after = rig.give(ProbeEnded(head, outcome, 2.0))
    (other,) = probed(after)
    assert other != head and not sends(after) and not loads(after)
    after = rig.give(ProbeEnded(other, O.OK, 2.0))
    assert [w for _, w in sends(after)] + [w for w, _ in loads(after)] == [other]


def test_a_silent_host_is_probed_with_growing_pauses_while_calls_want_it() -> None:
    rig, head = quiet_outage(count=1)
    asked = []
    for n in range(40):
        seen = len(rig.log)
        rig.ask(2 + n)
        rig.wait(500)
        asked += [at for at, a in rig.log[seen:] if isinstance(a, Probe)]
        if rig.router.workers[head].lease.probe_pending:
            rig.give(ProbeEnded(head, O.TIMEOUT, PROBING.connect_timeout))
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    assert 4 <= len(asked) <= 16 and max(gaps) >= 2000 and min(gaps) >= PROBING.connect_timeout / 2


def test_without_probes_only_hosts_that_their_calls_confirm_get_more() -> None:
    rig, head = quiet_outage(replace(PROBING, may_probe=False))
    asked = rig.ask(2)
    assert probed(asked) == [] and sends(asked) == [] and loads(asked) == []


def test_what_is_sent_names_the_end_of_the_lease() -> None:
    rig = Rig(PROBING)
    confirmed = rig.now - 3000
    rig.give(ListConfirmed(confirmed))
    actions = rig.ask(1) + rig.settle(1, O.MISS, 1)
    bounds = [a.start_by for a in actions if isinstance(a, StartAttempt | OrderCopies)]
    assert bounds == [confirmed + TOLD_WITHIN] * 2


def test_a_host_whose_entry_could_not_be_read_is_asked_though_discovery_answers() -> None:
    rig = Rig(PROBING)
    ((_, head),) = sends(rig.ask(1))
    rig.settle(1)
    rig.give(ListConfirmed(rig.now, frozenset({head})))
    rig.wait(TOLD_WITHIN)
    rig.give(ListConfirmed(rig.now, frozenset({head})))
    assert probed(rig.ask(2)) == [head]
    rig.give(ListConfirmed(rig.now))
    assert (2, head) in [(r, w) for _, a in rig.log for r, w in sends([a])] or sends(rig.ask(3))


@pytest.mark.parametrize("sign", [O.RESET, O.MISS])
@pytest.mark.parametrize("confirmed", [False, True])
def test_a_host_that_may_have_restarted_counts_as_cold_once_that_counts_as_told(
    confirmed: bool, sign: Outcome
) -> None:
    rig, head = quiet_outage()
    worker = rig.router.workers[head]
    rig.ask(2)
    rig.give(ProbeEnded(head, O.OK, 2.0))
    seen = rig.now
    rig.settle(2)
    rig.ask(3)
    rig.wait(1000)
    rig.settle(3, sign, 1000)
    assert rig.router.warm_share(worker) == 1
    rig.wait(seen + TOLD_WITHIN - rig.now)
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
def test_no_lease_outlasts_what_it_rests_on(
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


def test_the_pauses_between_probes_grow_to_a_bound_and_begin_anew() -> None:
    lease, pauses = WorkLease(), []
    for _ in range(6):
        lease.deny(1000.0, 250.0)
        pauses.append(lease.probe_at - 1000.0)
    assert pauses == [250.0, 500.0, 1000.0, 2000.0, 4000.0, 4000.0]
    lease.renew(1000.0)
    lease.deny(1000.0, 250.0)
    assert lease.probe_at == 1250.0
