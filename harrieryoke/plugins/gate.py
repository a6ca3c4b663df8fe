"""The actor between the fronts and the decision module: asks a call's plug-ins once each, in bounded time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gevent.event import AsyncResult

from .. import interface as i
from ..core.actor import Actor, spawn, wait_for_reply
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.records import (
    Call,
    CallEnded,
    CallReceived,
    CallWithdrawn,
    Front,
    PrewarmRequested,
    SettingsChanged,
    StatusRequested,
    Stopping,
    WorkersChanged,
)
from ..limits import Limits
from ..log import Log
from .decide import abi, versions
from .decide.abi import ADMIT, Advice
from .decide.binding import MQTT, PLATFORM, Binding
from .decide.manifest import cap_budgets, granted_capabilities
from .decide.merge import Host, HostList, PrewarmRequests, count_by_label, label_totals, resolve_cost_factors
from .decide.versions import PluginVersions
from .decide.walk import ChainEntry, PluginChain, hook_deadlines
from .instance import (
    EndInstance,
    ExportState,
    HookCall,
    HookResult,
    ImportState,
    Instance,
    StateExported,
    StateImported,
)
from .package import Package, read_package, verify
from .settings import PluginError, PluginsSettings, PluginUse

TICK_MS = 50.0
SWEEP_MS = 5000.0
WATCH_HOOK_MS = 1000.0  # for hooks that no call waits for


@dataclass(slots=True, eq=False)
class Plugin:
    """One plug-in: its entry in the settings, its binding and its live versions."""

    use: PluginUse
    binding: Binding
    versions: PluginVersions
    instances: dict[int, Instance] = field(default_factory=dict)
    package: Package | None = None  # of the version that serves, or is about to


@dataclass(slots=True, eq=False)
class GatedCall:
    """A call at the gate, or in the decision module after it has passed the gate."""

    call: Call
    front: Front
    chain: PluginChain
    view: dict[str, Any]
    offered_at: float
    answer_deadline: float = 0.0  # of the plug-in being asked; 0 if none is


@dataclass(slots=True)
class SwapRequested:
    """Read the plug-in of that name, or all, again; `reply` receives what was started."""

    name: str | None
    reply: Callable[[dict[str, str]], object]


@dataclass(slots=True)
class PackageRead:
    plugin: Plugin
    package: Package | None
    reason: str = ""


@dataclass(slots=True)
class CandidateLoaded:
    plugin: Plugin
    number: int
    instance: Instance
    reason: str | None


class PluginGate(Actor):
    """Owns the calls at the gate, the versions, the prewarm requests and the counters.

    It never blocks on a plug-in: instances answer into its mailbox.
    """

    def __init__(
        self,
        plugins_settings: PluginsSettings,
        settings: i.Settings,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        super().__init__("plug-in gate", limits.module_mailbox, log)
        self.plugins_settings, self.settings, self.core, self.limits, self.clock = (
            plugins_settings,
            settings,
            core,
            limits,
            clock,
        )
        self.waiting: dict[Call, GatedCall] = {}
        self.passed: dict[Call, GatedCall] = {}
        self.host_list = HostList()
        self.prewarm_requests = PrewarmRequests(
            plugins_settings.warm_s * 1000, max_requests=plugins_settings.warm_most
        )
        self.label_counts: dict[str, Counter[str]] = {}
        self.counts: Counter[str] = Counter()
        self.default_reasons: Counter[str] = Counter()  # why on_failure applied
        self.dropped_advice: Counter[str] = Counter()  # advice on hosts that are not in service
        self.last_tick = self.last_sweep = 0.0
        from hdrh.histogram import HdrHistogram

        self.gate_time = HdrHistogram(1, 60_000_000, 2)  # microseconds that calls spend at the gate
        self.plugins = [
            Plugin(use, use.binding(), PluginVersions(use.path, plugins_settings.swap_limits()))
            for use in plugins_settings.use
        ]
        names = Counter[str]()
        for n, plugin in enumerate(self.plugins):
            try:
                package = self.read(plugin)
            except PluginError as error:
                raise PluginError(f"plugins.use[{n}]: {error}") from None
            plugin.package, plugin.versions.plugin = package, package.manifest.name
            names[package.manifest.name] += 1
            if names[package.manifest.name] > 1:
                raise PluginError(f"plugins.use[{n}].path: there are two plug-ins {package.manifest.name!r}")

    # --- versions ---

    def read(self, plugin: Plugin) -> Package:
        package = read_package(plugin.use.path, self.plugins_settings.budgets)
        verify(package, self.plugins_settings.signed, self.plugins_settings.trusted, self.clock())
        if plugin.package is not None and package.manifest.name != plugin.versions.plugin:
            raise PluginError(f"{plugin.use.path}: name: it was {plugin.versions.plugin!r}")
        return package

    def create_instance(self, plugin: Plugin, package: Package, number: int) -> Instance:
        m = package.manifest
        return Instance(
            package,
            number,
            granted_capabilities(m.capabilities, plugin.use.grants),
            cap_budgets(m.budgets, self.plugins_settings.budgets),
            self.plugins_settings.breaker_limits(),
            self.log,
            self.blocking_send,
        )

    def load_all(self) -> None:
        """Load the first versions, before any call is served. Raises PluginError."""
        for n, plugin in enumerate(self.plugins):
            assert plugin.package is not None
            instance = self.create_instance(
                plugin, plugin.package, plugin.versions.add_first(plugin.package.text(), self.clock())
            )
            try:
                instance.load_and_start(self.clock())
            except PluginError as error:
                raise PluginError(f"plugins.use[{n}]: {error}") from None
            plugin.instances[instance.number] = instance
            self.log("plugin-serves", plugin.package.text())

    def load_candidate(self, plugin: Plugin, package: Package, number: int) -> None:
        """Load a candidate in a greenlet of its own: its process starts and compiles the code."""
        instance = self.create_instance(plugin, package, number)

        def run() -> None:
            reason = None
            try:
                instance.load_and_start(now_ms())
            except (PluginError, OSError) as error:
                reason = str(error)
            self.blocking_send(CandidateLoaded(plugin, number, instance, reason))

        spawn(self.log, f"{package.text()} load", run)

    def plugin_of_instance(self, instance: Instance) -> Plugin | None:
        return next((p for p in self.plugins if p.instances.get(instance.number) is instance), None)

    # --- called by the fronts and the module actor ---

    def matches(self, plugin: Plugin, call: Call) -> bool:
        tenant = None if call.tenant is None else self.settings.tenants[call.tenant].name
        return plugin.binding.matches(tenant, self.settings.classes[call.class_index].name, front_of(call))

    def offer(self, call: Call, front: Front) -> bool:
        if any(self.matches(plugin, call) for plugin in self.plugins):
            # if the gate has ended, the call goes on without advice
            return self.blocking_send(CallReceived(call, front)) or self.core.pass_gate(call, front)
        return self.core.pass_gate(call, front)

    def withdraw(self, call: Call) -> bool:
        return self.blocking_send(CallWithdrawn(call)) or self.core.withdraw_past_gate(call)

    def call_ended(self, call: Call, how: str) -> None:
        if call.watched_by_gate and not self.try_send(CallEnded(call, how)):
            self.log("plugin-behind", "mailbox full: plug-ins were not told of an outcome")

    def workers_changed(self, change: WorkersChanged) -> None:
        if not self.try_send(change):
            self.log("plugin-behind", "mailbox full: plug-ins were not told of a change of the host list")

    # --- the loop ---

    def run(self) -> None:
        while not self.finished:
            self.wait_for_message(TICK_MS)
            self.process_mailbox()
            self.tick(self.clock())

    def process_mailbox(self) -> None:
        """Like Actor.process_mailbox, with a tick after each message, in case the mailbox is never empty."""
        while self.mailbox and not self.finished:
            message = self.mailbox.popleft()
            self.space_available.set()
            self.receive(message)
            self.tick(self.clock())

    def finish(self) -> None:
        """Pass on the waiting calls without advice, so that a fault of this actor loses none."""
        waiting, self.finished = list(self.waiting.values()), True
        super().finish()
        for gated in waiting:
            self.core.pass_gate(gated.call, gated.front)
        for message in list(self.mailbox):
            if isinstance(message, CallReceived):
                self.core.pass_gate(message.call, message.front)
            elif isinstance(message, CallWithdrawn):
                self.core.withdraw_past_gate(message.call)
        for plugin in self.plugins:
            for instance in plugin.instances.values():
                instance.try_send(EndInstance())

    def receive(self, message: Any) -> None:
        match message:
            case CallReceived(call, front):
                self.call_received(call, front)
            case HookResult():
                self.hook_ended(message)
            case CallEnded(call, how):
                self.outcome(call, how)
            case CallWithdrawn(call):
                self.call_withdrawn(call)
            case WorkersChanged():
                self.host_list_changed(message)
            case SwapRequested(name, reply):
                self.start_swap(name, reply)
            case PackageRead(plugin, package, reason):
                self.package_read(plugin, package, reason)
            case CandidateLoaded(plugin, number, instance, reason):
                self.candidate_loaded(plugin, number, instance, reason)
            case StateExported(instance, values, number):
                self.state_exported(instance, values, number)
            case StateImported(instance, fault):
                self.state_imported(instance, fault)
            case SettingsChanged(settings):
                self.settings = settings
            case StatusRequested(reply):
                reply(self.status())
            case Stopping():
                for plugin in self.plugins:
                    plugin.versions.stopping = True

    def tick(self, now: float) -> None:
        if 0 <= now - self.last_tick < TICK_MS:
            return
        self.last_tick = now
        for gated in [
            g for g in self.waiting.values() if g.answer_deadline and now > g.answer_deadline + 2 * TICK_MS
        ]:
            # the instance never answered: on_failure applies
            if (entry := gated.chain.next()) is not None:
                self.apply_default(gated, entry, "late")
            self.advance(gated, now)
        for plugin in self.plugins:
            for step in plugin.versions.due_steps(now):
                self.take_step(plugin, step)
        if now >= self.last_sweep + SWEEP_MS or now < self.last_sweep:
            self.last_sweep = now
            # frees calls whose outcome was lost because the mailbox was full
            for gated in [g for g in self.passed.values() if now > g.call.deadline + SWEEP_MS]:
                self.outcome(gated.call, "unknown")
        for function in self.prewarm_requests.take_due(now):
            self.core.blocking_send(PrewarmRequested(function))

    # --- calls ---

    def view(self, call: Call, now: float) -> dict[str, Any]:
        """The fields of a call that plug-ins see, copied. The body is added only where it is granted."""
        kind = self.settings.classes[call.class_index]
        return {
            "id": call.request_id,
            "class": kind.name,
            "function": call.function,
            "tenant": None if call.tenant is None else self.settings.tenants[call.tenant].name,
            "front": front_of(call),
            "topic": call.topic,
            "keyed": call.key is not None,
            "body_bytes": len(call.body),
            "left_ms": round(call.deadline - now),
            "wanted_ms": kind.latency_target,
            "memory_mb": call.memory,
            "lanes": call.slots,
        }

    def call_received(self, call: Call, front: Front) -> None:
        now = self.clock()
        self.counts["calls"] += 1
        entries = [
            ChainEntry(p.versions.plugin, p.versions.begin_call(), p.use.on_failure)
            for p in self.plugins
            if self.matches(p, call)
        ]
        gated = GatedCall(
            call, front, PluginChain(entries, self.settings.max_retry_after), self.view(call, now), now
        )
        call.watched_by_gate = True
        self.waiting[call] = gated
        if len(self.waiting) > self.plugins_settings.open_calls:
            # above the limit, on_failure applies at once and no plug-in is asked
            while (entry := gated.chain.next()) is not None:
                self.apply_default(gated, entry, "crowded")
        self.advance(gated, now)

    def plugin_of_entry(self, entry: ChainEntry) -> Plugin:
        return next(p for p in self.plugins if p.versions.plugin == entry.plugin)

    def apply_default(self, gated: GatedCall, entry: ChainEntry, reason: str) -> None:
        self.default_reasons[reason] += 1
        gated.chain.record(entry, None)

    def advance(self, gated: GatedCall, now: float) -> None:
        """Ask the next plug-in, or complete the call's passage."""
        while (entry := gated.chain.next()) is not None:
            plugin = self.plugin_of_entry(entry)
            instance = plugin.instances.get(entry.version)
            if instance is None:
                self.apply_default(gated, entry, "ended")
                continue
            if "on_request" not in instance.hooks:
                gated.chain.record(entry, ADMIT)
                continue
            deadline, _ = hook_deadlines(
                now,
                gated.call.received_at,
                gated.call.deadline,
                instance.budgets.call_ms,
                self.plugins_settings.all_ms,
            )
            view = {"request": self.view_for(instance, gated)}
            if deadline <= now:
                self.apply_default(gated, entry, "late")
            elif instance.enqueue(
                HookCall(
                    "on_request", view, deadline, (gated, entry), self.advice_parser(instance, gated.call)
                )
            ):
                gated.answer_deadline = deadline
                return self.copy_to_trial(plugin, gated, now)
            else:
                self.apply_default(gated, entry, "queue-full")
        self.complete(gated, now)

    def copy_to_trial(self, plugin: Plugin, gated: GatedCall, now: float) -> None:
        """Copy the call to a version on trial; its advice is checked but not applied."""
        number = plugin.versions.trial_version()
        candidate = None if number is None else plugin.instances.get(number)
        if candidate is not None and "on_request" in candidate.hooks:
            view = {"request": self.view_for(candidate, gated)}
            deadline, parse = now + candidate.budgets.call_ms, self.advice_parser(candidate, gated.call)
            candidate.enqueue(HookCall("on_request", view, deadline, gated, parse))

    def view_for(self, instance: Instance, gated: GatedCall) -> dict[str, Any]:
        if "body" not in instance.capabilities:
            return gated.view
        body = gated.call.body
        return gated.view | {
            "body": body if instance.package.manifest.engine == "wasm" else body.decode("latin-1")
        }

    def hook_ended(self, m: HookResult) -> None:
        plugin = self.plugin_of_instance(m.instance)
        if plugin is None:
            return
        result = m.result
        if m.reason is None or m.fault:
            plugin.versions.record_result(m.instance.number, m.fault)
        if m.fault:
            self.log(
                "plugin-failed",
                m.text[:200],
                plugin=plugin.versions.plugin,
                hook=m.hook_call.hook,
                fault=m.reason,
            )
        now = self.clock()
        match m.hook_call.context:
            case (GatedCall() as gated, ChainEntry() as entry):
                if gated.chain.next() is not entry:
                    return  # too late: on_failure has been applied
                if isinstance(result, Advice):
                    gated.chain.record(entry, result)
                else:
                    self.apply_default(gated, entry, m.reason or "protocol")
                self.advance(gated, now)
            case None if isinstance(result, tuple):
                for function in result:
                    self.request_prewarm(plugin.versions.plugin, function, m.instance.budgets.warm, now)

    def advice_parser(self, instance: Instance, call: Call) -> Callable[[Any], Advice]:
        """The parser of that instance's results on this call."""
        capabilities, may_set_function = instance.capabilities, bool(call.topic)
        return lambda result: abi.parse_request_advice(
            result, capabilities, may_set_function, self.settings.max_retry_after
        )

    def complete(self, gated: GatedCall, now: float) -> None:
        """Pass the call on or refuse it, after all plug-ins were asked; drop it if its client has left."""
        call, chain = gated.call, gated.chain
        if chain.completed:
            return
        chain.completed, gated.answer_deadline = True, 0.0
        self.gate_time.record_value(max(1, int(1000 * (now - gated.offered_at))))
        self.waiting.pop(call, None)
        self.passed[call] = gated
        merged = chain.merged
        self.counts["conflicts"] += merged.conflicts
        call.label = merged.label
        if chain.withdrawn:
            return self.outcome(call, "withdrawn")
        if merged.retry_after_ms is not None:
            self.counts["refused"] += 1
            gated.front.refused(call, merged.retry_after_ms or None)
            return self.outcome(call, "refused")
        if merged.function is not None:
            call.function = merged.function
        if merged.prefer or merged.avoid:
            call.cost_factors = resolve_cost_factors(merged, self.host_list, self.dropped_advice) or None
            self.counts["advised"] += call.cost_factors is not None
        call.latency_target = merged.latency_target_ms
        for name, function in merged.warm:
            self.request_prewarm(name, function, self.max_warm_functions(name), now)
        self.core.pass_gate(call, gated.front)

    def max_warm_functions(self, name: str) -> int:
        plugin = next(p for p in self.plugins if p.versions.plugin == name)
        instance = plugin.instances.get(plugin.versions.current)
        return 0 if instance is None else instance.budgets.warm

    def request_prewarm(self, name: str, function: str, max_of_plugin: int, now: float) -> None:
        self.prewarm_requests.add(name, function, max_of_plugin, now)

    def call_withdrawn(self, call: Call) -> None:
        """The client has left. A call still at the gate is dropped; no answer is owed any more."""
        if (gated := self.waiting.get(call)) is not None:
            gated.chain.withdrawn = True
            self.complete(gated, self.clock())
        else:
            self.core.withdraw_past_gate(call)

    def outcome(self, call: Call, how: str) -> None:
        """Tell a call's outcome to the plug-ins that were asked, each in the version that was asked."""
        if (gated := self.passed.pop(call, None)) is None:
            return
        if call.label is not None:
            count_by_label(self.label_counts, call.label, how)
        asked, deadline = set(gated.chain.asked_entries()), self.clock() + WATCH_HOOK_MS
        for entry in gated.chain.entries:
            plugin = self.plugin_of_entry(entry)
            instance = plugin.instances.get(entry.version)
            if entry in asked and instance is not None and "on_outcome" in instance.hooks:
                view = {"request": self.view_for(instance, gated), "outcome": how}
                instance.enqueue(HookCall("on_outcome", view, deadline))
            plugin.versions.end_call(entry.version)

    def host_list_changed(self, m: WorkersChanged) -> None:
        hosts = [Host(worker, n.name, n.zone, n.kind, n.state) for worker, n in m.names.items()]
        self.host_list.apply(m.event.scope is not i.ListScope.CHANGES, hosts)
        view = {
            "hosts": [
                {"id": h.name, "zone": h.zone, "kind": h.kind, "state": h.state}
                for h in self.host_list.hosts.values()
            ]
        }
        for plugin in self.plugins:
            instance = plugin.instances.get(plugin.versions.current)
            if instance is not None and "on_hosts" in instance.hooks:
                instance.enqueue(HookCall("on_hosts", view, self.clock() + WATCH_HOOK_MS))

    # --- swaps ---

    def start_swap(self, name: str | None, reply: Callable[[dict[str, str]], object]) -> None:
        chosen = [p for p in self.plugins if name in (None, p.versions.plugin)]
        for plugin in chosen:
            spawn(self.log, f"{plugin.versions.plugin} read", lambda p=plugin: self.read_again(p))  # type: ignore[misc]
        reply({p.versions.plugin: "reading" for p in chosen})

    def read_again(self, plugin: Plugin) -> None:
        """Read the package from disk; runs in a greenlet of its own."""
        try:
            self.blocking_send(PackageRead(plugin, self.read(plugin)))
        except PluginError as error:
            self.blocking_send(PackageRead(plugin, None, str(error)))

    def package_read(self, plugin: Plugin, package: Package | None, reason: str) -> None:
        plugin_versions = plugin.versions
        if package is None:
            plugin_versions.last_swap = f"{reason}; {plugin_versions.serving_version().text} stays"
            return self.log("plugin-swap-failed", plugin_versions.last_swap)
        serving = plugin.instances[plugin_versions.current]
        newest = plugin.instances.get(plugin_versions.candidate or 0, serving)
        if package.digest == newest.package.digest:
            plugin_versions.last_swap = f"{package.text()}: nothing new"
            return
        number = plugin_versions.add_candidate(package.text(), self.clock())
        if number is None:
            return self.log("plugin-swap-failed", plugin_versions.last_swap)
        self.load_candidate(plugin, package, number)

    def candidate_loaded(self, plugin: Plugin, number: int, instance: Instance, reason: str | None) -> None:
        if reason is not None:
            if plugin.versions.candidate == number:
                plugin.versions.candidate_failed(number, reason)
                self.log("plugin-swap-failed", plugin.versions.last_swap)
        elif plugin.versions.candidate_loaded(number, self.clock()):
            plugin.instances[number] = instance
            plugin.instances[plugin.versions.current].try_send(ExportState(number))
        else:
            instance.try_send(EndInstance())

    def state_exported(self, instance: Instance, values: dict[str, str], number: int) -> None:
        """Hand the serving version's state to the candidate: once for its trial, and again with the latest
        values when it is promoted."""
        plugin = self.plugin_of_instance(instance)
        candidate = None if plugin is None else plugin.instances.get(number)
        if candidate is not None:
            candidate.try_send(ImportState(values, instance.package.manifest.state_layout))

    def state_imported(self, instance: Instance, fault: str | None) -> None:
        plugin = self.plugin_of_instance(instance)
        if plugin is None or plugin.versions.candidate != instance.number:
            return
        plugin_versions = plugin.versions
        if fault is not None:
            plugin_versions.candidate_failed(instance.number, fault)
            self.log("plugin-swap-failed", plugin_versions.last_swap)
        elif plugin_versions.promoting and plugin_versions.complete_promotion(instance.number, self.clock()):
            plugin.package = instance.package
            self.prewarm_requests.remove_plugin(plugin_versions.plugin)
            self.log("plugin-serves", plugin_versions.last_swap)

    def take_step(self, plugin: Plugin, step: versions.SwapStep) -> None:
        match step:
            case versions.Promote(number):
                if not plugin.instances[plugin.versions.current].try_send(ExportState(number)):
                    plugin.versions.promoting = False  # mailbox full: retried at the next tick
            case versions.Reject():
                self.log("plugin-swap-failed", plugin.versions.last_swap)
            case versions.RollBack(number, _, _):
                plugin.package = plugin.instances[number].package
                self.log("plugin-rolled-back", plugin.versions.last_swap)
            case versions.Retire(number):
                if (instance := plugin.instances.pop(number, None)) is not None:
                    instance.try_send(EndInstance())

    # --- for operators ---

    def request_stop(self, by: float) -> None:
        self.blocking_send(Stopping(by))

    def ask_swap(self, name: str | None, timeout_ms: float) -> dict[str, str]:
        """Start a swap; return what was started by plug-in, or nothing if none matches or on a timeout."""
        result: AsyncResult = AsyncResult()
        self.blocking_send(SwapRequested(name, result.set))
        started: dict[str, str] = wait_for_reply(result, timeout_ms)
        return started

    def ask_status(self, timeout_ms: float) -> dict[str, Any]:
        result: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(result.set))
        return wait_for_reply(result, timeout_ms)

    def status(self) -> dict[str, Any]:
        plugins = []
        for p in self.plugins:
            live = {
                str(n): {"stage": p.versions.versions[n].stage} | instance.status()
                for n, instance in p.instances.items()
                if n in p.versions.versions
            }
            plugins.append(
                {
                    "name": p.versions.plugin,
                    "path": p.use.path,
                    "serving": str(p.versions.current),
                    "last_swap": p.versions.last_swap,
                    "versions": live,
                }
            )
        return {
            "plugins": plugins,
            "calls": dict(self.counts),
            "by_default": dict(self.default_reasons),
            "advice_dropped": dict(self.dropped_advice),
            "wishes": dict(self.prewarm_requests.counts),
            "passage_p50_us": self.gate_time.get_value_at_percentile(50),
            "passage_p99_us": self.gate_time.get_value_at_percentile(99),
            "labels": label_totals(self.label_counts),
            "open": len(self.waiting) + len(self.passed),
        }


def front_of(call: Call) -> str:
    return MQTT if call.topic else PLATFORM
