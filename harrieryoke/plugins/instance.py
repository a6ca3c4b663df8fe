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
from .decide.budget import RestartBackoff, TokenBucket
from .decide.manifest import Budgets
from .decide.state import PluginState
from .package import Package
from .process import PluginProcess
from .settings import PluginError

# reasons for which a hook is not called; the reasons of a failed call are abi.FAULT_KINDS
DECLINE_REASONS = ("late", "out", "share-spent", "restarting", "queue-full", "ended")
HOOK_CAPABILITIES = {"on_outcome": "outcomes", "on_hosts": "hosts", "on_timer": "timer"}
MIN_CALL_MS = 0.5  # a hook is not called with less time than this before its deadline
IDLE_WAKE_MS = 1000.0


@dataclass(slots=True, eq=False)
class HookCall:
    """One call of a hook. An answer after `deadline` is useless; `context` comes back with the result."""

    hook: str
    view: dict[str, Any]
    deadline: float
    context: Any = None
    parse: Callable[[Any], Any] | None = None  # raises Fault; None: parsed as the result of a watching hook


@dataclass(slots=True)
class HookResult:
    """The end of a HookCall: `result` if `reason` is None, else one of DECLINE_REASONS or abi.FAULT_KINDS."""

    instance: Instance
    hook_call: HookCall
    result: Any = None
    reason: str | None = None
    text: str = ""
    fault: bool = False


@dataclass(slots=True)
class ExportState:
    """Send the state, for the version of that number."""

    for_number: int


@dataclass(slots=True)
class StateExported:
    instance: Instance
    values: dict[str, str]
    for_number: int


@dataclass(slots=True)
class ImportState:
    """Take over this state, which has that layout."""

    values: dict[str, str]
    layout: int


@dataclass(slots=True)
class StateImported:
    instance: Instance
    fault: str | None


@dataclass(slots=True)
class ProcessStarted:
    """The result of starting a process; `process` is None if that failed."""

    process: PluginProcess | None
    reason: str = ""


class EndInstance:
    """The version is no longer needed."""


@dataclass(slots=True)
class InstanceStats:
    """Counters of an instance, for operators."""

    calls: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    declined: Counter[str] = field(default_factory=Counter)
    peak_kb: int = 0
    starts: int = 0
    slowest_ms: float = 0.0


