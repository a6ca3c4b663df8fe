"""Router: the ordinary path, the invariants of the rig, and regressions."""

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

from .rig import NOT_EXECUTED, SETTINGS, Rig, loads, sends, workers


def load_function(rig: Rig, function: str = "f") -> int:
    """Runs a function through request, miss, order and load; returns its worker."""
    rig.ask(1, function=function)
    head = rig.attempts[1][0][0]
    rig.settle(1, Outcome.MISS, 1)
    rig.loaded(head, function=function)
    rig.settle(1)
    return head


def test_a_miss_leads_to_an_order_and_the_request_is_sent_again_after_the_load() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    assert head == rig.router.ordered_workers(rig.router.functions["f"])[0]
    after = rig.settle(1, Outcome.MISS, 1)
    assert loads(after) == [(head, "f")] and not sends(after)
    assert sends(rig.ask(2)) == []  # queued: one order serves all waiting requests
    assert sends(rig.loaded(head)) == [(1, head), (2, head)]


def test_the_hash_order_is_the_same_at_every_front_end_and_uses_no_seeded_hash() -> None:
    rig = Rig(count=8)
    rig.ask(1, function="alpha")
    assert rig.router.ordered_workers(rig.router.functions["alpha"]) == [3, 6, 8, 1, 4, 5, 2, 7]


def test_busy_slots_lead_to_one_extra_copy_at_the_next_worker_in_order() -> None:
    rig = Rig()
    head = load_function(rig)
    orders = [order for request in range(10, 14) for order in loads(rig.ask(request))]
    second = rig.router.ordered_workers(rig.router.functions["f"])[1]
    assert orders == [(second, "f")] and second != head


def test_a_copy_is_renewed_once_per_keep_alive_while_its_function_is_in_use() -> None:
    rig = Rig()
    head = load_function(rig)
    renewed = []
    for n in range(60):
        for worker, _ in loads(rig.wait(1000)):
            rig.loaded(worker)
            renewed.append(n)
        rig.ask(100 + n, function="other")  # other functions are still requested
        if 100 + n in rig.attempts and 100 + n not in rig.ended:
            rig.settle(100 + n)
    assert 2 <= len([n for n in renewed if n < 35]) <= 5
    assert head not in rig.router.functions["f"].copies


def test_a_pause_of_all_requests_does_not_count_as_lack_of_demand() -> None:
    rig = Rig()
    head = load_function(rig)
    for _ in range(50):
        for worker, name in loads(rig.wait(1000)):
            rig.loaded(worker, function=name)
    rig.ask(2, function="g")  # the first arrival after the stall
    rig.settle(2)
    for worker, name in loads(rig.wait(2000)):
        rig.loaded(worker, function=name)
    assert sends(rig.ask(3)) == [(3, head)]


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.OK])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_every_class_against_every_outcome_keeps_the_rules(class_index: int, outcome: Outcome) -> None:
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
    if class_index == 2 and outcome not in NOT_EXECUTED:
        assert len(rig.attempts[1]) == 1


def test_a_request_with_a_miss_just_before_its_deadline_gets_an_answer() -> None:
    """Guards against a request that nothing ends because its deadline task ran while an attempt was open."""
    rig = Rig()
    rig.ask(1)
    rig.wait(1975)
    rig.settle(1, Outcome.MISS, 1)
    rig.wait(60)
    assert 1 in rig.ended


def test_late_duplicate_and_unknown_events_are_harmless() -> None:
    rig = Rig()
    head = load_function(rig)
    rig.give(AttemptEnded(1, head, 1, Outcome.OK, 5, True), RequestDropped(1), RequestDropped(99))
    rig.give(AttemptEnded(77, 3, 0, Outcome.OK, 5, True), OrderEnded(99, "f", Outcome.OK, 1, 5))
    rig.give(ProbeEnded(99, Outcome.OK, 1))
    rig.give(OrderEnded(head, "never heard of", Outcome.OK, 1, 5), TimerFired("unknown"), PeerMessage(1, b""))
    assert sends(rig.ask(2)) == [(2, head)]


