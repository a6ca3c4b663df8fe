"""Faults injected into the slice protocol: the random simulation detects each fault of `FAULTS`, and the
exhaustive search over interleavings detects those that it is given."""

from __future__ import annotations

from collections.abc import Hashable

import pytest

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import (
    HolderReply,
    SliceGranted,
    SliceRequest,
    SliceUsage,
    UsageAck,
    UsageReport,
)
from harrieryoke.budgets.decide.sizes import SliceSizing
from harrieryoke.budgets.decide.slices import BudgetState, Slice, SliceGranter
from harrieryoke.budgets.decide.spender import HeldSlice, Project, Spender
from harrieryoke.core.timing_wheel import TimingWheel
from harrieryoke.council.decide.lease import Fence

from . import interleave
from .budget_world import Implementations, TimedSimulation


class SettlesTwice(Spender):
    def settle(self, call: Hashable, tokens: int, now: float) -> int:
        reservation = self.reservations.get(call)
        charged = super().settle(call, tokens, now)
        if reservation is not None:
            self.reservations[call] = reservation
        return charged


class ReturnsPossiblySpentTokens(SliceGranter):
    """Returns all tokens that were not reported as spent when a slice expires."""

    def spend_limit(self, slice_id: int, s: Slice) -> int:
        return self.reported_spent.get(slice_id, 0)


class IgnoresEarlierHolders(SliceGranter):
    """Ignores that an earlier holder may have raised the spend limit further than the log shows."""

    def spend_limit(self, slice_id: int, s: Slice) -> int:
        return self.spend_limits.get(slice_id, s.initial_limit)


class SpendsUnacknowledgedTokens(Spender):
    """Spends a whole slice without acknowledged limits."""

    def handle_reply(self, reply: HolderReply, now: float) -> None:
        super().handle_reply(reply, now)
        if isinstance(reply, SliceGranted) and reply.slice_id in self.project_by_slice:
            held = self.projects[reply.node].slices[reply.slice_id]
            held.spend_limit = held.amount


class ChargesAfterFinalReport(Spender):
    def due_usage(self, slice_id: int, held: HeldSlice, project: Project, now: float) -> SliceUsage | None:
        held.final = False
        usage = super().due_usage(slice_id, held, project, now)
        held.final = False
        return usage


class AdmittingFence(Fence):
    def admit(self, token: int) -> bool:
        self.token = max(self.token, token)
        return True


class UnfencedState(BudgetState):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.fence = AdmittingFence()


class ActsAfterLosingDuty(SliceGranter):
    def is_active(self) -> bool:
        return True


def simulate(implementations: Implementations, seed: int) -> None:
    simulation = TimedSimulation(
        seed, [f"i{n}" for n in range(8)], {"p": 100_000, "q": 4_000}, implementations=implementations
    )
    simulation.run(60_000, 6, faults=True)


FAULTS = [
    (Implementations(spender=SettlesTwice), 0),
    (Implementations(granter=ReturnsPossiblySpentTokens), 0),
    (Implementations(granter=IgnoresEarlierHolders), 0),
    (Implementations(spender=SpendsUnacknowledgedTokens), 2),
    (Implementations(spender=ChargesAfterFinalReport), 12),
    (Implementations(budgets=UnfencedState, granter=ActsAfterLosingDuty), 18),
]


@pytest.mark.parametrize("implementations,seed", FAULTS)
def test_the_simulation_detects_the_fault(implementations: Implementations, seed: int) -> None:
    with pytest.raises((AssertionError, KeyError)):
        simulate(implementations, seed)
    simulate(Implementations(), seed)


