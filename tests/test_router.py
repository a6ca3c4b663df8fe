"""Router without the bench: the ordinary path, the five rules, and each failure found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harrieryoke.interface import (
    AttemptEnded,
    CancelAttempt,
    Fail,
    ListScope,
    OrderCopies,
    OrderEnded,
    Outcome,
    PeerMessage,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestDropped,
    StartAttempt,
    Tenant,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from harrieryoke.state import Copy, Function

from .rig import PROOF, SETTINGS, Rig, loads, sends, workers

O = Outcome  # noqa: E741


def covered(rig: Rig, function: str = "f") -> int:
    """Takes one function through request, miss, order and load; returns its worker."""
    rig.ask(1, function=function)
    head = rig.attempts[1][0][0]
    rig.settle(1, O.MISS, 1)
    rig.loaded(head, function=function)
    rig.settle(1)
    return head


def test_a_miss_brings_an_order_there_and_the_request_is_resent_there() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    assert head == rig.router.ordered_workers(rig.router.functions["f"])[0]
    after = rig.settle(1, O.MISS, 1)
    assert loads(after) == [(head, "f")] and not sends(after)
    assert sends(rig.ask(2)) == []  # held: one order serves all that wait
    assert sends(rig.loaded(head)) == [(1, head), (2, head)]


def test_the_hash_order_is_the_same_at_every_front_end_and_uses_no_seeded_hash() -> None:
    rig = Rig(count=8)
    rig.ask(1, function="alpha")
    assert rig.router.ordered_workers(rig.router.functions["alpha"]) == [3, 6, 8, 1, 4, 5, 2, 7]


def test_full_lanes_bring_one_added_copy_along_the_order() -> None:
    rig = Rig()
    head = covered(rig)
    got = [order for n in range(10, 14) for order in loads(rig.ask(n))]
    second = rig.router.ordered_workers(rig.router.functions["f"])[1]
    assert got == [(second, "f")] and second != head


def test_a_copy_is_renewed_once_a_keep_alive_until_the_idle_window_ends() -> None:
    rig = Rig()
    head = covered(rig)
    renewed = []
    for n in range(60):
        for worker, _ in loads(rig.wait(1000)):
            rig.loaded(worker)
            renewed.append(n)
        rig.ask(100 + n, function="other")  # others still call: the gap is this function's own
        if 100 + n in rig.attempts and 100 + n not in rig.ended:
            rig.settle(100 + n)
    assert 2 <= len([n for n in renewed if n < 35]) <= 5
    assert head not in rig.router.functions["f"].copies


def test_a_stall_of_everything_is_not_read_as_no_demand() -> None:
    rig = Rig()
    head = covered(rig)
    for _ in range(50):
        for worker, name in loads(rig.wait(1000)):
            rig.loaded(worker, function=name)
    rig.ask(2, function="g")  # the first arrival after the stall
    rig.settle(2)
    for worker, name in loads(rig.wait(2000)):
        rig.loaded(worker, function=name)
    assert sends(rig.ask(3)) == [(3, head)]


@pytest.mark.parametrize("outcome", [o for o in O if o is not O.OK])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_every_class_against_every_outcome_keeps_the_rules(class_index: int, outcome: O) -> None:
    rig = Rig()
    rig.ask(1, class_index)
    for _ in range(6):
        if 1 in rig.ended:
            break
        if len(rig.outcomes) < len(rig.attempts[1]):
            rig.settle(1, outcome, 5)
        for worker, _ in loads(rig.wait(50)):
            rig.loaded(worker)
    rig.wait(2500)
    assert 1 in rig.ended
    if class_index == 2 and outcome not in PROOF:
        assert len(rig.attempts[1]) == 1


def test_a_miss_just_before_the_due_time_still_ends_the_request() -> None:
    """Seen in `lbsim check`: its deadline entry went by while an attempt was out; nothing ended it."""
    rig = Rig()
    rig.ask(1)
    rig.wait(1975)
    rig.settle(1, O.MISS, 1)
    rig.wait(60)
    assert 1 in rig.ended


def test_late_duplicate_and_unknown_events_are_harmless() -> None:
    rig = Rig()
    head = covered(rig)
    rig.give(AttemptEnded(1, head, 1, O.OK, 5, True), RequestDropped(1), RequestDropped(99))
    rig.give(AttemptEnded(77, 3, 0, O.OK, 5, True), OrderEnded(99, "f", O.OK, 1, 5))
    rig.give(ProbeEnded(99, O.OK, 1))
    rig.give(OrderEnded(head, "never heard of", O.OK, 1, 5), TimerFired("unknown"), PeerMessage(1, b""))
    assert sends(rig.ask(2)) == [(2, head)]


def test_no_workers_or_only_draining_ones_refuses_in_time() -> None:
    for changes in ({}, {"status": WorkerStatus.DRAINING}):
        rig = Rig(count=0)
        if changes:
            rig.give(WorkersListed(ListScope.WHOLE, workers(3, **changes)))
        rig.ask(1, 2)
        assert Refuse(1) in rig.wait(2100)


def test_what_waits_for_nothing_is_refused_at_half_its_time_with_advice() -> None:
    """Seen on an overload day of the real bench: refusals were held back to just before the client left."""
    rig = Rig(replace(SETTINGS, sends_retry_after=True, max_retry_after=500.0), count=0)
    rig.ask(1)
    rig.wait(850)
    assert 1 not in rig.ended
    assert Refuse(1, 500.0) in rig.wait(100)


def test_what_waits_for_a_load_under_way_goes_on_waiting() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    rig.settle(1, O.MISS, 1)
    rig.wait(1500)
    assert 1 not in rig.ended
    assert sends(rig.loaded(head)) == [(1, head)]


def test_a_draining_worker_gets_nothing_and_what_is_held_moves_on() -> None:
    rig = Rig()
    head = covered(rig)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(head, status=WorkerStatus.DRAINING),)))
    rig.wait(9000)
    ((other, _),) = loads(rig.ask(2))
    assert other != head and sends(rig.loaded(other)) == [(2, other)]


def test_a_new_start_time_voids_the_copies_and_makes_the_worker_cold() -> None:
    rig = Rig(count=1)
    covered(rig)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(1, started=rig.now),)))
    assert not rig.router.functions["f"].copies
    rig.wait(1100)  # the attempt before the restart leaves the window
    sent = [s for n in range(20, 40) for s in sends(rig.ask(n))]
    assert len(sent) <= 1  # its budget begins below one and fills slowly
    rig.loaded(1)
    assert len(sends(rig.wait(8000))) >= 1


def test_a_silent_worker_is_left_and_its_safe_requests_move() -> None:
    rig = Rig()
    head = covered(rig)
    second = rig.router.ordered_workers(rig.router.functions["f"])[1]
    rig.loaded(second)
    for n in range(10, 16):
        rig.ask(n, 0)
    for n in range(40):
        rig.ask(100 + n)  # others answer all the while
        for rid in sorted(rig.attempts):
            if rig.attempts[rid][-1][0] == second and (rid, len(rig.attempts[rid]) - 1) not in rig.outcomes:
                rig.settle(rid)
        for a in rig.wait(50):
            if isinstance(a, CancelAttempt):
                rig.settle(a.request, O.CANCELLED)
    assert rig.router.workers[head].ejected
    assert set(range(10, 16)) <= rig.ended
    assert all(w == second for _, w in sends(rig.ask(50)))


def test_rationed_orders_reach_the_limit_and_stop_there() -> None:
    rig = Rig(
        replace(SETTINGS, order_limit_window=10000, order_limit_floor=3, order_limit_share=0.0), count=6
    )
    for n in range(8):
        rig.ask(n, function=f"f{n}")
        rig.settle(n, O.MISS, 1)
        for worker, name in loads(rig.wait(20)):
            rig.loaded(worker, function=name)
    assert len(rig.orders) == 3  # one more would break the rule, and the rig would say so


def test_the_rig_sees_a_breach_of_each_rule() -> None:
    rig = Rig(replace(SETTINGS, order_limit_window=10000, order_limit_floor=1, order_limit_share=0.0))
    rig.ask(1, 2)
    with pytest.raises(AssertionError, match="two attempts"):
        rig.check(StartAttempt(1, 2))
    rig.outcomes[1, 0] = O.RESET
    with pytest.raises(AssertionError, match="effect twice"):
        rig.check(StartAttempt(1, 2))
    with pytest.raises(AssertionError, match="may have run"):
        rig.check(Refuse(1))
    with pytest.raises(AssertionError, match="two final"):
        rig.check(Fail(1))
    rig.closed[3] = rig.now
    with pytest.raises(AssertionError, match="draining"):
        rig.check(OrderCopies(3, "f", 1))
    rig.check(OrderCopies(2, "f", 1))
    with pytest.raises(AssertionError, match="rationed"):
        rig.check(OrderCopies(2, "f", 1))


@pytest.mark.parametrize(("field", "value"), [("classes", ()), ("front_ends", 0), ("tick", 0)])
def test_bad_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})  # type: ignore[arg-type]


def test_full_for_one_tenant_does_not_close_the_worker_to_others() -> None:
    """Seen in i3bd580: workers turned one tenant's calls away and served the other's all the while."""
    rig = Rig(replace(SETTINGS, tenants=(Tenant("a"), Tenant("b"))), count=1)
    covered(rig)
    ask = RequestArrived(2, 0, "f", rig.now + 2000, 0, slots=4)
    assert sends(rig.give(ask)) == [(2, 1)]
    assert sends(rig.settle(2, O.FULL, 2)) == []
    assert sends(rig.give(replace(ask, request=3))) == []
    assert sends(rig.give(replace(ask, request=4, tenant=1))) == [(4, 1)]
    assert sends(rig.wait(400)) == [(2, 1), (3, 1)]


def test_what_times_out_lowers_the_limit_of_its_worker() -> None:
    """Seen in i01bee1: only answers taught, so a jam kept itself up."""
    rig = Rig(count=1)
    covered(rig)
    before = rig.router.workers[1].load.attempt_limit
    for n in range(20, 40):
        rig.ask(n, 0)
        rig.wait(2010)
    assert rig.router.workers[1].load.attempt_limit < before / 2


def test_a_low_limit_grows_again_with_quick_answers() -> None:
    """Seen in the quick scores: at a limit of one the ended attempt was not counted, and nothing grew."""
    rig = Rig(count=1)
    covered(rig)
    worker = rig.router.workers[1]
    worker.load.attempt_limit = 1.0
    for n in range(20, 60):
        rig.ask(n)
        rig.settle(n)
    assert worker.load.attempt_limit > 1.0


def test_workers_that_have_gone_and_functions_long_unused_are_forgotten() -> None:
    """Seen on the churn day: budgets of cold workers shrank with every id that had ever been listed."""
    rig = Rig(count=1)
    for n in range(2, 30):
        rig.ask(n, function=f"once-{n}")
        rig.settle(n, O.RESET)
        rig.give(WorkersListed(ListScope.CHANGES, workers(n)[-1:]))
        gone = workers(n - 1, status=WorkerStatus.GONE)[-1:]
        rig.give(WorkersListed(ListScope.CHANGES, gone))
        for k in range(18):  # others go on: a stall of everything would not read as disuse
            rig.ask(1000 * n + k)
            rig.wait(500)
    router = rig.router
    assert len(router.workers) <= 2 and len(router.functions) < 15 and router.ejected_count <= 1
    rig.give(WorkersListed(ListScope.WHOLE, workers(1)))
    rig.wait(20000)
    assert set(router.workers) == {1}


def test_an_order_counts_the_memory_held_at_its_worker_once() -> None:
    """Seen in a profile of the day of the highest rate: counting it for each function took 40 % of a core."""

    class Weighed(Function):
        read = 0

        @property
        def memory(self) -> float:
            Weighed.read += 1
            return 400.0

        @memory.setter
        def memory(self, told: float) -> None: ...

    rig = Rig(count=2)
    for n in range(50):
        copies = {1: Copy(1, -1e6), 2: Copy(1, -1e6)}
        rig.router.functions[f"g{n}"] = Weighed(f"g{n}", n, 0, 500, 100, copies=copies)
    rig.router.handle(rig.now, [])
    new = Weighed("new", 50, 0, 500, 100)
    rig.router.free_memory(new, 1)
    here = [g for g in rig.router.functions.values() if 1 in g.copies]
    assert len(here) == 9 and Weighed.read < 200  # nine and the new one fit


def test_a_worker_whose_connection_breaks_off_stays_in_use_unless_nothing_comes_from_it() -> None:
    """Seen on days of resets: each took its worker out, and its limit from 14 places to one."""
    rig = Rig(count=1)
    covered(rig)
    worker = rig.router.workers[1]
    worker.load.attempt_limit = 14.0
    for n in range(2, 12, 2):
        rig.wait(1000)
        rig.ask(n)
        rig.ask(n + 1)
        assert sends(rig.settle(n, O.RESET)) == [(n, 1)] and sends(rig.settle(n + 1, O.RESET)) == [(n + 1, 1)]
        rig.settle(n)
        rig.settle(n + 1)
    assert worker.load.attempt_limit >= 14.0 and not worker.ejected
    rig.wait(300)
    rig.ask(20)
    rig.settle(20, O.RESET)
    rig.wait(300)
    rig.settle(20, O.RESET)
    assert worker.ejected
    rig.wait(10)
    rig.give(OrderEnded(1, "f", O.RESET, 0, 5))  # the ask is lost too: it is asked again, not left out
    assert [a for a in rig.wait(2000) if isinstance(a, OrderCopies) and a.copies == 0]


def test_one_class_that_hangs_at_a_worker_moves_on_and_does_not_cut_its_limit() -> None:
    """Seen on the churn day: one class hung at three of six workers; its requests timed out there one batch
    after the other, the limits fell to a few places, and the rest of the fleet jammed."""
    rig = Rig(count=2)
    home = covered(rig)
    rig.ask(2, 1, "g")
    rig.loaded(home, function="g")
    worker = rig.router.workers[home]
    before = worker.load.attempt_limit
    for n in range(10, 14):
        rig.ask(n, lanes=8)
    hung = [n for n in range(10, 14) if rig.attempts[n][0][0] == home]
    seen = len(rig.log)
    for n in range(20, 50):
        rig.ask(n, 1, "g", 8)
        rig.wait(25)
        for m in [m for m in range(2, 50) if m in rig.open_attempts() and m not in hung]:
            rig.settle(m)
    cancelled = {a.request for _, a in rig.log[seen:] if isinstance(a, CancelAttempt)}
    assert len(hung) > 1 and cancelled >= set(hung) and worker.load.attempt_limit >= before
    for n in hung:
        rig.settle(n, O.CANCELLED, 700)
    assert worker.load.attempt_limit >= before
    for n in range(60, 64):
        rig.wait(400)
        rig.ask(n, lanes=8)
    again = [n for n in rig.open_attempts() if n in (*hung, *range(60, 64))]
    assert sum(rig.attempts[n][-1][0] == home for n in again) <= 1


def test_where_orders_are_not_allowed_none_is_given_and_a_worker_still_comes_back() -> None:
    """Seen in `lbsim check`: the ask that brings a worker back was sent where orders are forbidden."""
    rig = Rig(replace(SETTINGS, may_order=False), count=1)
    rig.ask(1)
    rig.settle(1, O.NO_CONNECTION, 5)
    rig.wait(1500)
    assert not any(isinstance(a, OrderCopies) for _, a in rig.log)
    assert rig.router.is_usable(rig.router.workers[1])


def test_calls_that_their_client_takes_back_buy_no_orders() -> None:
    """Seen on join+mass, seed 3: a client sent one call 200 times, each with its giveUp, and the invoker went
    on to 32 orders in five seconds in which 67 calls counted."""
    rig = Rig(
        replace(SETTINGS, order_limit_window=5000, order_limit_floor=6, order_limit_share=0.3), count=12
    )
    for n in range(200):
        rig.ask(1000 + n, function="taken-back")
        rig.give(RequestDropped(1000 + n))
    for n in range(60):  # the rig holds each order against the ration of the calls that stayed
        rig.ask(n, function=f"f{n}")
        if n in rig.attempts and n not in rig.ended:
            for worker, name in loads(rig.settle(n, O.MISS, 1)):
                rig.loaded(worker, function=name)
        rig.wait(20)
    assert 6 < len(rig.orders) <= 6 + 0.3 * 60


def test_a_call_beyond_the_budget_of_a_cold_worker_goes_to_the_next_copy_at_once() -> None:
    """It waited for the budget of the best one, a second and more, while another stood idle."""
    rig = Rig()
    first = covered(rig)
    other = next(n for n in range(1, 5) if n != first)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(first, cell=first // 2, started=rig.now),)))
    for n in (first, other):
        rig.router.record_copy(rig.router.functions["f"], n)
    slower = rig.router.workers[other]  # not the first choice
    slower.slowness_factor, slower.last_heard = 8.0, rig.now
    rig.router.workers[first].cold_budget.tokens = 1.0
    asked = [RequestArrived(n, 0, "f", rig.now + 2000, slots=4) for n in range(50, 55)]
    went = [worker for e in asked for _, worker in sends(rig.give(e))]
    assert len(went) == 5 and first in went and went.count(other) >= 2


def test_an_ask_that_was_never_sent_brings_no_worker_back_and_is_asked_again() -> None:
    rig = Rig(count=1)
    head = covered(rig)
    rig.ask(2)
    rig.settle(2, O.NO_CONNECTION, 5)
    assert rig.router.workers[head].ejected
    for _ in range(3):
        asked = [a for a in rig.wait(SETTINGS.keep_alive) if isinstance(a, OrderCopies) and not a.copies]
        assert len(asked) == 1 and asked[0].worker == head
        rig.give(OrderEnded(head, "f", O.NOT_SENT, 0, 5))
        assert rig.router.workers[head].ejected and rig.router.workers[head].last_heard < rig.now


def test_what_could_not_be_sent_waits_for_its_worker_ever_longer_until_that_is_heard() -> None:
    rig = Rig(replace(SETTINGS, max_attempts=9))
    head = covered(rig)
    first = SETTINGS.connect_timeout / 8
    rig.ask(2)
    for n in range(3):
        assert not sends(rig.settle(2, O.NOT_SENT, 1)), "no pause"
        assert not sends(rig.wait(0.9 * first * 2**n))
        assert sends(rig.wait(first * 2**n)) == [(2, head)]
    assert not rig.router.workers[head].ejected and head in rig.router.functions["f"].copies
    rig.settle(2)
    rig.ask(3)
    rig.settle(3, O.NOT_SENT, 1)
    assert sends(rig.wait(2 * first)) == [(3, head)]


def test_an_order_that_was_never_sent_counts_for_no_ration() -> None:
    rig = Rig(replace(SETTINGS, order_limit_window=5000, order_limit_floor=1, order_limit_share=0), count=1)
    rig.ask(1)
    head = rig.attempts[1][0][0]
    assert loads(rig.settle(1, O.MISS, 1)) == [(head, "f")]
    rig.orders.clear()  # the rule counts what comes to a worker
    rig.loaded(head, O.NOT_SENT)
    assert loads(rig.wait(200)) == [(head, "f")], "the ration is spent on an order that never went out"


@pytest.mark.parametrize(("silent_ms", "cold"), [(1.2 * SETTINGS.keep_alive, True), (4000.0, False)])
def test_after_a_keep_alive_in_which_nobody_answered_all_workers_are_cold(
    silent_ms: float, cold: bool
) -> None:
    """Each may have started anew meanwhile, and nobody was there to be told."""
    rig = Rig()
    covered(rig)
    rig.wait(SETTINGS.cold_period)
    last = int(silent_ms / 500)
    for n in range(10, 10 + last):
        rig.ask(n)
        rig.wait(500)
    rig.give(WorkersListed(ListScope.CHANGES, workers(1)))  # a list tells of nobody's life
    open_ = rig.open_attempts()
    assert open_ and all(w.last_heard < rig.now - silent_ms for w in rig.router.workers.values())
    rig.settle(open_[-1])
    assert all(w.started == rig.now for w in rig.router.workers.values()) == cold
