"""What the router remembers of functions is bounded, whatever names requests bring."""

from __future__ import annotations

import gc
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.function_table import MAX_FUNCTIONS, max_functions
from harrieryoke.interface import (
    AttemptEnded,
    ListScope,
    MemoryPressureChanged,
    OrderCopies,
    OrderEnded,
    Outcome,
    RequestArrived,
    RequestDropped,
    StartAttempt,
    TimerFired,
    WorkersListed,
)
from harrieryoke.router import Router
from harrieryoke.state import MIN_STALE_TASKS, Function

from .rig import SETTINGS, workers

WORKERS = 4
SMALL = replace(SETTINGS, function_bytes=20_000, order_limit_window=0.0)


class Names:
    """A router that gets requests under new names; its workers end orders and attempts as the test says."""

    def __init__(self) -> None:
        self.router, self.now, self.last = Router(SMALL, 1), 1000.0, 0
        self.router.handle(self.now, [WorkersListed(ListScope.REMEMBERED, workers(WORKERS))])

    def ask(self, name: str, outcome: Outcome, withdrawn: bool, source: str = "") -> None:
        self.last += 1
        self.now += 3.0
        arrival = RequestArrived(self.last, 0, name, self.now + 2000, None, None, 400, 4, 100, source=source)
        actions = self.router.handle(self.now, [arrival])
        if withdrawn:
            actions += self.router.handle(self.now + 1, [RequestDropped(self.last)])
        for _ in range(8):
            ended = [event for a in actions if (event := self.end(a, outcome)) is not None]
            self.now += 1.0
            actions = self.router.handle(self.now, [*ended, TimerFired("agenda")])

    def end(self, action: object, outcome: Outcome) -> OrderEnded | AttemptEnded | None:
        if isinstance(action, OrderCopies):
            copies = int(outcome is Outcome.OK)
            return OrderEnded(action.worker, action.function, outcome, copies, 100.0)
        if isinstance(action, StartAttempt):
            served = outcome is Outcome.OK
            return AttemptEnded(action.request, action.worker, 0, outcome, 5.0, served)
        return None


# Guards against memory that grows with the rate of new names, as each was kept for eight keep-alives.
@given(
    st.lists(st.tuples(st.sampled_from([Outcome.OK, Outcome.MISS, Outcome.FULL]), st.booleans()), max_size=60)
)
def test_functions_and_tasks_stay_bounded_under_ever_new_names(ends: list[tuple[Outcome, bool]]) -> None:
    names, limit = Names(), max_functions(SMALL, WORKERS)
    for number, (outcome, withdrawn) in enumerate(ends):
        names.ask(f"f{number}", outcome, withdrawn)
        idle = sum(not function.in_use() for function in names.router.functions.values())
        assert idle <= limit
    assert all(names.router.functions[f.name] is f for f in names.router.functions.values())


# Guards against records of ended requests that stay until their deadline in the scheduled tasks.
def test_withdrawn_requests_under_new_names_leave_nothing_behind() -> None:
    names = Names()
    for number in range(3000):
        names.last += 1
        names.now += 0.1
        names.router.handle(
            names.now,
            [RequestArrived(names.last, 0, f"f{number}", names.now + 4000, None, None, 400, 4, 100)],
        )
        names.router.handle(names.now, [RequestDropped(names.last)])
    router = names.router
    router.handle(names.now + 100, [TimerFired("agenda")])
    idle = [function for function in router.functions.values() if not function.in_use()]
    assert len(idle) <= 1 and not router.requests
    assert len(router.scheduled) <= 2 * MIN_STALE_TASKS


# Guards against a host that is left alone because the clients of attempts at it went before they were sent.
def test_attempt_not_sent_for_a_request_that_has_ended_says_nothing_about_its_worker() -> None:
    names = Names()
    for _ in range(3):
        names.ask("f", Outcome.OK, withdrawn=False)
    names.last += 1
    arrival = RequestArrived(names.last, 0, "f", names.now + 2000, None, None, 400, 4, 100)
    (attempt,) = [a for a in names.router.handle(names.now, [arrival]) if isinstance(a, StartAttempt)]
    names.router.handle(names.now, [RequestDropped(names.last)])
    ended = AttemptEnded(names.last, attempt.worker, 0, Outcome.NOT_SENT, 1.0, True)
    names.router.handle(names.now, [ended])
    assert not names.router.workers[attempt.worker].hold_off.is_active(names.now)


