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
    due: float
    attempts: int = 0
    ran_since: float = float("inf")  # when the first attempt that may have run was sent
    last_outcome: i.Outcome | None = None  # of the attempt that ended last
    flying: list[AttemptTask] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        return self.ran_since < float("inf")


class RequestTable:
    """Owned by the module actor. Tasks that are out end here once, by their host or by their time."""

    def __init__(self, settings: i.Settings, limits: Limits, figures: Metrics, log: Log) -> None:
        self.settings, self.limits, self.figures, self.log = settings, limits, figures, log
        self.watchers: list[CallObserver] = []  # hear of each end
        self.entries: dict[int, Entry] = {}
        self.numbers: dict[Call, int] = {}
        self.rids: dict[str, int] = {}
        self.tasks: dict[Task, HostPort | None] = {}
        self.attempts: dict[tuple[int, int], AttemptTask] = {}  # those that are out, by request and number
        self.times: TimingWheel[Task | Entry] = TimingWheel()  # when each task, and each answer, is due
        self.late: list[Entry] = []  # came to their time in this round
        self.serial = self.held = 0
        self.most = limits.body_share * limits.memory_mb * 2**20
        self.latest = float("inf")  # no answer is owed after this: the process is stopping
        self.counts = dict.fromkeys(("taken", "served", "refused", "failed", "withdrawn", "guarded"), 0)

    def take(self, call: Call, front: Front, now: float) -> i.RequestArrived | None:
        """Enters a call; None where it was answered on the spot."""
        if call.request_id in self.rids:
            # guards against two open requests under one id: their answers could not be told apart
            self.tell_watchers(call, "failed")
            front.failed(call, "a request with this id is open")
            return None
        due = min(call.deadline, self.latest) - self.limits.answer_margin_ms
        full = len(self.entries) >= self.limits.open_calls or self.held + len(call.body) > self.most
        if full or due <= now:
            reason = "the request table is full" if full else f"its time was over by {now - due:.0f} ms"
            self.log("refused", f"{call.request_id}: {reason} when it came")
            # guards the memory, which is hard: what is open may not hold more than its share of it. Nothing
            # was sent: a full table or a time already over is a plain refusal
            self.tell_watchers(call, "refused")
            front.refused(call, self.settings.max_retry_after or None)
            return None
        self.serial += 1
        self.counts["taken"] += 1
        self.held += len(call.body)
        entry = self.entries[self.serial] = Entry(self.serial, call, front, due)
        self.numbers[call], self.rids[call.request_id] = self.serial, self.serial
        self.times.schedule(entry, due)
        self.figures.open = len(self.entries)
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
        number = self.numbers.get(call)
        if number is None:
            return None
        self.close(self.entries[number], "withdrawn")
        return i.RequestDropped(number)

    def close(self, entry: Entry, how: str) -> None:
        self.counts[how] += 1
        self.held -= len(entry.call.body)
        self.tell_watchers(entry.call, how)
        self.times.cancel(entry)
        del self.entries[entry.number], self.numbers[entry.call], self.rids[entry.call.request_id]
        self.figures.open = len(self.entries)

    def tell_watchers(self, call: Call, how: str) -> None:
        self.figures.count_final_answer(self.settings.classes[call.class_index].name, how)
        for watcher in self.watchers:
            watcher.call_ended(call, how)

    def serve(self, entry: Entry, body: bytes) -> None:
        self.close(entry, "served")
        entry.front.served(entry.call, body)

    def refuse(self, entry: Entry, retry_after: float | None) -> None:
        """A refusal says that trying again is harmless; where that is not so, the answer is 'failed'."""
        kind = self.settings.classes[entry.call.class_index]
        harmless = kind.effect is i.Effect.SAFE or (
            kind.effect is i.Effect.KEYED and kind.deduplication_scope is i.DeduplicationScope.ALL
        )
        if not harmless and (entry.may_have_run or any(a.write_started for a in entry.flying)):
            return self.fail(entry, "it may have run")
        self.close(entry, "refused")
        entry.front.refused(entry.call, retry_after)

    def fail(self, entry: Entry, reason: str) -> None:
        self.close(entry, "failed")
        entry.front.failed(entry.call, reason)

    def give_up(self, entry: Entry) -> None:
        """The final answer that the table words by itself."""
        self.refuse(entry, self.settings.max_retry_after or None)

    def begin(self, task: Task, port: HostPort | None) -> TaskEnded | None:
        """Sends a task on its way; what no mailbox takes has never run."""
        self.tasks[task] = port
        self.times.schedule(task, task.stop_at)
        if port is None or not port.start_task(task):
            return self.settle(TaskEnded(task, i.Outcome.NOT_SENT))
        return None

    def attempt(self, entry: Entry, worker: int, stop_at: float, now: float) -> AttemptTask:
        made = AttemptTask(
            worker, min(stop_at, entry.due), now, call=entry.call, request=entry.number, number=entry.attempts
        )
        made.start_by = self.start_by(entry)
        entry.attempts += 1
        entry.flying.append(made)
        self.attempts[made.request, made.number] = made
        return made

    def start_by(self, entry: Entry) -> float:
        """Until when a further attempt may begin: in a keyed class, while the hosts still know the key of the
        earliest one that may have run, or is out. The module looks when it decides, but a dial or a host that
        does not read lies between that and the first byte."""
        kind = self.settings.classes[entry.call.class_index]
        if kind.effect is not i.Effect.KEYED:
            return float("inf")
        earliest = min([entry.ran_since, *(attempt.sent for attempt in entry.flying)])
        return earliest + kind.repeat_window - self.settings.tick

    def settle(self, ended: TaskEnded) -> TaskEnded | None:
        """The first end of a task counts; any later one is None."""
        task = ended.task
        if task not in self.tasks:
            return None
        del self.tasks[task]
        self.times.cancel(task)
        task.wanted = False
        if isinstance(task, AttemptTask):
            del self.attempts[task.request, task.number]
            if entry := self.entries.get(task.request):
                entry.flying.remove(task)
                entry.last_outcome = ended.outcome
                if ended.outcome not in NEVER_RAN:
                    entry.ran_since = min(entry.ran_since, task.sent)
        return ended

    def waited_for(self, function: str) -> None:
        """A load of it has ended: what is open and wants it has waited for that, not for a free host."""
        for entry in self.entries.values():
            if entry.call.function == function:
                entry.call.waited_for_load = True

    def revoke(self, task: Task, outcome: i.Outcome) -> TaskEnded | None:
        """Ends a task from this side. One whose first byte was never written has never run."""
        port = self.tasks.get(task)
        ended = self.settle(TaskEnded(task, outcome if task.write_started else i.Outcome.NOT_SENT))
        if ended is not None and port is not None:
            port.cancel_task(task)
        return ended

    def expired(self, now: float) -> list[TaskEnded]:
        """Tasks whose time is over. A silent host cannot hold them: the table's clock ends them."""
        self.late, over = [], []
        for due in self.times.expired(now):
            if isinstance(due, Entry):
                self.late.append(due)
            elif ended := self.revoke(due, i.Outcome.TIMEOUT):
                over.append(ended)
        return over

    def stop_by(self, at: float) -> None:
        """The process will be killed soon after this: every answer is owed before it."""
        self.latest = at
        for entry in self.entries.values():
            entry.due = min(entry.due, at)
            self.times.schedule(entry, entry.due)
        for task in self.tasks:
            task.stop_at = min(task.stop_at, at)
            self.times.schedule(task, task.stop_at)

    def overdue(self) -> list[Entry]:
        """Requests that came to their time in this round, and that the module left unanswered in it."""
        late, self.late = self.late, []
        return [entry for entry in late if entry.number in self.entries]

    def next_time(self) -> float:
        """When to look for what becomes due by itself."""
        return self.times.next_time()