class Instance(Actor):
    """Serves HookCalls one at a time, in order.

    Each gets a HookResult by its deadline, whatever the plug-in does.
    """

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
        self.report, self.process = report, None
        self.state = PluginState(budgets.state_bytes)
        self.state_stale = False  # the process's copy of the state must be replaced
        self.breaker = Breaker(breaker)
        self.time_budget = TokenBucket(1000 * budgets.time_share, 1000 * budgets.time_share)
        self.log_budget = TokenBucket(budgets.log_lines_per_s, max(1.0, budgets.log_lines_per_s))
        self.backoff, self.start_at, self.starting = RestartBackoff(), 0.0, False
        self.hooks: frozenset[str] = frozenset()
        self.stats = InstanceStats()
        self.latency_us = HdrHistogram(1, 60_000_000, 2)
        self.timer_at = float("inf")

    process: PluginProcess | None

    # --- the process ---

    def load(self, deadline: float) -> PluginProcess:
        """Start a process and load the code. On a Fault, the process is killed."""
        process = PluginProcess()
        m, b = self.package.manifest, self.budgets
        try:
            answer = process.ask(
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
                deadline,
            )
            if "fault" in answer:
                raise Fault(*self.fault_of(answer))
            self.hooks = self.usable_hooks(answer.get("hooks"))
        except Fault:
            process.kill()
            raise
        self.stats.starts += 1
        self.stats.peak_kb = max(self.stats.peak_kb, process.peak_kb)
        return process

    def usable_hooks(self, reported: Any) -> frozenset[str]:
        """The hooks of this version: those that the manifest names, or else all that the file defines."""
        defined = {str(h) for h in reported} if isinstance(reported, list) else set()
        named = set(self.package.manifest.hooks)
        if missing := named - defined:
            raise Fault("wrong-answer", f"hooks: the file defines no {', '.join(sorted(missing))}")
        return frozenset(
            h for h in (named or defined) if HOOK_CAPABILITIES.get(h) in (None, *self.capabilities)
        )

    @staticmethod
    def fault_of(answer: dict[str, Any]) -> tuple[str, str]:
        match answer.get("fault"):
            case [str(kind), str(text)]:
                return kind, text
        return "protocol", "a fault without its kind"

    def load_and_start(self, now: float) -> None:
        """Load the first process and start the actor; blocks the caller. Raises PluginError."""
        try:
            self.process = self.load(now + self.budgets.load_ms)
        except Fault as fault:
            raise PluginError(f"{self.package.path}: {fault.kind}: {fault}") from None
        if "on_timer" in self.hooks:
            self.timer_at = now + self.package.manifest.timer_ms
        self.start()

    def restart(self, now: float) -> None:
        """Start a new process in a greenlet of its own, so that no call waits for it."""
        if self.starting or self.finished or now < self.start_at:
            return
        self.starting = True

        def run() -> None:
            try:
                started = ProcessStarted(self.load(now_ms() + self.budgets.load_ms))
            except (Fault, OSError) as error:
                started = ProcessStarted(None, str(error))
            if not self.blocking_send(started) and started.process is not None:
                started.process.kill()

        spawn(self.log, f"{self.name} start", run)

    def process_ended(self, now: float) -> None:
        """Clean up after the process; the next one starts after the back-off."""
        if self.process is not None:
            self.stats.peak_kb = max(self.stats.peak_kb, self.process.peak_kb)
            self.process.kill()
            self.process = None
            self.start_at = now + self.backoff.record_exit()

    # --- the loop ---

    def run(self) -> None:
        while not self.finished:
            wake = min(self.timer_at, now_ms() + IDLE_WAKE_MS)
            if self.process is None and not self.starting:
                wake = min(wake, self.start_at)
            self.wait_for_message(max(1.0, wake - now_ms()))
            self.process_mailbox()
            now = now_ms()
            if self.process is None:
                self.restart(now)
            if now >= self.timer_at and not self.finished:
                self.timer_at = now + self.package.manifest.timer_ms
                self.receive(HookCall("on_timer", {}, now + self.budgets.call_ms))

    def finish(self) -> None:
        """Answer each HookCall that is left and end the process, also after a fault of this actor."""
        self.finished = True
        if self.process is not None:
            self.stats.peak_kb = max(self.stats.peak_kb, self.process.peak_kb)
            self.process.kill()
        for message in list(self.mailbox):
            if isinstance(message, HookCall):
                self.report(HookResult(self, message, reason="ended"))
            elif isinstance(message, ProcessStarted) and message.process is not None:
                message.process.kill()
            elif isinstance(message, ImportState):
                self.report(StateImported(self, "the instance ended"))
        self.mailbox.clear()
        super().finish()

    def enqueue(self, hook_call: HookCall) -> bool:
        """Queue a call of a hook; return False if the queue is full.

        Watching hooks (all except `on_request`) may fill only half of it; the rest is kept for calls that
        wait for an answer.
        """
        watching = hook_call.hook != "on_request"
        if len(self.mailbox) >= self.budgets.queue // (2 if watching else 1):
            self.stats.declined["queue-full"] += 1
            return False
        return self.try_send(hook_call)

    def receive(self, message: Any) -> None:
        now = now_ms()
        match message:
            case HookCall():
                self.report(self.serve(message, now))
            case ProcessStarted(process, reason):
                self.starting, self.process = False, process
                if process is None:
                    self.start_at = now + self.backoff.record_exit()
                    self.log("plugin-start-failed", f"{self.name}: {reason}")
                else:
                    self.state_stale = True  # the state may have changed since the start began
            case ExportState(for_number):
                self.report(StateExported(self, dict(self.state.values), for_number))
            case ImportState(values, layout):
                self.report(StateImported(self, self.import_state(values, layout, now)))
            case EndInstance():
                self.finished = True

    def decline_reason(self, hook_call: HookCall, now: float) -> str | None:
        """Why the hook can't be called now, or None."""
        if hook_call.deadline - now < MIN_CALL_MS:
            return "late"
        if self.process is None:
            self.restart(now)
            return "restarting"
        if not self.time_budget.has_tokens(now):
            return "share-spent"
        return None if self.breaker.allow(now) else "out"

    def serve(self, hook_call: HookCall, now: float) -> HookResult:
        if reason := self.decline_reason(hook_call, now):
            self.stats.declined[reason] += 1
            return HookResult(self, hook_call, reason=reason)
        try:
            result = self.parse(
                hook_call,
                self.call(
                    hook_call.hook,
                    hook_call.view,
                    min(hook_call.deadline, now + self.budgets.call_ms),
                    now,
                ),
            )
        except Fault as fault:
            after = now_ms()
            self.breaker.record_fault(after)
            if self.breaker.state == "open":
                self.log("plugin-out", self.name, fault=fault.kind, for_ms=round(self.breaker.pause_ms))
            return HookResult(self, hook_call, reason=fault.kind, text=str(fault), fault=True)
        self.breaker.record_success(now_ms())
        self.backoff.record_success()
        return HookResult(self, hook_call, result)

    def parse(self, hook_call: HookCall, result: Any) -> Any:
        """Parse a result. A wrong one is a fault like any other, also for the breaker."""
        try:
            return (
                abi.parse_watch_result(result, self.capabilities)
                if hook_call.parse is None
                else hook_call.parse(result)
            )
        except Fault as fault:
            self.stats.faults[fault.kind] += 1
            raise

    def call(self, hook: str, view: dict[str, Any], deadline: float, now: float) -> Any:
        """Call a hook in the process. Raises Fault, which is already counted."""
        assert self.process is not None
        self.stats.calls += 1
        message: dict[str, Any] = {"hook": hook, "view": view, "ms": deadline - now}
        if self.state_stale:
            message["state"], self.state_stale = self.state.values, False
        try:
            answer = self.process.ask(message, deadline)
            for line in answer.get("log") or ():
                if self.log_budget.try_take(now):
                    self.log("plugin-says", repr(str(line)[:300]), plugin=self.package.manifest.name)
            if "fault" in answer:
                raise Fault(*self.fault_of(answer))
            try:
                self.state.apply(answer.get("puts") or {})
            except (Fault, AttributeError):
                self.state_stale = True  # the copies differ; the invoker's copy is authoritative
                raise Fault("state-full", "the changes of the state can't be stored") from None
        except Fault as fault:
            self.stats.faults[fault.kind] += 1
            if not self.process.pid:
                self.process_ended(now_ms())
            raise
        finally:
            duration = now_ms() - now
            self.time_budget.charge(now_ms(), duration)
            self.latency_us.record_value(max(1, int(1000 * duration)))
            self.stats.slowest_ms = max(self.stats.slowest_ms, duration)
            if self.process is not None:
                self.stats.peak_kb = max(self.stats.peak_kb, self.process.peak_kb)
        return answer.get("said")

    def import_state(self, values: dict[str, str], layout: int, now: float) -> str | None:
        """Take over another version's state. On a fault, restore the previous one and return the reason."""
        before, own_layout = self.state, self.package.manifest.state_layout
        try:
            self.state, self.state_stale = PluginState(self.budgets.state_bytes, values), True
            if layout != own_layout and values:
                if "carry" not in self.hooks:
                    raise Fault(
                        "wrong-answer",
                        f"there is no carry hook, and the layout changes from {layout} to {own_layout}",
                    )
                if self.process is None:
                    raise Fault("killed", "its process has ended")
                self.call("carry", {"layout": layout}, now + self.budgets.load_ms, now)
        except Fault as fault:
            self.state, self.state_stale = before, True
            return f"carry: {fault.kind}: {fault}"
        return None

    def status(self) -> dict[str, Any]:
        """The instance's status and counters, for operators."""
        stats, m = self.stats, self.package.manifest
        return {
            "version": m.version,
            "digest": self.package.digest[:12],
            "engine": m.engine,
            "signed_by": self.package.signed_by,
            "state": self.breaker.state,
            "put_out": self.breaker.times_opened,
            "calls": stats.calls,
            "faults": dict(stats.faults),
            "declined": dict(stats.declined),
            "starts": stats.starts,
            "p50_us": self.latency_us.get_value_at_percentile(50),
            "p99_us": self.latency_us.get_value_at_percentile(99),
            "max_ms": round(stats.slowest_ms, 3),
            "peak_mb": round(stats.peak_kb / 1024, 1),
            "kept_bytes": self.state.used_bytes,
        }