def test_without_usable_workers_requests_are_refused_before_the_deadline() -> None:
    for changes in ({}, {"status": WorkerStatus.DRAINING}):
        rig = Rig(count=0)
        if changes:
            rig.give(WorkersListed(ListScope.WHOLE, workers(3, **changes)))
        rig.ask(1, 2)
        assert Refuse(1) in rig.wait(2100)


def test_a_request_that_waits_for_no_load_is_refused_at_half_its_time_with_retry_after() -> None:
    """Guards against refusals under overload that are sent only just before the deadline."""
    rig = Rig(replace(SETTINGS, sends_retry_after=True, max_retry_after=500.0), count=0)
    rig.ask(1)
    rig.wait(850)
    assert 1 not in rig.ended
    assert Refuse(1, 500.0) in rig.wait(100)


def test_a_request_that_waits_for_a_load_is_not_refused_early() -> None:
    rig = Rig()
    ((_, head),) = sends(rig.ask(1))
    rig.settle(1, Outcome.MISS, 1)
    rig.wait(1500)
    assert 1 not in rig.ended
    assert sends(rig.loaded(head)) == [(1, head)]


def test_a_draining_worker_gets_no_work_and_its_function_moves() -> None:
    rig = Rig()
    head = load_function(rig)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(head, status=WorkerStatus.DRAINING),)))
    rig.wait(9000)
    ((other, _),) = loads(rig.ask(2))
    assert other != head and sends(rig.loaded(other)) == [(2, other)]


def test_a_restarted_worker_has_no_copies_and_is_cold() -> None:
    rig = Rig(count=1)
    load_function(rig)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(1, started=rig.now),)))
    assert not rig.router.functions["f"].copies
    rig.wait(1100)
    sent = [s for n in range(20, 40) for s in sends(rig.ask(n))]
    assert len(sent) <= 1  # the budget starts below one token
    rig.loaded(1)
    assert len(sends(rig.wait(8000))) >= 1


def test_an_unresponsive_worker_is_ejected_and_its_safe_requests_move() -> None:
    rig = Rig()
    head = load_function(rig)
    second = rig.router.ordered_workers(rig.router.functions["f"])[1]
    rig.loaded(second)
    for n in range(10, 16):
        rig.ask(n, 0)
    for n in range(40):
        rig.ask(100 + n)  # other workers keep answering
        for request in sorted(rig.attempts):
            if (
                rig.attempts[request][-1][0] == second
                and (request, len(rig.attempts[request]) - 1) not in rig.outcomes
            ):
                rig.settle(request)
        for action in rig.wait(50):
            if isinstance(action, CancelAttempt):
                rig.settle(action.request, Outcome.CANCELLED)
    assert rig.router.workers[head].ejected
    assert set(range(10, 16)) <= rig.ended
    assert all(worker == second for _, worker in sends(rig.ask(50)))


def test_orders_stop_at_the_order_limit() -> None:
    rig = Rig(
        replace(SETTINGS, order_limit_window=10000, order_limit_floor=3, order_limit_share=0.0), count=6
    )
    for n in range(8):
        rig.ask(n, function=f"f{n}")
        rig.settle(n, Outcome.MISS, 1)
        for worker, name in loads(rig.wait(20)):
            rig.loaded(worker, function=name)
    assert len(rig.orders) == 3  # the rig fails at one more


def test_the_rig_detects_a_breach_of_each_invariant() -> None:
    rig = Rig(replace(SETTINGS, order_limit_window=10000, order_limit_floor=1, order_limit_share=0.0))
    rig.ask(1, 2)
    with pytest.raises(AssertionError, match="two attempts"):
        rig.check(StartAttempt(1, 2))
    rig.outcomes[1, 0] = Outcome.RESET
    with pytest.raises(AssertionError, match="executed twice"):
        rig.check(StartAttempt(1, 2))
    with pytest.raises(AssertionError, match="may have run"):
        rig.check(Refuse(1))
    with pytest.raises(AssertionError, match="two final"):
        rig.check(Fail(1))
    rig.closed_workers[3] = rig.now
    with pytest.raises(AssertionError, match="draining"):
        rig.check(OrderCopies(3, "f", 1))
    rig.check(OrderCopies(2, "f", 1))
    with pytest.raises(AssertionError, match="order limit"):
        rig.check(OrderCopies(2, "f", 1))


