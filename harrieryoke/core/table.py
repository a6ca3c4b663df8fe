"""The request table: gives each request exactly one final answer in time, whatever the router does."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as i
from ..limits import Limits
from ..log import Log
from .metrics import Metrics
from .records import AttemptTask, Call, CallObserver, Front, HostPort, Task, TaskEnded
from .timing_wheel import TimingWheel

NEVER_RAN = (i.Outcome.FULL, i.Outcome.NO_CONNECTION, i.Outcome.NOT_SENT, i.Outcome.MISS)


@dataclass(slots=True, eq=False)
class Entry:
    """An open request."""

    number: int
    call: Call
    front: Front
    deadline: float
    attempt_count: int = 0
    may_have_run_since: float = float("inf")  # when the first attempt that may have run was sent
    last_outcome: i.Outcome | None = None  # of the last attempt that has ended
    open_attempts: list[AttemptTask] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        return self.may_have_run_since < float("inf")


class RequestTable:
    """Open requests and tasks. Belongs to the module actor.

    Each task ends here exactly once: when its host reports the end, or at its deadline.
    """

    def __init__(self, settings: i.Settings, limits: Limits, metrics: Metrics, log: Log) -> None:
        self.settings, self.limits, self.metrics, self.log = settings, limits, metrics, log
        self.observers: list[CallObserver] = []
        self.entries: dict[int, Entry] = {}
        self.by_call: dict[Call, int] = {}
        self.by_request_id: dict[str, int] = {}
        self.ports_by_task: dict[Task, HostPort | None] = {}
        self.open_attempts: dict[tuple[int, int], AttemptTask] = {}  # by request and attempt number
        self.deadlines: TimingWheel[Task | Entry] = TimingWheel()  # of tasks and of answers
        self.expired_entries: list[Entry] = []  # reached their deadline in this round
        self.last_number = self.body_bytes = 0
        self.max_body_bytes = limits.body_share * limits.memory_mb * 2**20
        self.stop_deadline = float("inf")  # the process stops: latest time for any answer
        self.counts = dict.fromkeys(("taken", "served", "refused", "failed", "withdrawn", "guarded"), 0)

    def accept(self, call: Call, front: Front, now: float) -> i.RequestArrived | None:
        """Add a call. Return None if it was answered immediately."""
        if call.request_id in self.by_request_id:
            # the answers of two open requests with one id could not be told apart
            self.notify_observers(call, "failed")
            front.failed(call, "a request with this id is open")
            return None
        deadline = min(call.deadline, self.stop_deadline) - self.limits.answer_margin_ms
        full = (
            len(self.entries) >= self.limits.open_calls
            or self.body_bytes + len(call.body) > self.max_body_bytes
        )
        if full or deadline <= now:
            reason = (
                "the request table is full" if full else f"its deadline passed {now - deadline:.0f} ms ago"
            )
            self.log("refused", f"{call.request_id}: {reason} on arrival")
            # The bodies of open requests are limited to their share of the memory, which is a hard limit.
            # Nothing was sent, so this is a plain refusal.
            self.notify_observers(call, "refused")
            front.refused(call, self.settings.max_retry_after or None)
            return None
        self.last_number += 1
        self.counts["taken"] += 1
        self.body_bytes += len(call.body)
        entry = self.entries[self.last_number] = Entry(self.last_number, call, front, deadline)
        self.by_call[call], self.by_request_id[call.request_id] = self.last_number, self.last_number
        self.deadlines.schedule(entry, deadline)
        self.metrics.open = len(self.entries)
        return i.RequestArrived(
            entry.number,
            call.class_index,
            call.function,
            deadline,
            call.tenant,
            None,
            call.memory,
            call.slots,
            call.load_time,
            False,
            call.cost_factors,
            call.latency_target,
            call.received_at or None,
            call.source,
        )

    def withdraw(self, call: Call) -> i.RequestDropped | None:
        """Remove the request of a client that has left, without an answer."""
        number = self.by_call.get(call)
        if number is None:
            return None
        self.remove_entry(self.entries[number], "withdrawn")
        return i.RequestDropped(number)

    def remove_entry(self, entry: Entry, result: str) -> None:
        """Remove a request and report its result."""
        self.counts[result] += 1
        self.body_bytes -= len(entry.call.body)
        self.notify_observers(entry.call, result)
        self.deadlines.cancel(entry)
        del self.entries[entry.number], self.by_call[entry.call], self.by_request_id[entry.call.request_id]
        self.metrics.open = len(self.entries)

    def notify_observers(self, call: Call, result: str) -> None:
        """Count the result of a call and report it to the observers."""
        self.metrics.count_final_answer(self.settings.classes[call.class_index].name, result)
        for observer in self.observers:
            observer.call_ended(call, result)

    def serve(self, entry: Entry, body: bytes) -> None:
        self.remove_entry(entry, "served")
        entry.front.served(entry.call, body)

    def refuse(self, entry: Entry, retry_after: float | None) -> None:
        """Refuse a request, or fail it if it may have run: a refusal promises that a retry is harmless."""
        request_class = self.settings.classes[entry.call.class_index]
        harmless = request_class.effect is i.Effect.SAFE or (
            request_class.effect is i.Effect.KEYED
            and request_class.deduplication_scope is i.DeduplicationScope.ALL
        )
        if not harmless and (entry.may_have_run or any(a.write_started for a in entry.open_attempts)):
            return self.fail(entry, "it may have run")
        self.remove_entry(entry, "refused")
        entry.front.refused(entry.call, retry_after)

    def fail(self, entry: Entry, reason: str) -> None:
        self.remove_entry(entry, "failed")
        entry.front.failed(entry.call, reason)

    def refuse_by_default(self, entry: Entry) -> None:
        """Refuse a request that the router did not answer."""
        self.refuse(entry, self.settings.max_retry_after or None)

    def start_task(self, task: Task, port: HostPort | None) -> TaskEnded | None:
        """Send a task to its host. One that the host's mailbox does not accept has never run."""
        self.ports_by_task[task] = port
        self.deadlines.schedule(task, task.stop_at)
        if port is None or not port.start_task(task):
            return self.end_task(TaskEnded(task, i.Outcome.NOT_SENT))
        return None

    def create_attempt(self, entry: Entry, worker: int, stop_at: float, now: float) -> AttemptTask:
        """Create and register the next attempt of a request."""
        attempt = AttemptTask(
            worker,
            min(stop_at, entry.deadline),
            now,
            call=entry.call,
            request=entry.number,
            number=entry.attempt_count,
        )
        attempt.start_by = self.latest_start(entry)
        entry.attempt_count += 1
        entry.open_attempts.append(attempt)
        self.open_attempts[attempt.request, attempt.number] = attempt
        return attempt

    def latest_start(self, entry: Entry) -> float:
        """Return the time by which the next attempt has to start.

        In a keyed class the hosts must still know the key of the earliest attempt that is open or may have
        run. The router checks that too, but a dial or a host that does not read can delay the first byte.
        """
        request_class = self.settings.classes[entry.call.class_index]
        if request_class.effect is not i.Effect.KEYED:
            return float("inf")
        earliest = min([entry.may_have_run_since, *(attempt.sent for attempt in entry.open_attempts)])
        return earliest + request_class.repeat_window - self.settings.tick

    def end_task(self, ended: TaskEnded) -> TaskEnded | None:
        """Remove a task. Return None if it has already ended."""
        task = ended.task
        if task not in self.ports_by_task:
            return None
        del self.ports_by_task[task]
        self.deadlines.cancel(task)
        task.is_open = False
        if isinstance(task, AttemptTask):
            del self.open_attempts[task.request, task.number]
            if entry := self.entries.get(task.request):
                entry.open_attempts.remove(task)
                entry.last_outcome = ended.outcome
                if ended.outcome not in NEVER_RAN:
                    entry.may_have_run_since = min(entry.may_have_run_since, task.sent)
        return ended

    def mark_waited_for_load(self, function: str) -> None:
        """Mark the open calls of a function whose load has ended: they waited for it, not for a free host."""
        for entry in self.entries.values():
            if entry.call.function == function:
                entry.call.waited_for_load = True

    def cancel_task(self, task: Task, outcome: i.Outcome) -> TaskEnded | None:
        """Cancel a task. One whose first byte was never written has never run."""
        port = self.ports_by_task.get(task)
        ended = self.end_task(TaskEnded(task, outcome if task.write_started else i.Outcome.NOT_SENT))
        if ended is not None and port is not None:
            port.cancel_task(task)
        return ended

    def expire_tasks(self, now: float) -> list[TaskEnded]:
        """Cancel the tasks that have reached their deadline, and collect the requests that have."""
        self.expired_entries, ended_tasks = [], []
        for item in self.deadlines.expired(now):
            if isinstance(item, Entry):
                self.expired_entries.append(item)
            elif ended := self.cancel_task(item, i.Outcome.TIMEOUT):
                ended_tasks.append(ended)
        return ended_tasks

    def limit_deadlines(self, at: float) -> None:
        """Bring all deadlines forward to `at`, soon after which the process will be killed."""
        self.stop_deadline = at
        for entry in self.entries.values():
            entry.deadline = min(entry.deadline, at)
            self.deadlines.schedule(entry, entry.deadline)
        for task in self.ports_by_task:
            task.stop_at = min(task.stop_at, at)
            self.deadlines.schedule(task, task.stop_at)

    def take_unanswered(self) -> list[Entry]:
        """Return the requests that reached their deadline in this round and were not answered in it."""
        late, self.expired_entries = self.expired_entries, []
        return [entry for entry in late if entry.number in self.entries]

    def next_deadline(self) -> float:
        """Return the time of the next deadline."""
        return self.deadlines.next_time()
