"""Puts the invoker's parts together, runs it, and stops it in order."""

from __future__ import annotations

import gc
import signal

import gevent
from gevent.event import Event

from .config import Config
from .core.actor import now_ms
from .core.module import ModuleActor
from .core.records import Stopping
from .log import Log
from .net.hostlist import BusFollower, HostListActor
from .net.platform import PlatformFront


class Service:
    """One invoker."""

    def __init__(self, config: Config, log: Log) -> None:
        self.config, self.log, self.limits = config, log, config.limits
        self.core = ModuleActor(config.settings, config.seed, self.limits, log)
        self.hosts = HostListActor(config.zones, config.kinds, config.settings.classes, self.limits, log,
                                   self.core.push, self.core.push)  # fmt: skip
        self.bus = BusFollower(config.bus, config.known.offset, self.limits, log, self.hosts.push)
        self.front = PlatformFront(config.listen, config.settings, self.core, self.limits, log)
        self.stop = Event()

    def start(self) -> None:
        self.hosts.begin(self.config.known)
        self.hosts.start()
        self.core.start()
        self.bus.start()
        self.front.start()
        self.log("started", f"listening on {self.config.listen[0]}:{self.config.listen[1]}")

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then answers all that was taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stop.set)
        self.start()
        gc.freeze()
        self.stop.wait()
        return self.wind_down()

    def wind_down(self) -> int:
        """New connections go on coming for a while after SIGTERM: they are served too."""
        began = now_ms()
        longest = min(3000.0, max(c.deadline for c in self.config.settings.classes))
        by = began + min(self.limits.stop_within_ms, longest + 500.0)
        self.log("stopping", f"{len(self.core.table.entries)} requests open")
        self.core.push(Stopping(by))
        gevent.sleep(self.limits.stop_accepting_ms / 1000)
        self.front.stop_listening()
        while not self.front.close_idle() and now_ms() < by + 100.0:
            gevent.sleep(0.02)
        counts = ", ".join(f"{n} {name}" for name, n in self.core.table.counts.items())
        self.log("stopped", counts)
        return 0
