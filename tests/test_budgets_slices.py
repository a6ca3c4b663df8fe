"""Slices over a fleet: no token is spent twice despite partitions, stalls, deaths, and lost, repeated or
reordered messages."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import SliceDenied, SliceGranted, SliceRequest, UsageAck
from harrieryoke.budgets.decide.sizes import SliceSizing
from harrieryoke.budgets.decide.slices import BudgetState
from harrieryoke.budgets.decide.spender import BudgetExhausted, BudgetPending, Reservation, Spender
from harrieryoke.core.timing_wheel import TimingWheel

from .budget_world import Simulation, TimedSimulation


@pytest.mark.parametrize(
    "invokers,seconds,drift", [(5, 120, 0.01), (40, 40, 0.01), (200, 15, 0.01), (5, 120, 0.6)]
)
def test_many_spenders_with_faults_spend_no_token_twice(invokers: int, seconds: int, drift: float) -> None:
    """Includes clocks that drift beyond the configured bound: tokens in doubt depend on spend limits alone,
    and the clock decides only when a slice ends."""
    simulation = TimedSimulation(
        7, [f"i{n}" for n in range(invokers)], {"p": 60 * invokers * seconds, "q": 3_000}, drift=drift
    )
    assert simulation.submit(c.SetTerms("root", c.QuotaTerms(refill=20_000 * invokers, carry=10**9))) is None
    assert simulation.submit(c.SetTerms("p", c.QuotaTerms(refill=2_000 * invokers, carry=10**9))) is None
    simulation.run(seconds * 1000, 5, faults=True)
    assert simulation.counts["charged"] > 100 * invokers and simulation.committed.fence.token > 1


def test_after_faults_all_tokens_return_except_those_dead_invokers_may_have_spent() -> None:
    simulation = TimedSimulation(3, [f"i{n}" for n in range(8)], {"p": 10**6})
    simulation.run(20_000, 5, faults=False)
    dead = simulation.invokers["i0"].spender
    slices = list(dead.projects["p"].slices.values())
    spendable, granted = sum(held.spend_limit for held in slices), sum(held.amount for held in slices)
    simulation.kill(simulation.invokers["i0"])
    simulation.run(1_000, 1e-9, faults=False)
    simulation.run(130_000, 1e-9, faults=False)  # no more calls
    node = simulation.committed.tree.nodes["p"]
    assert node.held == simulation.committed.tokens_in_doubt() <= spendable < granted
    assert simulation.committed.slices.keys() <= dead.project_by_slice.keys()
    simulation.commit(c.HolderEntry(simulation.granters[-1][1].token, c.StartPeriod(1)))
    assert not simulation.committed.slices and node.held == 0


def test_the_last_tokens_are_spent_without_extra_log_entries() -> None:
    """Demand of 40 invokers is three times the budget. All tokens but one call's worth per invoker are spent,
    and there are no more log entries than the inventory model predicts for its slices."""
    simulation = TimedSimulation(5, [f"i{n}" for n in range(40)], {"p": 100_000})
    simulation.run(60_000, 6, faults=False)
    assert simulation.used("p") >= simulation.charged["p"] > 0.99 * 100_000
    entry = simulation.sizing.entry_cost
    shrinking = 40 * 2 * (100_000 / 40 / (2 * entry)) ** 0.5  # slices of sqrt(2 * entry * F / 40), F to 0
    assert simulation.counts["given"] < 3 * shrinking


def test_slices_follow_demand_and_shrink_to_one_call() -> None:
    sizes = SliceSizing()
    amounts, free = list[int](), 1_000_000
    while free >= 50 and len(amounts) < 10_000:
        amount, opened, ms = sizes.size_slice(free, 0.5, 1.0, 50)
        assert (
            50 <= amount <= free and 0 < opened <= amount and sizes.min_duration <= ms <= sizes.max_duration
        )
        amounts.append(amount)
        free -= amount
    assert amounts == sorted(amounts, reverse=True) and min(amounts) == 50 and free < 50
    assert (
        len(amounts) < 2 * (2 * 1_000_000 / sizes.entry_cost) ** 0.5
    )  # two per square root of the free tokens
    assert sizes.size_slice(10**6, 0.1, 1.0, 50)[0] < sizes.size_slice(10**6, 0.4, 1.0, 50)[0]
    assert sizes.size_slice(49, 0.5, 0.5, 50) == (0, 0, 0)


# --- arbitrary message order ---


class AnyOrder(RuleBasedStateMachine):
    """Delivers messages in any order, repeatedly or never, against a plain count of the spent tokens
    (`Simulation.check`)."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(1, "ab", {"p": 900}, SliceSizing(entry_cost=200.0))
        for invoker in self.simulation.invokers.values():
            invoker.spender.estimator.default_tokens = 40
        self.in_flight: list[tuple[str, int, int]] = []

    @rule(n=st.integers(0, 30), times=st.integers(0, 2), keep=st.booleans())
    def delivers_a_message(self, n: int, times: int, keep: bool) -> None:
        for _ in range(min(len(self.simulation.in_transit), 1)):
            deliver = self.simulation.in_transit[n % len(self.simulation.in_transit)]
            if not keep:
                self.simulation.in_transit.remove(deliver)
            for _ in range(times):
                deliver()

    @rule(replica=st.integers(0, 1), limit=st.integers(1, 20))
    def applies_entries(self, replica: int, limit: int) -> None:
        self.simulation.catch_up(replica, limit)

    @rule(duration=st.sampled_from([0.0, 100.0, 600.0, 2_000.0, 7_000.0]))
    def time_passes(self, duration: float) -> None:
        self.simulation.now += duration
        self.simulation.run_holders()
        for invoker in self.simulation.invokers.values():
            self.simulation.send_due_messages(invoker)

    @rule(name=st.sampled_from("ab"), key=st.sampled_from([None, "k"]))
    def reserves(self, name: str, key: str | None) -> None:
        invoker = self.simulation.invokers[name]
        if (call := self.simulation.reserve(invoker, "p", "f", key)) is not None:
            self.in_flight.append((name, invoker.life, call))

    @rule(n=st.integers(0, 10), tokens=st.integers(0, 90))
    def settles(self, n: int, tokens: int) -> None:
        if self.in_flight:
            name, life, call = self.in_flight[n % len(self.in_flight)]
            if self.simulation.invokers[name].life == life:
                self.simulation.settle(self.simulation.invokers[name], call, tokens)

    @rule(rounds=st.integers(1, 5))
    def runs_without_faults(self, rounds: int) -> None:
        for _ in range(rounds):
            self.time_passes(600.0)
            for _ in range(3):
                messages, self.simulation.in_transit = self.simulation.in_transit, []
                for deliver in messages:
                    deliver()
                self.simulation.catch_up(0)
                self.simulation.catch_up(1)
            for name in self.simulation.invokers:
                self.reserves(name, None)

    @rule(name=st.sampled_from("ab"))
    def invoker_dies(self, name: str) -> None:
        self.simulation.kill(self.simulation.invokers[name])

    @rule(notify=st.booleans())
    def changes_holder(self, notify: bool) -> None:
        self.simulation.new_holder()
        for invoker in self.simulation.invokers.values():
            if notify:
                invoker.spender.follow_holder(self.simulation.granters[-1][1].token)

    @rule()
    def starts_a_period(self) -> None:
        self.simulation.commit(
            c.HolderEntry(
                self.simulation.granters[-1][1].token,
                c.StartPeriod(self.simulation.committed.tree.period + 1),
            )
        )

    @rule(amount=st.integers(1, 900))
    def reclaims_quota(self, amount: int) -> None:
        self.simulation.submit(c.ReclaimQuota("p", amount))
        self.simulation.submit(c.DelegateQuota("p", 50))

    @invariant()
    def no_token_is_spent_twice(self) -> None:
        self.simulation.check()


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)


