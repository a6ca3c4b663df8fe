"""What 20 to 200 front ends together send to hosts that are cold, window by window, against the bound.

N is `fall_multiple` times a host's warmth times what a warm host gets in a `fall_time`; no window may hold
more than N + 2 sqrt(N) + 2 sends. `pytest -s` prints each play's worst window (table: docs/design.md).
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
from .test_many import LANES, LOAD_MS, RULES, Mesh

O = Outcome  # noqa: E741
HOSTS, ZONES, FUNCTIONS = 6, 3, 61
CALLS_A_SECOND = 240.0
USUAL = CALLS_A_SECOND / HOSTS * RULES.overload_time / 1000  # calls that a warm host gets in a window
ROUND = 5.0  # milliseconds between two looks at the front ends' timers
SIZES = (20, 30, 40, 200)
BUSY_PART, BUSY_TIMES = 10, 5  # of unequal front ends one in ten has five times the others' traffic


class ColdFleet(Mesh):
    """Hosts refuse, fall silent and start anew; calls come at random moments to random front ends."""

    def __init__(self, front_ends: int, seed: int, unequal: bool = False) -> None:
        self.refusing: set[int] = set()
        self.starts: dict[int, float] = {}  # host -> when it last started, while the play went on
        self.draw = Random(seed)
        super().__init__(front_ends, HOSTS)
        self.next_round = self.now
        self.weights = [BUSY_TIMES if unequal and n % BUSY_PART == 0 else 1 for n in range(front_ends)]
        self.entries = {w.worker: replace(w, zone=w.worker % ZONES) for w in workers(HOSTS)}
        self.routers = [self.fresh(n) for n in range(front_ends)]
        self.traffic(2000)
        for n, router in enumerate(self.routers):  # as after many keep-alives of the same traffic
            router.recent_calls = 1 + self.rate(n) * RULES.keep_alive
        self.traffic(1000)

    def rate(self, n: int) -> float:
        """Calls a millisecond that front end `n` has in the mean."""
        return CALLS_A_SECOND / 1000 * self.weights[n] / sum(self.weights)

    def fresh(self, n: int) -> Router:
        """A front end that has just started and has read the list."""
        router = Router(replace(RULES, front_ends=len(self.weights)), self.draw.randrange(1 << 30))
        router.handle(self.now, [WorkersListed(ListScope.REMEMBERED, tuple(self.entries.values()))])
        return router

    def restart_front_ends(self, share: float) -> None:
        """What these had open is lost with them, and what they knew."""
        lost = self.draw.sample(range(len(self.routers)), int(share * len(self.routers)))
        for n in lost:
            self.routers[n] = self.fresh(n)
        self.open = [o for o in self.open if o[1] not in lost]

    def traffic(self, ms: float, calls_a_second: float = CALLS_A_SECOND, function: str = "") -> None:
        """Calls at random moments; of one function, or of all."""
        until = self.now + ms
        while (at := self.now + self.draw.expovariate(calls_a_second / 1000)) < until:
            self.step_to(at)
            [n] = self.draw.choices(range(len(self.routers)), self.weights)
            self.ask(n, function or f"f{self.draw.randrange(FUNCTIONS)}")
        self.step_to(until)

    def step_to(self, at: float) -> None:
        """Time passes; answers are handed over when due, timers fire each `ROUND` as they are due."""
        while self.now < at:
            self.now = min(at, self.next_round)
            self.deliver()
            if self.now < self.next_round:
                return
            self.next_round += ROUND
            for n, router in enumerate(self.routers):
                if router.scheduled and router.scheduled[0][0] <= self.now:
                    self.give(n, TimerFired("agenda"))

    def ask(self, n: int, function: str) -> None:
        self.serial += 1
        due = self.now + 2000
        self.give(n, RequestArrived(self.serial, 0, function, due, None, None, 400, LANES, LOAD_MS))

    def answer_call(self, n: int, request: int, worker: int) -> None:
        r = self.routers[n].requests[request]
        if worker in self.refusing:
            self.end_call(n, r.event, worker, r.attempt_count - 1, O.NO_CONNECTION, 1.0)
        elif worker in self.dumb:
            self.end_call(n, r.event, worker, r.attempt_count - 1, O.TIMEOUT, r.event.deadline - self.now)
        else:
            super().answer_call(n, request, worker)

    def end_call(
        self, n: int, e: RequestArrived, worker: int, attempt: int, outcome: Outcome, after: float
    ) -> None:
        done = AttemptEnded(e.request, worker, attempt, outcome, after, outcome is O.TIMEOUT)
        self.open.append((self.now + after, n, done))

    def answer_order(self, n: int, a: OrderCopies) -> None:
        if a.worker not in self.refusing | self.dumb:
            return super().answer_order(n, a)
        outcome = O.NO_CONNECTION if a.worker in self.refusing else O.TIMEOUT
        after = 1.0 if a.worker in self.refusing else RULES.connect_timeout
        ended = OrderEnded(a.worker, a.function, outcome, 0, after)
        self.open.append((self.now + after, n, ended))  # type: ignore[arg-type]

    def lose(self, hosts: list[int], refuse: bool) -> None:
        """What is open there breaks off where they refuse, and has no answer where they are silent."""
        (self.refusing if refuse else self.dumb).update(hosts)
        self.break_off(hosts, O.RESET if refuse else None)

    def break_off(self, hosts: list[int], outcome: Outcome | None) -> None:
        kept = []
        for at, n, e in self.open:
            if e.worker not in hosts:
                kept.append((at, n, e))
            elif outcome:
                if isinstance(e, AttemptEnded):
                    ended = replace(e, outcome=outcome, finished=False)
                else:
                    ended = replace(e, outcome=outcome, copies=0)
                kept.append((self.now, n, ended))
        self.open = kept

    def start(self, hosts: list[int], told: bool = True) -> None:
        """They start anew: no copies, and what was open there broke off."""
        self.refusing -= set(hosts)
        self.dumb -= set(hosts)
        self.break_off(hosts, O.RESET)
        self.copies = {key: at for key, at in self.copies.items() if key[0] not in hosts}
        self.starts |= dict.fromkeys(hosts, self.now)
        if told:
            self.tell_starts(hosts)

    def tell_starts(self, hosts: list[int]) -> None:
        for n in hosts:
            entry = WorkerEntry(n, zone=n % ZONES, cell=n // 2, started=self.starts[n])
            self.entries[n] = entry
        self.tell(WorkersListed(ListScope.CHANGES, tuple(self.entries[n] for n in hosts)))

    def drain(self, hosts: list[int]) -> None:
        left = tuple(replace(self.entries.pop(n), status=WorkerStatus.DRAINING) for n in hosts)
        self.tell(WorkersListed(ListScope.CHANGES, left))
        self.closed.update(hosts)

    def cold_sends(self, host: int) -> list[float]:
        start = self.starts[host]
        return [at for at, _, w in self.sends if w == host and start <= at < start + RULES.cold_period]


def bound(grown: float) -> float:
    """The most sends of a window when this part of the cold period has gone by."""
    mean = RULES.overload_multiple * (RULES.cold_share + (1 - RULES.cold_share) * grown) * USUAL
    return mean + 2 * sqrt(mean) + 2


def worst_window(sends: list[float], started: float) -> float:
    """The greatest ratio of a window's sends to the bound at the window's end."""
    ratios = [0.0]
    for n, at in enumerate(sends):
        within = n + 1 - bisect_right(sends, at - RULES.overload_time, hi=n)
        ratios.append(within / bound((at - started) / RULES.cold_period))
    return max(ratios)


def one_host(fleet: ColdFleet) -> None:
    """(a) One host starts among warm ones."""
    fleet.start([1])
    fleet.traffic(RULES.cold_period)


def others_drain(fleet: ColdFleet) -> None:
    """(a) One host starts and all others drain: every call wants to come."""
    fleet.start([1])
    fleet.drain(list(range(2, HOSTS + 1)))
    fleet.traffic(RULES.cold_period)


def half_replaced(fleet: ColdFleet) -> None:
    """(b) Half of the hosts leave, as many new ones start."""
    fleet.drain(list(range(1, HOSTS // 2 + 1)))
    fleet.start(list(range(HOSTS + 1, HOSTS * 3 // 2 + 1)))
    fleet.traffic(RULES.cold_period)


def zone_back(refuse: bool, told: bool, lost_ms: float = 3000, zones: int = 1) -> Callable[[ColdFleet], None]:
    """(c) Zones are lost for a while and come back cold."""

    def play(fleet: ColdFleet) -> None:
        zone = [n for n in range(1, HOSTS + 1) if n % ZONES < zones]
        fleet.lose(zone, refuse)
        fleet.traffic(lost_ms)
        fleet.start(zone, told)
        fleet.traffic(RULES.cold_period)

    return play


def front_ends_restart(fleet: ColdFleet) -> None:
    """(d) Nine in ten front ends start anew two seconds after a host did, and again two seconds later."""
    fleet.start([1, 2])
    for _ in range(2):
        fleet.traffic(2000)
        fleet.restart_front_ends(0.9)
    fleet.traffic(RULES.cold_period - 4000)


def told_late(ms: float) -> Callable[[ColdFleet], None]:
    """(e) A host is replaced by a new life of itself at once, and the list tells of it late."""

    def play(fleet: ColdFleet) -> None:
        fleet.start([1], told=False)
        fleet.traffic(ms)
        fleet.tell_starts([1])
        fleet.traffic(RULES.cold_period - ms)

    return play


def burst_after_quiet(usual_ms: float, quiet_ms: float) -> Callable[[ColdFleet], None]:
    """(g) After a quiet time a call at each front end at once, and no host but the cold one."""

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
    "c zone refuses, told": zone_back(refuse=True, told=True),
    "c zone refuses, not told": zone_back(refuse=True, told=False),
    "c zone refuses 12 s, not told": zone_back(refuse=True, told=False, lost_ms=12000),
    "c zone silent, told": zone_back(refuse=False, told=True),
    "c zone silent, not told": zone_back(refuse=False, told=False),
    "c zone silent 12 s, not told": zone_back(refuse=False, told=False, lost_ms=12000),
    "c all refuse 30 s, not told": zone_back(refuse=True, told=False, lost_ms=30000, zones=ZONES),
    "c all silent 12 s, not told": zone_back(refuse=False, told=False, lost_ms=12000, zones=ZONES),
    "d front ends restart": front_ends_restart,
    "e told 1 s late": told_late(1000),
    "e told 3 s late": told_late(3000),
    "e told 7 s late": told_late(7000),
    "f unequal": others_drain,
    "g burst after quiet": burst_after_quiet(0, 6000),
    "g burst after 2 s of quiet": burst_after_quiet(1000, 2000),
}


def play(case: str, front_ends: int, seed: int) -> tuple[ColdFleet, float]:
    """The fleet after the case, and its worst window at any cold host."""
    fleet = ColdFleet(front_ends, seed, unequal=case.startswith("f"))
    CASES[case](fleet)
    worst = max(worst_window(fleet.cold_sends(host), at) for host, at in fleet.starts.items())
    sent = sum(len(fleet.cold_sends(host)) for host in fleet.starts)
    print(f"\n{case} | {front_ends} | seed {seed} | worst {worst:.2f} | sent to the cold {sent}")
    return fleet, worst


@pytest.mark.parametrize("front_ends", SIZES)
@pytest.mark.parametrize("case", CASES)
def test_the_fleet_together_keeps_the_bound_at_cold_hosts(case: str, front_ends: int) -> None:
    fleet, worst = play(case, front_ends, seed=1)
    assert all(fleet.cold_sends(host) for host in fleet.starts)
    assert worst <= 1


def test_the_check_sees_a_window_that_is_over_the_bound() -> None:
    most = int(bound(0.0))
    assert worst_window([1000.0] * most, 1000.0) <= 1 < worst_window([1000.0] * (most + 1), 1000.0)
