"""The request table and the module's actor against a module that misbehaves, on a clock of the test's own."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

import pytest

from harrieryoke import interface as i
from harrieryoke.core.module import ModuleActor
from harrieryoke.core.records import (
    Attempt,
    Call,
    Confirmed,
    Listed,
    Stopping,
    Taken,
    Task,
    TaskEnded,
    Withdrawn,
)
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.state import Worker

from .rig import SETTINGS

O = i.Outcome  # noqa: E741


class Peers:
    """A front and a model host that write down what reaches them."""

    def __init__(self) -> None:
        self.finals: list[str] = []
        self.tasks: list[Task] = []
        self.takes = True

    def served(self, call: Call, body: bytes) -> None:
        self.finals.append(f"served {call.rid} {body.decode()}")

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.finals.append(f"refused {call.rid}")

    def failed(self, call: Call, reason: str) -> None:
        self.finals.append(f"failed {call.rid}")

    def begin(self, task: Task) -> bool:
        self.tasks.append(task)
        task.begun = self.takes
        return self.takes

    def revoke(self, task: Task) -> None:
        self.finals.append("revoked")

    def drop(self, function: str) -> None: ...


class Script:
    """In the module's place: answers each round with the next of the test's lists of actions."""

    order_times: tuple[float, ...] = ()  # what the actor reads of a router for its log
    arrival_times: tuple[float, ...] = ()
    workers: Mapping[int, Worker] = MappingProxyType({})
    ejected_count = 0

    def __init__(self, *rounds: list[i.Action]) -> None:
        self.rounds, self.heard = list(rounds), list[i.Event]()

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.heard += events
        return self.rounds.pop(0) if self.rounds else []


class Bench:
    def __init__(self, *rounds: list[i.Action]) -> None:
        self.now, self.peers, self.script = 1000.0, Peers(), Script([], *rounds)
        self.actor = ModuleActor(replace(SETTINGS, order_timeout=500), 7, Limits(), Log(), lambda: self.now)
        self.actor.router = self.script  # type: ignore[assignment]
        self.step(Listed(i.WorkersListed(i.ListScope.REMEMBERED, (i.WorkerEntry(1),)), {1: self.peers}))

    def step(self, *messages: Any, after: float = 0.0) -> list[str]:
        """One round; what the front and the host were told in it."""
        self.now += after
        seen = len(self.peers.finals)
        self.actor.step(self.now, list(messages))
        return self.peers.finals[seen:]

    def take(self, rid: str = "a", kind: int = 0, left: float = 100.0) -> list[str]:
        return self.step(Taken(Call(rid, kind, "f", self.now + left), self.peers))


SEND, AGAIN = i.StartAttempt(1, 1), i.StartAttempt(1, 1)


def test_a_request_that_the_module_forgets_is_answered_before_its_time() -> None:
    b = Bench()
    assert b.take() == [] and b.step(after=90) == []
    assert b.step(after=2) == ["refused a"] and b.step(after=50) == []
    assert b.actor.table.counts["guarded"] == 1
    assert b.script.heard[-1] == i.RequestDropped(1)


@pytest.mark.parametrize(("kind", "final"), [(0, "refused a"), (1, "failed a"), (2, "failed a")])
def test_the_table_never_calls_harmless_what_may_have_run(kind: int, final: str) -> None:
    b = Bench([SEND], [], [i.Refuse(1), i.Refuse(1), i.Fail(1)])
    b.take(kind=kind)
    b.step(TaskEnded(b.peers.tasks[0], O.RESET))
    assert b.step(TaskEnded(b.peers.tasks[0], O.OK), Withdrawn(Call("x", 0, "f", 0.0))) == []
    b.script.rounds = [[i.Refuse(1), i.Refuse(1), i.Fail(1)]]
    assert b.take("b") == [final]


def test_only_the_first_end_of_an_attempt_counts_and_a_served_request_has_no_other_answer() -> None:
    b = Bench([SEND], [i.Fail(1), AGAIN])
    b.take()
    task = b.peers.tasks[0]
    assert b.step(TaskEnded(task, O.OK, b"x")) == ["served a x"]
    assert b.step(TaskEnded(task, O.OK, b"x"), after=200) == [] and len(b.peers.tasks) == 1
    assert next(e for e in b.script.heard if isinstance(e, i.AttemptEnded)).finished


def test_a_silent_host_cannot_hold_an_attempt_beyond_its_time() -> None:
    b = Bench([SEND], [i.Fail(1)])
    b.take(kind=1)
    assert b.step(after=95) == ["revoked", "failed a"]


@pytest.mark.parametrize(("begun", "outcome"), [(True, O.CANCELLED), (False, O.NOT_SENT)])
def test_what_was_revoked_before_its_first_byte_has_never_run(begun: bool, outcome: O) -> None:
    b = Bench([SEND], [i.CancelAttempt(1, 0)])
    b.take()
    b.peers.tasks[0].begun = begun
    b.step(Stopping(1e9))
    b.script.rounds = [[i.CancelAttempt(1, 0)]]
    b.take("b")
    b.step()
    ended = [e for e in b.script.heard if isinstance(e, i.AttemptEnded)]
    assert [e.outcome for e in ended] == [outcome] and not b.peers.tasks[0].wanted


def test_what_no_mailbox_takes_has_never_run_and_is_told_in_the_next_round() -> None:
    b = Bench([SEND])
    b.peers.takes = False
    b.take()
    b.step()
    assert [e.outcome for e in b.script.heard if isinstance(e, i.AttemptEnded)] == [O.NOT_SENT]


def test_an_order_without_an_answer_ends_by_its_time() -> None:
    b = Bench([i.OrderCopies(1, "f", 1)])
    b.take(left=5000)
    b.step(after=501)
    assert [e.outcome for e in b.script.heard if isinstance(e, i.OrderEnded)] == [O.TIMEOUT]


def test_a_withdrawn_request_gets_nothing_more() -> None:
    b = Bench([SEND], [i.Refuse(1), i.Fail(1), AGAIN])
    call = Call("a", 0, "f", 2000.0)
    b.step(Taken(call, b.peers))
    assert b.step(Withdrawn(call), Withdrawn(call)) == []
    assert b.step(TaskEnded(b.peers.tasks[0], O.OK, b"x"), after=2000) == [] and len(b.peers.tasks) == 1


def test_a_fault_in_the_module_answers_what_is_open_and_a_fresh_one_goes_on() -> None:
    b = Bench([SEND])
    b.take()
    b.take("b", kind=2)
    b.script.handle = lambda now, events: [][0]  # type: ignore[method-assign]
    assert b.take("c") == ["refused a", "refused b", "refused c", "revoked"]
    b.actor.settings = replace(b.actor.settings, order_limit_window=5000.0)
    b.take("d", left=2000)
    sent = [t for t in b.peers.tasks if isinstance(t, Attempt) and t.call.rid == "d"]
    assert len(sent) == 1 and b.step(TaskEnded(sent[0], O.OK, b"x")) == ["served d x"]


def test_a_fresh_module_knows_how_old_the_list_is() -> None:
    b = Bench()
    event = i.ListConfirmed(b.now - 3000)
    b.step(Confirmed(event))
    assert b.script.heard[-1] == event
    b.script.handle = lambda now, events: [][0]  # type: ignore[method-assign]
    b.take()
    b.take("b", left=2000)
    (sent,) = (t for t in b.peers.tasks if isinstance(t, Attempt))
    assert sent.start_by == event.at + b.actor.settings.discovery_delay


def test_an_attempt_and_an_order_begin_within_the_lease_they_were_given() -> None:
    b = Bench([i.StartAttempt(1, 1, start_by=1200.0), i.OrderCopies(1, "f", 1, start_by=1200.0)])
    b.take()
    assert [task.start_by for task in b.peers.tasks] == [1200.0, 1200.0]


def test_stopping_brings_every_answer_forward() -> None:
    b = Bench([SEND])
    b.take(kind=1, left=60000)
    b.take("b", left=60000)
    assert b.step(Stopping(b.now + 300)) == []
    assert sorted(b.step(after=301)) == ["failed a", "refused b", "revoked"]


def test_bodies_beyond_their_share_of_the_memory_are_refused_until_there_is_room_again() -> None:
    b = Bench()
    b.actor.table.most = 10
    calls = [Call(rid, 0, "f", b.now + 100, b"123456") for rid in "abc"]
    assert b.step(Taken(calls[0], b.peers), Taken(calls[1], b.peers)) == ["refused b"]
    assert b.step(Withdrawn(calls[0]), Taken(calls[2], b.peers)) == [] and b.actor.table.held == 6


def test_hosts_that_have_gone_are_forgotten() -> None:
    b = Bench()
    for n in range(2, 9):
        here, gone = i.WorkerEntry(n), i.WorkerEntry(n - 1, status=i.WorkerStatus.GONE)
        b.step(Listed(i.WorkersListed(i.ListScope.CHANGES, (here, gone)), {n: b.peers}))
    assert list(b.actor.ports) == list(b.actor.entries) == [8]


def test_two_open_requests_under_one_id_and_one_whose_time_is_over() -> None:
    b = Bench()
    b.take()
    assert b.take() == ["failed a"] and b.take("b", left=3) == ["refused b"]


def test_timers_due_within_the_slack_of_each_other_wake_it_once() -> None:
    """Seen in a profile: a round for each timer, most of them for requests long answered."""
    b = Bench([i.SetTimer("a", 1010.0), i.SetTimer("b", 1013.0)])
    b.take(left=5000)
    assert b.actor.next_time() == 1015.0
    b.step(after=15)
    assert [e.name for e in b.script.heard if isinstance(e, i.TimerFired)] == ["a", "b"]
