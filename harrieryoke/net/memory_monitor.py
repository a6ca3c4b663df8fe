"""Measures the memory of the process while it runs, and logs who holds it while it is short."""

from __future__ import annotations

import gc
import os
from collections.abc import Callable, Collection

import gevent
from gevent import socket

from ..core.actor import spawn
from ..core.allocator import Allocator
from ..core.clock import now_ms
from ..core.process_memory import ResidentMemory, socket_buffer_bytes
from ..log import Log
from ..memory_budget import MemoryBudget, Pressure

DESCRIPTORS = "/proc/self/fd"
CALM_MS, BUSY_MS = 250.0, 50.0  # between measurements
BUSY_SHARE = 0.25  # of the budget in use, from which the memory is measured more often
REPORT_MS = 1000.0  # between lines while the memory is short
RECLAIM_MS = 500.0  # between returns of free pages while the memory is short


def open_descriptors() -> int:
    """Return how many descriptors the process has; 0 if the kernel does not tell."""
    try:
        return len(os.listdir(DESCRIPTORS))
    except OSError:
        return 0


class MemoryMonitor:
    """Keeps the measured sizes of the budget current, in a greenlet of its own.

    `sockets` returns those of the clients, `links` those to model hosts, which are measured once a second.
    The resident memory is read by the budget itself too, whenever enough was charged; here it is read for
    what grows without a charge.
    """

    def __init__(
        self,
        memory: MemoryBudget,
        sockets: Callable[[], Collection[socket.socket]],
        links: Callable[[], Collection[socket.socket]],
        allocator: Allocator,
        log: Log,
    ) -> None:
        self.memory, self.sockets, self.links = memory, sockets, links
        self.allocator, self.log = allocator, log
        self.resident = ResidentMemory()
        self.reported_at = self.reclaimed_at = now_ms()
        self.link_bytes = 0  # in the buffers of the links, as measured last

    def start(self, base: int) -> None:
        """Measure from now on; `base` bytes are the bare process."""
        self.memory.measure_with(self.resident.read, base)
        spawn(self.log, "memory monitor", self.run)

    def run(self) -> None:
        """Measure, less often while little is held."""
        while True:
            self.measure()
            busy = self.memory.held() > BUSY_SHARE * self.memory.total
            gevent.sleep((BUSY_MS if busy else CALM_MS) / 1000)

    def measure(self) -> None:
        """Measure once, and act on a shortage."""
        clients = self.sockets()
        self.memory.sizes.kernel = socket_buffer_bytes(clients) + self.link_bytes
        self.memory.sizes.connections = len(clients)
        self.memory.measure()
        now = now_ms()
        if self.memory.pressure >= Pressure.READING and now - self.reclaimed_at >= RECLAIM_MS:
            self.reclaim()
            self.reclaimed_at = now_ms()
        if now - self.reported_at >= REPORT_MS:
            self.reported_at = now
            self.link_bytes = socket_buffer_bytes(self.links())
            self.memory.sizes.descriptors = open_descriptors()
            if self.memory.pressure is not Pressure.NONE:
                level = self.memory.pressure.name.lower()
                self.log("memory-state", f"{level}: {self.memory.describe()}")

    def reclaim(self) -> None:
        """Return what is free to the system."""
        if self.memory.pressure >= Pressure.RELIEVING:
            gc.collect()
        self.allocator.trim()
        self.memory.measure()
