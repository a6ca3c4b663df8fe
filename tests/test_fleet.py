"""Several Routers over one set of workers: what none of them sees alone. They share nothing."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harrieryoke import interface as i
from harrieryoke.net.answers import parse_load_report
from harrieryoke.router import Router

from .rig import SETTINGS, workers

O = i.Outcome  # noqa: E741
ANSWER_MS = 50.0


class Fleet:
    """Front ends in step; every worker holds every function and answers in a fixed time."""

    def __init__(self, front_ends: int, count: int) -> None:
        settings = replace(
            SETTINGS, front_ends=front_ends, reports_concurrent_requests=True, reports_copy_lookup=True
        )
        self.routers = [Router(settings, seed) for seed in range(front_ends)]
        self.now, self.serial = 1000.0, 0
        self.open: list[tuple[float, int, i.AttemptEnded]] = []
        self.sends: list[tuple[float, int, int]] = []  # when, front end, worker
        self.silent: dict[tuple[int, int], bool] = {}  # (worker, class) that answers nothing
        self.kinds: dict[int, int] = {}
        self.tell(i.WorkersListed(i.ListScope.REMEMBERED, workers(count)))

    def tell(self, event: i.Event) -> None:
        for n in range(len(self.routers)):
            self.give(n, event)

    def give(self, n: int, *events: i.Event) -> None:
        for a in self.routers[n].handle(self.now, list(events)):
            if isinstance(a, i.StartAttempt):
                self.sends.append((self.now, n, a.worker))
                if not self.silent.get((a.worker, self.kinds[a.request])):
                    done = i.AttemptEnded(a.request, a.worker, 0, O.OK, ANSWER_MS, True, i.CopyLookup.LOADED)
                    self.open.append((self.now + ANSWER_MS, n, done))
            elif isinstance(a, i.OrderCopies):
                answer = i.OrderEnded(a.worker, a.function, O.OK, 1, 2.0)
                self.open.append((self.now + 2.0, n, answer))  # type: ignore[arg-type]

    def deliver(self) -> None:
        """Hands over the answers that are due."""
        due = [o for o in self.open if o[0] <= self.now]
        self.open = [o for o in self.open if o[0] > self.now]
        for _, n, event in due:
            self.give(n, event)

    def run(self, ms: float, gap: float, functions: int = 6, class_of: int = 3) -> None:
        """Every `gap` one call at each front end in turn, over a few functions."""
        until = self.now + ms
        while self.now < until:
            self.now += gap / len(self.routers)
            self.deliver()
            self.serial += 1
            self.kinds[self.serial] = self.serial // 7 % class_of
            name = f"f{self.kinds[self.serial]}-{self.serial * 7 % functions}"
            kind, end = self.kinds[self.serial], self.now + 2000
            ask = i.RequestArrived(self.serial, kind, name, end, slots=4, load_time=500)
            self.give(self.serial % len(self.routers), ask)


def check_cold(sends: list[float], started: float, usual: float) -> None:
    """Rule four over all front ends: each window's sends against the multiple of what it can do by then."""
    s = SETTINGS
    for at in sends:
        if started <= at < started + s.cold_period:
            grown = s.cold_share + (1 - s.cold_share) * (at - started) / s.cold_period
            window = sum(at - s.overload_time < t <= at for t in sends if t >= started)
            assert (
                window <= s.overload_multiple * grown * usual
            ), f"pushed over {at - started} ms after its start"


@pytest.mark.parametrize("front_ends", [1, 3, 20, 60, 200])
def test_all_front_ends_together_do_not_push_a_cold_worker_over(front_ends: int) -> None:
    """The least share was one send a window for each front end: at 60 that is 60 a window."""
    fleet = Fleet(front_ends, 4)
    fleet.run(12000, gap=12.5 * front_ends)
    usual = len([at for at, _, _ in fleet.sends if at > fleet.now - 8000]) / 8 / 4
    started = fleet.now
    fleet.tell(i.WorkersListed(i.ListScope.CHANGES, (i.WorkerEntry(1, started=started),)))
    # all calls want to come
    gone = tuple(i.WorkerEntry(n, status=i.WorkerStatus.DRAINING) for n in (2, 3, 4))
    fleet.tell(i.WorkersListed(i.ListScope.CHANGES, gone))
    fleet.run(7000, gap=12.5 * front_ends)
    cold = [at for at, _, w in fleet.sends if w == 1 and at >= started]
    assert cold
    check_cold(cold, started, usual)


