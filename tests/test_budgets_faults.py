"""Planted faults in slices: the simulation finds each of the first, all interleavings each of the second."""

from __future__ import annotations

from collections.abc import Hashable

import pytest

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import Ack, Answer, Ask, Granted, Report, Row
from harrieryoke.budgets.decide.sizes import Sizes
from harrieryoke.budgets.decide.slices import Budgets, Giver, Slice
from harrieryoke.budgets.decide.spender import Held, Project, Spender
from harrieryoke.core.timing_wheel import TimingWheel
from harrieryoke.council.decide.hold import Fence

from . import interleave
from .budget_world import Parts, Timed


class SettlesTwice(Spender):
    def settle(self, call: Hashable, took: int, now: float) -> int:
        taken = self.out.get(call)
        charged = super().settle(call, took, now)
        if taken is not None:
            self.out[call] = taken
        return charged


class ReturnsWhatMayBeSpent(Giver):
    """At the end all that was not told as spent comes back."""

    def mark(self, id: int, s: Slice) -> int:
        return self.spent.get(id, 0)


class ForgetsOtherHolders(Giver):
    """Takes what the log says was opened for all that was."""

    def mark(self, id: int, s: Slice) -> int:
        return self.marks.get(id, s.opened)


class TakesUnacknowledged(Spender):
    """All of a slice is open to it from the start."""

    def heard(self, answer: Answer, now: float) -> None:
        super().heard(answer, now)
        if isinstance(answer, Granted) and answer.slice in self.slices:
            held = self.projects[answer.node].slices[answer.slice]
            held.mark = held.amount


class ChargesAfterItsLastWord(Spender):
    def row(self, id: int, held: Held, p: Project, now: float) -> Row | None:
        held.done = False
        row = super().row(id, held, p, now)
        held.done = False
        return row


class NoFence(Fence):
    def admit(self, token: int) -> bool:
        self.token = max(self.token, token)
        return True


class Unfenced(Budgets):
    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.fence = NoFence()


class ActsOnOldWord(Giver):
    def acting(self) -> bool:
        return True


def play(parts: Parts, seed: int) -> None:
    w = Timed(seed, [f"i{n}" for n in range(8)], {"p": 100_000, "q": 4_000}, parts=parts)
    w.run(60_000, 6, faults=True)


FAULTS = [
    (Parts(spender=SettlesTwice), 0),
    (Parts(giver=ReturnsWhatMayBeSpent), 0),
    (Parts(giver=ForgetsOtherHolders), 0),
    (Parts(spender=TakesUnacknowledged), 2),
    (Parts(spender=ChargesAfterItsLastWord), 12),
    (Parts(budgets=Unfenced, giver=ActsOnOldWord), 18),
]


@pytest.mark.parametrize("parts,seed", FAULTS)
def test_the_simulation_finds_it(parts: Parts, seed: int) -> None:
    with pytest.raises((AssertionError, KeyError)):
        play(parts, seed)
    play(Parts(), seed)


class Expiry(interleave.World):
    """A slice of 100 tokens, 60 of them open; a call that takes 50 where 40 were expected; its final answer,
    which is given twice; the invoker's word; and the end of the slice at the holder."""

    def __init__(self, parts: Parts) -> None:
        self.t, self.index, self.charged = 0.0, 2, 0
        self.budgets = parts.budgets("p", ("boss",), TimingWheel[int]())
        self.budgets.apply(1, c.Change("boss", 0, "a test", 0, c.Delegate("p", 1000)), 0.0)
        self.giver = parts.giver(self.budgets, 2, Sizes())
        self.spender = parts.spender("i", 1, Sizes(), 1)
        self.spender.estimates.first = 40
        self.spender.take("p", "f", "first", None, 0.0)
        (ask,) = self.spender.turn(0.0)
        assert isinstance(ask, Ask)
        self.commit(c.Act(2, c.Begin()))
        self.commit(c.Act(2, c.Give("p", "i", 1, ask.number, 100, 60, 5000)))
        self.spender.heard(self.giver.granted(4), 1.0)
        self.acts, self.words = list[c.Act](), list[Report]()
        self.threads = {
            "call": [("take", self.take), ("settle", self.settle)],
            "answer again": [("settle", self.settle)],
            "word": [("say", self.say), ("hear", self.hear), ("agree", self.agree)],
            "end": [("pass", self.passes), ("expire", self.expire), ("agree", self.agree)],
        }

    def commit(self, act: c.Act) -> None:
        self.index += 1
        self.budgets.apply(self.index, act, self.t)

    def take(self) -> None:
        self.spender.take("p", "f", "call", None, self.t)

    def settle(self) -> None:
        self.charged += self.spender.settle("call", 50, self.t)

    def say(self) -> None:
        self.words += [said for said in self.spender.turn(self.t) if isinstance(said, Report)]

    def hear(self) -> None:
        for word in self.words:
            for out in self.giver.report(word, self.t):
                if isinstance(out, c.Act):
                    self.acts.append(out)
                elif isinstance(out, Ack):
                    self.spender.heard(out, self.t)

    def expire(self) -> None:
        self.acts += self.giver.turn(self.t)

    def agree(self) -> None:
        while self.acts:
            self.commit(self.acts.pop(0))

    def passes(self) -> None:
        self.t = 6000.0

    def check(self) -> None:
        node = self.budgets.tree.nodes["p"]
        aside = sum(sum(taken.parts.values()) for taken in self.spender.out.values())
        assert self.charged <= 50, "charged twice"
        assert self.charged + aside <= node.held + node.spent, "came back and was spent"

    def key(self) -> Hashable:
        s = self.spender
        return interleave.shape(
            self.t,
            self.charged,
            self.budgets.dump(),
            self.budgets.over,
            self.acts,
            self.words,
            s.out,
            s.projects,
            self.giver.marks,
            self.giver.spent,
            self.giver.offered,
        )


def test_settle_against_expiry_in_all_orders() -> None:
    counts = interleave.explore(lambda: Expiry(Parts()))
    assert counts.complete and counts.states > 300


@pytest.mark.parametrize(
    "parts,failure",
    [
        (Parts(spender=SettlesTwice), "charged twice"),
        (Parts(giver=ReturnsWhatMayBeSpent), "came back and was spent"),
    ],
)
def test_all_orders_find_it(parts: Parts, failure: str) -> None:
    with pytest.raises(interleave.Failed, match=failure) as found:
        interleave.explore(lambda: Expiry(parts))
    assert interleave.replay(lambda: Expiry(parts), found.value.schedule) == found.value.failure
    print(found.value.schedule)