# Guards against forgotten functions whose records live on in scheduled tasks.
def test_records_of_forgotten_functions_are_freed() -> None:
    gc.collect()
    before = count_functions()
    names, limit = Names(), max_functions(SMALL, WORKERS)
    for n in range(30 * limit + 4 * MIN_STALE_TASKS):
        names.ask(f"{n:016x}", Outcome.OK, withdrawn=False)
    assert count_functions() - before <= 2 * limit + MIN_STALE_TASKS


# Guards against functions in steady use that are forgotten for ever new names of another client.
def test_ever_new_names_displace_each_other_and_not_functions_that_are_used() -> None:
    names, limit = Names(), max_functions(SMALL, WORKERS)
    for name in ("a", "a", "b", "b"):
        names.ask(name, Outcome.OK, withdrawn=False)
    for n in range(3 * limit):
        names.ask(f"{n:016x}", Outcome.OK, withdrawn=False)
    assert {"a", "b"} <= names.router.functions.keys() and len(names.router.functions) <= limit


# Guards against a client that calls each of its new names several times and so displaces those of others.
def test_names_of_a_loud_source_displace_its_own_and_not_those_of_others() -> None:
    names, limit = Names(), max_functions(SMALL, WORKERS)
    for name in ("a", "a", "b", "b"):
        names.ask(name, Outcome.OK, withdrawn=False, source=f"steady {name}")
    for n in range(3 * limit):
        for _ in range(3):
            names.ask(f"{n:016x}", Outcome.OK, withdrawn=False, source="loud")
    router = names.router
    assert {"a", "b"} <= router.functions.keys() and limit - 1 <= len(router.functions) <= limit
    router.handle(names.now, [MemoryPressureChanged(True)])
    assert {"a", "b"} <= router.functions.keys() and len(router.functions) == limit // 2


# Guards against sources that are remembered longer than what they have named.
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5)), max_size=80))
def test_sources_are_forgotten_with_their_functions(asked: list[tuple[int, int]]) -> None:
    names = Names()
    for function, source in asked:
        names.ask(f"{function}", Outcome.OK, withdrawn=False, source=f"{source}")
    router = names.router
    of_sources = [name for table in router.by_source.values() for name in table]
    assert sorted(of_sources) == sorted(router.functions) and all(router.by_source.values())


# Guards against a table that keeps its size while clients are refused for want of memory.
def test_functions_give_way_while_the_memory_is_short_and_may_come_back() -> None:
    names, limit = Names(), max_functions(SMALL, WORKERS)
    for n in range(2 * limit):
        names.ask(f"{n:016x}", Outcome.OK, withdrawn=False)
    assert limit - 1 <= len(names.router.functions) <= limit
    names.router.handle(names.now, [MemoryPressureChanged(True)])
    assert len(names.router.functions) == limit // 2
    for n in range(2 * limit, 3 * limit):
        names.ask(f"{n:016x}", Outcome.OK, withdrawn=False)
    assert len(names.router.functions) <= limit // 2 + 1
    names.router.handle(names.now, [MemoryPressureChanged(False)])
    for n in range(3 * limit, 5 * limit):
        names.ask(f"{n:016x}", Outcome.OK, withdrawn=False)
    assert limit - 1 <= len(names.router.functions) <= limit


# Guards against a table that is so large, where there is much memory, that collections of it delay calls.
def test_table_has_a_bound_at_any_size_of_the_memory() -> None:
    assert max_functions(replace(SETTINGS, function_bytes=1e12), WORKERS) == MAX_FUNCTIONS


def count_functions() -> int:
    """Return how many records of functions are alive."""
    return sum(isinstance(each, Function) for each in gc.get_objects())
