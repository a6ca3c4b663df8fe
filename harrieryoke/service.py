"""Puts the invoker's parts together, runs it, and stops it in order."""

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
from .core.calls import CallMaker
from .core.clock import now_ms
from .core.module import ModuleActor
from .core.records import CountersRequested, SettingsChanged, Stopping
from .log import Log
from .net.bus_follower import BusFollower
from .net.hostlist import HostListActor
from .net.platform import PlatformFront, StopListening
from .parts import CouncilPart, Parts
from .reload import describe_changes, find_missing_key, merge

if TYPE_CHECKING:
    from .upgrade.link import Upgrade

# what of the configuration is in force from the start to the end of a process: fields of Config
RESTART = ("name", "listen", "management", "seed", "limits", "operator")


class Service:
    """One invoker."""

    def __init__(self, config: Config, log: Log, reread: Callable[[], Config] | None = None) -> None:
        self.config, self.log, self.limits, self.reread = config, log, config.limits, reread
        settings = config.settings
        self.core = ModuleActor(settings, config.seed, self.limits, log)
        self.hosts = HostListActor(
            settings, self.limits, log, self.core.blocking_send, self.core.blocking_send, self.core.figures
        )
        self.bus = BusFollower(config.bus, config.known.offset, self.limits, log, self.hosts.blocking_send)
        self.maker = CallMaker(settings, self.limits)
        self.front = PlatformFront(config.listen, self.maker, self.core, self.limits, log)
        self.parts = (
            Parts()
            if config.operator is None
            else config.operator.parts(settings, self.core, self.maker, self.limits, log, self.answer)
        )
        self.broker, self.gate = self.parts.broker, self.parts.gate
        if self.gate is not None:
            self.core.set_gate(self.gate)
        if self.parts.door is not None:
            self.core.set_door(self.parts.door)
        if self.parts.ledger is not None:
            self.core.set_recorder(self.parts.ledger)
        self.stop, self.broken = Event(), False
        self.upgrade: Upgrade | None = None
        self.turn = Event()  # one file after the other: set once the last one that came is done with
        self.turn.set()

    def start(self) -> None:
        self.start_management()
        self.open_council()
        listening, banned = self.take_over()
        self.hosts.load_initial(self.config.known, banned, self.config.written)
        for before in (self.gate, self.parts.door):
            if before is not None:
                before.start()
        self.hosts.start()
        self.core.start()
        self.bus.start()
        if self.upgrade is not None:
            self.upgrade.restore_state()
        try:
            self.front.start(listening, shared=self.upgrade is not None)
        except OSError as error:
            raise ConfigError(f"RELAY_LISTEN: {error}") from None
        if self.upgrade is not None:
            self.upgrade.start()
        for part in (self.parts.ledger, self.broker, self.parts.ops):
            if part is not None:
                part.start()
        if self.parts.council is not None:
            self.start_council(self.parts.council)
        self.log("started", f"listening on {self.config.listen[0]}:{self.config.listen[1]}")

    def open_council(self) -> None:
        """Guards against a socket that is taken over by a process which then can't have the folder."""
        if self.parts.council is not None:
            try:
                self.parts.council.open()
            except ValueError as error:
                raise ConfigError(f"council: {error}") from None

    def start_council(self, council: CouncilPart) -> None:
        """Behind the parts that do its duties."""
        try:
            council.start()
        except OSError as error:
            raise ConfigError(f"council.listen: {error}") from None

    def start_management(self) -> None:
        """The operators' listener comes first: whoever waits until this process serves has an answer."""
        if self.config.management is None:
            return
        from .admin.server import AdminServer

        try:
            AdminServer(
                self.config.management,
                self.core.figures,
                self.serves,
                self.hosts.try_send,
                self.limits,
                self.log,
            ).start()
        except OSError as error:
            raise ConfigError(f"RELAY_MANAGEMENT: {error}") from None

    def serves(self) -> bool:
        """Whether a call that comes now is taken."""
        return self.front.greenlet is not None and not self.stop.is_set()

    def take_over(self) -> tuple[socket.socket | None, list[str]]:
        """The listening socket of the process that serves here so far, if there is one, and the hosts that
        operators have taken out."""
        folder = self.config.folder
        if folder is None:
            return None, []
        from .upgrade.link import Upgrade

        path = folder / "harrieryoke-{}-{}".format(*self.config.listen)
        self.upgrade = Upgrade(path, self.front, self.core, self.hosts, self.limits, self.log)
        return self.upgrade.take_over()

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then answers all that was taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stop.set)
        # guards against SIGHUP's default, which ends the process
        gevent.signal_handler(signal.SIGHUP, lambda: spawn(self.log, "reload", self.reload))
        self.start()
        for part in (self.core, self.hosts, self.bus, self.front):
            if part.greenlet is not None:
                part.greenlet.link(self.part_ended)
        gc.freeze()
        self.stop.wait()
        return 1 if self.broken else self.wind_down()

    def reload(self) -> None:
        """One SIGHUP: the file is read at once, and in its turn taken as a whole or not at all."""
        if self.reread is None:
            return
        try:
            new = self.reread()
            before, self.turn = self.turn, Event()
            mine = self.turn
            before.wait()
            try:
                told = self.take(new)
            finally:
                mine.set()
        except ConfigError as error:
            self.core.figures.config_rejected += 1
            return self.log("reload-failed", f"the old configuration stays: {error}")
        self.core.figures.config_applied += 1
        self.log("reloaded", told)

    def take(self, new: Config) -> str:
        """Puts a new configuration in force; what changed, and what waits for a restart. Raises ConfigError
        before anything is in force."""
        if self.stop.is_set():
            raise ConfigError("the process is stopping")
        old = self.config
        if (key := find_missing_key([old.told], new.told)) is not None:
            raise ConfigError(key)
        try:
            settings = merge(old.settings, new.settings, self.limits.class_slots)
        except ValueError as error:
            raise ConfigError(f"settings.{error}") from None
        if old.operator is not None:
            old.operator.check(new.settings, new.limits)
            old.operator.renew(new.operator, old.name, self.parts)
        own = {} if old.operator is None else old.operator.limits
        for limit, value in read_ceilings(new.told["settings"]).items():
            if limit not in own:
                setattr(self.limits, limit, value)
        self.put_in_force(settings)
        self.bus.change_address(new.bus)
        if self.gate is not None:
            self.gate.ask_swap(None, self.limits.write_ms)
        if self.parts.ledger is not None:
            self.parts.ledger.reload()
        stays = [key for key in RESTART if getattr(new, key) != getattr(old, key)]
        stays += ["settings.discovery"] if new.settings.list_on_request != settings.list_on_request else []
        told = [describe_changes(old.settings, settings)]
        told += [f"a restart is needed for: {', '.join(stays)}"] if stays else []
        self.config = replace(old, settings=settings, bus=new.bus, told=new.told)
        return "; ".join(filter(None, told))

    def put_in_force(self, settings: i.Settings) -> None:
        """Whoever a call comes to knows its class by then: the hosts at once, the parts on its way through
        mailboxes that keep the order, and last the fronts, which name the new classes from here."""
        self.hosts.apply_settings(settings)
        self.core.figures.add_classes(settings.active_classes())
        for part in (self.core, self.gate, self.parts.door, self.parts.ledger):
            if part is not None:
                part.blocking_send(SettingsChanged(settings))
        self.maker.retune(settings)

    def part_ended(self, greenlet: gevent.Greenlet) -> None:
        """Guards against living on without a vital part: whoever started the process starts it anew."""
        if not self.stop.is_set():
            self.log("broken", "a part that the invoker can't be without has ended")
            self.broken = True
            self.stop.set()

    def wind_down(self) -> int:
        """New connections go on coming for a while after SIGTERM: they are served too."""
        began = now_ms()
        settings = self.config.settings
        # a class that a reload has dropped does not put off the end: the kill comes by the present settings
        longest = min(3000.0, max(settings.classes[n].deadline for n in settings.active_classes().values()))
        by = began + min(self.limits.stop_within_ms, longest + 500.0)
        self.log("stopping", f"all is answered within {by - began:.0f} ms")
        self.core.blocking_send(Stopping(by))
        if self.upgrade is not None:
            self.upgrade.stop()
        for before in (self.gate, self.parts.door):
            if before is not None:
                before.push_stop(by)
        if self.parts.council is not None:
            self.parts.council.push_stop()
        if self.broker is not None:
            self.broker.push_stop()
        if self.front.transfer_request is None:
            gevent.sleep(self.limits.stop_accepting_ms / 1000)
        self.front.blocking_send(StopListening())
        self.front.all_closed.wait((by + 100.0 - now_ms()) / 1000)
        if self.broker is not None:
            self.broker.gone.wait(max(0.0, by + 100.0 - now_ms()) / 1000)
        if self.parts.ledger is not None:
            self.parts.ledger.stop()
        if self.parts.council is not None:
            self.parts.council.stop()
        self.log("stopped", ", ".join(f"{n} {name}" for name, n in self.counts(self.core).items()))
        return 0

    # --- the operators' HTTP ---

    def counts(self, actor: Any) -> dict[str, int]:
        """An actor's counters, from itself."""
        told: AsyncResult = AsyncResult()
        actor.blocking_send(CountersRequested(told.set))
        try:
            counts: dict[str, int] = told.get(timeout=self.limits.write_ms / 1000)
        except gevent.Timeout:
            return {}
        return counts

    def answer(self, method: str, path: str, query: Mapping[str, str]) -> tuple[int, Any]:
        if path == "/healthz":
            healthy = not self.stop.is_set() and not self.core.finished
            return 200 if healthy else 503, {"healthy": healthy}
        if path.startswith("/plugins"):
            if self.gate is None:
                return 404, {"error": "there are no plug-ins"}
            if method == "GET":
                return 200, self.gate.ask_status(self.limits.write_ms)
            begun = self.gate.ask_swap(query.get("name"), self.limits.write_ms)
            return (202, begun) if begun else (404, {"error": "there is no such plug-in"})
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
        counts = {"requests": self.counts(self.core), "log": dict(self.log.totals)}
        return 200, counts | ({} if self.broker is None else {"triggers": self.counts(self.broker)})
