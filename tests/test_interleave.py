"""Every order of a few messages: a host that closes against a dispatch, and new settings against arrival and
expiry.

Faults planted in each of them must be found.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterator
from dataclasses import replace
from functools import partial
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest

from harrieryoke import interface as i
from harrieryoke.core import module
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.module import ModuleActor
from harrieryoke.core.records import AttemptTask, Call, SettingsChanged, Task, TaskEnded
from harrieryoke.core.table import NEVER_RAN, RequestTable
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net import frames, host, hostlist
from harrieryoke.net.host import FramesReceived, HostActor
from harrieryoke.net.hostlist import BusEvent, EventReceived, HostListActor, Server, Topology, worker_number
from harrieryoke.reload import merge

from .interleave import Counts, Failed, Thread, Wait, World, actor_thread, explore, pause, replay, shape
from .rig import SETTINGS

NEW = i.RequestClass("swarm-alert", 300, 900, 4.0, 0.2, i.Effect.UNSAFE)


def find_planted_fault(make: Callable[[], World], failure: str) -> str:
    """Return the schedule that shows the planted fault; the fault must show again when it is replayed."""
    with pytest.raises(Failed, match=failure) as found:
        explore(make)
    assert replay(make, found.value.schedule) == found.value.failure
    return found.value.schedule


# --- the explorer itself ---


class Additions(World):
    """Two threads that each add one to a number; with `keyed`, states are recognised."""

    def __init__(self, keyed: bool, safe: bool = False) -> None:
        self.keyed, self.number, self.read_values = keyed, 0, {"a": 0, "b": 0}
        self.threads = {name: self.adding_thread(name, safe) for name in "ab"}

    def adding_thread(self, name: str, safe: bool) -> Thread:
        def read() -> None:
            self.read_values[name] = self.number

        def write() -> None:
            self.number = (self.number if safe else self.read_values[name]) + 1

        return [("begin", lambda: None), ("read", read), ("write", write)]

    def key(self) -> Hashable:
        return (self.number, *self.read_values.values()) if self.keyed else None

    def final(self) -> None:
        assert self.number == 2, "an addition was lost"


def test_each_schedule_is_played_once() -> None:
    assert explore(lambda: Additions(False, safe=True)) == Counts(20, 69, True)  # 6! / 3! / 3!
    assert explore(lambda: Additions(True, safe=True)).states < 40
    assert explore(lambda: Additions(False, safe=True), preemptions=0) == Counts(2, 13, False)
    assert not explore(lambda: Additions(False, safe=True), max_schedules=19).complete


@pytest.mark.parametrize("keyed", [False, True])
def test_the_shortest_failing_schedule_is_found_and_can_be_replayed(keyed: bool) -> None:
    schedule = find_planted_fault(lambda: Additions(keyed), "AssertionError: an addition was lost")
    lines = schedule.splitlines()
    assert len(lines) == 6 and sum(a[0] != b[0] for a, b in pairwise(lines)) == 2
    with pytest.raises(ValueError, match="only"):
        replay(lambda: Additions(keyed), "c:read")


class Locks(World):
    """Two threads that take two locks in opposite order."""

    def __init__(self) -> None:
        self.free = {"x": True, "y": True}
        self.threads = {"a": self.locking_thread("x", "y"), "b": self.locking_thread("y", "x")}

    def locking_thread(self, *names: str) -> Iterator[Wait]:
        for name in names:
            yield Wait(partial(self.free.get, name), f"take-{name}")
            self.free[name] = False
        self.free.update(x=True, y=True)


def test_a_deadlock_is_a_failure() -> None:
    assert find_planted_fault(Locks, "deadlock of a, b") == "a:take-x\nb:take-y"


# --- surroundings of the real code ---


class NullLog(Log):
    def write_line(self, *arguments: object) -> None: ...


class SingleHostRouter:
    """Replaces the router: one attempt for each call, at one host; a call without an answer is refused."""

    ejected_count, list_current = 0, True  # read by the actor for its log

    def __init__(self, worker: int) -> None:
        self.worker, self.events = worker, list[i.Event]()

    def memory_bytes(self) -> int:
        return 0

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.events += events
        actions: list[i.Action] = []
        for e in events:
            if isinstance(e, i.RequestArrived):
                actions.append(i.StartAttempt(e.request, self.worker))
            elif isinstance(e, i.RequestDropped):
                actions.append(i.CancelAttempt(e.request, 0))
            elif isinstance(e, i.AttemptEnded) and not e.finished:
                actions.append(i.Refuse(e.request))
        return actions


class CountingTable(RequestTable):
    """The real table; counts the attempts it created."""

    created = 0

    def create_attempt(self, *args: Any) -> AttemptTask:
        self.created += 1
        return super().create_attempt(*args)


class Core(World):
    """The real module actor and table on the world's clock; as a front, records the answers."""

    def __init__(
        self, patch: pytest.MonkeyPatch, worker: int, kind: type[CountingTable] = CountingTable
    ) -> None:
        # a late wake-up is equivalent to a tick
        patch.setattr(module, "gevent", SimpleNamespace(sleep=lambda s: None))
        self.now, self.results, self.answers = 1000.0, list[tuple[str, str]](), list[str]()
        self.log = NullLog()
        self.core = ModuleActor(SETTINGS, 7, Limits(), self.log, self.clock)
        self.script = self.core.router = SingleHostRouter(worker)  # type: ignore[assignment]
        self.table = self.core.table = kind(SETTINGS, Limits(), self.core.metrics, self.log)
        self.table.observers.append(self)
        self.calls = [Call(f"{n:016x}", 0, "f", 1100.0 + n) for n in (1, 2)]

    def __repr__(self) -> str:
        return "world"

    def clock(self) -> float:
        return self.now

    def until(self, now: float) -> tuple[str, Callable[[], None]]:
        return f"at-{now:.0f}", lambda: setattr(self, "now", now)

    def offer(self, n: int) -> tuple[str, Callable[[], object]]:
        return f"offer-{n}", lambda: self.core.offer(self.calls[n], self)

    def withdraw(self, n: int) -> tuple[str, Callable[[], object]]:
        return f"withdraw-{n}", lambda: self.core.withdraw(self.calls[n])

    def served(self, call: Call, body: bytes) -> None:
        self.answers.append(call.request_id)

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.answers.append(call.request_id)

    def failed(self, call: Call, reason: str) -> None:
        self.answers.append(call.request_id)

    def call_ended(self, call: Call, how: str) -> None:
        self.results.append((call.request_id, how))

    def attempts(self) -> list[i.AttemptEnded]:
        return [e for e in self.script.events if isinstance(e, i.AttemptEnded)]

    def check(self) -> None:
        assert max(Counter(rid for rid, _ in self.results).values(), default=1) == 1, "a call ended twice"
        expected = [rid for rid, how in self.results if how != "withdrawn"]
        assert self.answers == expected, "an answer without a result"
        reported = Counter((e.request, e.attempt) for e in self.attempts())
        assert max(reported.values(), default=1) == 1, "an attempt ended twice"
        assert "module-fault" not in self.log.totals

    def final(self) -> None:
        assert sorted(rid for rid, _ in self.results) == [
            c.request_id for c in self.calls
        ], "a call without a result"
        table = self.table
        left = table.ports_by_task or table.open_attempts or table.entries or len(table.deadlines)
        assert not left, "a task without a result"
        assert len(self.attempts()) == table.created, "an attempt without a result"

    def key(self) -> Hashable:
        table = self.table
        ended = sorted((e.request, e.attempt, e.outcome.value) for e in self.attempts())
        return shape(
            self.now,
            sorted(self.results),
            ended,
            self.core.mailbox,
            self.core.pending_events,
            table.stop_deadline,
            table.entries,
            list(table.ports_by_task),
        )