class SettleAgainstExpiry(interleave.World):
    """A slice of 100 tokens with a spend limit of 60, and a call that uses 50 tokens where 40 were estimated.
    The threads race its final answer, a repeat of it, the invoker's report, and the slice's expiry."""

    def __init__(self, implementations: Implementations) -> None:
        self.now, self.index, self.charged = 0.0, 2, 0
        self.budgets = implementations.budgets("p", ("boss",), TimingWheel[int]())
        self.budgets.apply(1, c.AdminChange("boss", 0, "a test", 0, c.DelegateQuota("p", 1000)), 0.0)
        self.granter = implementations.granter(self.budgets, 2, SliceSizing())
        self.spender = implementations.spender("i", 1, SliceSizing(), 1)
        self.spender.estimator.default_tokens = 40
        self.spender.reserve("p", "f", "first", None, 0.0)
        (request,) = self.spender.run_due(0.0)
        assert isinstance(request, SliceRequest)
        self.commit(c.HolderEntry(2, c.BeginTerm()))
        self.commit(c.HolderEntry(2, c.GrantSlice("p", "i", 1, request.number, 100, 60, 5000)))
        self.spender.handle_reply(self.granter.granted_reply(4), 1.0)
        self.entries, self.reports = list[c.HolderEntry](), list[UsageReport]()
        self.threads = {
            "call": [("reserve", self.reserve), ("settle", self.settle)],
            "repeated answer": [("settle", self.settle)],
            "report": [
                ("send", self.send_report),
                ("deliver", self.deliver),
                ("commit", self.commit_entries),
            ],
            "expiry": [
                ("time out", self.advance_clock),
                ("expire", self.expire),
                ("commit", self.commit_entries),
            ],
        }

    def commit(self, entry: c.HolderEntry) -> None:
        self.index += 1
        self.budgets.apply(self.index, entry, self.now)

    def reserve(self) -> None:
        self.spender.reserve("p", "f", "call", None, self.now)

    def settle(self) -> None:
        self.charged += self.spender.settle("call", 50, self.now)

    def send_report(self) -> None:
        self.reports += [
            message for message in self.spender.run_due(self.now) if isinstance(message, UsageReport)
        ]

    def deliver(self) -> None:
        for report in self.reports:
            for out in self.granter.handle_report(report, self.now):
                if isinstance(out, c.HolderEntry):
                    self.entries.append(out)
                elif isinstance(out, UsageAck):
                    self.spender.handle_reply(out, self.now)

    def expire(self) -> None:
        self.entries += self.granter.run_due(self.now)

    def commit_entries(self) -> None:
        while self.entries:
            self.commit(self.entries.pop(0))

    def advance_clock(self) -> None:
        self.now = 6000.0

    def check(self) -> None:
        node = self.budgets.tree.nodes["p"]
        reserved = sum(sum(reservation.tokens.values()) for reservation in self.spender.reservations.values())
        assert self.charged <= 50, "charged twice"
        assert self.charged + reserved <= node.held + node.spent, "returned and also spent"

    def key(self) -> Hashable:
        s = self.spender
        return interleave.shape(
            self.now,
            self.charged,
            self.budgets.snapshot(),
            self.budgets.timed_out,
            self.entries,
            self.reports,
            s.reservations,
            s.projects,
            self.granter.spend_limits,
            self.granter.reported_spent,
            self.granter.proposed,
        )


def test_settlement_races_expiry_in_all_interleavings() -> None:
    counts = interleave.explore(lambda: SettleAgainstExpiry(Implementations()))
    assert counts.complete and counts.states > 300


@pytest.mark.parametrize(
    "implementations,failure",
    [
        (Implementations(spender=SettlesTwice), "charged twice"),
        (Implementations(granter=ReturnsPossiblySpentTokens), "returned and also spent"),
    ],
)
def test_the_search_over_interleavings_detects_the_fault(
    implementations: Implementations, failure: str
) -> None:
    with pytest.raises(interleave.Failed, match=failure) as found:
        interleave.explore(lambda: SettleAgainstExpiry(implementations))
    assert (
        interleave.replay(lambda: SettleAgainstExpiry(implementations), found.value.schedule)
        == found.value.failure
    )
    print(found.value.schedule)