# --- single cases ---


def spender_with_slice(amount: int, spend_limit: int, duration: int = 5000) -> Spender:
    """Returns a spender that holds one slice of project p, requested at time 0."""
    spender = Spender("i", 1, SliceSizing(), 1)
    spender.estimator.default_tokens = 40
    assert spender.reserve("p", "f", 0, None, 0.0) == BudgetPending()
    (request,) = spender.run_due(0.0)
    assert isinstance(request, SliceRequest)
    spender.handle_reply(SliceGranted("i", 1, 9, 4, "p", request.number, amount, spend_limit, duration), 10.0)
    return spender


def test_a_key_is_charged_its_most_expensive_try() -> None:
    spender = spender_with_slice(1000, 1000)
    calls = range(1, 4001)
    assert all(isinstance(spender.reserve("p", "f", n, "k", 20.0), Reservation) for n in calls)
    assert spender.projects["p"].slices[4].reserved == 40
    assert sum(spender.settle(n, 25 if n % 2 else 30, 30.0) for n in calls) == 30
    assert spender.settle(1, 25, 31.0) == 0 and spender.projects["p"].slices[4].reserved == 0


def test_tokens_beyond_the_spend_limit_become_a_debt_paid_by_the_next_slice() -> None:
    spender = spender_with_slice(100, 60)
    assert isinstance(spender.reserve("p", "f", 1, None, 20.0), Reservation)
    assert spender.reserve("p", "f", 2, None, 20.0) == BudgetPending()  # 20 are spendable
    assert spender.settle(1, 75, 30.0) == 60 and spender.projects["p"].debt == 15
    spender.handle_reply(UsageAck("i", 1, 4, 70), 40.0)  # above the requested limit
    assert spender.projects["p"].slices[4].spend_limit == 60
    requests = [message for message in spender.run_due(600.0) if isinstance(message, SliceRequest)]
    spender.handle_reply(SliceGranted("i", 1, 9, 5, "p", requests[0].number, 100, 100, 5000), 610.0)
    assert spender.projects["p"].debt == 0 and spender.projects["p"].slices[5].spent == 15


