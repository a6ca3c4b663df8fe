"""The request table: exactly one final answer a request, in time, whatever the module does."""

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
    """One request that is owed its answer."""

    number: int
    call: Call
    front: Front
    deadline: float
    attempt_count: int = 0
    may_have_run_since: float = float("inf")  # when the first attempt that may have run was sent
    last_outcome: i.Outcome | None = None  # of the attempt that ended last
    open_attempts: list[AttemptTask] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        return self.may_have_run_since < float("inf")


class RequestTable:
    """Owned by the module actor. Tasks that are out end here once, by their host or by their time."""

    def __init__(self, settings: i.Settings, limits: Limits, figures: Metrics, log: Log) -> None:
        self.settings, self.limits, self.metrics, self.log = settings, limits, figures, log
        self.observers: list[CallObserver] = []  # hear of each end
        self.entries: dict[int, Entry] = {}
        self.numbers_by_call: dict[Call, int] = {}
        self.numbers_by_request_id: dict[str, int] = {}
        self.ports_by_task: dict[Task, HostPort | None] = {}
        self.open_attempts: dict[
            tuple[int, int], AttemptTask
        ] = {}  # those that are out, by request and number
        self.deadlines: TimingWheel[Task | Entry] = TimingWheel()  # when each task, and each answer, is due
        self.expired_entries: list[Entry] = []  # came to their time in this round
        self.last_number = self.open_body_bytes = 0
        self.max_open_body_bytes = limits.body_share * limits.memory_mb * 2**20
        self.stop_deadline = float("inf")  # no answer is owed after this: the process is stopping
        self.counts = dict.fromkeys(("taken", "served", "refused", "failed", "withdrawn", "guarded"), 0)

    def accept(self, call: Call, front: Front, now: float) -> i.RequestArrived | None:
        """Enters a call; None where it was answered on the spot."""
        if call.request_id in self.numbers_by_request_id:
            # guards against two open requests under one id: their answers could not be told apart
            self.notify_observers(call, "failed")
            front.failed(call, "a request with this id is open")
            return None
        due = min(call.deadline, self.stop_deadline) - self.limits.answer_margin_ms
        full = (
            len(self.entries) >= self.limits.open_calls
            or self.open_body_bytes + len(call.body) > self.max_open_body_bytes
        )
        if full or due <= now:
            reason = "the request table is full" if full else f"its time was over by {now - due:.0f} ms"
            self.log("refused", f"{call.request_id}: {reason} when it came")
            # guards the memory, which is hard: what is open may not hold more than its share of it. Nothing
            # was sent: a full table or a time already over is a plain refusal
            self.notify_observers(call, "refused")
            front.refused(call, self.settings.max_retry_after or None)
            return None
        self.last_number += 1
        self.counts["taken"] += 1
        self.open_body_bytes += len(call.body)
        entry = self.entries[self.last_number] = Entry(self.last_number, call, front, due)
        self.numbers_by_call[call], self.numbers_by_request_id[call.request_id] = (
            self.last_number,
            self.last_number,
        )
        self.deadlines.schedule(entry, due)
        self.metrics.open = len(self.entries)
        return i.RequestArrived(
            entry.number,
            call.class_index,
            call.function,
            due,
            call.tenant,
            None,
            call.memory,
            call.slots,
            call.load_time,
            False,
            call.cost_factors,
            call.latency_target,
            call.received_at or None,
        )

    def withdraw(self, call: Call) -> i.RequestDropped | None:
        """The client has left; nothing more is owed, and nothing may be written."""
        number = self.numbers_by_call.get(call)
        if number is None:
            return None
        self.remove_entry(self.entries[number], "withdrawn")
        return i.RequestDropped(number)

    def remove_entry(self, entry: Entry, how: str) -> None:
        self.counts[how] += 1
        self.open_body_bytes -= len(entry.call.body)
        self.notify_observers(entry.call, how)
        self.deadlines.cancel(entry)
        del (
            self.entries[entry.number],
            self.numbers_by_call[entry.call],
            self.numbers_by_request_id[entry.call.request_id],
        )
        self.metrics.open = len(self.entries)

    def notify_observers(self, call: Call, how: str) -> None:
        self.metrics.count_final_answer(self.settings.classes[call.class_index].name, how)
        for watcher in self.observers:
            watcher.call_ended(call, how)

    def serve(self, entry: Entry, body: bytes) -> None:
        self.remove_entry(entry, "served")
        entry.front.served(entry.call, body)

    def refuse(self, entry: Entry, retry_after: float | None) -> None:
        """A refusal says that trying again is harmless; where that is not so, the answer is 'failed'."""
        kind = self.settings.classes[entry.call.class_index]
        harmless = kind.effect is i.Effect.SAFE or (
            kind.effect is i.Effect.KEYED and kind.deduplication_scope is i.DeduplicationScope.ALL
        )
        if not harmless and (entry.may_have_run or any(a.write_started for a in entry.open_attempts)):
            return self.fail(entry, "it may have run")
        self.remove_entry(entry, "refused")
        entry.front.refused(entry.call, retry_after)

    def fail(self, entry: Entry, reason: str) -> None:
        self.remove_entry(entry, "failed")
        entry.front.failed(entry.call, reason)

    def refuse_by_default(self, entry: Entry) -> None:
        """The final answer that the table words by itself."""
        self.refuse(entry, self.settings.max_retry_after or None)

    def start_task(self, task: Task, port: HostPort | None) -> TaskEnded | None:
        """Sends a task on its way; what no mailbox takes has never run."""
        self.ports_by_task[task] = port
        self.deadlines.schedule(task, task.stop_at)
        if port is None or not port.start_task(task):
            return self.end_task(TaskEnded(task, i.Outcome.NOT_SENT))
        return None

    def create_attempt(self, entry: Entry, worker: int, stop_at: float, now: float) -> AttemptTask:
        made = AttemptTask(
            worker,
            min(stop_at, entry.deadline),
            now,
            call=entry.call,
            request=entry.number,
            number=entry.attempt_count,
        )
        made.start_by = self.latest_start(entry)
        entry.attempt_count += 1
        entry.open_attempts.append(made)
        self.open_attempts[made.request, made.number] = made
        return made

    def latest_start(self, entry: Entry) -> float:
        """Until when a further attempt may begin: in a keyed class, while the hosts still know the key of the
        earliest one that may have run, or is out. The module looks when it decides, but a dial or a host that
        does not read lies between that and the first byte."""
        kind = self.settings.classes[entry.call.class_index]
        if kind.effect is not i.Effect.KEYED:
            return float("inf")
        earliest = min([entry.may_have_run_since, *(attempt.sent for attempt in entry.open_attempts)])
        return earliest + kind.repeat_window - self.settings.tick

    def end_task(self, ended: TaskEnded) -> TaskEnded | None:
        """The first end of a task counts; any later one is None."""
        task = ended.task
        if task not in self.ports_by_task:
            return None
        del self.ports_by_task[task]
        self.deadlines.cancel(task)
        task.wanted = False
        if isinstance(task, AttemptTask):
            del self.open_attempts[task.request, task.number]
            if entry := self.entries.get(task.request):
                entry.open_attempts.remove(task)
                entry.last_outcome = ended.outcome
                if ended.outcome not in NEVER_RAN:
                    entry.may_have_run_since = min(entry.may_have_run_since, task.sent)
        return ended

    def mark_waited_for_load(self, function: str) -> None:
        """A load of it has ended: what is open and wants it has waited for that, not for a free host."""
        for entry in self.entries.values():
            if entry.call.function == function:
                entry.call.waited_for_load = True

    def cancel_task(self, task: Task, outcome: i.Outcome) -> TaskEnded | None:
        """Ends a task from this side. One whose first byte was never written has never run."""
        port = self.ports_by_task.get(task)
        ended = self.end_task(TaskEnded(task, outcome if task.write_started else i.Outcome.NOT_SENT))
        if ended is not None and port is not None:
            port.cancel_task(task)
        return ended

    def expire_tasks(self, now: float) -> list[TaskEnded]:
        """Tasks whose time is over. A silent host cannot hold them: the table's clock ends them."""
        self.expired_entries, over = [], []
        for due in self.deadlines.expired(now):
            if isinstance(due, Entry):
                self.expired_entries.append(due)
            elif ended := self.cancel_task(due, i.Outcome.TIMEOUT):
                over.append(ended)
        return over

    def limit_deadlines(self, at: float) -> None:
        """The process will be killed soon after this: every answer is owed before it."""
        self.stop_deadline = at
        for entry in self.entries.values():
            entry.deadline = min(entry.deadline, at)
            self.deadlines.schedule(entry, entry.deadline)
        for task in self.ports_by_task:
            task.stop_at = min(task.stop_at, at)
            self.deadlines.schedule(task, task.stop_at)

    def take_unanswered(self) -> list[Entry]:
        """Requests that came to their time in this round, and that the module left unanswered in it."""
        late, self.expired_entries = self.expired_entries, []
        return [entry for entry in late if entry.number in self.entries]

    def next_deadline(self) -> float:
        """When to look for what becomes due by itself."""
        return self.deadlines.next_time()