@pytest.mark.parametrize(("field", "value"), [("classes", ()), ("front_ends", 0), ("tick", 0)])
def test_bad_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})  # type: ignore[arg-type]


def test_a_worker_full_for_one_tenant_stays_open_to_others() -> None:
    """Guards against avoiding a worker for all tenants that is full for one of them only."""
    rig = Rig(replace(SETTINGS, tenants=(Tenant("a"), Tenant("b"))), count=1)
    load_function(rig)
    ask = RequestArrived(2, 0, "f", rig.now + 2000, 0, slots=4)
    assert sends(rig.give(ask)) == [(2, 1)]
    assert sends(rig.settle(2, Outcome.FULL, 2)) == []
    assert sends(rig.give(replace(ask, request=3))) == []
    assert sends(rig.give(replace(ask, request=4, tenant=1))) == [(4, 1)]
    assert sends(rig.wait(400)) == [(2, 1), (3, 1)]


def test_timeouts_lower_the_limit_of_the_worker() -> None:
    """Guards against learning from answers alone, by which an overload sustained itself."""
    rig = Rig(count=1)
    load_function(rig)
    limit_before = rig.router.workers[1].load.attempt_limit
    for n in range(20, 40):
        rig.ask(n, 0)
        rig.wait(2010)
    assert rig.router.workers[1].load.attempt_limit < limit_before / 2


def test_a_low_limit_grows_again_with_fast_answers() -> None:
    """Guards against a limit of one that never grew, as the ended attempt was not counted."""
    rig = Rig(count=1)
    load_function(rig)
    worker = rig.router.workers[1]
    worker.load.attempt_limit = 1.0
    for n in range(20, 60):
        rig.ask(n)
        rig.settle(n)
    assert worker.load.attempt_limit > 1.0


def test_gone_workers_and_unused_functions_are_removed() -> None:
    """Guards against cold budgets that shrink with every worker id that was ever listed."""
    rig = Rig(count=1)
    for n in range(2, 30):
        rig.ask(n, function=f"once-{n}")
        rig.settle(n, Outcome.RESET)
        rig.give(WorkersListed(ListScope.CHANGES, workers(n)[-1:]))
        gone = workers(n - 1, status=WorkerStatus.GONE)[-1:]
        rig.give(WorkersListed(ListScope.CHANGES, gone))
        for call in range(18):  # without arrivals, idle time would not count as disuse
            rig.ask(1000 * n + call)
            rig.wait(500)
    router = rig.router
    assert len(router.workers) <= 2 and len(router.functions) < 15 and router.ejected_count <= 1
    rig.give(WorkersListed(ListScope.WHOLE, workers(1)))
    rig.wait(20000)
    assert set(router.workers) == {1}


def test_an_order_sums_the_memory_in_use_at_its_worker_once() -> None:
    """Guards against a recount for each function, which took 40 % of a core at high request rates."""

    class Weighed(Function):
        read = 0

        @property
        def memory(self) -> float:
            Weighed.read += 1
            return 400.0

        @memory.setter
        def memory(self, value: float) -> None: ...

    rig = Rig(count=2)
    for n in range(50):
        copies = {1: Copy(1, -1e6), 2: Copy(1, -1e6)}
        weighed = Weighed(f"g{n}", n, 0, 500, 100, copies=copies)
        rig.router.functions[weighed.name] = rig.router.with_copies[weighed.name] = weighed
    rig.router.handle(rig.now, [])
    new = Weighed("new", 50, 0, 500, 100)
    rig.router.free_memory(new, 1)
    here = [function for function in rig.router.functions.values() if 1 in function.copies]
    assert len(here) == 9 and Weighed.read < 200  # nine and the new function fit