# --- a host that closes against a dispatch ---


class StubSocket:
    """Accepts whole frames and passes the requests among them to the world."""

    def __init__(self, actor: StubHost) -> None:
        self.actor = actor

    def __repr__(self) -> str:
        return "socket"

    def setsockopt(self, *option: int) -> None: ...

    def settimeout(self, seconds: float) -> None: ...

    def close(self) -> None: ...

    def sendall(self, data: bytes) -> None:
        _, code, _, _, id = frames.HEADER.unpack_from(data)
        if code == frames.REQUEST:
            self.actor.world.write(self.actor, id)
            pause("written")


class StubHost(HostActor):
    """The real actor; others may continue during its dial."""

    def __init__(self, world: Dispatch, *args: Any) -> None:
        super().__init__(*args)
        self.world = world

    def __repr__(self) -> str:
        return self.name

    def start(self) -> None:
        self.world.actors.append(self)
        self.world.threads[f"host-{len(self.world.actors)}"] = actor_thread(self, self.world.clock)

    def connect(self) -> Any:
        pause("dial")
        return StubSocket(self)


class HastyHost(StubHost):
    """Planted fault: checks the host's status only once, before the dial."""

    def send_task(self, task: Task) -> None:
        standing = self.status
        self.status = replace(standing)
        super().send_task(task)
        self.status = standing


class WatchedList(HostListActor):
    """The real list; counts the events it applied."""

    applied = 0

    def apply_entries(self, servers: list[Server], scope: i.ListScope) -> None:
        super().apply_entries(servers, scope)
        self.applied += 1


CHANGES = {
    "drains": Topology([Server("h1", "10.0.0.1:9", "leaving")]),
    "leaves": Topology([Server("h1", "10.0.0.1:9", "left")]),
    "left out": Topology([Server("h2", "10.0.0.2:9", "active")], full=True),
    "replaced": Topology([Server("h2", "10.0.0.1:9", "active")]),
    "moves": Topology([Server("h1", "10.0.0.2:9", "active")]),
}