def test_the_check_of_the_cold_rule_sees_a_breach() -> None:
    with pytest.raises(AssertionError, match="pushed over"):
        check_cold([1000.0 + n for n in range(20)], 1000.0, usual=20)


def test_a_crowded_answer_widens_the_function_by_one_place_of_its_order() -> None:
    """Seen in the baseline of the grown deployments: the busiest server had 6 to 15 times the mean."""
    fleet = Fleet(40, 8)
    for n, router in enumerate(fleet.routers):
        fleet.kinds |= {-1 - n: 0, -100 - n: 0}
        fleet.give(n, i.RequestArrived(-1 - n, 0, "hot", fleet.now + 2000, slots=1))
        head = fleet.sends[-1][2]
        fleet.give(
            n, i.AttemptEnded(-1 - n, head, 0, O.OK, 60, True, i.CopyLookup.LOADED, concurrent_requests=6)
        )
        fleet.give(n, i.RequestArrived(-100 - n, 0, "hot", fleet.now + 2000, slots=1))
        order = router.ordered_workers(router.functions["hot"])
        assert head == order[0] and int(router.functions["hot"].copy_width) == 2


def test_a_worker_that_leaves_one_class_unanswered_keeps_serving_the_others() -> None:
    """A silence test for each worker cannot see it: the others' answers go on all the while."""
    fleet = Fleet(2, 4)
    fleet.run(4000, gap=60)
    used = [w for _, _, w in fleet.sends]
    worker = max(dict.fromkeys(used), key=used.count)
    fleet.silent |= {(worker, 0): True}
    fleet.run(4000, gap=60)
    doubts = [0 in r.workers[worker].suspected_classes for r in fleet.routers]
    assert any(doubts) and all(r.is_usable(r.workers[worker]) for r in fleet.routers)
    before = len(fleet.sends)
    fleet.run(1500, gap=60)
    assert any(w == worker for _, _, w in fleet.sends[before:])  # the other classes


@pytest.mark.parametrize("told", [1, 500])
def test_more_front_ends_than_workers_and_a_wrong_count_keep_every_request_answered(told: int) -> None:
    settings = replace(SETTINGS, front_ends=told)
    for seed in range(5):
        router = Router(settings, seed)
        router.handle(0.0, [i.WorkersListed(i.ListScope.REMEMBERED, (i.WorkerEntry(1), i.WorkerEntry(2)))])
        sent = router.handle(1.0, [i.RequestArrived(1, 0, "f", 2001.0, None, None, 400, 2, 500)])
        assert [a.request for a in sent if isinstance(a, i.StartAttempt)] == [1]
        worker = next(a.worker for a in sent if isinstance(a, i.StartAttempt))
        again = router.handle(2.0, [i.AttemptEnded(1, worker, 0, O.MISS, 1.0, False)])
        assert [a.worker for a in again if isinstance(a, i.OrderCopies)] == [worker]
        ended = router.handle(1985.0, [i.TimerFired("agenda")])
        assert i.Refuse(1) in ended


def test_a_reset_is_no_proof_of_a_restart_but_a_refused_connection_is() -> None:
    """Answers may be lost while the copies stand; with most workers so, the fleet would seem empty."""
    for outcome, stands in ((O.RESET, True), (O.NO_CONNECTION, False)):
        fleet = Fleet(1, 2)
        fleet.run(3000, gap=100, functions=1, class_of=1)
        router, worker = fleet.routers[0], fleet.sends[-1][2]
        fleet.silent[worker, 0] = True
        fleet.run(100, gap=100, functions=1, class_of=1)
        fleet.give(0, i.AttemptEnded(fleet.serial, worker, 0, outcome, 5.0, False))
        assert any(worker in f.copies for f in router.functions.values()) is stands
        assert (router.warm_share(router.workers[worker]) == 1.0) is stands


