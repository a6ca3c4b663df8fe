"""Ledgers reconciling in turns, with an emulated collector that checks fencing tokens and a local council."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import gevent

from harrieryoke.background.settings import BackgroundSettings
from harrieryoke.core.clock import now_ms
from harrieryoke.core.records import Call
from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.commands import ReplicatedState, StateMachine
from harrieryoke.council.decide.grants import TurnSettings
from harrieryoke.council.decide.lease import Fence
from harrieryoke.council.turns import TurnsActor
from harrieryoke.lab.collector import EmulatedCollector
from harrieryoke.ledger.part import LedgerPart
from harrieryoke.ledger.settings import CollectorSettings, LedgerSettings
from harrieryoke.ledger.wire import codec
from harrieryoke.ledger.wire.codec import pb
from harrieryoke.limits import Limits
from harrieryoke.plugins.bench import SETTINGS, SilentLog

TURN_SETTINGS = TurnSettings(
    at_once=1, turn_ms=1000.0, tries=3, again_ms=0.0, spread_ms=20.0, repeat_ms=100.0
)


class AllMachines:
    """Applies each command to the state machines of all members."""

    def __init__(self) -> None:
        self.machines = list[StateMachine]()

    def apply(self, index: int, token: int, body: bytes) -> bool:
        return all([machine.apply(index, token, body) for machine in self.machines])

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return all([machine.apply_unfenced(index, body) for machine in self.machines])

    def dump(self) -> bytes:
        return self.machines[0].dump()

    def load(self, data: bytes) -> None:
        for machine in self.machines:
            machine.load(data)


class LocalCouncil:
    """A council that commits at once. `holder` grants turns."""

    def __init__(self) -> None:
        self.state, self.machines, self.index, self.holder = (
            ReplicatedState(d.DutyTable()),
            AllMachines(),
            0,
            "",
        )
        self.state.add_machine("reconcile", self.machines)
        self.watchers = list[Callable[[], object]]()

    def apply(self, command: d.Command) -> None:
        self.index += 1
        self.state.apply(self.index, d.decode(d.encode(command)))
        for watcher in self.watchers:
            watcher()

    def hold(self, name: str) -> None:
        setup: list[d.Command] = [d.DefineDuties(("reconcile",)), d.RenewSession(name, 1, 1, 1.0)]
        for command in [*setup, d.GrantDuty("reconcile", name, 1)]:
            self.apply(command)
        self.holder = name


class MemberView:
    """The council as seen by one member."""

    def __init__(self, council: LocalCouncil, name: str) -> None:
        self.council, self.name = council, name

    def acting(self, duty: str) -> int:
        return self.council.state.duties.duties[duty].token if self.council.holder == self.name else 0

    def propose(self, duty: str, token: int, body: bytes) -> str:
        self.council.apply(d.FencedCommand(duty, token, body))
        return ""

    def ask(self, duty: str, body: bytes) -> str:
        self.council.apply(d.UnfencedCommand(duty, body))
        return ""

    def add_machine(self, duty: str, machine: StateMachine) -> None:
        self.council.machines.machines.append(machine)

    def watch(self, watcher: Callable[[], object]) -> None:
        self.council.watchers.append(watcher)


def until(done: Callable[[], object], seconds: float = 20.0) -> None:
    end = time.monotonic() + seconds
    while not done():
        assert time.monotonic() < end, "not done in time"
        gevent.sleep(0.01)


class Member:
    def __init__(self, council: LocalCouncil, name: str, collector: EmulatedCollector) -> None:
        self.turns = TurnsActor(
            MemberView(council, name), name, TURN_SETTINGS, len(council.watchers), SilentLog()
        )
        collector_settings = CollectorSettings(collector.address(), batch=20, batch_ms=20.0, answer_ms=100.0)
        self.part = LedgerPart(
            LedgerSettings(collector=collector_settings),
            None,
            BackgroundSettings(time_share=0.9),
            name,
            SETTINGS,
            Limits(),
            SilentLog(),
            1,
            lambda: False,
            self.turns,
        )
        self.turns.start()
        self.part.start()

    def end_period(self, count: int) -> int:
        """Returns the period."""
        now = now_ms()
        for number in range(count):
            call = Call(f"{number:016x}", 0, "f" * 16, now + 1000, memory=400, received_at=now - 50)
            self.part.call_ended(call, "served")
        until(self.settled)
        (period,) = self.part.actor.request_status(1000)["periods"]
        return int(period["period"])

    def settled(self) -> bool:
        export = self.part.actor.request_status(1000)["export"]
        return not (export["not_in_a_batch"] or export["unsent"] or self.part.actor.mailbox)

    def result(self) -> object:
        return self.part.answer("GET", "/ledger/reconcile", {}, 1000)[1]["results"]

    def request_turn(self, period: int) -> None:
        assert self.part.answer("POST", "/ledger/reconcile", {"period": str(period)}, 1000)[0] == 200

    def stop(self) -> None:
        self.part.stop()
        self.turns.stop()


def test_ledgers_reconcile_in_turns_and_all_see_the_results() -> None:
    council, collector = LocalCouncil(), EmulatedCollector(random.Random(3))
    members = [Member(council, name, collector) for name in ("a", "b", "c")]
    council.hold("a")
    (period,) = {member.end_period(60) for member in members}
    collector.lose_entries(5)
    for member in members:
        member.request_turn(period)
    until(lambda: len(members[0].turns.rounds.ended) == 3)
    ended = members[2].turns.rounds.ended
    assert sum(end.counts.sent for end in ended.values() if end.counts) == 5
    # a repair has no answer, and the last one may still be on its way
    until(lambda: collector.figures()["entries"] >= 180)
    figures = collector.figures()
    assert (figures["entries"], figures["duplicates"], collector.counts["older"]) == (180, 0, 0)
    tokens = {name: fence.token for (name, _), fence in collector.fences.items()}
    assert len(set(tokens.values())) == 3 and 0 not in tokens.values()
    status = members[1].turns.status()
    assert (status["done"], status["failed"], status["waiting"], status["running"]) == (3, 0, 0, [])
    for member in members:
        member.stop()
    collector.stop()


def test_an_unanswered_turn_is_stopped_and_an_unreachable_collector_returns_it() -> None:
    council, collector = LocalCouncil(), EmulatedCollector(random.Random(3))
    member = Member(council, "a", collector)
    council.hold("a")
    period = member.end_period(40)
    collector.fences["a", period] = fence = Fence(10**9)
    member.request_turn(period)
    until(lambda: member.part.link is not None and member.part.link.reconciler.stopped_count)
    assert collector.counts["older"] and not collector.counts["repaired"] and not member.result()
    until(lambda: not member.turns.member_turns.pending)  # revoked as often as the settings allow
    assert member.turns.status()["failed"] == 1
    fence.token = 0
    collector.stop()
    until(lambda: not member.turns.member_turns.collector_reachable)
    member.request_turn(period)
    until(lambda: member.turns.member_turns.pending)
    collector.listen()
    until(member.result)
    until(lambda: member.turns.status()["failed"] == 0)
    member.stop()
    collector.stop()


def test_messages_of_an_older_turn_change_nothing_at_the_collector() -> None:
    collector = EmulatedCollector(random.Random(3))
    entry = pb.Entry(instance="a", epoch=1, number=1, kind=pb.USE, period=7).SerializeToString()
    # no turns have been granted yet
    assert not collector.make_sketch("a", pb.Reconcile(period=7, seed=1)).newer
    assert not collector.make_sketch("a", pb.Reconcile(period=7, seed=1, token=9)).newer
    for token in (0, 4, 8):
        watcher = collector.make_sketch("a", pb.Reconcile(period=7, seed=1, token=token))
        assert (watcher.newer, watcher.token, watcher.data) == (9, token, b"")
        collector.apply_repair("a", pb.Repair(period=7, entries=[entry], token=token))
    assert not collector.raw_entries() and collector.counts["older"] == 6
    collector.apply_repair("a", pb.Repair(period=8, entries=[entry], token=4))  # a turn of another period
    assert [codec.entry_wire_id(data) for data in collector.raw_entries("a")] == [codec.entry_wire_id(entry)]
    collector.stop()