class Dispatch(Core):
    """Two calls for one host, which closes: the real list, module and host's actor, with a stub link.

    The second call is in the host's mailbox while the first one dials. At any moment, at once, all times may
    pass.
    """

    def __init__(self, patch: pytest.MonkeyPatch, change: str, kind: type[StubHost] = StubHost) -> None:
        super().__init__(patch, worker_number("h1"))
        patch.setattr(host, "now_ms", self.clock)
        patch.setattr(host, "spawn", lambda *reader: None)
        patch.setattr(hostlist, "HostActor", partial(kind, self))
        self.threads, self.actors = {}, list[StubHost]()
        self.written, self.requests = list[str](), list[tuple[StubHost, int]]()
        self.reports: Counter[Task] = Counter()
        self.list = WatchedList(SETTINGS, Limits(), self.log, self.core.blocking_send, self.report, Metrics())
        self.list.apply_entries([Server("h1", "10.0.0.1:9", "active")], i.ListScope.REMEMBERED)
        message = EventReceived(BusEvent(1, CHANGES[change]))
        self.threads |= {
            "client": [self.offer(0), self.offer(1), self.withdraw(1)],
            "bus": [("say", lambda: self.list.blocking_send(message))],
            "list": actor_thread(self.list, self.clock),
            "module": actor_thread(self.core, self.clock),
            "h1": self.answering(),
            "clock": [self.until(5000.0)],
        }

    def report(self, ended: TaskEnded) -> None:
        self.reports[ended.task] += 1
        self.core.blocking_send(ended)

    def write(self, actor: StubHost, id: int) -> None:
        closed = self.list.applied > 1 and actor is self.actors[0]
        assert not closed, "written after the status had changed"
        self.written.append(f"{id:016x}")
        self.requests.append((actor, id))

    def answering(self) -> Iterator[Wait]:
        """The model host: it answers what it has read, if the link still exists."""
        while True:
            yield Wait(lambda: self.requests, "answer", idle=True)
            actor, id = self.requests.pop(0)
            for link in actor.links:
                actor.blocking_send(FramesReceived(link, [frames.Frame(frames.OK, id, {})]))

    def check(self) -> None:
        super().check()
        assert max(self.reports.values(), default=1) == 1, "a host reported an end twice"
        assert max(Counter(self.written).values(), default=1) == 1, "written twice"
        for e in self.attempts():
            request_id = self.calls[e.request - 1].request_id
            assert e.outcome not in NEVER_RAN or request_id not in self.written, "it has run"

    def key(self) -> Hashable:
        hosts = [
            (
                a.mailbox,
                getattr(a.mailbox, "current", None),
                [(k.open, k.waiting_since, k.last_used) for k in a.links],
                list(a.locations),
                a.status,
                a.removed,
                a.finished,
            )
            for a in self.actors
        ]
        return (
            super().key(),
            self.list.applied,
            shape(hosts, self.list.mailbox, self.written, self.requests),
        )


@pytest.mark.parametrize("change", CHANGES)
def test_no_order_of_a_close_against_a_dispatch_writes_late_or_ends_a_task_twice(
    monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    """A ban is the same kind of drain: the list's actor reports both in the same way."""
    counts = explore(lambda: Dispatch(monkeypatch, change), preemptions=1 if change == "drains" else 0)
    assert counts.states > (2000 if change == "drains" else 200)


def test_a_status_check_only_before_the_dial_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def make() -> Dispatch:
        return Dispatch(monkeypatch, "drains", HastyHost)

    with pytest.raises(Failed, match="written after the status had changed") as found:
        explore(make, preemptions=1)
    assert replay(make, found.value.schedule) == found.value.failure


# --- new settings against arrival and expiry ---


class Reload(Core):
    """A call of an old class, withdrawn or expiring, while settings add a class and retire the old one.

    A call of the new class follows. `early` plants a fault: the front names the new class too early.
    """

    def __init__(self, patch: pytest.MonkeyPatch, early: bool = False) -> None:
        super().__init__(patch, 1)
        merged = merge(SETTINGS, replace(SETTINGS, classes=(NEW, *SETTINGS.classes[1:])), 8)
        self.calls = [self.calls[0], Call(f"{2:016x}", len(SETTINGS.classes), "f", 1200.0)]
        reload = "reload", lambda: self.core.blocking_send(SettingsChanged(merged))
        self.threads = {
            "client": [self.offer(0), self.withdraw(0)],
            "service": [self.offer(1), reload] if early else [reload, self.offer(1)],
            "module": actor_thread(self.core, self.clock),
            "clock": [self.until(1110.0), self.until(5000.0)],
        }

    def final(self) -> None:
        super().final()
        assert self.table.settings.classes[len(SETTINGS.classes)] == NEW

    def key(self) -> Hashable:
        return super().key(), len(self.table.settings.classes)


def test_no_order_of_new_settings_against_arrival_and_expiry_loses_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts = explore(lambda: Reload(monkeypatch))
    assert counts.complete and counts.states > 50
    with pytest.raises(Failed) as found:
        explore(lambda: Reload(monkeypatch, early=True))
    assert replay(lambda: Reload(monkeypatch, early=True), found.value.schedule) == found.value.failure
