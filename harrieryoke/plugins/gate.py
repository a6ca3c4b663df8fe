"""The actor between the fronts and the module: each call passes its plug-ins here, once, in bounded time."""

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
from .decide.abi import ADMIT, Said
from .decide.binding import MQTT, PLATFORM, Binding
from .decide.manifest import granted, within
from .decide.merge import Fleet, Host, WishBook, by_label, settle, totals
from .decide.versions import Slot
from .decide.walk import Stop, Walk, time_for
from .instance import Ask, Carried, Carry, End, Gave, Give, Heard, Instance
from .package import Package, read_package, verify
from .settings import PluginError, PluginsSettings, Use

TICK_MS = 50.0
SWEEP_MS = 5000.0


@dataclass(slots=True, eq=False)
class Plugin:
    """One plug-in: where it comes from, what it sees, and its versions that live."""

    use: Use
    binding: Binding
    slot: Slot
    instances: dict[int, Instance] = field(default_factory=dict)
    package: Package | None = None  # of the version that serves, or is about to


@dataclass(slots=True, eq=False)
class Passing:
    """A call here, or in the module after it was here."""

    call: Call
    front: Front
    walk: Walk
    view: dict[str, Any]
    began: float
    asked_at: float = 0.0


@dataclass(slots=True)
class Swap:
    """New versions are to be read: of the plug-in of that name, or of all. `tell` hears what was begun."""

    name: str | None
    tell: Callable[[dict[str, str]], object]


@dataclass(slots=True)
class Read:
    plugin: Plugin
    package: Package | None
    reason: str = ""


@dataclass(slots=True)
class Loaded:
    plugin: Plugin
    number: int
    instance: Instance
    reason: str | None


