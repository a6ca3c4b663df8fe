"""Reconciliation in turns: the replicated state machine against a plain model, and many members at the end of
a period.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide import rounds as r
from harrieryoke.council.decide.commands import ReplicatedState
from harrieryoke.council.decide.grants import MemberTurns, TurnScheduler, TurnSettings, TurnSettingsError
from harrieryoke.council.decide.lease import Fence

COUNTS = r.Counts(9, 1, -1, 400)
NAMES, PERIODS, HOWS = st.sampled_from("abc"), st.integers(1, 3), ("done", "back", "give", "last")


class RoundsAgainstModel(RuleBasedStateMachine):
    """The model keeps a list of rounds and scans it for each question."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        for name, value in (
            ("MAX_OPEN_ROUNDS", 5),
            ("MAX_OPEN_PER_MEMBER", 2),
            ("MAX_ENDED_ROUNDS", 4),
            ("MAX_TRIES", 3),
        ):
            self.patch.setattr(r, name, value)
        self.rounds, self.index = r.ReconciliationRounds(), 0
        self.queue: list[list[int | str]] = []  # member, period, request ID, tries, turn: in queue order
        # member, period, request ID, whether completed: oldest first
        self.ended: list[tuple[str, int, int, bool]] = []

    def teardown(self) -> None:
        self.patch.undo()

    def find(self, member: str, period: int) -> list[Any] | None:
        return next((each for each in self.queue if each[:2] == [member, period]), None)

    def apply(self, body: r.MemberRequest | r.HolderCommand) -> bool:
        self.index += 1
        if isinstance(body, r.GrantTurn | r.RevokeTurn):
            return self.rounds.apply(self.index, 1, r.encode(body))
        return self.rounds.apply_unfenced(self.index, r.encode(body))

    @rule(member=NAMES, period=PERIODS, mark=st.integers(1, 2))
    def turn_request(self, member: str, period: int, mark: int) -> None:
        accepted = self.find(member, period) is None and len(self.queue) < 5
        accepted = accepted and sum(each[0] == member for each in self.queue) < 2
        accepted = accepted and not any(each[:3] == (member, period, mark) for each in self.ended)
        assert self.apply(r.RequestTurn(member, period, mark)) == accepted
        self.queue += [[member, period, mark, 0, 0]] if accepted else []

    @rule(member=NAMES, period=PERIODS, most=st.integers(0, 3))
    def turn(self, member: str, period: int, most: int) -> None:
        queued, running = self.find(member, period), [each for each in self.queue if each[4]]
        accepted = queued is not None and len(running) < most and member not in [each[0] for each in running]
        assert self.apply(r.GrantTurn(member, period, most)) == accepted
        if queued is not None and accepted:
            queued[4] = self.index
            self.queue.sort(key=lambda each: each[0] == member)  # behind the others, keeping their order

    @rule(
        member=NAMES, period=PERIODS, how=st.sampled_from(["done", "back", "give", "last"]), old=st.booleans()
    )
    def outcome(self, member: str, period: int, how: str, old: bool) -> None:
        queued = self.find(member, period)
        turn = 0 if queued is None else queued[4] - old
        accepted = queued is not None and queued[4] == turn != 0
        if how == "done":
            changed = self.apply(r.CompleteTurn(member, period, turn, COUNTS))
        elif how == "back":
            changed = self.apply(r.ReturnTurn(member, period, turn))
        else:
            changed = self.apply(r.RevokeTurn(member, period, turn, how == "last"))
        assert changed == accepted
        if not accepted or queued is None:
            return
        self.queue.remove(queued)
        queued[3], queued[4] = queued[3] + (how in ("give", "last")), 0
        if how == "give" and queued[3] < 3:
            self.queue.append(queued)
        elif how != "back":
            self.ended = [each for each in self.ended if each[:2] != (member, period)]
            if len(self.ended) >= 4:
                self.ended.remove(next((each for each in self.ended if each[3]), self.ended[0]))
            self.ended.append((member, period, queued[2], how == "done"))

    @rule()
    def restarted(self) -> None:
        data = self.rounds.dump()
        self.rounds = r.ReconciliationRounds()
        self.rounds.load(data)
        assert self.rounds.dump() == data

    @rule(body=st.binary(max_size=20))
    def nonsense(self, body: bytes) -> None:
        assert not self.rounds.apply_unfenced(self.index, body) and not self.rounds.apply(self.index, 1, body)

    @invariant()
    def matches_model(self) -> None:
        open_rounds = [(m, p, x) for m, mine in self.rounds.open.items() for p, x in mine.items()]
        open_rounds.sort(
            key=lambda each: (each[2].queue_position, [e[:2] for e in self.queue].index([each[0], each[1]]))
        )
        assert [[m, p, x.request_id, x.tries, x.turn] for m, p, x in open_rounds] == self.queue
        assert self.rounds.open_count == len(self.queue)
        assert self.rounds.running == {(e[0], e[1]): e[4] for e in self.queue if e[4]}
        ended = [(m, p, end.request_id, end.counts == COUNTS) for (m, p), end in self.rounds.ended.items()]
        assert ended == self.ended