def test_a_front_end_that_sees_nothing_for_minutes_keeps_no_timer_running() -> None:
    fleet = Fleet(1, 3)
    fleet.run(2000, gap=100)
    router = fleet.routers[0]
    for _ in range(200):
        fleet.now += 1000.0
        fleet.deliver()
        fleet.give(0, i.TimerFired("agenda"))
    assert not router.scheduled and not any(f.copies for f in router.functions.values())


def test_a_calm_front_end_with_several_times_the_mean_traffic_sends_all_it_has() -> None:
    """Seen on calm+mass, seed 3: 2978 of 4139 calls that were refused unsent had met an own limit of 2.4 to 6
    attempts at all 72 workers together, which stood idle otherwise: the workers' room divided by 180."""
    fleet = Fleet(1, 24)
    settings = replace(SETTINGS, front_ends=200, reports_concurrent_requests=True, reports_copy_lookup=True)
    router = fleet.routers[0] = Router(settings, 1)
    router.handle(fleet.now, [i.WorkersListed(i.ListScope.REMEMBERED, workers(24))])
    for n in range(16):
        fleet.kinds[n] = 0
        fleet.give(0, i.RequestArrived(n, 0, f"f{n}", fleet.now + 2000, slots=4))
    assert len(fleet.sends) == 16


def test_a_place_of_the_order_is_tried_by_a_call_before_a_copy_is_ordered_there() -> None:
    """Seen on calm+mass, seed 3: 10460 of 11685 orders found the copy standing, put there by another."""
    fleet = Fleet(40, 8)
    orders = []
    for n, router in enumerate(fleet.routers):
        fleet.kinds |= dict.fromkeys((-1 - n, -100 - n, -200 - n), 0)
        for request, crowd in ((-1 - n, 12), (-100 - n, None), (-200 - n, None)):
            fleet.give(n, i.RequestArrived(request, 0, "hot", fleet.now + 2000, slots=1))
            done = i.AttemptEnded(
                request, fleet.sends[-1][2], 0, O.OK, 60, True, i.CopyLookup.LOADED, concurrent_requests=crowd
            )
            fleet.give(n, done)
        orders += list(router.order_times)
        assert len(router.functions["hot"].copies) >= 2
    assert not orders
    fleet.kinds[-300] = 0
    fleet.give(0, i.RequestArrived(-300, 0, "hot", fleet.now + 2000, slots=1))
    function = fleet.routers[0].functions["hot"]
    place = next(wid for wid in fleet.routers[0].ordered_workers(function) if wid not in function.copies)
    function.copy_width = 1.0 + len(function.copies)
    function.missed_until[place] = fleet.now + 1000.0
    fleet.give(
        0,
        i.AttemptEnded(
            -300, fleet.sends[-1][2], 0, O.OK, 60, True, i.CopyLookup.LOADED, concurrent_requests=12
        ),
    )
    assert list(function.pending_orders) == [place]


def test_a_worker_with_nothing_but_one_long_call_of_ours_keeps_it_if_it_answers_an_ask() -> None:
    """Seen on calm+mass, seed 3: 322 of 6200 calls were given up at work after 1.3 s and refused, as the
    worker had sent nothing since; each front end has one call in ten seconds there."""
    for answered in (True, False):
        fleet = Fleet(1, 2)
        fleet.run(3000, gap=100, functions=1, class_of=1)
        router, worker = fleet.routers[0], fleet.sends[-1][2]
        other = 3 - worker
        fleet.silent[worker, 0] = True
        fleet.serial += 1
        fleet.kinds[fleet.serial] = 0
        fleet.give(0, i.RequestArrived(fleet.serial, 0, "f0-0", fleet.now + 20000, slots=4))
        key = next(k for k in router.attempts if k[0] == fleet.serial)
        fleet.now += 3000.0
        router.now, router.actions, router.last_heard = fleet.now, [], fleet.now
        router.workers[other].last_heard = fleet.now
        router.on_attempt_overdue(key)
        assert router.workers[worker].ejected and not any(
            isinstance(a, i.CancelAttempt) for a in router.actions
        )
        if answered:
            router.reinstate(router.workers[worker])
        fleet.now += 2 * SETTINGS.connect_timeout + 1
        router.now, router.actions = fleet.now, []
        router.on_attempt_overdue(key)
        assert any(isinstance(a, i.CancelAttempt) for a in router.actions) is not answered


