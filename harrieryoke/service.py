"""Assembles the parts of the invoker, runs it, reloads its configuration and shuts it down."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from . import interface as i
from .checks import ConfigError
from .config import Config, read_ceilings
from .core.actor import spawn
from .core.allocator import Allocator
from .core.calls import CallMaker
from .core.clock import now_ms
from .core.module import ModuleActor
from .core.process_memory import resident_bytes
from .core.records import CountersRequested, SettingsChanged, Stopping
from .limits import MIN_BUDGET_BYTES, WORKING_MB
from .log import Log
from .net.bus_follower import BusFollower
from .net.front_messages import StopListening
from .net.hostlist import HostListActor
from .net.memory_monitor import MemoryMonitor
from .net.platform import PlatformFront
from .parts import CouncilPart, Parts
from .reload import describe_changes, find_missing_key, merge

if TYPE_CHECKING:
    from .upgrade.link import Upgrade

CLOSING_MS = 100.0  # after all was answered at a stop, for what is still to be closed
MIN_COUNTERS_MS = 20.0  # to wait for the counters in the last line of the log
STOP_READING_MS = 200.0  # before all is answered at a stop

# fields of Config that take effect only at a restart
RESTART_FIELDS = ("name", "listen", "management", "seed", "limits", "operator")


class Service:
    """One invoker process."""

    def __init__(self, config: Config, log: Log, read_again: Callable[[], Config] | None = None) -> None:
        self.config, self.log, self.limits, self.read_again = config, log, config.limits, read_again
        settings = config.settings
        self.allocator = Allocator()
        self.allocator.configure()
        self.core = ModuleActor(settings, config.seed, self.limits, log)
        self.hosts = HostListActor(
            settings,
            self.limits,
            log,
            self.core.blocking_send,
            self.core.blocking_send,
            self.core.metrics,
            self.core.memory,
        )
        self.bus = BusFollower(
            config.bus,
            config.known.offset,
            self.limits,
            log,
            self.hosts.blocking_send,
            self.core.memory,
        )
        self.maker = CallMaker(settings, self.limits)
        self.front = PlatformFront(config.listen, self.maker, self.core, self.limits, log)
        self.memory_monitor = MemoryMonitor(
            self.core.memory, self.front.client_sockets, self.hosts.link_sockets, self.allocator, log
        )
        self.parts = (
            Parts()
            if config.operator is None
            else config.operator.parts(
                settings, self.core, self.maker, self.limits, log, self.answer_operator
            )
        )
        self.broker, self.gate = self.parts.broker, self.parts.gate
        if self.gate is not None:
            self.core.set_gate(self.gate)
        if self.parts.door is not None:
            self.core.set_door(self.parts.door)
        if self.parts.ledger is not None:
            self.core.set_recorder(self.parts.ledger)
        self.stop_requested, self.failed = Event(), False
        self.upgrade: Upgrade | None = None
        self.reload_done = Event()  # set once the last reload has finished, so that reloads run one at a time
        self.reload_done.set()

    def start(self) -> None:
        """Start all parts. Raises ConfigError if a listener cannot be opened.

        Whatever can fail precedes the acceptance of calls, and so the word to a process that serves now: if
        this one ends before, the other goes on with all its clients.
        """
        self.start_management()
        self.open_council()
        self.open_ops()
        listening, banned = self.take_over_listener()
        ban_versions = {} if self.upgrade is None else self.upgrade.ban_versions()
        self.hosts.load_initial(self.config.known, banned, self.config.file_written_at, ban_versions)
        for stage in (self.gate, self.parts.door):
            if stage is not None:
                stage.start()
        self.hosts.start()
        self.core.start()
        self.bus.start()
        if self.upgrade is not None:
            self.upgrade.restore_state()
        for part in (self.parts.ledger, self.broker):
            if part is not None:
                part.start()
        if self.parts.council is not None:
            self.start_council(self.parts.council)
        try:
            if self.parts.ops is not None:
                self.parts.ops.start()
        except OSError as error:
            raise ConfigError(f"ops.listen: {error}") from None
        try:
            self.front.start(listening, shared=self.upgrade is not None)
        except OSError as error:
            raise ConfigError(f"RELAY_LISTEN: {error}") from None
        if self.upgrade is not None:
            self.upgrade.start()
        self.size_memory_budget()
        self.log("started", f"listening on {self.config.listen[0]}:{self.config.listen[1]}")

    def size_memory_budget(self) -> None:
        """Size the budget by what this process takes, which depends on the parts and the number of hosts."""
        resident = resident_bytes()
        budget = self.limits.budget_bytes(resident) if resident else self.limits.budget_bytes()
        budget = max(budget - self.limits.backlog_bytes(), MIN_BUDGET_BYTES)
        self.core.memory.resize(budget)
        sizes = f"{budget // 1024} kB beside {resident // 1024} kB resident, of {self.limits.memory_mb} MB"
        self.log("memory-budget", sizes)
        if resident:
            self.memory_monitor.start(resident + WORKING_MB * 2**20)

    def open_council(self) -> None:
        """Open the council's folder. Must precede the takeover of the listener, since it may fail."""
        if self.parts.council is not None:
            try:
                self.parts.council.open()
            except ValueError as error:
                raise ConfigError(f"council: {error}") from None

    def open_ops(self) -> None:
        """Bind the address of the operators' HTTP. Must precede the takeover of the listener."""
        if self.parts.ops is not None:
            try:
                self.parts.ops.open(shared=self.config.upgrade_folder is not None)
            except OSError as error:
                raise ConfigError(
                    f"ops.listen: {error}; give it another address, or end the process that has it"
                ) from None

    def start_council(self, council: CouncilPart) -> None:
        """Start the council, after the parts that perform its duties."""
        try:
            council.start()
        except OSError as error:
            raise ConfigError(f"council.listen: {error}") from None

    def start_management(self) -> None:
        """Start the admin listener first, so that it can answer before the process serves calls."""
        if self.config.management is None:
            return
        from .admin.server import AdminServer

        try:
            AdminServer(
                self.config.management,
                self.core.metrics,
                self.is_serving,
                self.hosts.try_send,
                self.limits,
                self.log,
                self.core.memory,
            ).start()
        except OSError as error:
            raise ConfigError(f"RELAY_MANAGEMENT: {error}") from None

    def is_serving(self) -> bool:
        """Return whether new calls are accepted."""
        return self.front.greenlet is not None and not self.stop_requested.is_set()

    def take_over_listener(self) -> tuple[socket.socket | None, list[str]]:
        """Return the listening socket of the process that serves here now, if any, and the banned hosts."""
        folder = self.config.upgrade_folder
        if folder is None:
            return None, []
        from .upgrade.link import Upgrade

        path = folder / "harrieryoke-{}-{}".format(*self.config.listen)
        self.upgrade = Upgrade(path, self.front, self.core, self.hosts, self.limits, self.log, self.parts)
        return self.upgrade.take_over()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then answer all accepted calls. Return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stop_requested.set)
        # the default action of SIGHUP would end the process
        gevent.signal_handler(signal.SIGHUP, lambda: spawn(self.log, "reload", self.reload))
        self.start()
        for part in (self.core, self.hosts, self.bus, self.front):
            if part.greenlet is not None:
                part.greenlet.link(self.on_part_ended)
        gc.freeze()
        self.stop_requested.wait()
        return 1 if self.failed else self.shut_down()

    def reload(self) -> None:
        """Handle SIGHUP: read the file now, and apply it completely or not at all after earlier reloads."""
        if self.read_again is None:
            return
        try:
            new = self.read_again()
            previous, self.reload_done = self.reload_done, Event()
            done = self.reload_done
            previous.wait()
            try:
                changes = self.apply_config(new)
            finally:
                done.set()
        except ConfigError as error:
            self.core.metrics.config_rejected += 1
            return self.log("reload-failed", f"the old configuration stays: {error}")
        self.core.metrics.config_applied += 1
        self.log("reloaded", changes)

    def apply_config(self, new: Config) -> str:
        """Apply a new configuration. Return what changed and what needs a restart.

        Raises ConfigError before anything has changed.
        """
        if self.stop_requested.is_set():
            raise ConfigError("the process is stopping")
        old = self.config
        if (key := find_missing_key([old.file_values], new.file_values)) is not None:
            raise ConfigError(key)
        try:
            settings = merge(old.settings, new.settings, self.limits.class_slots)
        except ValueError as error:
            raise ConfigError(f"settings.{error}") from None
        if old.operator is not None:
            old.operator.check(new.settings, new.limits)
            old.operator.apply_reload(new.operator, old.name, self.parts)
        operator_limits = {} if old.operator is None else old.operator.limits
        for limit, value in read_ceilings(new.file_values["settings"]).items():
            if limit not in operator_limits:
                setattr(self.limits, limit, value)
        self.apply_settings(settings)
        self.bus.change_address(new.bus)
        if self.gate is not None:
            self.gate.ask_swap(None, self.limits.write_ms)
        if self.parts.ledger is not None:
            self.parts.ledger.reload()
        unapplied = [key for key in RESTART_FIELDS if getattr(new, key) != getattr(old, key)]
        unapplied += (
            ["settings.discovery"] if new.settings.list_on_request != settings.list_on_request else []
        )
        changes = [describe_changes(old.settings, settings)]
        changes += [f"a restart is needed for: {', '.join(unapplied)}"] if unapplied else []
        self.config = replace(old, settings=settings, bus=new.bus, file_values=new.file_values)
        return "; ".join(filter(None, changes))

    def apply_settings(self, settings: i.Settings) -> None:
        """Apply settings so that every part knows a class before it gets a call of it.

        The hosts get them directly, the other parts through mailboxes, which keep the order. The fronts are
        last: from then on they accept the new classes.
        """
        self.hosts.apply_settings(settings)
        self.core.metrics.add_classes(settings.active_classes())
        for part in (self.core, self.gate, self.parts.door, self.parts.ledger):
            if part is not None:
                part.blocking_send(SettingsChanged(settings))
        self.maker.apply_settings(settings)

    def on_part_ended(self, greenlet: gevent.Greenlet) -> None:
        """End the process after the failure of a part it cannot do without; its supervisor restarts it."""
        if not self.stop_requested.is_set():
            self.log("broken", "a part that the invoker cannot run without has ended")
            self.failed = True
            self.stop_requested.set()

    def shut_down(self) -> int:
        """Answer all accepted calls and stop. New connections after SIGTERM are served for a while, too."""
        started_at = now_ms()
        settings = self.config.settings
        # retired classes do not count: when the process is killed depends on the deadlines of the current
        # settings
        longest = min(3000.0, max(settings.classes[n].deadline for n in settings.active_classes().values()))
        by = started_at + min(self.limits.stop_within_ms, longest + 500.0)
        end_at = by + CLOSING_MS
        self.log("stopping", f"all is answered within {by - started_at:.0f} ms")
        self.core.blocking_send(Stopping(by))
        if self.upgrade is not None:
            self.upgrade.stop()
        for stage in (self.gate, self.parts.door):
            if stage is not None:
                stage.request_stop(by)
        if self.parts.council is not None:
            self.parts.council.request_stop()
        if self.broker is not None:
            self.broker.request_stop()
        if self.front.transfer_request is None:
            gevent.sleep(self.limits.stop_accepting_ms / 1000)
        self.front.blocking_send(StopListening())
        if not self.front.all_closed.wait(max(0.0, by - STOP_READING_MS - now_ms()) / 1000):
            self.front.stop_reading()
            self.front.all_closed.wait(max(0.0, end_at - now_ms()) / 1000)
        self.front.record_remaining()
        if self.broker is not None:
            self.broker.gone.wait(max(0.0, end_at - now_ms()) / 1000)
        if self.upgrade is not None:
            self.upgrade.wait_for_session(end_at - now_ms())
        if self.parts.ledger is not None:
            self.parts.ledger.stop()
        if self.parts.council is not None:
            self.parts.council.stop()
        counters = self.request_counters(self.core, max(MIN_COUNTERS_MS, end_at - now_ms()))
        self.log("stopped", ", ".join(f"{n} {name}" for name, n in counters.items()))
        return 0

    # --- HTTP for operators ---

    def request_counters(self, actor: Any, timeout_ms: float) -> dict[str, int]:
        """Return the counters of an actor; empty if it does not reply in time."""
        reply: AsyncResult = AsyncResult()
        if not actor.try_send(CountersRequested(reply.set)):
            return {}
        try:
            counts: dict[str, int] = reply.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            return {}
        return counts

    def answer_operator(self, method: str, path: str, query: Mapping[str, str]) -> tuple[int, Any]:
        """Answer an HTTP request of an operator: the status and the JSON body."""
        if path == "/healthz":
            healthy = self.is_serving() and not self.core.finished
            return 200 if healthy else 503, {"healthy": healthy}
        if path.startswith("/plugins"):
            if self.gate is None:
                return 404, {"error": "there are no plug-ins"}
            if method == "GET":
                return 200, self.gate.ask_status(self.limits.write_ms)
            started = self.gate.ask_swap(query.get("name"), self.limits.write_ms)
            return (202, started) if started else (404, {"error": "there is no such plug-in"})
        if path == "/door":
            if self.parts.door is None:
                return 404, {"error": "there is no door"}
            return 200, self.parts.door.ask_status(self.limits.write_ms)
        if path == "/council":
            if self.parts.council is None:
                return 404, {"error": "there is no council"}
            return 200, self.parts.council.status()
        if path.startswith("/ledger"):
            if self.parts.ledger is None:
                return 404, {"error": "there is no ledger"}
            return self.parts.ledger.answer(method, path, query, self.limits.write_ms)
        timeout_ms = self.limits.write_ms
        counts = {"requests": self.request_counters(self.core, timeout_ms), "log": dict(self.log.totals)}
        if self.broker is not None:
            counts["triggers"] = self.request_counters(self.broker, timeout_ms)
        return 200, counts
