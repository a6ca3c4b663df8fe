"""The module actor: gives the decision module what has come in and carries out what it says, in order."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import gevent

from .. import interface as i
from ..brain import Router
from ..limits import Limits
from ..log import Log
from .actor import Actor
from .clock import WallClockWatch, now_ms
from .metrics import Metrics
from .records import (
    ActiveChanged,
    AttemptTask,
    Call,
    CallReceived,
    CallWithdrawn,
    CountersRequested,
    Door,
    Front,
    Gate,
    HostPort,
    OrderTask,
    PrewarmRequested,
    ProbeTask,
    Recorder,
    RouterCommand,
    SettingsChanged,
    Stopping,
    Task,
    TaskEnded,
    WorkerListConfirmed,
    WorkersChanged,
)
from .table import Entry, RequestTable

LOAD_LOOKUPS = (i.CopyLookup.STARTED_LOAD, i.CopyLookup.WAITED_FOR_LOAD)


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
        self.metrics = Metrics(c.name for c in settings.classes)
        self.limits, self.avoided_counted_at = limits, 0.0
        self.table = RequestTable(settings, limits, self.metrics, log)
        self.wall_clock = WallClockWatch()
        self.logged_hosts_out = 0  # as last logged
        self.logged_list_current = True  # as last logged
        self.last_confirmation: i.ListConfirmed | None = None  # the last one
        self.host_ports: dict[int, HostPort] = {}
        self.host_names: dict[int, str] = {}  # of the hosts that have a port
        self.worker_entries: dict[int, i.WorkerEntry] = {}
        self.timers: list[tuple[float, str]] = []  # a heap
        self.timer_slack = limits.timer_slack_ms
        self.pending_events: list[i.Event] = []  # what the table itself ended: heard in the next round
        self.pending_commands: list[Callable[[Router], object]] = []
        self.active = True  # clients come to this process, not to one that has taken over
        self.orders_allowed_from = 0.0  # after a fault in the module: no load orders before this
        self.message_handlers: dict[type, Callable[[Any, float], i.Event | None]] = {
            CallReceived: self.on_call_received,
            CallWithdrawn: self.on_call_withdrawn,
            TaskEnded: self.on_task_ended,
            WorkersChanged: self.on_workers_changed,
            WorkerListConfirmed: self.on_list_confirmed,
            Stopping: self.on_stopping,
            CountersRequested: self.on_counters_requested,
            PrewarmRequested: self.on_prewarm_requested,
            RouterCommand: self.on_router_command,
            ActiveChanged: self.on_active_changed,
            SettingsChanged: self.on_settings_changed,
        }
        self.action_handlers: dict[type, Callable[[Any, float], None]] = {
            i.StartAttempt: self.start_attempt,
            i.CancelAttempt: self.cancel_attempt,
            i.Refuse: self.refuse,
            i.Fail: self.fail,
            i.OrderCopies: self.order_copies,
            i.DropCopies: self.drop_copies,
            i.Probe: self.probe,
            i.SetTimer: self.set_timer,
            i.LogLine: self.write_log_line,
        }

    # --- what fronts and hosts say ---

    def offer(self, call: Call, front: Front) -> bool:
        """A front's request; waits for room, so that a full mailbox slows the fronts instead of losing."""
        if self.recorder is not None:
            front = self.recorder.front_for(front)
        return self.pass_gate(call, front) if self.gate is None else self.gate.offer(call, front)

    def pass_gate(self, call: Call, front: Front) -> bool:
        """Past the gate, if there is one."""
        if not call.function:
            self.table.notify_observers(call, "failed")
            front.failed(call, "no function was named for it")
            return True
        return self.pass_door(call, front) if self.door is None else self.door.offer(call, front)

    def pass_door(self, call: Call, front: Front) -> bool:
        """Past the door, if there is one."""
        self.metrics.waiting += 1
        entered = self.blocking_send(CallReceived(call, front))
        if not entered:
            self.metrics.waiting -= 1
        return entered

    def withdraw(self, call: Call) -> bool:
        return self.withdraw_past_gate(call) if self.gate is None else self.gate.withdraw(call)

    def withdraw_past_gate(self, call: Call) -> bool:
        """The client of a call that is past the gate has left."""
        return self.withdraw_past_door(call) if self.door is None else self.door.withdraw(call)

    def withdraw_past_door(self, call: Call) -> bool:
        return self.blocking_send(CallWithdrawn(call))

    def set_gate(self, gate: Gate) -> None:
        """Before anything starts."""
        self.gate = gate
        self.table.observers.append(gate)

    def set_recorder(self, recorder: Recorder) -> None:
        """Before anything starts."""
        self.recorder = recorder
        self.table.observers.append(recorder)

    def set_door(self, door: Door) -> None:
        """Before anything starts."""
        self.door = door
        self.table.observers.append(door)

    # --- the loop ---

    def run(self) -> None:
        stepped = 0.0
        while not self.finished:
            self.wait_for_message(self.next_wake_time() - self.clock())
            pause = stepped + self.settings.tick - self.clock()
            if 0 < pause <= self.settings.tick:
                gevent.sleep(pause / 1000)
            stepped, messages = self.clock(), list(self.mailbox)
            self.mailbox.clear()
            self.space_available.set()
            self.step(stepped, messages)
            self.log_state_changes()

    def log_state_changes(self) -> None:
        """Log what changed by itself: the wall clock, whether the worker list is current, and how many model
        hosts the router leaves out."""
        if step := self.wall_clock.read_step():
            self.log(
                "clock-stepped",
                f"the wall clock was set {'ahead' if step > 0 else 'back'} by {abs(step):.0f} ms",
            )
        if self.router.list_current != self.logged_list_current:
            self.logged_list_current = self.router.list_current
            self.log(
                "list-current" if self.logged_list_current else "list-unconfirmed", self.describe_list_age()
            )
        if self.router.outs != self.logged_hosts_out:
            self.logged_hosts_out = self.router.outs
            out = sorted(self.host_name(number) for number, w in self.router.workers.items() if w.out)
            self.log("hosts-out", f"{len(out)} of {len(self.router.workers)}: {', '.join(out) or 'none'}")

    def describe_list_age(self) -> str:
        """Say for the log how old the worker list is, and what that means for model hosts."""
        age = self.router.list_age
        since = "" if age.confirmed is None else f"confirmed {self.clock() - age.confirmed:.0f} ms ago"
        doubtful = ", ".join(sorted(map(self.host_name, age.doubtful)))
        return f"{since}; unreadable last entries: {doubtful or 'none'}"

    def host_name(self, worker: int) -> str:
        """Return a model host's name for the log; its number where it has left the list."""
        return self.host_names.get(worker, str(worker))

    def next_wake_time(self) -> float:
        """When to look next: at most a second ahead, so that a step of the wall clock is logged soon."""
        # guards against waking for each timer alone: most find their request answered, and a round just for
        # them keeps the next message waiting for its tick; in the slack a message's round takes them along
        timer = (self.timers[0][0] if self.timers else float("inf")) + self.timer_slack
        first = timer if not self.pending_events else 0.0
        most = self.limits.figures_ms if self.metrics.watched else 1000.0
        return min(first, self.table.next_deadline(), self.clock() + most)

    def step(self, now: float, messages: list[Any]) -> None:
        """One round: events in the order they came, one call of the module, its actions in order."""
        events, self.pending_events = self.pending_events, []
        events += [e for m in messages if (e := self.message_handlers[type(m)](m, now)) is not None]
        events += [e for t in self.table.expire_tasks(now) if (e := self.event_for(t, now)) is not None]
        while self.timers and self.timers[0][0] <= now:
            events.append(i.TimerFired(heappop(self.timers)[1]))
        self.run_router(now, events)
        if self.metrics.watched and not 0 <= now - self.avoided_counted_at < self.limits.recount_ms:
            self.avoided_counted_at, self.metrics.avoided = now, self.count_avoided()
        if self.pending_commands:
            self.run_pending_commands(now)
        for entry in self.table.take_unanswered():
            # guards against a module that leaves a request unanswered at its time: the table answers
            self.table.counts["guarded"] += 1
            self.log("guarded", f"{entry.call.request_id} had no answer from the module at its time")
            self.table.refuse_by_default(entry)
            self.pending_events.append(i.RequestDropped(entry.number))

    def count_avoided(self) -> int:
        """How many of the listed model hosts that take calls the module leaves out by its own choice."""
        router = self.router
        return sum(w.up and not router.usable(w) for w in router.workers.values())

    def run_router(self, now: float, events: list[i.Event]) -> None:
        if not events:
            return
        try:
            actions = self.router.handle(now, events)
            for action in actions:
                self.action_handlers[type(action)](action, now)
        except Exception:
            # guards against a fault in the module: what is open is answered, and a fresh module goes on
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.restart_router(now)

    def run_pending_commands(self, now: float) -> None:
        visits, self.pending_commands = self.pending_commands, []
        try:
            for do in visits:
                do(self.router)
        except Exception:
            # guards against what a visit left half done: a fresh module goes on
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.restart_router(now)

    def restart_router(self, now: float) -> None:
        for entry in list(self.table.entries.values()):
            self.table.refuse_by_default(entry)
        for task in list(self.table.ports_by_task):
            self.table.cancel_task(task, i.Outcome.CANCELLED)
        self.seed += 1
        self.router, self.timers = Router(self.settings, self.seed), []
        self.orders_allowed_from = (
            now + self.settings.order_limit_window
        )  # the fresh one does not know of earlier orders
        known: list[i.Event] = [i.WorkersListed(i.ListScope.REMEMBERED, tuple(self.worker_entries.values()))]
        known += [] if self.last_confirmation is None else [self.last_confirmation]
        for action in self.router.handle(now, known):
            self.action_handlers[type(action)](action, now)

    # --- messages into events ---

    def on_call_received(self, m: CallReceived, now: float) -> i.Event | None:
        self.metrics.waiting -= 1
        return self.table.accept(m.call, m.front, now)

    def on_call_withdrawn(self, m: CallWithdrawn, now: float) -> i.Event | None:
        return self.table.withdraw(m.call)

    def on_workers_changed(self, m: WorkersChanged, now: float) -> i.Event | None:
        if m.event.scope is not i.ListScope.CHANGES:
            self.host_ports, self.worker_entries, self.host_names = {}, {}, {}
        self.host_ports.update(m.ports)
        self.host_names.update({worker: host.name for worker, host in m.names.items()})
        self.worker_entries.update({e.worker: e for e in m.event.workers})
        for gone in [worker for worker, e in self.worker_entries.items() if e.status is i.WorkerStatus.GONE]:
            # guards the memory against hosts that are replaced under ever new ids
            self.host_ports.pop(gone, None)
            self.host_names.pop(gone, None)
            del self.worker_entries[gone]
        if self.gate is not None:
            self.gate.workers_changed(m)
        return m.event

    def on_list_confirmed(self, m: WorkerListConfirmed, now: float) -> i.Event | None:
        self.last_confirmation = m.event
        return m.event

    def on_prewarm_requested(self, m: PrewarmRequested, now: float) -> i.Event | None:
        return i.PrewarmRequested(m.function)

    def on_router_command(self, m: RouterCommand, now: float) -> i.Event | None:
        self.pending_commands.append(m.run)
        return None

    def on_active_changed(self, m: ActiveChanged, now: float) -> i.Event | None:
        self.active = m.active
        return None

    def on_settings_changed(self, m: SettingsChanged, now: float) -> i.Event | None:
        """The table and the module follow in the same round: none knows a class that the other does not."""
        self.settings = self.table.settings = m.settings
        return i.SettingsChanged(m.settings)

    def on_stopping(self, m: Stopping, now: float) -> i.Event | None:
        self.table.limit_deadlines(m.by)
        return None

    def on_counters_requested(self, m: CountersRequested, now: float) -> i.Event | None:
        m.reply(self.table.counts | {"open": len(self.table.entries)})
        return None

    def on_task_ended(self, m: TaskEnded, now: float) -> i.Event | None:
        ended = self.table.end_task(m)
        return None if ended is None else self.event_for(ended, now)

    def event_for(self, m: TaskEnded, now: float) -> i.Event | None:
        """A task's end as the module hears it; the first OK is the request's answer."""
        task, took = m.task, max(0.0, now - m.task.sent)
        if isinstance(task, OrderTask):
            if self.door is not None and task.copies:
                self.table.mark_waited_for_load(task.function)
            return i.OrderEnded(task.worker, task.function, m.outcome, m.copies, took)
        if not isinstance(task, AttemptTask):
            if m.outcome is not i.Outcome.OK:
                self.log("probe", f"{self.host_name(task.worker)} takes no new work: {m.outcome.value}")
            return i.ProbeEnded(task.worker, m.outcome, took, m.report)
        entry = self.table.entries.get(task.request)
        if entry is not None and (m.outcome is i.Outcome.MISS or m.copy_lookup in LOAD_LOOKUPS):
            entry.call.waited_for_load = True
        if entry is not None and m.outcome is i.Outcome.OK:
            self.table.serve(entry, m.body)
        return i.AttemptEnded(
            task.request,
            task.worker,
            task.number,
            m.outcome,
            took,
            task.request not in self.table.entries,
            m.copy_lookup,
            m.load_failed,
            m.concurrent_requests,
            m.report,
        )

    # --- actions ---

    def queue_event(self, ended: TaskEnded | None, now: float) -> None:
        if ended is not None and (event := self.event_for(ended, now)) is not None:
            self.pending_events.append(event)

    def start_task(self, task: Task, now: float) -> None:
        ended = self.table.start_task(task, self.host_ports.get(task.worker))
        self.queue_event(ended, now)

    def start_attempt(self, a: i.StartAttempt, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            attempt = self.table.create_attempt(entry, a.worker, a.stop_at or entry.deadline, now)
            attempt.start_by = min(attempt.start_by, a.start_by)
            if attempt.number:
                self.log(
                    "retry",
                    f"{entry.call.request_id} at {self.host_name(a.worker)}: {self.describe_progress(entry, now)}",
                )
            self.start_task(attempt, now)

    def cancel_attempt(self, a: i.CancelAttempt, now: float) -> None:
        if task := self.table.open_attempts.get((a.request, a.attempt)):
            self.queue_event(self.table.cancel_task(task, i.Outcome.CANCELLED), now)

    def refuse(self, a: i.Refuse, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            self.log("refused", f"{entry.call.request_id}: {self.describe_progress(entry, now)}")
            self.table.refuse(entry, a.retry_after)

    def fail(self, a: i.Fail, now: float) -> None:
        if entry := self.table.entries.get(a.request):
            self.log("failed", f"{entry.call.request_id}: {self.describe_progress(entry, now)}")
            self.table.fail(entry, "not served")

    def describe_progress(self, entry: Entry, now: float) -> str:
        """Say for the log how far a request has come, and how the last attempt of it ended."""
        ran = f", may have run since {now - entry.may_have_run_since:.0f} ms" if entry.may_have_run else ""
        last = f", the last one ended {entry.last_outcome.value}" if entry.last_outcome else ""
        waited = now - entry.call.received_at
        return f"{entry.attempt_count} attempts{last}{ran}; taken {waited:.0f} ms ago, {entry.deadline - now:.0f} ms left"

    def order_copies(self, a: i.OrderCopies, now: float) -> None:
        order = OrderTask(
            a.worker,
            now + self.settings.order_timeout,
            now,
            start_by=a.start_by,
            function=a.function,
            copies=a.copies,
        )
        spare = not self.active and all(e.call.function != a.function for e in self.table.entries.values())
        if a.copies and (now < self.orders_allowed_from or spare):
            self.queue_event(TaskEnded(order, i.Outcome.FULL), now)
        else:
            if a.copies:
                ordered, arrived = len(self.router.ordered), len(self.router.arrivals)
                counts = f"{ordered} orders and {arrived} requests in the window"
                self.log("order", f"{a.function} at {self.host_name(a.worker)}: {counts}")
            self.start_task(order, now)

    def drop_copies(self, a: i.DropCopies, now: float) -> None:
        if self.active and (port := self.host_ports.get(a.worker)):
            port.drop_copies(a.function)

    def probe(self, a: i.Probe, now: float) -> None:
        self.start_task(ProbeTask(a.worker, now + self.settings.connect_timeout, now), now)

    def set_timer(self, a: i.SetTimer, now: float) -> None:
        heappush(self.timers, (a.at, a.name))

    def write_log_line(self, a: i.LogLine, now: float) -> None:
        self.log("module-note", a.text)
