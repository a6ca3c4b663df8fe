"""The module actor: gives the decision module what has come in and carries out what it says, in order."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import gevent

from .. import interface as i
from ..limits import Limits
from ..log import Log
from ..router import Router
from .actor import Actor
from .clock import WallClockWatch, now_ms
from .metrics import Metrics
from .records import (
    Attempt,
    Call,
    Check,
    Confirmed,
    Counted,
    Door,
    Front,
    Gate,
    HostPort,
    Leading,
    Listed,
    Order,
    Recorder,
    Retuned,
    Stopping,
    Taken,
    Task,
    TaskEnded,
    Visit,
    Wished,
    Withdrawn,
)
from .table import Entry, RequestTable

LOADED = (i.CopyLookup.STARTED_LOAD, i.CopyLookup.WAITED_FOR_LOAD)


class ModuleActor(Actor):
    """Owns the router, the request table, the timers and what it was told of the hosts' mailboxes."""

    def __init__(
        self, settings: i.Settings, seed: int, limits: Limits, log: Log, clock: Callable[[], float] = now_ms
    ) -> None:
        super().__init__("module", limits.module_mailbox, log)
        self.settings, self.seed, self.clock = settings, seed, clock
        self.gate: Gate | None = None  # plug-ins, where the operator has some
        self.door: Door | None = None  # fair queues, likewise
        self.recorder: Recorder | None = None  # the ledger, likewise
        self.router = Router(settings, seed)
        self.figures = Metrics(c.name for c in settings.classes)
        self.limits, self.recounted = limits, 0.0
        self.table = RequestTable(settings, limits, self.figures, log)
        self.wall_clock = WallClockWatch()
        self.hosts_out = 0  # as last logged
        self.list_current = True  # as last logged
        self.list_confirmed: i.ListConfirmed | None = None  # the last one
        self.ports: dict[int, HostPort] = {}
        self.names: dict[int, str] = {}  # of the hosts that have a port
        self.entries: dict[int, i.WorkerEntry] = {}
        self.timers: list[tuple[float, str]] = []  # a heap
        self.slack = limits.timer_slack_ms
        self.echoes: list[i.Event] = []  # what the table itself ended: heard in the next round
        self.visits: list[Callable[[Router], object]] = []
        self.leading = True  # clients come to this process, not to one that has taken over
        self.orders_from = 0.0  # after a fault in the module: no load orders before this
        self.readers: dict[type, Callable[[Any, float], i.Event | None]] = {
            Taken: self.taken,
            Withdrawn: self.withdrawn,
            TaskEnded: self.task_ended,
            Listed: self.listed,
            Confirmed: self.confirmed,
            Stopping: self.stopping,
            Counted: self.counted,
            Wished: self.wished,
            Visit: self.visit,
            Leading: self.lead,
            Retuned: self.retuned,
        }
        self.doers: dict[type, Callable[[Any, float], None]] = {
            i.StartAttempt: self.start_attempt,
            i.CancelAttempt: self.cancel_attempt,
            i.Refuse: self.refuse,
            i.Fail: self.fail,
            i.OrderCopies: self.order_copies,
            i.DropCopies: self.drop_copies,
            i.Probe: self.probe,
            i.SetTimer: self.set_timer,
            i.LogLine: self.note,
        }

    # --- what fronts and hosts say ---

    def offer(self, call: Call, front: Front) -> bool:
        """A front's request; waits for room, so that a full mailbox slows the fronts instead of losing."""
        if self.recorder is not None:
            front = self.recorder.front_for(front)
        return self.enter(call, front) if self.gate is None else self.gate.offer(call, front)

    def enter(self, call: Call, front: Front) -> bool:
        """Past the gate, if there is one."""
        if not call.function:
            self.table.tell_watchers(call, "failed")
            front.failed(call, "no function was named for it")
            return True
        return self.admit(call, front) if self.door is None else self.door.offer(call, front)

    def admit(self, call: Call, front: Front) -> bool:
        """Past the door, if there is one."""
        self.figures.waiting += 1
        entered = self.push(Taken(call, front))
        if not entered:
            self.figures.waiting -= 1
        return entered

    def withdraw(self, call: Call) -> bool:
        return self.leave(call) if self.gate is None else self.gate.withdraw(call)

    def leave(self, call: Call) -> bool:
        """The client of a call that is past the gate has left."""
        return self.drop(call) if self.door is None else self.door.withdraw(call)

    def drop(self, call: Call) -> bool:
        return self.push(Withdrawn(call))

    def set_gate(self, gate: Gate) -> None:
        """Before anything starts."""
        self.gate = gate
        self.table.watchers.append(gate)

    def set_recorder(self, recorder: Recorder) -> None:
        """Before anything starts."""
        self.recorder = recorder
        self.table.watchers.append(recorder)

    def set_door(self, door: Door) -> None:
        """Before anything starts."""
        self.door = door
        self.table.watchers.append(door)

    # --- the loop ---

    def run(self) -> None:
        stepped = 0.0
        while not self.over:
            self.wait(self.next_time() - self.clock())
            pause = stepped + self.settings.tick - self.clock()
            if 0 < pause <= self.settings.tick:
                gevent.sleep(pause / 1000)
            stepped, messages = self.clock(), list(self.box)
            self.box.clear()
            self.emptied.set()
            self.step(stepped, messages)
            self.log_state()

    def log_state(self) -> None:
        """Log what changed by itself: the wall clock, whether the worker list is current, and how many model
        hosts the router leaves out."""
        if step := self.wall_clock.read_step():
            self.log(
                "clock-stepped",
                f"the wall clock was set {'ahead' if step > 0 else 'back'} by {abs(step):.0f} ms",
            )
        if self.router.list_current != self.list_current:
            self.list_current = self.router.list_current
            self.log("list-current" if self.list_current else "list-unconfirmed", self.list_state())
        if self.router.ejected_count != self.hosts_out:
            self.hosts_out = self.router.ejected_count
            out = sorted(self.host_name(number) for number, w in self.router.workers.items() if w.ejected)
            self.log("hosts-out", f"{len(out)} of {len(self.router.workers)}: {', '.join(out) or 'none'}")

    def list_state(self) -> str:
        """Say for the log how old the worker list is, and what that means for model hosts."""
        age = self.router.list_age
        since = "" if age.confirmed_at is None else f"confirmed {self.clock() - age.confirmed_at:.0f} ms ago"
        doubtful = ", ".join(sorted(map(self.host_name, age.unreadable)))
        return f"{since}; unreadable last entries: {doubtful or 'none'}"

    def host_name(self, worker: int) -> str:
        """Return a model host's name for the log; its number where it has left the list."""
        return self.names.get(worker, str(worker))

    def next_time(self) -> float:
        """When to look next: at most a second ahead, so that a step of the wall clock is logged soon."""
        # guards against waking for each timer alone: most find their request answered, and a round just for
        # them keeps the next message waiting for its tick; in the slack a message's round takes them along
        timer = (self.timers[0][0] if self.timers else float("inf")) + self.slack
        first = timer if not self.echoes else 0.0
        most = self.limits.figures_ms if self.figures.watched else 1000.0
        return min(first, self.table.next_time(), self.clock() + most)

    def step(self, now: float, messages: list[Any]) -> None:
        """One round: events in the order they came, one call of the module, its actions in order."""
        events, self.echoes = self.echoes, []
        events += [e for m in messages if (e := self.readers[type(m)](m, now)) is not None]
        events += [e for t in self.table.expired(now) if (e := self.event_of(t, now)) is not None]
        while self.timers and self.timers[0][0] <= now:
            events.append(i.TimerFired(heappop(self.timers)[1]))
        self.decide(now, events)
        if self.figures.watched and not 0 <= now - self.recounted < self.limits.recount_ms:
            self.recounted, self.figures.avoided = now, self.avoided()
        if self.visits:
            self.receive_visits(now)
        for entry in self.table.overdue():
            # guards against a module that leaves a request unanswered at its time: the table answers
            self.table.counts["guarded"] += 1
            self.log("guarded", f"{entry.call.rid} had no answer from the module at its time")
            self.table.give_up(entry)
            self.echoes.append(i.RequestDropped(entry.number))

    def avoided(self) -> int:
        """How many of the listed model hosts that take calls the module leaves out by its own choice."""
        router = self.router
        return sum(w.active and not router.is_usable(w) for w in router.workers.values())

    def decide(self, now: float, events: list[i.Event]) -> None:
        if not events:
            return
        try:
            actions = self.router.handle(now, events)
            for action in actions:
                self.doers[type(action)](action, now)
        except Exception:
            # guards against a fault in the module: what is open is answered, and a fresh module goes on
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.start_afresh(now)

    def receive_visits(self, now: float) -> None:
        visits, self.visits = self.visits, []
        try:
            for do in visits:
                do(self.router)
        except Exception:
            # guards against what a visit left half done: a fresh module goes on
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.start_afresh(now)

    def start_afresh(self, now: float) -> None:
        for entry in list(self.table.entries.values()):
            self.table.give_up(entry)
        for task in list(self.table.tasks):
            self.table.revoke(task, i.Outcome.CANCELLED)
        self.seed += 1
        self.router, self.timers = Router(self.settings, self.seed), []
        # the fresh one does not know of earlier orders
        self.orders_from = now + self.settings.order_limit_window
        known: list[i.Event] = [i.WorkersListed(i.ListScope.REMEMBERED, tuple(self.entries.values()))]
        known += [] if self.list_confirmed is None else [self.list_confirmed]
        for action in self.router.handle(now, known):
            self.doers[type(action)](action, now)

    # --- messages into events ---

    def taken(self, m: Taken, now: float) -> i.Event | None:
        self.figures.waiting -= 1
        return self.table.take(m.call, m.front, now)

    def withdrawn(self, m: Withdrawn, now: float) -> i.Event | None:
        return self.table.withdraw(m.call)

    def listed(self, m: Listed, now: float) -> i.Event | None:
        if m.event.scope is not i.ListScope.CHANGES:
            self.ports, self.entries, self.names = {}, {}, {}
        self.ports.update(m.ports)
        self.names.update({worker: host.name for worker, host in m.names.items()})
        self.entries.update({e.worker: e for e in m.event.workers})
        for gone in [worker for worker, e in self.entries.items() if e.status is i.WorkerStatus.GONE]:
            # guards the memory against hosts that are replaced under ever new ids
            self.ports.pop(gone, None)
            self.names.pop(gone, None)
            del self.entries[gone]
        if self.gate is not None:
            self.gate.listed(m)
        return m.event

    def confirmed(self, m: Confirmed, now: float) -> i.Event | None:
        self.list_confirmed = m.event
        return m.event

    def wished(self, m: Wished, now: float) -> i.Event | None:
        return i.PrewarmRequested(m.function)

    def visit(self, m: Visit, now: float) -> i.Event | None:
        self.visits.append(m.do)
        return None

    def lead(self, m: Leading, now: float) -> i.Event | None:
        self.leading = m.on
        return None

    def retuned(self, m: Retuned, now: float) -> i.Event | None:
        """The table and the module follow in the same round: none knows a class that the other does not."""
        self.settings = self.table.settings = m.settings
        return i.SettingsChanged(m.settings)

    def stopping(self, m: Stopping, now: float) -> i.Event | None:
        self.table.stop_by(m.by)
        return None

    def counted(self, m: Counted, now: float) -> i.Event | None:
        m.tell(self.table.counts | {"open": len(self.table.entries)})
        return None

    def task_ended(self, m: TaskEnded, now: float) -> i.Event | None:
        ended = self.table.settle(m)
        return None if ended is None else self.event_of(ended, now)

    def event_of(self, m: TaskEnded, now: float) -> i.Event | None:
        """A task's end as the module hears it; the first OK is the request's answer."""
        task, took = m.task, max(0.0, now - m.task.sent)
        if isinstance(task, Order):
            if self.door is not None and task.copies:
                self.table.waited_for(task.function)
            return i.OrderEnded(task.worker, task.function, m.outcome, m.copies, took)
        if not isinstance(task, Attempt):
            if m.outcome is not i.Outcome.OK:
                self.log("probe", f"{self.host_name(task.worker)} takes no new work: {m.outcome.value}")
            return i.ProbeEnded(task.worker, m.outcome, took, m.report)
        entry = self.table.entries.get(task.request)
        if entry is not None and (m.outcome is i.Outcome.MISS or m.found in LOADED):
            entry.call.cold = True
        if entry is not None and m.outcome is i.Outcome.OK:
            self.table.serve(entry, m.body)
        return i.AttemptEnded(
            task.request,
            task.worker,
            task.number,
            m.outcome,
            took,
            task.request not in self.table.entries,
            m.found,
            m.load_failed,
            m.crowd,
            m.report,
        )

    # --- actions ---

    def echo(self, ended: TaskEnded | None, now: float) -> None:
        if ended is not None and (event := self.event_of(ended, now)) is not None:
            self.echoes.append(event)

    def begin(self, task: Task, now: float) -> None:
        ended = self.table.begin(task, self.ports.get(task.worker))
        self.echo(ended, now)

    def start_attempt(self, a: i.StartAttempt, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            attempt = self.table.attempt(entry, a.worker, a.stop_at or entry.due, now)
            attempt.start_by = min(attempt.start_by, a.start_by)
            if attempt.number:
                self.log(
                    "retry", f"{entry.call.rid} at {self.host_name(a.worker)}: {self.progress(entry, now)}"
                )
            self.begin(attempt, now)

    def cancel_attempt(self, a: i.CancelAttempt, now: float) -> None:
        if task := self.table.attempts.get((a.request, a.attempt)):
            self.echo(self.table.revoke(task, i.Outcome.CANCELLED), now)

    def refuse(self, a: i.Refuse, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            self.log("refused", f"{entry.call.rid}: {self.progress(entry, now)}")
            self.table.refuse(entry, a.retry_after)

    def fail(self, a: i.Fail, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            self.log("failed", f"{entry.call.rid}: {self.progress(entry, now)}")
            self.table.fail(entry, "not served")

    def progress(self, entry: Entry, now: float) -> str:
        """Say for the log how far a request has come, and how the last attempt of it ended."""
        ran = f", may have run since {now - entry.ran_since:.0f} ms" if entry.may_have_run else ""
        last = f", the last one ended {entry.last_outcome.value}" if entry.last_outcome else ""
        waited = now - entry.call.taken
        return (
            f"{entry.attempts} attempts{last}{ran}; taken {waited:.0f} ms ago, {entry.due - now:.0f} ms left"
        )

    def order_copies(self, a: i.OrderCopies, now: float) -> None:
        order = Order(
            a.worker,
            now + self.settings.order_timeout,
            now,
            start_by=a.start_by,
            function=a.function,
            copies=a.copies,
        )
        spare = not self.leading and all(e.call.function != a.function for e in self.table.entries.values())
        if a.copies and (now < self.orders_from or spare):
            self.echo(TaskEnded(order, i.Outcome.FULL), now)
        else:
            if a.copies:
                ordered, arrived = len(self.router.order_times), len(self.router.arrival_times)
                counts = f"{ordered} orders and {arrived} requests in the window"
                self.log("order", f"{a.function} at {self.host_name(a.worker)}: {counts}")
            self.begin(order, now)

    def drop_copies(self, a: i.DropCopies, now: float) -> None:
        if self.leading and (port := self.ports.get(a.worker)):
            port.drop(a.function)

    def probe(self, a: i.Probe, now: float) -> None:
        self.begin(Check(a.worker, now + self.settings.connect_timeout, now), now)

    def set_timer(self, a: i.SetTimer, now: float) -> None:
        heappush(self.timers, (a.at, a.name))

    def note(self, a: i.LogLine, now: float) -> None:
        self.log("module-note", a.text)
