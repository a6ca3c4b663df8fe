"""Slices over a fleet: no token is spent twice, whatever is cut, stalled, repeated, reordered or dead."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import Ack, Ask, Dry, Granted
from harrieryoke.budgets.decide.sizes import Sizes
from harrieryoke.budgets.decide.slices import Budgets
from harrieryoke.budgets.decide.spender import Empty, Spender, Taken, Unknown
from harrieryoke.core.timing_wheel import TimingWheel

from .budget_world import Timed, World


@pytest.mark.parametrize(
    "members,seconds,drift", [(5, 120, 0.01), (40, 40, 0.01), (200, 15, 0.01), (5, 120, 0.6)]
)
def test_many_spenders_with_faults_spend_no_token_twice(members: int, seconds: int, drift: float) -> None:
    """Clocks beyond the drift, too: what is in doubt rests on marks; the clock says when, not whether."""
    w = Timed(7, [f"i{n}" for n in range(members)], {"p": 60 * members * seconds, "q": 3_000}, drift=drift)
    assert w.change(c.Set("root", c.Terms(refill=20_000 * members, carry=10**9))) is None
    assert w.change(c.Set("p", c.Terms(refill=2_000 * members, carry=10**9))) is None
    w.run(seconds * 1000, 5, faults=True)
    assert w.counts["charged"] > 100 * members and w.agreed.fence.token > 1


def test_when_the_faults_are_over_all_comes_back_but_what_the_dead_may_have_spent() -> None:
    w = Timed(3, [f"i{n}" for n in range(8)], {"p": 10**6})
    w.run(20_000, 5, faults=False)
    dead = w.members["i0"].spender
    slices = list(dead.projects["p"].slices.values())
    opened, given = sum(held.mark for held in slices), sum(held.amount for held in slices)
    w.kill(w.members["i0"])
    w.run(1_000, 1e-9, faults=False)
    w.run(130_000, 1e-9, faults=False)  # no calls any more
    node = w.agreed.tree.nodes["p"]
    assert node.held == w.agreed.doubt() <= opened < given
    assert w.agreed.slices.keys() <= dead.slices.keys()
    w.commit(c.Act(w.givers[-1][1].token, c.Turn(1)))
    assert not w.agreed.slices and node.held == 0


def test_the_last_tokens_go_to_calls_and_not_back_and_forth() -> None:
    """40 want three times what there is. All but one call's worth at each is spent, and the entries are no
    more than what the model says for its sizes."""
    w = Timed(5, [f"i{n}" for n in range(40)], {"p": 100_000})
    w.run(60_000, 6, faults=False)
    assert w.used("p") >= w.charged["p"] > 0.99 * 100_000
    entry = w.sizes.entry
    shrinking = 40 * 2 * (100_000 / 40 / (2 * entry)) ** 0.5  # slices of sqrt(2 * entry * F / 40), F to 0
    assert w.counts["given"] < 3 * shrinking


def test_slices_follow_demand_and_shrink_to_one_call() -> None:
    sizes = Sizes()
    amounts, free = list[int](), 1_000_000
    while free >= 50 and len(amounts) < 10_000:
        amount, opened, ms = sizes.slice(free, 0.5, 1.0, 50)
        assert 50 <= amount <= free and 0 < opened <= amount and sizes.least_ms <= ms <= sizes.most_ms
        amounts.append(amount)
        free -= amount
    assert amounts == sorted(amounts, reverse=True) and min(amounts) == 50 and free < 50
    assert len(amounts) < 2 * (2 * 1_000_000 / sizes.entry) ** 0.5  # two for each root of what there was
    assert sizes.slice(10**6, 0.1, 1.0, 50)[0] < sizes.slice(10**6, 0.4, 1.0, 50)[0]
    assert sizes.slice(49, 0.5, 0.5, 50) == (0, 0, 0)


# --- any order at all ---


class AnyOrder(RuleBasedStateMachine):
    """What is on the wire comes in any order, many times or never; a plain count is kept of what was spent
    (`World.check`)."""

    def __init__(self) -> None:
        super().__init__()
        self.w = World(1, "ab", {"p": 900}, Sizes(entry=200.0))
        for m in self.w.members.values():
            m.spender.estimates.first = 40
        self.out: list[tuple[str, int, int]] = []

    @rule(n=st.integers(0, 30), times=st.integers(0, 2), stays=st.booleans())
    def arrives(self, n: int, times: int, stays: bool) -> None:
        for _ in range(min(len(self.w.wire), 1)):
            do = self.w.wire[n % len(self.w.wire)]
            if not stays:
                self.w.wire.remove(do)
            for _ in range(times):
                do()

    @rule(copy=st.integers(0, 1), most=st.integers(1, 20))
    def applied(self, copy: int, most: int) -> None:
        self.w.catch_up(copy, most)

    @rule(ms=st.sampled_from([0.0, 100.0, 600.0, 2_000.0, 7_000.0]))
    def passes(self, ms: float) -> None:
        self.w.t += ms
        self.w.turn_holders()
        for m in self.w.members.values():
            self.w.says(m)

    @rule(name=st.sampled_from("ab"), key=st.sampled_from([None, "k"]))
    def takes(self, name: str, key: str | None) -> None:
        m = self.w.members[name]
        if (call := self.w.take(m, "p", "f", key)) is not None:
            self.out.append((name, m.life, call))

    @rule(n=st.integers(0, 10), took=st.integers(0, 90))
    def answers(self, n: int, took: int) -> None:
        if self.out:
            name, life, call = self.out[n % len(self.out)]
            if self.w.members[name].life == life:
                self.w.settle(self.w.members[name], call, took)

    @rule(quick=st.integers(1, 5))
    def all_is_well_for_a_while(self, quick: int) -> None:
        for _ in range(quick):
            self.passes(600.0)
            for _ in range(3):
                wire, self.w.wire = self.w.wire, []
                for do in wire:
                    do()
                self.w.catch_up(0)
                self.w.catch_up(1)
            for name in self.w.members:
                self.takes(name, None)

    @rule(name=st.sampled_from("ab"))
    def dies(self, name: str) -> None:
        self.w.kill(self.w.members[name])

    @rule(tell=st.booleans())
    def is_held_by_another(self, tell: bool) -> None:
        self.w.new_holder()
        for m in self.w.members.values():
            if tell:
                m.spender.follow(self.w.givers[-1][1].token)

    @rule()
    def a_period_ends(self) -> None:
        self.w.commit(c.Act(self.w.givers[-1][1].token, c.Turn(self.w.agreed.tree.period + 1)))

    @rule(amount=st.integers(1, 900))
    def is_taken_back(self, amount: int) -> None:
        self.w.change(c.TakeBack("p", amount))
        self.w.change(c.Delegate("p", 50))

    @invariant()
    def nothing_is_spent_twice(self) -> None:
        self.w.check()


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)


# --- one of each ---


def held(amount: int, opened: int, ms: int = 5000) -> Spender:
    """A spender with one slice of project p, given at time 0."""
    spender = Spender("i", 1, Sizes(), 1)
    spender.estimates.first = 40
    assert spender.take("p", "f", 0, None, 0.0) == Unknown()
    (ask,) = spender.turn(0.0)
    assert isinstance(ask, Ask)
    spender.heard(Granted("i", 1, 9, 4, "p", ask.number, amount, opened, ms), 10.0)
    return spender


def test_a_key_is_charged_what_its_dearest_try_took() -> None:
    spender = held(1000, 1000)
    calls = range(1, 4001)
    assert all(isinstance(spender.take("p", "f", n, "k", 20.0), Taken) for n in calls)
    assert spender.projects["p"].slices[4].taken == 40
    assert sum(spender.settle(n, 25 if n % 2 else 30, 30.0) for n in calls) == 30
    assert spender.settle(1, 25, 31.0) == 0 and spender.projects["p"].slices[4].taken == 0


def test_what_took_longer_is_owed_and_paid_by_the_next_slice() -> None:
    spender = held(100, 60)
    assert isinstance(spender.take("p", "f", 1, None, 20.0), Taken)
    assert spender.take("p", "f", 2, None, 20.0) == Unknown()  # 20 are open
    assert spender.settle(1, 75, 30.0) == 60 and spender.projects["p"].owed == 15
    spender.heard(Ack("i", 1, 4, 70), 40.0)  # no more than was asked for
    assert spender.projects["p"].slices[4].mark == 60
    asks = [said for said in spender.turn(600.0) if isinstance(said, Ask)]
    spender.heard(Granted("i", 1, 9, 5, "p", asks[0].number, 100, 100, 5000), 610.0)
    assert spender.projects["p"].owed == 0 and spender.projects["p"].slices[5].spent == 15


def test_out_of_budget_names_the_node_and_the_refill() -> None:
    spender = Spender("i", 1, Sizes(), 1)
    spender.take("p", "f", 0, None, 0.0)
    spender.turn(0.0)
    spender.heard(Dry("i", 1, 9, "p", 1, "group", "empty", 5_000.0, 20_000.0), 100.0)
    told = spender.take("p", "f", 1, None, 5_100.0)
    assert isinstance(told, Empty) and (told.node, told.code) == ("group", "empty")
    assert 15_000 <= told.backoff_ms <= 16_500  # the refill is at 20,100
    assert not spender.turn(5_000.0) and spender.turn(12_600.0)  # asked again, spread
    spender.heard(Dry("i", 1, 9, "p", 2, "p", "closed", 60_000.0, 0.0), 12_700.0)
    assert spender.take("p", "f", 2, None, 12_800.0) == Empty("p", "closed", 0.0)


def test_a_dump_goes_on_where_it_was() -> None:
    w = Timed(2, ["i0", "i1"], {"p": 10**5})
    w.run(10_000, 5, faults=False)
    other = Budgets("root", (), TimingWheel[int]())
    other.load(w.agreed.dump(), 0.0)
    assert other.dump() == w.agreed.dump() and other.asks == w.agreed.asks and len(other.ends) > 0  # type: ignore[arg-type]
    bad = other.apply(10**6, c.Act(1, c.Turn(1)), 0.0)
    assert bad is not None and bad.code == "fenced"
