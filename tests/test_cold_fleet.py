"""Load that 20 to 200 front ends together send to cold hosts, against a bound for each time window.

N is `overload_multiple` times the warm share of the host times what a warm host gets in an `overload_time`;
no window may have more than N + 2 sqrt(N) + 2 attempts. `pytest -s` prints the worst window of each run
(table: docs/design.md).
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from random import Random

import pytest

from harrieryoke.interface import (
    AttemptEnded,
    ListScope,
    OrderCopies,
    OrderEnded,
    Outcome,
    RequestArrived,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from harrieryoke.router import Router

from .rig import workers
from .test_many import LOAD_MS, MESH_SETTINGS, SLOTS, Mesh

HOSTS, ZONES, FUNCTIONS = 6, 3, 61
CALLS_A_SECOND = 240.0
WARM_CALLS = CALLS_A_SECOND / HOSTS * MESH_SETTINGS.overload_time / 1000  # of a warm host in a window
TIMER_INTERVAL_MS = 5.0
SIZES = (20, 30, 40, 200)
BUSY_PART, BUSY_TIMES = 10, 5  # unequal front ends: one in ten has five times the traffic


class ColdFleet(Mesh):
    """Hosts refuse, become unresponsive and restart; requests arrive at random times and front ends."""

    def __init__(self, front_ends: int, seed: int, unequal: bool = False) -> None:
        self.refusing: set[int] = set()
        self.started_at: dict[int, float] = {}  # host -> last start during the run
        self.rng = Random(seed)
        super().__init__(front_ends, HOSTS)
        self.next_round = self.now
        self.weights = [BUSY_TIMES if unequal and n % BUSY_PART == 0 else 1 for n in range(front_ends)]
        self.entries = {
            worker.worker: replace(worker, zone=worker.worker % ZONES) for worker in workers(HOSTS)
        }
        self.routers = [self.fresh(n) for n in range(front_ends)]
        self.traffic(2000)
        for n, router in enumerate(self.routers):  # the level after many keep-alives of this traffic
            router.recent_calls = 1 + self.rate(n) * MESH_SETTINGS.keep_alive
        self.traffic(1000)

    def rate(self, index: int) -> float:
        """Mean requests per millisecond at the front end."""
        return CALLS_A_SECOND / 1000 * self.weights[index] / sum(self.weights)

    def fresh(self, index: int) -> Router:
        """Returns a front end that has just started and has read the list."""
        router = Router(replace(MESH_SETTINGS, front_ends=len(self.weights)), self.rng.randrange(1 << 30))
        router.handle(self.now, [WorkersListed(ListScope.REMEMBERED, tuple(self.entries.values()))])
        return router

    def restart_front_ends(self, share: float) -> None:
        """Restarts a share of the front ends; their open attempts and state are lost."""
        restarted = self.rng.sample(range(len(self.routers)), int(share * len(self.routers)))
        for index in restarted:
            self.routers[index] = self.fresh(index)
        self.pending_answers = [o for o in self.pending_answers if o[1] not in restarted]

    def traffic(self, ms: float, calls_a_second: float = CALLS_A_SECOND, function: str = "") -> None:
        """Sends requests at random times, for one function or for all."""
        until = self.now + ms
        while (at := self.now + self.rng.expovariate(calls_a_second / 1000)) < until:
            self.step_to(at)
            [index] = self.rng.choices(range(len(self.routers)), self.weights)
            self.ask(index, function or f"f{self.rng.randrange(FUNCTIONS)}")
        self.step_to(until)

    def step_to(self, at: float) -> None:
        """Advances the clock; delivers due answers, and due timers every `TIMER_INTERVAL_MS`."""
        while self.now < at:
            self.now = min(at, self.next_round)
            self.deliver()
            if self.now < self.next_round:
                return
            self.next_round += TIMER_INTERVAL_MS
            for index, router in enumerate(self.routers):
                if router.scheduled and router.scheduled[0][0] <= self.now:
                    self.handle_events(index, TimerFired("agenda"))

    def ask(self, index: int, function: str) -> None:
        self.last_request += 1
        deadline = self.now + 2000
        self.handle_events(
            index, RequestArrived(self.last_request, 0, function, deadline, None, None, 400, SLOTS, LOAD_MS)
        )

    def answer_call(self, index: int, request: int, worker: int) -> None:
        record = self.routers[index].requests[request]
        if worker in self.refusing:
            self.end_call(index, record.event, worker, record.attempt_count - 1, Outcome.NO_CONNECTION, 1.0)
        elif worker in self.unresponsive:
            self.end_call(
                index,
                record.event,
                worker,
                record.attempt_count - 1,
                Outcome.TIMEOUT,
                record.event.deadline - self.now,
            )
        else:
            super().answer_call(index, request, worker)

    def end_call(
        self, index: int, request: RequestArrived, worker: int, attempt: int, outcome: Outcome, after: float
    ) -> None:
        done = AttemptEnded(request.request, worker, attempt, outcome, after, outcome is Outcome.TIMEOUT)
        self.pending_answers.append((self.now + after, index, done))

    def answer_order(self, index: int, action: OrderCopies) -> None:
        if action.worker not in self.refusing | self.unresponsive:
            return super().answer_order(index, action)
        outcome = Outcome.NO_CONNECTION if action.worker in self.refusing else Outcome.TIMEOUT
        after = 1.0 if action.worker in self.refusing else MESH_SETTINGS.connect_timeout
        ended = OrderEnded(action.worker, action.function, outcome, 0, after)
        self.pending_answers.append((self.now + after, index, ended))  # type: ignore[arg-type]

    def lose(self, hosts: list[int], refuse: bool) -> None:
        """Makes hosts refuse or become unresponsive; open attempts are reset or stay unanswered."""
        (self.refusing if refuse else self.unresponsive).update(hosts)
        self.end_open(hosts, Outcome.RESET if refuse else None)

    def end_open(self, hosts: list[int], outcome: Outcome | None) -> None:
        kept = []
        for at, index, event in self.pending_answers:
            if event.worker not in hosts:
                kept.append((at, index, event))
            elif outcome:
                if isinstance(event, AttemptEnded):
                    ended = replace(event, outcome=outcome, finished=False)
                else:
                    ended = replace(event, outcome=outcome, copies=0)
                kept.append((self.now, index, ended))
        self.pending_answers = kept

    def start(self, hosts: list[int], listed: bool = True) -> None:
        """Restarts hosts: their copies are gone and their open attempts are reset."""
        self.refusing -= set(hosts)
        self.unresponsive -= set(hosts)
        self.end_open(hosts, Outcome.RESET)
        self.copies = {key: at for key, at in self.copies.items() if key[0] not in hosts}
        self.started_at |= dict.fromkeys(hosts, self.now)
        if listed:
            self.tell_starts(hosts)

    def tell_starts(self, hosts: list[int]) -> None:
        for host in hosts:
            entry = WorkerEntry(host, zone=host % ZONES, cell=host // 2, started=self.started_at[host])
            self.entries[host] = entry
        self.broadcast(WorkersListed(ListScope.CHANGES, tuple(self.entries[host] for host in hosts)))

    def drain(self, hosts: list[int]) -> None:
        entries = tuple(replace(self.entries.pop(host), status=WorkerStatus.DRAINING) for host in hosts)
        self.broadcast(WorkersListed(ListScope.CHANGES, entries))
        self.closed_hosts.update(hosts)

    def cold_sends(self, host: int) -> list[float]:
        start = self.started_at[host]
        return [
            at
            for at, _, worker in self.sends
            if worker == host and start <= at < start + MESH_SETTINGS.cold_period
        ]


def bound(warmed_share: float) -> float:
    """The most attempts in a window after this share of the cold period."""
    mean = (
        MESH_SETTINGS.overload_multiple
        * (MESH_SETTINGS.cold_share + (1 - MESH_SETTINGS.cold_share) * warmed_share)
        * WARM_CALLS
    )
    return mean + 2 * sqrt(mean) + 2


def worst_window(sends: list[float], started: float) -> float:
    """The greatest ratio of the attempts in a window to the bound at its end."""
    ratios = [0.0]
    for index, at in enumerate(sends):
        within = index + 1 - bisect_right(sends, at - MESH_SETTINGS.overload_time, hi=index)
        ratios.append(within / bound((at - started) / MESH_SETTINGS.cold_period))
    return max(ratios)


def one_host(fleet: ColdFleet) -> None:
    """(a) One host restarts among warm ones."""
    fleet.start([1])
    fleet.traffic(MESH_SETTINGS.cold_period)


def others_drain(fleet: ColdFleet) -> None:
    """(a) One host restarts and all others drain, so that all requests go to it."""
    fleet.start([1])
    fleet.drain(list(range(2, HOSTS + 1)))
    fleet.traffic(MESH_SETTINGS.cold_period)


def half_replaced(fleet: ColdFleet) -> None:
    """(b) Half of the hosts leave, as many new ones start."""
    fleet.drain(list(range(1, HOSTS // 2 + 1)))
    fleet.start(list(range(HOSTS + 1, HOSTS * 3 // 2 + 1)))
    fleet.traffic(MESH_SETTINGS.cold_period)


def zone_back(
    refuse: bool, listed: bool, lost_ms: float = 3000, zones: int = 1
) -> Callable[[ColdFleet], None]:
    """(c) Zones are lost for a while and return cold."""

    def play(fleet: ColdFleet) -> None:
        zone = [n for n in range(1, HOSTS + 1) if n % ZONES < zones]
        fleet.lose(zone, refuse)
        fleet.traffic(lost_ms)
        fleet.start(zone, listed)
        fleet.traffic(MESH_SETTINGS.cold_period)

    return play


def front_ends_restart(fleet: ColdFleet) -> None:
    """(d) Nine in ten front ends restart two seconds after a host, and again two seconds later."""
    fleet.start([1, 2])
    for _ in range(2):
        fleet.traffic(2000)
        fleet.restart_front_ends(0.9)
    fleet.traffic(MESH_SETTINGS.cold_period - 4000)


def reported_late(ms: float) -> Callable[[ColdFleet], None]:
    """(e) A host restarts at once, and the list reports it late."""

    def play(fleet: ColdFleet) -> None:
        fleet.start([1], listed=False)
        fleet.traffic(ms)
        fleet.tell_starts([1])
        fleet.traffic(MESH_SETTINGS.cold_period - ms)

    return play


def burst_after_quiet(usual_ms: float, quiet_ms: float) -> Callable[[ColdFleet], None]:
    """(g) After a quiet time, each front end gets a request at once, with only the cold host left."""

    def play(fleet: ColdFleet) -> None:
        fleet.start([1])
        fleet.traffic(usual_ms)
        fleet.traffic(quiet_ms, calls_a_second=5)
        fleet.drain(list(range(2, HOSTS + 1)))
        for n in range(len(fleet.routers)):
            fleet.ask(n, "hot")
        fleet.traffic(1000)

    return play


CASES: dict[str, Callable[[ColdFleet], None]] = {
    "a one host starts": one_host,
    "a all others drain": others_drain,
    "b half replaced": half_replaced,
    "c zone refuses, told": zone_back(refuse=True, listed=True),
    "c zone refuses, not told": zone_back(refuse=True, listed=False),
    "c zone refuses 12 s, not told": zone_back(refuse=True, listed=False, lost_ms=12000),
    "c zone silent, told": zone_back(refuse=False, listed=True),
    "c zone silent, not told": zone_back(refuse=False, listed=False),
    "c zone silent 12 s, not told": zone_back(refuse=False, listed=False, lost_ms=12000),
    "c all refuse 30 s, not told": zone_back(refuse=True, listed=False, lost_ms=30000, zones=ZONES),
    "c all silent 12 s, not told": zone_back(refuse=False, listed=False, lost_ms=12000, zones=ZONES),
    "d front ends restart": front_ends_restart,
    "e told 1 s late": reported_late(1000),
    "e told 3 s late": reported_late(3000),
    "e told 7 s late": reported_late(7000),
    "f unequal": others_drain,
    "g burst after quiet": burst_after_quiet(0, 6000),
    "g burst after 2 s of quiet": burst_after_quiet(1000, 2000),
}


def play(case: str, front_ends: int, seed: int) -> tuple[ColdFleet, float]:
    """Returns the fleet after the case and the worst window of any cold host."""
    fleet = ColdFleet(front_ends, seed, unequal=case.startswith("f"))
    CASES[case](fleet)
    worst = max(worst_window(fleet.cold_sends(host), at) for host, at in fleet.started_at.items())
    sent = sum(len(fleet.cold_sends(host)) for host in fleet.started_at)
    print(f"\n{case} | {front_ends} | seed {seed} | worst {worst:.2f} | sent to the cold {sent}")
    return fleet, worst


@pytest.mark.parametrize("front_ends", SIZES)
@pytest.mark.parametrize("case", CASES)
def test_the_fleet_together_keeps_the_bound_at_cold_hosts(case: str, front_ends: int) -> None:
    fleet, worst = play(case, front_ends, seed=1)
    assert all(fleet.cold_sends(host) for host in fleet.started_at)
    assert worst <= 1


def test_the_check_detects_a_window_over_the_bound() -> None:
    most = int(bound(0.0))
    assert worst_window([1000.0] * most, 1000.0) <= 1 < worst_window([1000.0] * (most + 1), 1000.0)