def test_exhausted_budget_reports_the_blocking_node_and_the_refill() -> None:
    spender = Spender("i", 1, SliceSizing(), 1)
    spender.reserve("p", "f", 0, None, 0.0)
    spender.run_due(0.0)
    spender.handle_reply(SliceDenied("i", 1, 9, "p", 1, "group", "empty", 5_000.0, 20_000.0), 100.0)
    refused = spender.reserve("p", "f", 1, None, 5_100.0)
    assert isinstance(refused, BudgetExhausted) and (refused.node, refused.code) == ("group", "empty")
    assert 15_000 <= refused.backoff <= 16_500  # the refill is at 20,100
    assert not spender.run_due(5_000.0) and spender.run_due(12_600.0)  # requested again after a random delay
    spender.handle_reply(SliceDenied("i", 1, 9, "p", 2, "p", "closed", 60_000.0, 0.0), 12_700.0)
    assert spender.reserve("p", "f", 2, None, 12_800.0) == BudgetExhausted("p", "closed", 0.0)


def test_a_restored_snapshot_continues_where_it_was() -> None:
    simulation = TimedSimulation(2, ["i0", "i1"], {"p": 10**5})
    simulation.run(10_000, 5, faults=False)
    other = BudgetState("root", (), TimingWheel[int]())
    other.restore(simulation.committed.snapshot(), 0.0)
    assert other.snapshot() == simulation.committed.snapshot()
    assert other.slice_by_request == simulation.committed.slice_by_request
    assert len(other.timers) > 0  # type: ignore[arg-type]
    rejection = other.apply(10**6, c.HolderEntry(1, c.StartPeriod(1)), 0.0)
    assert rejection is not None and rejection.code == "fenced"