def test_calls_leave_a_worker_that_tells_of_holding_more_than_the_others() -> None:
    """Seen on calm+mass, seed 3: hosts with 155 calls in five seconds beside hosts with 16."""
    settings = replace(SETTINGS, front_ends=200, reports_concurrent_requests=True, reports_copy_lookup=True)
    jammed = 0
    for seed in range(30):
        router = Router(settings, seed)
        router.handle(0.0, [i.WorkersListed(i.ListScope.REMEMBERED, workers(2))])
        for n, (worker, held) in enumerate(((1, 30.0), (2, 2.0))):
            router.handle(10.0 + n, [i.RequestArrived(n, 0, "f", 2010.0, slots=4)])
            key, (w, f, _) = next(iter(router.attempts.items()))
            router.release_attempt(*key)
            w = router.workers[worker]
            router.record_attempt(router.requests[n], f, w)
            done = i.AttemptEnded(
                n, worker, 1, O.OK, 60, True, i.CopyLookup.LOADED, report=i.LoadReport(in_progress=held)
            )
            router.handle(11.0 + n, [done])
        sent = router.handle(20.0, [i.RequestArrived(9, 0, "f", 2020.0, slots=4)])
        jammed += [a.worker for a in sent if isinstance(a, i.StartAttempt)] == [1]
    assert jammed == 0


def test_the_load_report_of_an_answer_is_read_under_the_names_of_the_settings() -> None:
    report = parse_load_report("concurrent:10.5;depth:0;x1:1")
    assert report == i.LoadReport(in_progress=10.5, loads=1.0)


def dark_fleet(zones: int) -> tuple[Fleet, Router]:
    """A front end that has just found three of the four workers of zone 0 silent, one after the other."""
    fleet = Fleet(1, 1)
    settings = replace(SETTINGS, front_ends=200, reports_concurrent_requests=True, reports_copy_lookup=True)
    router = fleet.routers[0] = Router(settings, 1)
    listed = tuple(replace(w, zone=w.worker % zones) for w in workers(4 * zones))
    router.handle(fleet.now, [i.WorkersListed(i.ListScope.REMEMBERED, listed)])
    lost = [w for w in router.workers.values() if w.entry.zone == 0]
    for w in lost[:3]:
        assert router.is_usable(lost[3])
        router.now, router.actions = fleet.now, []
        router.eject(w, unreachable=True)
    return fleet, router


def test_a_zone_that_went_silent_gets_no_call_for_each_of_its_workers() -> None:
    """Seen on zone+mass, seed 3, from 6 s to 9 s: of 3409 calls 1014 refused, after 324 ms on average at
    workers that never answered and 61 ms in dials; each of 180 invokers learned of each worker by itself."""
    fleet, router = dark_fleet(zones=2)
    for n in range(20):
        fleet.kinds[n] = 0
        fleet.give(0, i.RequestArrived(n, 0, f"f{n}", fleet.now + 2000, slots=4))
        fleet.now += 60.0
        fleet.open = [o for o in fleet.open if o[2].worker % 2]  # the lost zone answers no ask either
        fleet.deliver()
    assert len(fleet.sends) == 20 and all(w % 2 for _, _, w in fleet.sends)


@pytest.mark.parametrize("news", ["answer", "list", "own zone alone"])
def test_a_dark_zone_is_used_again_after_any_news_of_it_and_where_it_is_the_only_one(news: str) -> None:
    fleet, router = dark_fleet(zones=1 if news == "own zone alone" else 2)
    last = next(w for w in router.workers.values() if w.entry.zone == 0 and not w.ejected)
    out = next(w for w in router.workers.values() if w.ejected)
    assert router.is_usable(last) is (news == "own zone alone")
    if news == "answer":
        fleet.give(0, i.OrderEnded(out.entry.worker, "none", O.OK, 0, 2.0))
    elif news == "list":
        fleet.tell(i.WorkersListed(i.ListScope.CHANGES, (replace(out.entry, started=fleet.now + 1),)))
    assert router.is_usable(last)