RoundsAgainstModel.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestRounds = RoundsAgainstModel.TestCase


LAG = 12.0  # at most, from a member to the log and back, in ms
WORK = 60.0  # at most, for one turn, in ms
PERIOD = 7
TURN_SETTINGS = TurnSettings(
    at_once=3, turn_ms=2000.0, tries=3, again_ms=500.0, spread_ms=1000.0, repeat_ms=200.0
)


class Node:
    """A member's process with its copy of the replicated state."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.applied, self.up, self.isolated = fleet, name, 0, True, False
        self.state, self.rounds = ReplicatedState(d.DutyTable()), r.ReconciliationRounds()
        self.state.add_machine(r.DUTY, self.rounds)
        self.scheduler = TurnScheduler(self.rounds, TURN_SETTINGS)
        self.member_turns = MemberTurns(name, self.rounds, TURN_SETTINGS, fleet.rng.getrandbits(30))
        self.member_turns.set_collector_reachable(True)
        self.started_turns, self.next_wake = list[int](), float("inf")

    def token(self) -> int:
        duty = self.state.duties.duties.get(r.DUTY)
        return duty.token if duty is not None and duty.holder == self.name else 0

    def step(self) -> None:
        if not self.up:
            return
        now, token = self.fleet.time, self.token()
        for body in self.scheduler.tick(now, token):
            self.fleet.offer(self, d.FencedCommand(r.DUTY, token, body))
        for body in self.member_turns.tick(now):
            self.fleet.offer(self, d.UnfencedCommand(r.DUTY, body))
        while (turn_to_start := self.member_turns.take_ready()) is not None:
            self.started_turns.append(turn_to_start[1])
            self.work(*turn_to_start, 3)
        due = [at for at in (self.scheduler.wake_at, self.member_turns.wake_at) if at is not None]
        if due and not now < self.next_wake <= min(due):
            self.next_wake = min(due)
            self.fleet.call_at(self.next_wake, self.step)

    def work(self, period: int, turn: int, messages: int) -> None:
        """A turn consists of a number of messages to the collector."""
        self.fleet.working.discard(self.name)
        if not self.up or not self.member_turns.holds(self.fleet.time, period, turn):
            return
        if not messages:
            self.member_turns.complete(period, turn, COUNTS)
            return self.step()
        self.fleet.working.add(self.name)
        self.fleet.max_working = max(self.fleet.max_working, len(self.fleet.working))
        self.fleet.collect(self.name, turn)
        later = self.fleet.time + self.fleet.rng.uniform(1, WORK / 3)
        self.fleet.call_at(later, partial(self.work, period, turn, messages - 1))


class Fleet:
    """`count` members and two that hold the duty, h0 first, on one log that accepts everything."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng, self.loss, self.time, self.event_count = random.Random(seed), loss, 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.log: list[bytes] = []
        self.working: set[str] = set()
        self.max_working, self.last_ended = 0, 0.0
        self.fences: dict[str, Fence] = {}
        self.nodes = [Node(self, name) for name in ("h0", "h1", *(f"m{n}" for n in range(count)))]
        self.members = self.nodes[2:]
        renewals = [d.RenewSession(name, 1, 1, 1.0) for name in ("h0", "h1")]
        setup: list[d.Command] = [d.DefineDuties((r.DUTY,)), *renewals, d.GrantDuty(r.DUTY, "h0", 1)]
        for command in setup:
            self.append(command)
        self.run(100.0)

    def call_at(self, t: float, what: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (t, self.event_count, what))

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> None:
        end = self.time + ms
        while self.events and self.events[0][0] <= end and not until():
            self.time, _, what = heapq.heappop(self.events)
            what()

    def offer(self, node: Node, command: d.Command) -> None:
        if not node.isolated and self.rng.random() >= self.loss:
            self.call_at(self.time + self.rng.uniform(1, LAG), partial(self.append, command))

    def append(self, command: d.Command) -> None:
        self.log.append(d.encode(command))
        for node in self.nodes:
            self.call_at(self.time + self.rng.uniform(1, LAG), partial(self.catch_up, node, len(self.log)))

    def catch_up(self, node: Node, upto: int) -> None:
        if not node.up or node.isolated or node.applied >= upto:
            return
        for index in range(node.applied + 1, upto + 1):
            node.state.apply(index, d.decode(self.log[index - 1]))
            assert len(node.rounds.running) <= TURN_SETTINGS.at_once
        node.applied = upto
        node.step()

    def collect(self, name: str, turn: int) -> None:
        assert self.fences.setdefault(name, Fence()).admit(turn)

    def end_period(self) -> None:
        for node in self.members:
            node.member_turns.request(self.time, PERIOD)
            node.step()

    def ended(self, member: str) -> bool | None:
        """Whether the round was completed; None while it has not ended."""
        end = self.nodes[1].rounds.ended.get((member, PERIOD))
        return None if end is None else end.counts is not None

    def all_done(self) -> bool:
        return len(self.nodes[1].rounds.ended) == len(self.members)

    def bound(self) -> float:
        """Returns the time limit for all rounds in ms: a turn is granted, learned of, completed, and its end
        learned of through the log.
        """
        return (
            TURN_SETTINGS.spread_ms
            + -(-len(self.members) // TURN_SETTINGS.at_once) * (WORK + 4 * LAG)
            + 4 * LAG
        )


@pytest.mark.parametrize("count", [5, 40, 200])
def test_few_run_at_a_time_and_all_complete_in_time(count: int) -> None:
    fleet = Fleet(count, count)
    began = fleet.time
    fleet.end_period()
    fleet.run(fleet.bound(), fleet.all_done)
    assert fleet.all_done() and fleet.time - began <= fleet.bound()
    assert fleet.max_working <= TURN_SETTINGS.at_once and (
        count < 40 or fleet.max_working == TURN_SETTINGS.at_once
    )
    assert all(len(node.started_turns) == 1 and fleet.ended(node.name) for node in fleet.members)
    entries = len(fleet.log)
    fleet.run(600_000.0)
    assert len(fleet.log) == entries and not fleet.events  # nothing is left to do
    for data in fleet.log[:entries]:
        if isinstance(command := d.decode(data), d.UnfencedCommand):
            fleet.append(command)  # a late duplicate
    fleet.run(600_000.0)
    assert not fleet.nodes[1].rounds.open and all(len(node.started_turns) == 1 for node in fleet.members)


@pytest.mark.parametrize("count", [5, 40, 200])
def test_a_new_holder_loses_no_request_and_repeats_no_turn(count: int) -> None:
    fleet = Fleet(count, count, loss=0.05)
    old_holder, new_holder = fleet.nodes[:2]
    fleet.end_period()
    fleet.run(60_000.0, lambda: len(new_holder.rounds.ended) >= count // 2)
    assert new_holder.rounds.running
    old_holder.isolated = True  # it receives nothing and continues granting: its commands arrive late
    for at in range(20):
        fleet.call_at(
            fleet.time + 50 * at,
            partial(fleet.append, d.FencedCommand(r.DUTY, old_holder.token(), stale(fleet, at))),
        )
    fleet.append(d.EndSession("h0", 1, 1))
    fleet.append(d.GrantDuty(r.DUTY, "h1", 1))
    fleet.run(60_000.0, fleet.all_done)
    assert fleet.all_done()
    fleet.run(1000.0)
    assert new_holder.state.rejected["token"] >= 20
    assert all(len(node.started_turns) == 1 and fleet.ended(node.name) for node in fleet.members)
    assert fleet.max_working <= TURN_SETTINGS.at_once


def stale(fleet: Fleet, at: int) -> bytes:
    waits = [(m, p) for m, mine in fleet.nodes[1].rounds.open.items() for p in mine]
    member, period = waits[at % len(waits)]
    turn = fleet.nodes[1].rounds.open[member][period].turn
    return r.encode(r.RevokeTurn(member, period, turn, True) if turn else r.GrantTurn(member, period, 8))


@pytest.mark.parametrize("back", [False, True])
def test_a_member_that_crashes_during_its_turn_blocks_nobody(back: bool) -> None:
    fleet = Fleet(40, 1)
    fleet.end_period()
    began = fleet.time
    fleet.run(60_000.0, lambda: bool(fleet.working))
    dead = next(node for node in fleet.members if node.name in fleet.working)
    dead.up = False
    fleet.working.discard(dead.name)
    fleet.run(60_000.0, lambda: len(fleet.nodes[1].rounds.ended) >= 39)
    # the others have one turn less
    assert (
        fleet.time - began
        <= TURN_SETTINGS.spread_ms + -(-39 // (TURN_SETTINGS.at_once - 1)) * (WORK + 4 * LAG) + 4 * LAG
    )
    if back:
        again = Node(fleet, dead.name)
        fleet.nodes[fleet.nodes.index(dead)] = again
        fleet.catch_up(again, len(fleet.log))
    fleet.run(60_000.0, fleet.all_done)
    assert fleet.ended(dead.name) is back
    if back:
        assert again.started_turns == dead.started_turns  # under the same turn
    else:
        assert fleet.time - began < 60_000.0
        assert fleet.nodes[1].rounds.ended[dead.name, PERIOD].tries == TURN_SETTINGS.tries
    assert fleet.nodes[1].rounds.status()["failed"] == (not back)


def test_an_isolated_member_stops_by_its_own_clock_and_retries() -> None:
    fleet = Fleet(5, 2)
    fleet.end_period()
    fleet.run(60_000.0, lambda: bool(fleet.working))
    node = next(node for node in fleet.members if node.name in fleet.working)
    ((period, held),) = node.member_turns.held.items()
    node.isolated = True
    assert node.member_turns.holds(fleet.time, period, held.turn)
    assert not node.member_turns.holds(fleet.time + TURN_SETTINGS.turn_ms, period, held.turn)
    fleet.run(2 * TURN_SETTINGS.turn_ms)
    node.isolated = False
    fleet.catch_up(node, len(fleet.log))
    fleet.run(60_000.0, fleet.all_done)
    assert (
        fleet.ended(node.name)
        and len(node.started_turns) == 2
        and node.started_turns[0] < node.started_turns[1]
    )


def test_a_member_without_the_collector_returns_its_turn_and_requests_again() -> None:
    fleet = Fleet(5, 3)
    fleet.end_period()
    fleet.run(60_000.0, lambda: bool(fleet.working))
    node = next(node for node in fleet.members if node.name in fleet.working)
    node.member_turns.set_collector_reachable(False)
    node.step()
    fleet.run(5 * LAG)
    assert node.name not in fleet.nodes[1].rounds.open and fleet.ended(node.name) is None
    fleet.run(60_000.0)
    node.member_turns.set_collector_reachable(True)
    node.step()
    fleet.run(60_000.0, fleet.all_done)
    assert fleet.ended(node.name) and len(node.started_turns) == 2


def test_a_member_with_many_requests_starves_nobody() -> None:
    fleet = Fleet(5, 4)
    greedy = fleet.members[0]
    for period in range(100, 112):
        greedy.member_turns.request(fleet.time, period)
    fleet.run(TURN_SETTINGS.spread_ms / 2)
    fleet.end_period()
    fleet.run(60_000.0, lambda: all(fleet.ended(node.name) for node in fleet.members))
    assert sum(name == greedy.name for name, _ in fleet.nodes[1].rounds.ended) < 13
    fleet.run(60_000.0)
    assert Counter(name for name, _ in fleet.nodes[1].rounds.ended)[greedy.name] == 13


def test_an_invalid_turn_setting_is_named() -> None:
    TURN_SETTINGS.check("council.rounds")
    with pytest.raises(TurnSettingsError, match=r"council.rounds.at_once: must be 1 to 8"):
        TurnSettings(at_once=9).check("council.rounds")
