"""The actor of the decision module: passes it events and carries out its actions, in order."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import gevent

from .. import interface as i
from ..limits import Limits
from ..log import Log
from ..memory_budget import MemoryBudget, Pressure, request_size
from ..router import Router
from .actor import Actor
from .arrivals import ArrivalQueue
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

MAX_ARRIVALS = 8  # in one round: other events wait for no more than these
LOAD_LOOKUPS = (i.CopyLookup.STARTED_LOAD, i.CopyLookup.WAITED_FOR_LOAD)


class ModuleActor(Actor):
    """Owns the router, the request table, the timers and the interfaces of the model hosts."""

    def __init__(
        self, settings: i.Settings, seed: int, limits: Limits, log: Log, clock: Callable[[], float] = now_ms
    ) -> None:
        super().__init__("module", limits.module_mailbox, log)
        self.settings, self.seed, self.clock = settings, seed, clock
        self.gate: Gate | None = None  # plug-ins, if the operator configured any
        self.door: Door | None = None  # fair queues, if configured
        self.recorder: Recorder | None = None  # the ledger, if configured
        self.router = Router(settings, seed)
        self.metrics = Metrics(c.name for c in settings.classes)
        self.limits, self.avoided_counted_at = limits, 0.0
        self.table = RequestTable(settings, limits, self.metrics, log)
        self.memory = MemoryBudget(limits.budget_bytes())
        self.arrivals = ArrivalQueue()
        self.wall_clock = WallClockWatch()
        self.logged_hosts_out = 0  # value last logged
        self.logged_list_current = True  # value last logged
        self.memory_is_short = False  # as the router knows it
        self.last_confirmation: i.ListConfirmed | None = None
        self.host_ports: dict[int, HostPort] = {}
        self.host_names: dict[int, str] = {}  # of the workers in `host_ports`
        self.worker_entries: dict[int, i.WorkerEntry] = {}
        self.timers: list[tuple[float, str]] = []  # heap by time
        self.timer_slack = limits.timer_slack_ms
        self.pending_events: list[i.Event] = []  # caused by the table itself; for the next round
        self.pending_commands: list[Callable[[Router], object]] = []
        self.active = True  # no other process has taken over the clients
        self.orders_allowed_from = 0.0  # no load orders before this after a restart of the router
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

    # --- calls from the fronts ---

    def offer(self, call: Call, front: Front) -> bool:
        """Accept a call from a front, or refuse it for want of memory.

        Blocks while the mailbox is full, which slows the fronts down.
        """
        call.reservation = self.memory.reserve_request(request_size(len(call.body)))
        if self.recorder is not None:
            front = self.recorder.front_for(front)
        if call.reservation is None:
            self.log("refused", f"{call.request_id}: no memory on arrival: {self.memory.describe()}")
            self.table.notify_observers(call, "refused")
            front.refused(call, self.settings.max_retry_after or None)
            return True
        return self.pass_gate(call, front) if self.gate is None else self.gate.offer(call, front)

    def pass_gate(self, call: Call, front: Front) -> bool:
        """Continue a call after the plug-in gate, if there is one."""
        if not call.function:
            self.table.notify_observers(call, "failed")
            front.failed(call, "no function was named for it")
            return True
        return self.pass_door(call, front) if self.door is None else self.door.offer(call, front)

    def pass_door(self, call: Call, front: Front) -> bool:
        """Continue a call after the door, if there is one."""
        self.metrics.waiting += 1
        entered = self.blocking_send(CallReceived(call, front))
        if not entered:
            self.metrics.waiting -= 1
        return entered

    def withdraw(self, call: Call) -> bool:
        """Drop a call whose client has left."""
        return self.withdraw_past_gate(call) if self.gate is None else self.gate.withdraw(call)

    def withdraw_past_gate(self, call: Call) -> bool:
        """Withdraw a call that has passed the gate."""
        return self.withdraw_past_door(call) if self.door is None else self.door.withdraw(call)

    def withdraw_past_door(self, call: Call) -> bool:
        """Withdraw a call that has passed the door."""
        return self.blocking_send(CallWithdrawn(call))

    def set_gate(self, gate: Gate) -> None:
        """Attach the gate. Must be called before the actor starts."""
        self.gate = gate
        self.table.observers.append(gate)

    def set_recorder(self, recorder: Recorder) -> None:
        """Attach the recorder. Must be called before the actor starts."""
        self.recorder = recorder
        self.table.observers.append(recorder)

    def set_door(self, door: Door) -> None:
        """Attach the door. Must be called before the actor starts."""
        self.door = door
        self.table.observers.append(door)

    # --- event loop ---

    def run(self) -> None:
        """Run rounds until the actor has finished, one for each tick at most."""
        last_step = 0.0
        while not self.finished:
            self.wait_for_message(self.next_wake_time() - self.clock())
            pause = last_step + self.settings.tick - self.clock()
            if 0 < pause <= self.settings.tick:
                gevent.sleep(pause / 1000)
            last_step, messages = self.clock(), list(self.mailbox)
            self.mailbox.clear()
            self.space_available.set()
            self.step(last_step, messages)
            self.log_state_changes()

    def log_state_changes(self) -> None:
        """Log changes of the wall clock, of whether the worker list is current, and of the excluded hosts."""
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
        if self.router.ejected_count != self.logged_hosts_out:
            self.logged_hosts_out = self.router.ejected_count
            out = sorted(self.host_name(number) for number, w in self.router.workers.items() if w.ejected)
            self.log("hosts-out", f"{len(out)} of {len(self.router.workers)}: {', '.join(out) or 'none'}")

    def describe_list_age(self) -> str:
        """Describe the age of the worker list and its unreadable entries."""
        age = self.router.list_age
        since = "" if age.confirmed_at is None else f"confirmed {self.clock() - age.confirmed_at:.0f} ms ago"
        doubtful = ", ".join(sorted(map(self.host_name, age.unreadable)))
        return f"{since}; unreadable last entries: {doubtful or 'none'}"

    def host_name(self, worker: int) -> str:
        """Return the name of a model host, or its number if it has left the list."""
        return self.host_names.get(worker, str(worker))

    def next_wake_time(self) -> float:
        """Return when to wake: within a second, so that a step of the wall clock is logged soon."""
        # The slack delays timers a little, so that a round caused by a message can serve them. Most timers
        # find their request answered, and a round for a timer alone would delay the next message by a tick.
        timer = (self.timers[0][0] if self.timers else float("inf")) + self.timer_slack
        first = timer if not (self.pending_events or self.arrivals) else 0.0
        max_wait = self.limits.figures_ms if self.metrics.watched else 1000.0
        return min(first, self.table.next_deadline(), self.clock() + max_wait)

    def step(self, now: float, messages: list[Any]) -> None:
        """Run one round: all events in order of arrival, one call of the router, its actions in order."""
        events, self.pending_events = self.pending_events, []
        events += [e for m in messages if (e := self.message_handlers[type(m)](m, now)) is not None]
        for overdue in self.arrivals.take_overdue(now):
            self.refuse_overdue(overdue, now)
        events += [e for a in self.arrivals.take(MAX_ARRIVALS) if (e := self.accept(a, now)) is not None]
        events += [e for t in self.table.expire_tasks(now) if (e := self.event_for(t, now)) is not None]
        while self.timers and self.timers[0][0] <= now:
            events.append(i.TimerFired(heappop(self.timers)[1]))
        events += self.memory_events()
        self.run_router(now, events)
        self.memory.record_functions(self.router.memory_bytes(), int(self.settings.function_bytes))
        if self.metrics.watched and not 0 <= now - self.avoided_counted_at < self.limits.recount_ms:
            self.avoided_counted_at, self.metrics.avoided = now, self.count_avoided()
        if self.pending_commands:
            self.run_pending_commands(now)
        for entry in self.table.take_unanswered():
            # the router left the request unanswered until its deadline, so the table answers it
            self.table.counts["guarded"] += 1
            self.log("guarded", f"{entry.call.request_id} got no answer from the module before its deadline")
            self.table.refuse_by_default(entry)
            self.pending_events.append(i.RequestDropped(entry.number))

    def memory_events(self) -> list[i.Event]:
        """Return the event for the router if the memory has become short, or no longer is."""
        is_short = self.memory.pressure is not Pressure.NONE
        if is_short == self.memory_is_short:
            return []
        self.memory_is_short = is_short
        return [i.MemoryPressureChanged(is_short)]

    def count_avoided(self) -> int:
        """Count the listed model hosts that accept calls but are excluded by the router."""
        router = self.router
        return sum(w.active and not router.is_usable(w) for w in router.workers.values())

    def run_router(self, now: float, events: list[i.Event]) -> None:
        """Pass the events to the router and carry out its actions."""
        if not events:
            return
        try:
            actions = self.router.handle(now, events)
            for action in actions:
                self.action_handlers[type(action)](action, now)
        except Exception:
            # a fault in the router: answer the open requests and continue with a new router
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.restart_router(now)

    def run_pending_commands(self, now: float) -> None:
        """Run the commands that other actors have sent for the router."""
        commands, self.pending_commands = self.pending_commands, []
        try:
            for run in commands:
                run(self.router)
        except Exception:
            # the command may have left the router inconsistent: continue with a new one
            self.log("module-fault", traceback.format_exc().strip().replace("\n", " | "))
            self.restart_router(now)

    def restart_router(self, now: float) -> None:
        """Answer all open requests, cancel all tasks and replace the router."""
        for entry in list(self.table.entries.values()):
            self.table.refuse_by_default(entry)
        for task in list(self.table.ports_by_task):
            self.table.cancel_task(task, i.Outcome.CANCELLED)
        self.seed += 1
        self.memory_is_short = False  # the new router learns of it in the next round
        self.router, self.timers = Router(self.settings, self.seed), []
        # the new router does not know of earlier orders
        self.orders_allowed_from = now + self.settings.order_limit_window
        known: list[i.Event] = [i.WorkersListed(i.ListScope.REMEMBERED, tuple(self.worker_entries.values()))]
        known += [] if self.last_confirmation is None else [self.last_confirmation]
        for action in self.router.handle(now, known):
            self.action_handlers[type(action)](action, now)

    # --- messages into events ---

    def on_call_received(self, message: CallReceived, now: float) -> i.Event | None:
        self.arrivals.add(message, now)
        return None

    def accept(self, arrival: CallReceived, now: float) -> i.Event | None:
        """Take a call from the queue of arrivals."""
        self.metrics.waiting -= 1
        return self.table.accept(arrival.call, arrival.front, now)

    def refuse_overdue(self, arrival: CallReceived, now: float) -> None:
        """Refuse a call that has waited too long to be taken."""
        call = arrival.call
        self.metrics.waiting -= 1
        self.log("refused", f"{call.request_id}: not taken; received {now - call.received_at:.0f} ms ago")
        self.table.notify_observers(call, "refused")
        arrival.front.refused(call, self.settings.max_retry_after or None)

    def on_call_withdrawn(self, message: CallWithdrawn, now: float) -> i.Event | None:
        if self.arrivals.withdraw(message.call):
            self.metrics.waiting -= 1
            self.table.notify_observers(message.call, "withdrawn")
            return None
        return self.table.withdraw(message.call)

    def on_workers_changed(self, message: WorkersChanged, now: float) -> i.Event | None:
        if message.event.scope is not i.ListScope.CHANGES:
            self.host_ports, self.worker_entries, self.host_names = {}, {}, {}
        self.host_ports.update(message.ports)
        self.host_names.update({worker: host.name for worker, host in message.names.items()})
        self.worker_entries.update({e.worker: e for e in message.event.workers})
        for gone in [worker for worker, e in self.worker_entries.items() if e.status is i.WorkerStatus.GONE]:
            # bounds the memory where replaced hosts always get new ids
            self.host_ports.pop(gone, None)
            self.host_names.pop(gone, None)
            del self.worker_entries[gone]
        if self.gate is not None:
            self.gate.workers_changed(message)
        return message.event

    def on_list_confirmed(self, message: WorkerListConfirmed, now: float) -> i.Event | None:
        self.last_confirmation = message.event
        return message.event

    def on_prewarm_requested(self, message: PrewarmRequested, now: float) -> i.Event | None:
        return i.PrewarmRequested(message.function)

    def on_router_command(self, message: RouterCommand, now: float) -> i.Event | None:
        self.pending_commands.append(message.run)
        return None

    def on_active_changed(self, message: ActiveChanged, now: float) -> i.Event | None:
        self.active = message.active
        return None

    def on_settings_changed(self, message: SettingsChanged, now: float) -> i.Event | None:
        """Change the settings of the table and the router in one round: both must know the same classes."""
        self.settings = self.table.settings = message.settings
        return i.SettingsChanged(message.settings)

    def on_stopping(self, message: Stopping, now: float) -> i.Event | None:
        self.table.limit_deadlines(message.by)
        return None

    def on_counters_requested(self, message: CountersRequested, now: float) -> i.Event | None:
        message.reply(self.table.counts | {"open": len(self.table.entries)})
        return None

    def on_task_ended(self, message: TaskEnded, now: float) -> i.Event | None:
        ended = self.table.end_task(message)
        return None if ended is None else self.event_for(ended, now)

    def event_for(self, message: TaskEnded, now: float) -> i.Event | None:
        """Return the event for a task's end, and answer the request if this is its first OK."""
        task, duration = message.task, max(0.0, now - message.task.sent)
        if isinstance(task, OrderTask):
            if self.door is not None and task.copies:
                self.table.mark_waited_for_load(task.function)
            return i.OrderEnded(task.worker, task.function, message.outcome, message.copies, duration)
        if not isinstance(task, AttemptTask):
            if message.outcome is not i.Outcome.OK:
                self.log("probe", f"{self.host_name(task.worker)} takes no new work: {message.outcome.value}")
            return i.ProbeEnded(task.worker, message.outcome, duration, message.report)
        entry = self.table.entries.get(task.request)
        if entry is not None and message.outcome is i.Outcome.NOT_SENT and entry.call.abandoned:
            # The client has left: the router has to know that first, or it would take it as the host's fault.
            dropped = self.table.withdraw(entry.call)
            self.pending_events.append(self.attempt_ended(task, message, duration))
            return dropped
        if entry is not None and (message.outcome is i.Outcome.MISS or message.copy_lookup in LOAD_LOOKUPS):
            entry.call.waited_for_load = True
        if entry is not None and message.outcome is i.Outcome.OK:
            self.table.serve(entry, message.body)
        return self.attempt_ended(task, message, duration)

    def attempt_ended(self, task: AttemptTask, message: TaskEnded, duration: float) -> i.AttemptEnded:
        """Return the router's event for the end of an attempt."""
        return i.AttemptEnded(
            task.request,
            task.worker,
            task.number,
            message.outcome,
            duration,
            task.request not in self.table.entries,
            message.copy_lookup,
            message.load_failed,
            message.concurrent_requests,
            message.report,
        )

    # --- actions ---

    def queue_event(self, ended: TaskEnded | None, now: float) -> None:
        """Queue the event of a task that ended here for the next round."""
        if ended is not None and (event := self.event_for(ended, now)) is not None:
            self.pending_events.append(event)

    def start_task(self, task: Task, now: float) -> None:
        ended = self.table.start_task(task, self.host_ports.get(task.worker))
        self.queue_event(ended, now)

    def start_attempt(self, action: i.StartAttempt, now: float) -> None:
        if entry := self.table.entries.get(action.request):
            attempt = self.table.create_attempt(entry, action.worker, action.stop_at or entry.deadline, now)
            attempt.start_by = min(attempt.start_by, action.start_by)
            if attempt.number:
                where = f"{entry.call.request_id} at {self.host_name(action.worker)}"
                self.log("retry", f"{where}: {self.describe_progress(entry, now)}")
            self.start_task(attempt, now)

    def cancel_attempt(self, action: i.CancelAttempt, now: float) -> None:
        if task := self.table.open_attempts.get((action.request, action.attempt)):
            self.queue_event(self.table.cancel_task(task, i.Outcome.CANCELLED), now)

    def refuse(self, action: i.Refuse, now: float) -> None:
        if entry := self.table.entries.get(action.request):
            self.log("refused", f"{entry.call.request_id}: {self.describe_progress(entry, now)}")
            self.table.refuse(entry, action.retry_after)

    def fail(self, action: i.Fail, now: float) -> None:
        if entry := self.table.entries.get(action.request):
            self.log("failed", f"{entry.call.request_id}: {self.describe_progress(entry, now)}")
            self.table.fail(entry, "not served")

    def describe_progress(self, entry: Entry, now: float) -> str:
        """Describe the attempts of a request and the time it has left."""
        ran = f", may have run since {now - entry.may_have_run_since:.0f} ms" if entry.may_have_run else ""
        last = f", the last one ended {entry.last_outcome.value}" if entry.last_outcome else ""
        waited, left = now - entry.call.received_at, entry.deadline - now
        return f"{entry.attempt_count} attempts{last}{ran}; received {waited:.0f} ms ago, {left:.0f} ms left"

    def order_copies(self, action: i.OrderCopies, now: float) -> None:
        order = OrderTask(
            action.worker,
            now + self.settings.order_timeout,
            now,
            start_by=action.start_by,
            function=action.function,
            copies=action.copies,
        )
        unneeded = not self.active and all(
            e.call.function != action.function for e in self.table.entries.values()
        )
        if action.copies and (now < self.orders_allowed_from or unneeded):
            self.queue_event(TaskEnded(order, i.Outcome.FULL), now)
        else:
            if action.copies:
                ordered, arrived = len(self.router.order_times), len(self.router.arrival_times)
                counts = f"{ordered} orders and {arrived} requests in the window"
                self.log("order", f"{action.function} at {self.host_name(action.worker)}: {counts}")
            self.start_task(order, now)

    def drop_copies(self, action: i.DropCopies, now: float) -> None:
        if self.active and (port := self.host_ports.get(action.worker)):
            port.drop_copies(action.function)

    def probe(self, action: i.Probe, now: float) -> None:
        self.start_task(ProbeTask(action.worker, now + self.settings.connect_timeout, now), now)

    def set_timer(self, action: i.SetTimer, now: float) -> None:
        heappush(self.timers, (action.at, action.name))

    def write_log_line(self, action: i.LogLine, now: float) -> None:
        self.log("module-note", action.text)
