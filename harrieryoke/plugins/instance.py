"""The actor of one version of one plug-in: its process, queue, budgets, breaker and state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..core.actor import Actor, spawn
from ..core.clock import now_ms
from ..log import Log
from .decide import abi
from .decide.abi import Fault
from .decide.breaker import Breaker, BreakerLimits
from .decide.budget import Allowance, Restarts
from .decide.manifest import Budgets
from .decide.state import State
from .package import Package
from .process import Worker
from .settings import PluginError

# why a plug-in was not asked, or had no say; beside abi.FAULTS
DECLINED = ("late", "out", "share-spent", "restarting", "queue-full", "ended")
NEEDS = {"on_outcome": "outcomes", "on_hosts": "hosts", "on_timer": "timer"}  # hook -> capability


@dataclass(slots=True, eq=False)
class Ask:
    """One call of a hook. `by` is when the answer is of no more use; `about` comes back with it."""

    hook: str
    view: dict[str, Any]
    by: float
    about: Any = None
    read: Callable[[Any], Any] | None = (
        None  # raises Fault for a wrong answer; None: as of a hook that watches
    )


@dataclass(slots=True)
class Heard:
    """What came of an Ask: `said` where `why` is None, else one of DECLINED or abi.FAULTS."""

    instance: Instance
    ask: Ask
    said: Any = None
    why: str | None = None
    text: str = ""
    fault: bool = False


@dataclass(slots=True)
class Give:
    """The state is wanted, for the version that follows."""

    about: int


@dataclass(slots=True)
class Gave:
    instance: Instance
    values: dict[str, str]
    about: int


@dataclass(slots=True)
class Carry:
    """Take over this state, which has that layout."""

    values: dict[str, str]
    layout: int


@dataclass(slots=True)
class Carried:
    instance: Instance
    fault: str | None


@dataclass(slots=True)
class Ready:
    """A new process is there, or could not be had."""

    worker: Worker | None
    reason: str = ""


class End:
    """No more is wanted of this version."""


@dataclass(slots=True)
class Figures:
    """What an instance has done, for the operators. Latencies are microseconds, in a histogram."""

    calls: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    declined: Counter[str] = field(default_factory=Counter)
    peak_kb: int = 0
    starts: int = 0
    slowest_ms: float = 0.0


class Instance(Actor):
    """Asks are served one at a time, in order; each gets its Heard by its time, whatever the plug-in does."""

    def __init__(
        self,
        package: Package,
        number: int,
        capabilities: frozenset[str],
        budgets: Budgets,
        breaker: BreakerLimits,
        log: Log,
        report: Callable[[Any], object],
    ) -> None:
        super().__init__(f"plug-in {package.text()}", 2 * budgets.queue + 8, log)
        from hdrh.histogram import HdrHistogram

        self.package, self.number, self.capabilities, self.budgets = package, number, capabilities, budgets
        self.report, self.worker = report, None
        self.state = State(budgets.state_bytes)
        self.stale = False  # the process's copy of the state is to be replaced
        self.breaker = Breaker(breaker)
        self.time = Allowance(1000 * budgets.time_share, 1000 * budgets.time_share)
        self.lines = Allowance(budgets.log_lines_per_s, max(1.0, budgets.log_lines_per_s))
        self.restarts, self.start_at, self.starting = Restarts(), 0.0, False
        self.hooks: frozenset[str] = frozenset()
        self.figures = Figures()
        self.took = HdrHistogram(1, 60_000_000, 2)
        self.timer_at = float("inf")

    worker: Worker | None

    # --- its process ---

    def load(self, by: float) -> Worker:
        """Starts a process and loads the code. Raises Fault; what was started is ended then."""
        worker = Worker()
        m, b = self.package.manifest, self.budgets
        try:
            told = worker.ask(
                {
                    "engine": m.engine,
                    "code": self.package.code,
                    "memory_mb": b.memory_mb,
                    "fuel": b.fuel,
                    "state": self.state.values,
                    "state_bytes": b.state_bytes,
                    "host_calls": b.host_calls,
                    "stateful": "state" in self.capabilities,
                    "load_ms": b.load_ms,
                },
                by,
            )
            if "fault" in told:
                raise Fault(*self.fault_in(told))
            self.hooks = self.usable(told.get("hooks"))
        except Fault:
            worker.kill()
            raise
        self.figures.starts += 1
        self.figures.peak_kb = max(self.figures.peak_kb, worker.peak_kb)
        return worker

    def usable(self, told: Any) -> frozenset[str]:
        """The hooks of this version. The manifest may name fewer than the file has, and not one more."""
        has = {str(h) for h in told} if isinstance(told, list) else set()
        named = set(self.package.manifest.hooks)
        if missing := named - has:
            raise Fault("wrong-answer", f"hooks: the file defines no {', '.join(sorted(missing))}")
        return frozenset(h for h in (named or has) if NEEDS.get(h) in (None, *self.capabilities))

    @staticmethod
    def fault_in(answer: dict[str, Any]) -> tuple[str, str]:
        match answer.get("fault"):
            case [str(kind), str(text)]:
                return kind, text
        return "protocol", "a fault without its kind"

    def begin(self, now: float) -> None:
        """The first process, while the caller waits. Raises PluginError."""
        try:
            self.worker = self.load(now + self.budgets.load_ms)
        except Fault as fault:
            raise PluginError(f"{self.package.path}: {fault.kind}: {fault}") from None
        if "on_timer" in self.hooks:
            self.timer_at = now + self.package.manifest.timer_ms
        self.start()

    def restart(self, now: float) -> None:
        """In a greenlet of its own: no call waits for the start of a process."""
        if self.starting or self.finished or now < self.start_at:
            return
        self.starting = True

        def run() -> None:
            try:
                ready = Ready(self.load(now_ms() + self.budgets.load_ms))
            except (Fault, OSError) as error:
                ready = Ready(None, str(error))
            if not self.blocking_send(ready) and ready.worker is not None:
                ready.worker.kill()

        spawn(self.log, f"{self.name} start", run)

    def ended(self, now: float) -> None:
        """The process has gone; another comes after a pause."""
        if self.worker is not None:
            self.figures.peak_kb = max(self.figures.peak_kb, self.worker.peak_kb)
            self.worker.kill()
            self.worker = None
            self.start_at = now + self.restarts.ended()

    # --- the loop ---

    def run(self) -> None:
        while not self.finished:
            wake = min(self.timer_at, now_ms() + 1000.0)
            if self.worker is None and not self.starting:
                wake = min(wake, self.start_at)
            self.wait_for_message(max(1.0, wake - now_ms()))
            self.process_mailbox()
            now = now_ms()
            if self.worker is None:
                self.restart(now)
            if now >= self.timer_at and not self.finished:
                self.timer_at = now + self.package.manifest.timer_ms
                self.receive(Ask("on_timer", {}, now + self.budgets.call_ms))

    def finish(self) -> None:
        """Whatever ended it: each Ask that is left gets its Heard, and the process ends."""
        self.finished = True
        if self.worker is not None:
            self.figures.peak_kb = max(self.figures.peak_kb, self.worker.peak_kb)
            self.worker.kill()
        for message in list(self.mailbox):
            if isinstance(message, Ask):
                self.report(Heard(self, message, why="ended"))
            elif isinstance(message, Ready) and message.worker is not None:
                message.worker.kill()
            elif isinstance(message, Carry):
                self.report(Carried(self, "it ended"))
        self.mailbox.clear()
        super().finish()

    def tell_ask(self, ask: Ask) -> bool:
        """Watching hooks leave half of the queue to the calls that wait for an answer."""
        watching = ask.hook != "on_request"
        if len(self.mailbox) >= self.budgets.queue // (2 if watching else 1):
            self.figures.declined["queue-full"] += 1
            return False
        return self.try_send(ask)

    def receive(self, message: Any) -> None:
        now = now_ms()
        match message:
            case Ask():
                self.report(self.serve(message, now))
            case Ready(worker, reason):
                self.starting, self.worker = False, worker
                if worker is None:
                    self.start_at = now + self.restarts.ended()
                    self.log("plugin-start-failed", f"{self.name}: {reason}")
                else:
                    self.stale = True  # it was given the state of when its start began
            case Give(about):
                self.report(Gave(self, dict(self.state.values), about))
            case Carry(values, layout):
                self.report(Carried(self, self.carry(values, layout, now)))
            case End():
                self.finished = True

    def declined(self, ask: Ask, now: float) -> str | None:
        """Why this ask is not even made."""
        if ask.by - now < 0.5:
            return "late"
        if self.worker is None:
            self.restart(now)
            return "restarting"
        if not self.time.has(now):
            return "share-spent"
        return None if self.breaker.allows(now) else "out"

    def serve(self, ask: Ask, now: float) -> Heard:
        if why := self.declined(ask, now):
            self.figures.declined[why] += 1
            return Heard(self, ask, why=why)
        try:
            said = self.read(ask, self.call(ask.hook, ask.view, min(ask.by, now + self.budgets.call_ms), now))
        except Fault as fault:
            after = now_ms()
            self.breaker.bad(after)
            if self.breaker.state == "open":
                self.log("plugin-out", self.name, fault=fault.kind, for_ms=round(self.breaker.pause))
            return Heard(self, ask, why=fault.kind, text=str(fault), fault=True)
        self.breaker.good(now_ms())
        self.restarts.served()
        return Heard(self, ask, said)

    def read(self, ask: Ask, said: Any) -> Any:
        """What was said, checked: a wrong answer is a fault as any other, also for the breaker."""
        try:
            return abi.read_watch(said, self.capabilities) if ask.read is None else ask.read(said)
        except Fault as fault:
            self.figures.faults[fault.kind] += 1
            raise

    def call(self, hook: str, view: dict[str, Any], by: float, now: float) -> Any:
        """One call of the process. Raises Fault, and has counted it then."""
        assert self.worker is not None
        self.figures.calls += 1
        message: dict[str, Any] = {"hook": hook, "view": view, "ms": by - now}
        if self.stale:
            message["state"], self.stale = self.state.values, False
        try:
            answer = self.worker.ask(message, by)
            for line in answer.get("log") or ():
                if self.lines.take(now):
                    self.log("plugin-says", repr(str(line)[:300]), plugin=self.package.manifest.name)
            if "fault" in answer:
                raise Fault(*self.fault_in(answer))
            try:
                self.state.change(answer.get("puts") or {})
            except (Fault, AttributeError):
                self.stale = True  # the two copies differ: ours holds
                raise Fault("state-full", "what it wrote can't be kept") from None
        except Fault as fault:
            self.figures.faults[fault.kind] += 1
            if not self.worker.pid:
                self.ended(now_ms())
            raise
        finally:
            took = now_ms() - now
            self.time.charge(now_ms(), took)
            self.took.record_value(max(1, int(1000 * took)))
            self.figures.slowest_ms = max(self.figures.slowest_ms, took)
            if self.worker is not None:
                self.figures.peak_kb = max(self.figures.peak_kb, self.worker.peak_kb)
        return answer.get("said")

    def carry(self, values: dict[str, str], layout: int, now: float) -> str | None:
        """Takes an older version's state over; the reason where that fails. Nothing of it is kept then."""
        before, mine = self.state, self.package.manifest.state_layout
        try:
            self.state, self.stale = State(self.budgets.state_bytes, values), True
            if layout != mine and values:
                if "carry" not in self.hooks:
                    raise Fault(
                        "wrong-answer", f"it has no carry hook, and the layout goes from {layout} to {mine}"
                    )
                if self.worker is None:
                    raise Fault("killed", "its process has ended")
                self.call("carry", {"layout": layout}, now + self.budgets.load_ms, now)
        except Fault as fault:
            self.state, self.stale = before, True
            return f"carry: {fault.kind}: {fault}"
        return None

    def told(self) -> dict[str, Any]:
        """Its figures, as the operators read them."""
        f, m = self.figures, self.package.manifest
        return {
            "version": m.version,
            "digest": self.package.digest[:12],
            "engine": m.engine,
            "signed_by": self.package.signed_by,
            "state": self.breaker.state,
            "put_out": self.breaker.opened,
            "calls": f.calls,
            "faults": dict(f.faults),
            "declined": dict(f.declined),
            "starts": f.starts,
            "p50_us": self.took.get_value_at_percentile(50),
            "p99_us": self.took.get_value_at_percentile(99),
            "max_ms": round(f.slowest_ms, 3),
            "peak_mb": round(f.peak_kb / 1024, 1),
            "kept_bytes": self.state.held,
        }