class PluginGate(Actor):
    """Owns the calls on their way past plug-ins, the versions, the wishes and the counts. It never waits for
    a plug-in: instances answer into its mailbox."""

    def __init__(
        self,
        told: PluginsSettings,
        settings: i.Settings,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        super().__init__("plug-in gate", limits.module_mailbox, log)
        self.told, self.settings, self.core, self.limits, self.clock = told, settings, core, limits, clock
        self.walking: dict[Call, Passing] = {}
        self.passed: dict[Call, Passing] = {}
        self.fleet = Fleet()
        self.wishes = WishBook(told.warm_s * 1000, most=told.warm_most)
        self.labels: dict[str, Counter[str]] = {}
        self.counts: Counter[str] = Counter()
        self.why: Counter[str] = Counter()  # of the calls for which a stated default held
        self.dropped: Counter[str] = Counter()  # advice that names nothing in service
        self.ticked = self.swept = 0.0
        from hdrh.histogram import HdrHistogram

        self.passage = HdrHistogram(1, 60_000_000, 2)  # microseconds from the offer of a call to its way on
        self.plugins = [Plugin(use, use.binding(), Slot(use.path, told.swaps())) for use in told.use]
        names = Counter[str]()
        for n, plugin in enumerate(self.plugins):
            try:
                package = self.read(plugin)
            except PluginError as error:
                raise PluginError(f"plugins.use[{n}]: {error}") from None
            plugin.package, plugin.slot.plugin = package, package.manifest.name
            names[package.manifest.name] += 1
            if names[package.manifest.name] > 1:
                raise PluginError(f"plugins.use[{n}].path: there are two plug-ins {package.manifest.name!r}")

    # --- versions ---

    def read(self, plugin: Plugin) -> Package:
        package = read_package(plugin.use.path, self.told.budgets)
        verify(package, self.told.signed, self.told.trusted, self.clock())
        if plugin.package is not None and package.manifest.name != plugin.slot.plugin:
            raise PluginError(f"{plugin.use.path}: name: it was {plugin.slot.plugin!r}")
        return package

    def make(self, plugin: Plugin, package: Package, number: int) -> Instance:
        m = package.manifest
        return Instance(
            package,
            number,
            granted(m.capabilities, plugin.use.grants),
            within(m.budgets, self.told.budgets),
            self.told.breaker(),
            self.log,
            self.blocking_send,
        )

    def load_all(self) -> None:
        """The first versions, before anything is served. Raises PluginError."""
        for n, plugin in enumerate(self.plugins):
            assert plugin.package is not None
            instance = self.make(
                plugin, plugin.package, plugin.slot.first(plugin.package.text(), self.clock())
            )
            try:
                instance.begin(self.clock())
            except PluginError as error:
                raise PluginError(f"plugins.use[{n}]: {error}") from None
            plugin.instances[instance.number] = instance
            self.log("plugin-serves", plugin.package.text())

    def load_candidate(self, plugin: Plugin, package: Package, number: int) -> None:
        """In a greenlet of its own: a process starts and the code is loaded."""
        instance = self.make(plugin, package, number)

        def run() -> None:
            reason = None
            try:
                instance.begin(now_ms())
            except (PluginError, OSError) as error:
                reason = str(error)
            self.blocking_send(Loaded(plugin, number, instance, reason))

        spawn(self.log, f"{package.text()} load", run)

    def find(self, instance: Instance) -> Plugin | None:
        return next((p for p in self.plugins if p.instances.get(instance.number) is instance), None)

    # --- the fronts' and the module's side ---

    def sees(self, plugin: Plugin, call: Call) -> bool:
        tenant = None if call.tenant is None else self.settings.tenants[call.tenant].name
        return plugin.binding.sees(tenant, self.settings.classes[call.class_index].name, front_of(call))

    def offer(self, call: Call, front: Front) -> bool:
        if any(self.sees(plugin, call) for plugin in self.plugins):
            # guards the call against a gate that has ended: it goes on without advice
            return self.blocking_send(CallReceived(call, front)) or self.core.pass_gate(call, front)
        return self.core.pass_gate(call, front)

    def withdraw(self, call: Call) -> bool:
        return self.blocking_send(CallWithdrawn(call)) or self.core.withdraw_past_gate(call)

    def call_ended(self, call: Call, how: str) -> None:
        if call.watched_by_gate and not self.try_send(CallEnded(call, how)):
            self.log("plugin-behind", "an outcome could not be told to plug-ins")

    def workers_changed(self, listed: WorkersChanged) -> None:
        if not self.try_send(listed):
            self.log("plugin-behind", "a change of the list could not be told to plug-ins")

    # --- the loop ---

    def run(self) -> None:
        while not self.finished:
            self.wait_for_message(TICK_MS)
            self.process_mailbox()
            self.tick(self.clock())

    def process_mailbox(self) -> None:
        """As any actor's, with a tick in between where the mailbox does not run empty."""
        while self.mailbox and not self.finished:
            message = self.mailbox.popleft()
            self.space_available.set()
            self.receive(message)
            self.tick(self.clock())

    def finish(self) -> None:
        """Guards the calls that are here against a fault of this actor: they go on without advice."""
        waiting, self.finished = list(self.walking.values()), True
        super().finish()
        for passing in waiting:
            self.core.pass_gate(passing.call, passing.front)
        for message in list(self.mailbox):
            if isinstance(message, CallReceived):
                self.core.pass_gate(message.call, message.front)
            elif isinstance(message, CallWithdrawn):
                self.core.withdraw_past_gate(message.call)
        for plugin in self.plugins:
            for instance in plugin.instances.values():
                instance.try_send(End())

    def receive(self, message: Any) -> None:
        match message:
            case CallReceived(call, front):
                self.offered(call, front)
            case Heard():
                self.heard(message)
            case CallEnded(call, how):
                self.outcome(call, how)
            case CallWithdrawn(call):
                self.left(call)
            case WorkersChanged():
                self.list_changed(message)
            case Swap(name, tell):
                self.swap(name, tell)
            case Read(plugin, package, reason):
                self.was_read(plugin, package, reason)
            case Loaded(plugin, number, instance, reason):
                self.loaded(plugin, number, instance, reason)
            case Gave(instance, values, number):
                self.gave(instance, values, number)
            case Carried(instance, fault):
                self.carried(instance, fault)
            case SettingsChanged(settings):
                self.settings = settings
            case StatusRequested(tell):
                tell(self.status())
            case Stopping():
                for plugin in self.plugins:
                    plugin.slot.stopping = True

    def tick(self, now: float) -> None:
        if 0 <= now - self.ticked < TICK_MS:
            return
        self.ticked = now
        for passing in [p for p in self.walking.values() if p.asked_at and now > p.asked_at + 2 * TICK_MS]:
            # guards against an instance that never says anything: the stated default holds
            if (stop := passing.walk.next()) is not None:
                self.default(passing, stop, "late")
            self.step(passing, now)
        for plugin in self.plugins:
            for step in plugin.slot.steps(now):
                self.take_step(plugin, step)
        if now >= self.swept + SWEEP_MS or now < self.swept:
            self.swept = now
            # guards the memory against outcomes that the mailbox had no room for
            for passing in [p for p in self.passed.values() if now > p.call.deadline + SWEEP_MS]:
                self.outcome(passing.call, "unknown")
        for function in self.wishes.due(now):
            self.core.blocking_send(PrewarmRequested(function))

    # --- calls ---

    def view(self, call: Call, now: float) -> dict[str, Any]:
        """What plug-ins see of a call: a copy of figures and names. The body is added where it is granted."""
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

    def offered(self, call: Call, front: Front) -> None:
        now = self.clock()
        self.counts["calls"] += 1
        stops = [
            Stop(p.slot.plugin, p.slot.begin(), p.use.on_failure) for p in self.plugins if self.sees(p, call)
        ]
        passing = Passing(call, front, Walk(stops, self.settings.max_retry_after), self.view(call, now), now)
        call.watched_by_gate = True
        self.walking[call] = passing
        if len(self.walking) > self.told.open_calls:
            # at the bound nobody is asked: the stated defaults hold at once
            while (stop := passing.walk.next()) is not None:
                self.default(passing, stop, "crowded")
        self.step(passing, now)

    def plugin_of(self, stop: Stop) -> Plugin:
        return next(p for p in self.plugins if p.slot.plugin == stop.plugin)

    def default(self, passing: Passing, stop: Stop, why: str) -> None:
        self.why[why] += 1
        passing.walk.heard(stop, None)

    def step(self, passing: Passing, now: float) -> None:
        """Asks the next plug-in, or is done with it."""
        while (stop := passing.walk.next()) is not None:
            plugin = self.plugin_of(stop)
            instance = plugin.instances.get(stop.version)
            if instance is None:
                self.default(passing, stop, "ended")
                continue
            if "on_request" not in instance.hooks:
                passing.walk.heard(stop, ADMIT)
                continue
            by, _ = time_for(
                now,
                passing.call.received_at,
                passing.call.deadline,
                instance.budgets.call_ms,
                self.told.all_ms,
            )
            view = {"request": self.body_for(instance, passing)}
            if by <= now:
                self.default(passing, stop, "late")
            elif instance.tell_ask(
                Ask("on_request", view, by, (passing, stop), self.reader(instance, passing.call))
            ):
                passing.asked_at = by
                return self.copy_to_trial(plugin, passing, now)
            else:
                self.default(passing, stop, "queue-full")
        self.done(passing, now)

    def copy_to_trial(self, plugin: Plugin, passing: Passing, now: float) -> None:
        """A version on trial gets a copy of the call; what it says of it is only looked at."""
        number = plugin.slot.shadow()
        candidate = None if number is None else plugin.instances.get(number)
        if candidate is not None and "on_request" in candidate.hooks:
            view = {"request": self.body_for(candidate, passing)}
            by, read = now + candidate.budgets.call_ms, self.reader(candidate, passing.call)
            candidate.tell_ask(Ask("on_request", view, by, passing, read))

    def body_for(self, instance: Instance, passing: Passing) -> dict[str, Any]:
        if "body" not in instance.capabilities:
            return passing.view
        body = passing.call.body
        return passing.view | {
            "body": body if instance.package.manifest.engine == "wasm" else body.decode("latin-1")
        }

    def heard(self, m: Heard) -> None:
        plugin = self.find(m.instance)
        if plugin is None:
            return
        said = m.said
        if m.why is None or m.fault:
            plugin.slot.result(m.instance.number, m.fault)
        if m.fault:
            self.log("plugin-failed", m.text[:200], plugin=plugin.slot.plugin, hook=m.ask.hook, fault=m.why)
        now = self.clock()
        match m.ask.about:
            case (Passing() as passing, Stop() as stop):
                if passing.walk.next() is not stop:
                    return  # it was given up: its default held
                if isinstance(said, Said):
                    passing.walk.heard(stop, said)
                else:
                    self.default(passing, stop, m.why or "protocol")
                self.step(passing, now)
            case None if isinstance(said, tuple):
                for function in said:
                    self.wish(plugin.slot.plugin, function, m.instance.budgets.warm, now)

    def reader(self, instance: Instance, call: Call) -> Callable[[Any], Said]:
        """How an answer of that instance on this call is read."""
        has, names = instance.capabilities, bool(call.topic)
        return lambda said: abi.read_request(said, has, names, self.settings.max_retry_after)

    def done(self, passing: Passing, now: float) -> None:
        """All were asked: the call goes on, is refused, or is forgotten where its client has left."""
        call, walk = passing.call, passing.walk
        if walk.passed:
            return
        walk.passed, passing.asked_at = True, 0.0
        self.passage.record_value(max(1, int(1000 * (now - passing.began))))
        self.walking.pop(call, None)
        self.passed[call] = passing
        merged = walk.merged
        self.counts["conflicts"] += merged.conflicts
        call.label = merged.label
        if walk.withdrawn:
            return self.outcome(call, "withdrawn")
        if merged.refuse is not None:
            self.counts["refused"] += 1
            passing.front.refused(call, merged.refuse or None)
            return self.outcome(call, "refused")
        if merged.function is not None:
            call.function = merged.function
        if merged.prefer or merged.avoid:
            call.cost_factors = settle(merged, self.fleet, self.dropped) or None
            self.counts["advised"] += call.cost_factors is not None
        call.latency_target = merged.wanted
        for name, function in merged.warm:
            self.wish(name, function, self.warm_bound(name), now)
        self.core.pass_gate(call, passing.front)

    def warm_bound(self, name: str) -> int:
        plugin = next(p for p in self.plugins if p.slot.plugin == name)
        instance = plugin.instances.get(plugin.slot.current)
        return 0 if instance is None else instance.budgets.warm

    def wish(self, name: str, function: str, bound: int, now: float) -> None:
        self.wishes.wish(name, function, bound, now)

    def left(self, call: Call) -> None:
        """The client has left. A call that is still here goes no further; nothing more is owed for it."""
        if (passing := self.walking.get(call)) is not None:
            passing.walk.withdrawn = True
            self.done(passing, self.clock())
        else:
            self.core.withdraw_past_gate(call)

    def outcome(self, call: Call, how: str) -> None:
        """Told to the plug-ins that were asked, each in the version that it was asked in."""
        if (passing := self.passed.pop(call, None)) is None:
            return
        if call.label is not None:
            by_label(self.labels, call.label, how)
        asked, by = set(passing.walk.seen_by()), self.clock() + 1000.0
        for stop in passing.walk.stops:
            plugin = self.plugin_of(stop)
            instance = plugin.instances.get(stop.version)
            if stop in asked and instance is not None and "on_outcome" in instance.hooks:
                view = {"request": self.body_for(instance, passing), "outcome": how}
                instance.tell_ask(Ask("on_outcome", view, by))
            plugin.slot.end(stop.version)

    def list_changed(self, m: WorkersChanged) -> None:
        hosts = [Host(worker, n.name, n.zone, n.kind, n.state) for worker, n in m.names.items()]
        self.fleet.apply(m.event.scope is not i.ListScope.CHANGES, hosts)
        view = {
            "hosts": [
                {"id": h.name, "zone": h.zone, "kind": h.kind, "state": h.state}
                for h in self.fleet.hosts.values()
            ]
        }
        for plugin in self.plugins:
            instance = plugin.instances.get(plugin.slot.current)
            if instance is not None and "on_hosts" in instance.hooks:
                instance.tell_ask(Ask("on_hosts", view, self.clock() + 1000.0))

    # --- swaps ---

    def swap(self, name: str | None, tell: Callable[[dict[str, str]], object]) -> None:
        chosen = [p for p in self.plugins if name in (None, p.slot.plugin)]
        for plugin in chosen:
            spawn(self.log, f"{plugin.slot.plugin} read", lambda p=plugin: self.read_again(p))  # type: ignore[misc]
        tell({p.slot.plugin: "reading" for p in chosen})

    def read_again(self, plugin: Plugin) -> None:
        """In a greenlet of its own."""
        try:
            self.blocking_send(Read(plugin, self.read(plugin)))
        except PluginError as error:
            self.blocking_send(Read(plugin, None, str(error)))

    def was_read(self, plugin: Plugin, package: Package | None, reason: str) -> None:
        slot = plugin.slot
        if package is None:
            slot.last = f"{reason}; {slot.serving().text} stays"
            return self.log("plugin-swap-failed", slot.last)
        serving = plugin.instances[slot.current]
        newest = plugin.instances.get(slot.candidate or 0, serving)
        if package.digest == newest.package.digest:
            slot.last = f"{package.text()}: nothing new"
            return
        number = slot.offer(package.text(), self.clock())
        if number is None:
            return self.log("plugin-swap-failed", slot.last)
        self.load_candidate(plugin, package, number)

    def loaded(self, plugin: Plugin, number: int, instance: Instance, reason: str | None) -> None:
        if reason is not None:
            if plugin.slot.candidate == number:
                plugin.slot.failed(number, reason)
                self.log("plugin-swap-failed", plugin.slot.last)
        elif plugin.slot.loaded(number, self.clock()):
            plugin.instances[number] = instance
            plugin.instances[plugin.slot.current].try_send(Give(number))
        else:
            instance.try_send(End())

    def gave(self, instance: Instance, values: dict[str, str], number: int) -> None:
        """The state of the version in service goes to the candidate: a first time for its trial, and again as
        it was in the end, when it takes over."""
        plugin = self.find(instance)
        candidate = None if plugin is None else plugin.instances.get(number)
        if candidate is not None:
            candidate.try_send(Carry(values, instance.package.manifest.state_layout))

    def carried(self, instance: Instance, fault: str | None) -> None:
        plugin = self.find(instance)
        if plugin is None or plugin.slot.candidate != instance.number:
            return
        slot = plugin.slot
        if fault is not None:
            slot.failed(instance.number, fault)
            self.log("plugin-swap-failed", slot.last)
        elif slot.promoting and slot.promoted(instance.number, self.clock()):
            plugin.package = instance.package
            self.wishes.forget(slot.plugin)
            self.log("plugin-serves", slot.last)

    def take_step(self, plugin: Plugin, step: versions.Step) -> None:
        match step:
            case versions.Promote(number):
                if not plugin.instances[plugin.slot.current].try_send(Give(number)):
                    plugin.slot.promoting = False  # its mailbox is full: again at the next tick
            case versions.Reject():
                self.log("plugin-swap-failed", plugin.slot.last)
            case versions.Back(number, _, _):
                plugin.package = plugin.instances[number].package
                self.log("plugin-rolled-back", plugin.slot.last)
            case versions.Retire(number):
                if (instance := plugin.instances.pop(number, None)) is not None:
                    instance.try_send(End())

    # --- for the operators ---

    def request_stop(self, by: float) -> None:
        self.blocking_send(Stopping(by))

    def ask_swap(self, name: str | None, timeout_ms: float) -> dict[str, str]:
        """What was begun, by plug-in; nothing where there is no such plug-in, or no answer in time."""
        told: AsyncResult = AsyncResult()
        self.blocking_send(Swap(name, told.set))
        begun: dict[str, str] = wait_for_reply(told, timeout_ms)
        return begun

    def ask_status(self, timeout_ms: float) -> dict[str, Any]:
        told: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(told.set))
        return wait_for_reply(told, timeout_ms)

    def status(self) -> dict[str, Any]:
        plugins = []
        for p in self.plugins:
            live = {
                str(n): {"stage": p.slot.versions[n].stage} | instance.told()
                for n, instance in p.instances.items()
                if n in p.slot.versions
            }
            plugins.append(
                {
                    "name": p.slot.plugin,
                    "path": p.use.path,
                    "serving": str(p.slot.current),
                    "last_swap": p.slot.last,
                    "versions": live,
                }
            )
        return {
            "plugins": plugins,
            "calls": dict(self.counts),
            "by_default": dict(self.why),
            "advice_dropped": dict(self.dropped),
            "wishes": dict(self.wishes.counts),
            "passage_p50_us": self.passage.get_value_at_percentile(50),
            "passage_p99_us": self.passage.get_value_at_percentile(99),
            "labels": totals(self.labels),
            "open": len(self.walking) + len(self.passed),
        }


def front_of(call: Call) -> str:
    return MQTT if call.topic else PLATFORM
