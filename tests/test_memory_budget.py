"""The memory budget: no order of charges passes it, all of it comes back, and the order of what gives way."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.limits import MIN_BUDGET_BYTES, Limits
from harrieryoke.memory_budget import (
    CONNECTION_BYTES,
    MAY_USE_RESERVE,
    MIN_REQUESTS_BYTES,
    ORDINARY_SHARE,
    MemoryBudget,
    Owner,
    Pressure,
    Reservation,
)
from harrieryoke.net.line_buffer import LineBuffer

TOTAL = 1_000_000
OWNERS, SIZES = st.sampled_from(Owner), st.integers(0, TOTAL // 3)


class Charges(RuleBasedStateMachine):
    """Charges, releases and reservations of all owners, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(TOTAL)
        self.charged: list[tuple[Owner, int]] = []
        self.reservations: list[Reservation] = []
        self.levels = [Pressure.NONE]
        self.budget.on_change = lambda previous: self.levels.append(self.budget.pressure)

    @rule(owner=OWNERS, size=SIZES)
    def charge(self, owner: Owner, size: int) -> None:
        before = self.budget.used_total
        if self.budget.try_charge(owner, size):
            self.charged.append((owner, size))
        else:
            limit = TOTAL if owner in MAY_USE_RESERVE else self.budget.common
            assert before + size > limit and self.budget.used_total == before

    @rule(owner=OWNERS, size=SIZES)
    def reserve(self, owner: Owner, size: int) -> None:
        if (reservation := self.budget.reserve(owner, size)) is not None:
            self.reservations.append(reservation)

    @rule(position=st.integers(0, 100))
    def release(self, position: int) -> None:
        if self.charged:
            self.budget.release(*self.charged.pop(position % len(self.charged)))

    @rule(position=st.integers(0, 100))
    def drop_reservation(self, position: int) -> None:
        if self.reservations:
            self.reservations.pop(position % len(self.reservations))

    @invariant()
    def keeps_to_the_budget(self) -> None:
        held = sum(size for _, size in self.charged) + sum(r.size for r in self.reservations)
        assert self.budget.used_total == sum(self.budget.used.values()) == held <= TOTAL
        assert self.budget.fair_share() <= TOTAL

    @invariant()
    def tells_each_change_of_level_once(self) -> None:
        assert self.levels[-1] is self.budget.pressure
        assert all(a is not b for a, b in zip(self.levels, self.levels[1:], strict=False))

    def teardown(self) -> None:
        for owner, size in self.charged:
            self.budget.release(owner, size)
        self.reservations.clear()
        assert self.budget.used_total == 0 and self.budget.pressure is Pressure.NONE


TestCharges = Charges.TestCase


# Guards against connections and large requests that leave no memory for ordinary calls (issue 61).
@given(st.integers(0, 2 * TOTAL), st.lists(st.integers(1, MIN_REQUESTS_BYTES), min_size=1))
def test_ordinary_requests_have_a_share_whatever_else_is_held(measured: int, sizes: list[int]) -> None:
    budget = MemoryBudget(TOTAL)
    budget.measure_with(lambda: measured, 0)
    reserved: list[Reservation] = []
    for size in sizes:
        requests = budget.used[Owner.REQUESTS]
        is_within_share = requests + size <= ORDINARY_SHARE * TOTAL
        is_free = budget.held() + size <= budget.common
        if (reservation := budget.reserve_request(size)) is not None:
            reserved.append(reservation)
        assert (reservation is not None) == (is_within_share or is_free)
        left = budget.common - budget.held()
        assert budget.free_for_ordinary(Owner.INPUT) == max(left, int(ORDINARY_SHARE * TOTAL))
    assert budget.reserve_request(MIN_REQUESTS_BYTES + 1) is None or budget.held() <= budget.common


# Guards against many greedy clients that leave no memory for the small request of another one.
@given(st.integers(1, 600), st.integers(1000, 40_000))
def test_greedy_clients_leave_room_for_a_small_request(clients: int, size: int) -> None:
    budget = MemoryBudget(64 * TOTAL)
    held = dict.fromkeys(range(clients), 0)
    for client in [client for _ in range(32) for client in held]:
        if budget.may_hold(held[client], size) and budget.try_charge(Owner.REQUESTS, size):
            held[client] += size
    assert budget.used[Owner.REQUESTS] <= budget.common * 0.8 + clients * MIN_REQUESTS_BYTES
    assert budget.may_hold(0, 8000) and budget.free(Owner.REQUESTS) >= 8000
    assert budget.try_charge(Owner.CONNECTIONS, CONNECTION_BYTES)


# Guards against a budget that, with the bare process and what the router may remember, passes the memory.
@given(st.integers(16, 4096), st.integers(0, 4096))
def test_budget_and_process_fit_the_memory(memory_mb: int, process_mb: int) -> None:
    limits = Limits(memory_mb=memory_mb)
    budget = limits.budget_bytes(process_mb * 2**20)
    assert budget >= MIN_BUDGET_BYTES
    if budget > MIN_BUDGET_BYTES:
        assert process_mb * 2**20 + budget + limits.function_bytes() <= memory_mb * 2**20


# Guards against lines that are lost, joined or held at more than their bytes, however the stream is cut.
@given(st.lists(st.binary(max_size=40).map(lambda b: b.replace(b"\n", b"")), max_size=30), st.integers(1, 50))
def test_lines_come_out_as_they_went_in(lines: list[bytes], piece: int) -> None:
    buffer, out = LineBuffer(64), list[bytes]()
    stream = b"".join(line + b"\n" for line in lines) + b"rest"
    for start in range(0, len(stream), piece):
        buffer.feed(stream[start : start + piece])
        while buffer.has_line():
            out.append(buffer.next_line())
            assert not buffer.is_too_long()
    assert out == lines and buffer.unread() == b"rest" and buffer.has_partial()


# Guards against clients that are refused or closed for memory which the table of functions has for itself.
@given(st.integers(0, 500_000), st.integers(0, 500_000), st.integers(1, 300_000))
def test_functions_within_their_own_memory_are_no_use_of_the_budget(
    first: int, then: int, limit: int
) -> None:
    budget, resident = MemoryBudget(1_000_000), 50_000 + max(first, then)
    budget.measure_with(lambda: resident, 50_000)
    budget.record_functions(first, limit)
    budget.record_functions(then, limit)
    assert budget.used[Owner.FUNCTIONS] == then and budget.used_total == 0
    assert budget.held() == max(0, max(first, then) - limit)
