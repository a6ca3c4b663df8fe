"""Tests of the request table and the module actor with a scripted router and a simulated clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

import pytest

from harrieryoke import interface as i
from harrieryoke.core.module import ModuleActor
from harrieryoke.core.records import (
    AttemptTask,
    Call,
    CallReceived,
    CallWithdrawn,
    Stopping,
    Task,
    TaskEnded,
    WorkerListConfirmed,
    WorkersChanged,
)
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.state import Worker

from .rig import SETTINGS

O = i.Outcome  # noqa: E741


class RecordingPeers:
    """A front and a model host that record the final answers and tasks."""

    def __init__(self) -> None:
        self.finals: list[str] = []
        self.tasks: list[Task] = []
        self.accepts = True

    def served(self, call: Call, body: bytes) -> None:
        self.finals.append(f"served {call.request_id} {body.decode()}")

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.finals.append(f"refused {call.request_id}")

    def failed(self, call: Call, reason: str) -> None:
        self.finals.append(f"failed {call.request_id}")

    def start_task(self, task: Task) -> bool:
        self.tasks.append(task)
        task.write_started = self.accepts
        return self.accepts

    def cancel_task(self, task: Task) -> None:
        self.finals.append("revoked")

    def drop_copies(self, function: str) -> None: ...


class ScriptedRouter:
    """Stands in for the router: returns the next of the given lists of actions in each round."""

    order_times: tuple[float, ...] = ()  # read by the actor for its log
    arrival_times: tuple[float, ...] = ()
    workers: Mapping[int, Worker] = MappingProxyType({})
    ejected_count = 0

    def memory_bytes(self) -> int:
        return 0

    def __init__(self, *rounds: list[i.Action]) -> None:
        self.rounds, self.events = list(rounds), list[i.Event]()

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.events += events
        return self.rounds.pop(0) if self.rounds else []


class Harness:
    """A module actor with one model host, whose rounds the test runs."""

    def __init__(self, *rounds: list[i.Action]) -> None:
        self.now, self.peers, self.router = 1000.0, RecordingPeers(), ScriptedRouter([], *rounds)
        self.actor = ModuleActor(replace(SETTINGS, order_timeout=500), 7, Limits(), Log(), lambda: self.now)
        self.actor.router = self.router  # type: ignore[assignment]
        self.step(
            WorkersChanged(i.WorkersListed(i.ListScope.REMEMBERED, (i.WorkerEntry(1),)), {1: self.peers})
        )

    def step(self, *messages: Any, after: float = 0.0) -> list[str]:
        """Run one round. Return what the front and the host recorded in it."""
        self.now += after
        seen = len(self.peers.finals)
        self.actor.step(self.now, list(messages))
        return self.peers.finals[seen:]

    def receive(self, request_id: str = "a", class_index: int = 0, time_left: float = 100.0) -> list[str]:
        return self.step(CallReceived(Call(request_id, class_index, "f", self.now + time_left), self.peers))


SEND, AGAIN = i.StartAttempt(1, 1), i.StartAttempt(1, 1)


def test_request_that_the_router_forgets_is_answered_before_its_deadline() -> None:
    h = Harness()
    assert h.receive() == [] and h.step(after=90) == []
    assert h.step(after=2) == ["refused a"] and h.step(after=50) == []
    assert h.actor.table.counts["guarded"] == 1
    assert h.router.events[-1] == i.RequestDropped(1)


@pytest.mark.parametrize(("class_index", "final"), [(0, "refused a"), (1, "failed a"), (2, "failed a")])
def test_request_that_may_have_run_is_refused_only_if_a_retry_is_harmless(
    class_index: int, final: str
) -> None:
    h = Harness([SEND], [], [i.Refuse(1), i.Refuse(1), i.Fail(1)])
    h.receive(class_index=class_index)
    h.step(TaskEnded(h.peers.tasks[0], O.RESET))
    assert h.step(TaskEnded(h.peers.tasks[0], O.OK), CallWithdrawn(Call("x", 0, "f", 0.0))) == []
    h.router.rounds = [[i.Refuse(1), i.Refuse(1), i.Fail(1)]]
    assert h.receive("b") == [final]


def test_only_the_first_end_of_an_attempt_counts_and_a_served_request_has_no_other_answer() -> None:
    h = Harness([SEND], [i.Fail(1), AGAIN])
    h.receive()
    task = h.peers.tasks[0]
    assert h.step(TaskEnded(task, O.OK, b"x")) == ["served a x"]
    assert h.step(TaskEnded(task, O.OK, b"x"), after=200) == [] and len(h.peers.tasks) == 1
    assert next(e for e in h.router.events if isinstance(e, i.AttemptEnded)).finished


def test_silent_host_cannot_hold_an_attempt_beyond_its_deadline() -> None:
    h = Harness([SEND], [i.Fail(1)])
    h.receive(class_index=1)
    assert h.step(after=95) == ["revoked", "failed a"]


@pytest.mark.parametrize(("write_started", "outcome"), [(True, O.CANCELLED), (False, O.NOT_SENT)])
def test_attempt_cancelled_before_its_first_byte_has_never_run(write_started: bool, outcome: O) -> None:
    h = Harness([SEND], [i.CancelAttempt(1, 0)])
    h.receive()
    h.peers.tasks[0].write_started = write_started
    h.step(Stopping(1e9))
    h.router.rounds = [[i.CancelAttempt(1, 0)]]
    h.receive("b")
    h.step()
    ended = [e for e in h.router.events if isinstance(e, i.AttemptEnded)]
    assert [e.outcome for e in ended] == [outcome] and not h.peers.tasks[0].is_open


def test_attempt_rejected_by_the_mailbox_has_never_run_and_is_reported_in_the_next_round() -> None:
    h = Harness([SEND])
    h.peers.accepts = False
    h.receive()
    h.step()
    assert [e.outcome for e in h.router.events if isinstance(e, i.AttemptEnded)] == [O.NOT_SENT]


def test_order_without_an_answer_times_out() -> None:
    h = Harness([i.OrderCopies(1, "f", 1)])
    h.receive(time_left=5000)
    h.step(after=501)
    assert [e.outcome for e in h.router.events if isinstance(e, i.OrderEnded)] == [O.TIMEOUT]


def test_withdrawn_request_gets_no_answer_and_no_attempt() -> None:
    h = Harness([SEND], [i.Refuse(1), i.Fail(1), AGAIN])
    call = Call("a", 0, "f", 2000.0)
    h.step(CallReceived(call, h.peers))
    assert h.step(CallWithdrawn(call), CallWithdrawn(call)) == []
    assert h.step(TaskEnded(h.peers.tasks[0], O.OK, b"x"), after=2000) == [] and len(h.peers.tasks) == 1


def test_router_fault_answers_open_requests_and_a_new_router_continues() -> None:
    h = Harness([SEND])
    h.receive()
    h.receive("b", class_index=2)
    h.router.handle = lambda now, events: [][0]  # type: ignore[method-assign]
    assert h.receive("c") == ["refused a", "refused b", "refused c", "revoked"]
    h.actor.settings = replace(h.actor.settings, order_limit_window=5000.0)
    h.receive("d", time_left=2000)
    sent = [t for t in h.peers.tasks if isinstance(t, AttemptTask) and t.call.request_id == "d"]
    assert len(sent) == 1 and h.step(TaskEnded(sent[0], O.OK, b"x")) == ["served d x"]


def test_new_router_knows_the_age_of_the_worker_list() -> None:
    h = Harness()
    event = i.ListConfirmed(h.now - 3000)
    h.step(WorkerListConfirmed(event))
    assert h.router.events[-1] == event
    h.router.handle = lambda now, events: [][0]  # type: ignore[method-assign]
    h.receive()
    h.receive("b", time_left=2000)
    (sent,) = (t for t in h.peers.tasks if isinstance(t, AttemptTask))
    assert sent.start_by == event.at + h.actor.settings.discovery_delay


def test_attempt_and_order_keep_the_latest_start_they_were_given() -> None:
    h = Harness([i.StartAttempt(1, 1, start_by=1200.0), i.OrderCopies(1, "f", 1, start_by=1200.0)])
    h.receive()
    assert [task.start_by for task in h.peers.tasks] == [1200.0, 1200.0]


def test_stopping_brings_every_deadline_forward() -> None:
    h = Harness([SEND])
    h.receive(class_index=1, time_left=60000)
    h.receive("b", time_left=60000)
    assert h.step(Stopping(h.now + 300)) == []
    assert sorted(h.step(after=301)) == ["failed a", "refused b", "revoked"]


def test_bodies_beyond_their_share_of_the_memory_are_refused_until_others_end() -> None:
    h = Harness()
    h.actor.table.max_body_bytes = 10
    calls = [Call(request_id, 0, "f", h.now + 100, b"123456") for request_id in "abc"]
    assert h.step(CallReceived(calls[0], h.peers), CallReceived(calls[1], h.peers)) == ["refused b"]
    assert (
        h.step(CallWithdrawn(calls[0]), CallReceived(calls[2], h.peers)) == []
        and h.actor.table.body_bytes == 6
    )


def test_removed_hosts_are_forgotten() -> None:
    h = Harness()
    for n in range(2, 9):
        here, gone = i.WorkerEntry(n), i.WorkerEntry(n - 1, status=i.WorkerStatus.GONE)
        h.step(WorkersChanged(i.WorkersListed(i.ListScope.CHANGES, (here, gone)), {n: h.peers}))
    assert list(h.actor.host_ports) == list(h.actor.worker_entries) == [8]


def test_duplicate_request_id_fails_and_expired_request_is_refused() -> None:
    h = Harness()
    h.receive()
    assert h.receive() == ["failed a"] and h.receive("b", time_left=3) == ["refused b"]


def test_timers_due_within_the_slack_cause_one_wake() -> None:
    """A round for each timer would be wasteful: most timers are for requests that have been answered."""
    h = Harness([i.SetTimer("a", 1010.0), i.SetTimer("b", 1013.0)])
    h.receive(time_left=5000)
    assert h.actor.next_wake_time() == 1015.0
    h.step(after=15)
    assert [e.name for e in h.router.events if isinstance(e, i.TimerFired)] == ["a", "b"]