def test_a_worker_is_ejected_after_resets_only_if_it_does_not_answer_between_them() -> None:
    """Guards against ejection at each reset, which lowered the worker's limit from 14 attempts to one."""
    rig = Rig(count=1)
    load_function(rig)
    worker = rig.router.workers[1]
    worker.load.attempt_limit = 14.0
    for n in range(2, 12, 2):
        rig.wait(1000)
        rig.ask(n)
        rig.ask(n + 1)
        assert sends(rig.settle(n, Outcome.RESET)) == [(n, 1)] and sends(
            rig.settle(n + 1, Outcome.RESET)
        ) == [(n + 1, 1)]
        rig.settle(n)
        rig.settle(n + 1)
    assert worker.load.attempt_limit >= 14.0 and not worker.ejected
    rig.wait(300)
    rig.ask(20)
    rig.settle(20, Outcome.RESET)
    rig.wait(300)
    rig.settle(20, Outcome.RESET)
    assert worker.ejected
    rig.wait(10)
    rig.give(OrderEnded(1, "f", Outcome.RESET, 0, 5))  # the query is lost too and is repeated
    assert [action for action in rig.wait(2000) if isinstance(action, OrderCopies) and action.copies == 0]


def test_requests_of_a_class_that_hangs_at_a_worker_move_and_its_limit_stays() -> None:
    """Guards against a class that hangs at some workers and overloads the others.

    Its requests timed out there batch after batch, and the limits of those workers fell to a few attempts.
    """
    rig = Rig(count=2)
    home = load_function(rig)
    rig.ask(2, 1, "g")
    rig.loaded(home, function="g")
    worker = rig.router.workers[home]
    limit_before = worker.load.attempt_limit
    for n in range(10, 14):
        rig.ask(n, slots=8)
    hung_requests = [n for n in range(10, 14) if rig.attempts[n][0][0] == home]
    seen = len(rig.log)
    for n in range(20, 50):
        rig.ask(n, 1, "g", 8)
        rig.wait(25)
        for other in [
            other for other in range(2, 50) if other in rig.open_attempts() and other not in hung_requests
        ]:
            rig.settle(other)
    cancelled = {action.request for _, action in rig.log[seen:] if isinstance(action, CancelAttempt)}
    assert (
        len(hung_requests) > 1
        and cancelled >= set(hung_requests)
        and worker.load.attempt_limit >= limit_before
    )
    for n in hung_requests:
        rig.settle(n, Outcome.CANCELLED, 700)
    assert worker.load.attempt_limit >= limit_before
    for n in range(60, 64):
        rig.wait(400)
        rig.ask(n, slots=8)
    again = [n for n in rig.open_attempts() if n in (*hung_requests, *range(60, 64))]
    assert sum(rig.attempts[n][-1][0] == home for n in again) <= 1


def test_without_orders_an_ejected_worker_is_reinstated_without_a_query() -> None:
    """Guards against queries of ejected workers where the settings forbid orders."""
    rig = Rig(replace(SETTINGS, may_order=False), count=1)
    rig.ask(1)
    rig.settle(1, Outcome.NO_CONNECTION, 5)
    rig.wait(1500)
    assert not any(isinstance(action, OrderCopies) for _, action in rig.log)
    assert rig.router.is_usable(rig.router.workers[1])


def test_dropped_requests_do_not_raise_the_order_limit() -> None:
    """Guards against dropped requests that raise the order limit.

    A client that sent a call 200 times and dropped it each time led to 32 orders in five seconds in which 67
    requests counted.
    """
    rig = Rig(
        replace(SETTINGS, order_limit_window=5000, order_limit_floor=6, order_limit_share=0.3), count=12
    )
    for n in range(200):
        rig.ask(1000 + n, function="taken-back")
        rig.give(RequestDropped(1000 + n))
    for n in range(60):  # the rig checks each order against the limit
        rig.ask(n, function=f"f{n}")
        if n in rig.attempts and n not in rig.ended:
            for worker, name in loads(rig.settle(n, Outcome.MISS, 1)):
                rig.loaded(worker, function=name)
        rig.wait(20)
    assert 6 < len(rig.orders) <= 6 + 0.3 * 60


def test_a_request_beyond_the_budget_of_a_cold_worker_goes_to_the_next_copy() -> None:
    """Guards against waiting for the budget of the best copy, a second and more, while another is idle."""
    rig = Rig()
    first = load_function(rig)
    other = next(n for n in range(1, 5) if n != first)
    rig.give(WorkersListed(ListScope.CHANGES, (WorkerEntry(first, cell=first // 2, started=rig.now),)))
    for n in (first, other):
        rig.router.record_copy(rig.router.functions["f"], n)
    slower = rig.router.workers[other]
    slower.slowness_factor, slower.last_heard = 8.0, rig.now
    rig.router.workers[first].cold_budget.tokens = 1.0
    arrivals = [RequestArrived(n, 0, "f", rig.now + 2000, slots=4) for n in range(50, 55)]
    chosen = [worker for event in arrivals for _, worker in sends(rig.give(event))]
    assert len(chosen) == 5 and first in chosen and chosen.count(other) >= 2


def test_a_query_that_was_not_sent_reinstates_no_worker_and_is_repeated() -> None:
    rig = Rig(count=1)
    head = load_function(rig)
    rig.ask(2)
    rig.settle(2, Outcome.NO_CONNECTION, 5)
    assert rig.router.workers[head].ejected
    for _ in range(3):
        queries = [
            action
            for action in rig.wait(SETTINGS.keep_alive)
            if isinstance(action, OrderCopies) and not action.copies
        ]
        assert len(queries) == 1 and queries[0].worker == head
        rig.give(OrderEnded(head, "f", Outcome.NOT_SENT, 0, 5))
        assert rig.router.workers[head].ejected and rig.router.workers[head].last_heard < rig.now


def test_sends_that_fail_are_retried_with_exponential_hold_off_until_an_answer() -> None:
    rig = Rig(replace(SETTINGS, max_attempts=9))
    head = load_function(rig)
    first = SETTINGS.connect_timeout / 8
    rig.ask(2)
    for n in range(3):
        assert not sends(rig.settle(2, Outcome.NOT_SENT, 1)), "no pause"
        assert not sends(rig.wait(0.9 * first * 2**n))
        assert sends(rig.wait(first * 2**n)) == [(2, head)]
    assert not rig.router.workers[head].ejected and head in rig.router.functions["f"].copies
    rig.settle(2)
    rig.ask(3)
    rig.settle(3, Outcome.NOT_SENT, 1)
    assert sends(rig.wait(2 * first)) == [(3, head)]


def test_an_order_that_was_not_sent_does_not_count_for_the_order_limit() -> None:
    rig = Rig(replace(SETTINGS, order_limit_window=5000, order_limit_floor=1, order_limit_share=0), count=1)
    rig.ask(1)
    head = rig.attempts[1][0][0]
    assert loads(rig.settle(1, Outcome.MISS, 1)) == [(head, "f")]
    rig.orders.clear()  # the limit counts orders that reach a worker
    rig.loaded(head, Outcome.NOT_SENT)
    assert loads(rig.wait(200)) == [(head, "f")], "an order that was not sent counts for the limit"


@pytest.mark.parametrize(("silent_ms", "cold"), [(1.2 * SETTINGS.keep_alive, True), (4000.0, False)])
def test_after_a_keep_alive_without_any_answer_all_workers_are_cold(silent_ms: float, cold: bool) -> None:
    """Any worker may have restarted in that time without a notification."""
    rig = Rig()
    load_function(rig)
    rig.wait(SETTINGS.cold_period)
    last = int(silent_ms / 500)
    for n in range(10, 10 + last):
        rig.ask(n)
        rig.wait(500)
    rig.give(WorkersListed(ListScope.CHANGES, workers(1)))  # a list is no sign that a worker answers
    open_requests = rig.open_attempts()
    assert open_requests and all(
        worker.last_heard < rig.now - silent_ms for worker in rig.router.workers.values()
    )
    rig.settle(open_requests[-1])
    assert all(worker.started == rig.now for worker in rig.router.workers.values()) == cold
