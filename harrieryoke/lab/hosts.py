"""Emulated model hosts and event bus on real sockets. The hosts record the frames they receive."""

from __future__ import annotations

import contextlib
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ..core.clock import now_ms, wall_ms
from ..net import frames


@dataclass(slots=True)
class ReceivedFrame:
    """One complete frame received by a host."""

    received_at: float
    host: str
    code: int
    request_id: int
    function: str
    copies: int = 0


@dataclass(slots=True)
class HostSettings:
    """Behaviour of a host. Times are milliseconds."""

    service_time: float = 25.0
    load_time: float = 400.0
    keep_alive: float = 8100.0
    slots: int = 4
    capacity: int = 40  # copies
    queue_limit: int = 64
    cores: int = 0  # more active calls than cores slow each other down; 0: no limit
    fixed_service_time: bool = False  # else `service_time` is the mean of an exponential distribution


@dataclass(slots=True)
class FunctionCopies:
    """Copies of one function at a host."""

    count: int = 0
    loading: int = 0
    busy: int = 0
    last_used: float = 0.0
    waiting: deque[Event] = field(default_factory=deque)


class EmulatedHost:
    """One model host: answers `miss` without a copy, loads copies on order, limits the calls per copy."""

    def __init__(
        self, name: str, zone: str, rng: random.Random, received: list[ReceivedFrame], settings: HostSettings
    ) -> None:
        self.name, self.zone, self.rng, self.received, self.settings = name, zone, rng, received, settings
        self.state, self.started_at = "active", 0.0
        self.announcements: list[tuple[float, str]] = []  # when the bus announced which state
        self.connections: set[Any] = set()
        self.incarnation = self.active_requests = 0
        self.copies: dict[str, FunctionCopies] = defaultdict(FunctionCopies)
        self.server: StreamServer | None = None
        self.port = 0
        self.listen()

    def listen(self) -> None:
        self.server = StreamServer(("127.0.0.1", self.port), self.serve)
        self.server.start()
        self.port = self.server.server_port

    def list_entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": "kind-a",
            "cell": 0,
            "state": self.state,
            "weight": 1,
            "started_ms": self.started_at,  # wall clock, as hosts are other machines
        }

    # --- faults ---

    def reset_connections(self) -> None:
        """Reset all connections; the process keeps running."""
        for sock in list(self.connections):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.close()
        self.connections.clear()

    def stop(self) -> None:
        self.incarnation += 1
        if self.server is not None:
            self.server.stop(timeout=0)
            self.server = None
        self.reset_connections()
        self.copies.clear()

    def restart(self) -> None:
        """Restart at the same address, without loaded copies."""
        self.stop()
        self.started_at = wall_ms()
        self.listen()

    # --- requests and orders ---

    def serve(self, sock: Any, peer: Any) -> None:
        self.connections.add(sock)
        decoder = frames.Decoder(1 << 20, frames.TO_HOST)
        try:
            while data := sock.recv(65536):
                for frame in decoder.feed(data):
                    self.handle_frame(sock, frame)
        except (OSError, frames.FrameError):
            pass
        finally:
            self.connections.discard(sock)

    def handle_frame(self, sock: Any, frame: frames.Frame) -> None:
        function = frame.fields.get("asset", "")
        copies = int(frame.fields.get("pods", "0"))
        self.received.append(ReceivedFrame(now_ms(), self.name, frame.code, frame.id, function, copies))
        if frame.code == frames.REQUEST:
            gevent.spawn(self.run_request, sock, frame, function, self.incarnation)
        elif frame.code == frames.HOLD:
            gevent.spawn(self.load_copies, sock, frame, function, copies, self.incarnation)
        elif frame.code == frames.UNLOAD:
            loaded = self.copies.get(f"{frame.id:016x}")
            if loaded is not None and not loaded.busy:
                loaded.count = 0
        elif frame.code == frames.PROBE_LOAD:
            self.reply(sock, frames.HEALTHY if self.state == "active" else frames.SICK, frame.id)

    def reply(
        self, sock: Any, code: int, id: int, fields: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(frames.encode(code, id, fields, body, frames.FROM_HOST))

    def run_request(self, sock: Any, frame: frames.Frame, function: str, incarnation: int) -> None:
        loaded = self.copies[function]
        if loaded.count and not loaded.busy and now_ms() - loaded.last_used > self.settings.keep_alive:
            loaded.count = 0
        depth = loaded.busy + len(loaded.waiting)
        if self.state != "active":
            return self.reply(sock, frames.FULL, frame.id)
        if not loaded.count and not loaded.loading:
            return self.reply(sock, frames.MISS, frame.id)
        if len(loaded.waiting) >= self.settings.queue_limit:
            return self.reply(sock, frames.FULL, frame.id)
        lookup = "w" if loaded.count else "j"
        patience_s = float(frame.fields.get("patience", "1000")) / 1000
        if loaded.busy >= loaded.count * self.settings.slots:
            free_slot = Event()
            loaded.waiting.append(free_slot)
            if not free_slot.wait(patience_s):
                if free_slot in loaded.waiting:
                    loaded.waiting.remove(free_slot)
                return self.reply(sock, frames.OVER, frame.id)
        loaded.busy += 1
        self.active_requests += 1
        slowdown = max(1.0, self.active_requests / self.settings.cores) if self.settings.cores else 1.0
        variation = 1.0 if self.settings.fixed_service_time else self.rng.expovariate(1.0)
        gevent.sleep(slowdown * variation * self.settings.service_time / 1000)
        self.active_requests -= 1
        loaded.busy -= 1
        loaded.last_used = now_ms()
        self.wake_waiting(loaded)
        if incarnation == self.incarnation:
            self.reply(
                sock, frames.OK, frame.id, {"n": lookup, "depth": str(depth)}, b"by " + self.name.encode()
            )

    def wake_waiting(self, loaded: FunctionCopies) -> None:
        free_slots = loaded.count * self.settings.slots - loaded.busy
        while loaded.waiting and free_slots > 0:
            loaded.waiting.popleft().set()
            free_slots -= 1

    def load_copies(
        self, sock: Any, frame: frames.Frame, function: str, copies: int, incarnation: int
    ) -> None:
        loaded = self.copies[function]
        wanted = copies - loaded.count - loaded.loading
        if wanted > 0 and self.state != "active":  # copies already loaded are confirmed, also while draining
            return self.reply(sock, frames.FULL, frame.id, {"pods": "0"})
        if (
            wanted > 0
            and sum(c.count + c.loading for c in self.copies.values()) + wanted > self.settings.capacity
        ):
            return self.reply(sock, frames.FULL, frame.id, {"pods": str(loaded.count)})
        if wanted > 0:
            loaded.loading += wanted
            gevent.sleep(self.rng.uniform(0.7, 1.3) * self.settings.load_time / 1000)
            loaded.loading -= wanted
            loaded.count += wanted
        loaded.last_used = now_ms()
        self.wake_waiting(loaded)
        if incarnation == self.incarnation:
            self.reply(sock, frames.OK, frame.id, {"pods": str(loaded.count)})


class Outage(Enum):
    """The ways in which the event bus can be unreachable."""

    SILENT = "connections stay open and bring nothing"
    REFUSED = "connections end, and new ones are refused"
    EVENTS_MISSING = "a new connection names an event, does not send it, and ends"


HEARTBEAT_MS = 1000.0


class EmulatedBus:
    """Pushes numbered events to its clients, and a heartbeat with the last number."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.outage: Outage | None = None
        self.followers: dict[Any, int] = {}
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def address(self) -> str:
        return f"127.0.0.1:{self.server.server_port}"

    def initial_events(self, entries: list[dict[str, Any]]) -> dict[str, Any]:
        """Record the first event and return it as the configuration contains it."""
        first = {"offset": 1, "topology": {"version": 1, "full": True, "servers": entries}}
        self.events.append(msgspec.json.encode(first))
        return {"offset": 1, "batch": [first]}

    def publish(self, hosts: list[EmulatedHost]) -> None:
        number = len(self.events) + 1
        event = {
            "offset": number,
            "topology": {"version": number, "full": False, "servers": [h.list_entry() for h in hosts]},
        }
        self.events.append(msgspec.json.encode(event))
        for host in hosts:
            host.announcements.append((now_ms(), host.state))

    def begin_outage(self, outage: Outage) -> None:
        """Stop delivery: events are still numbered, but reach no client until `end_outage`."""
        self.outage = outage
        if outage is Outage.REFUSED:
            self.server.stop(timeout=0)

    def end_outage(self) -> None:
        """Resume delivery at the same address."""
        if self.outage is Outage.REFUSED:
            self.server = StreamServer(("127.0.0.1", self.server.server_port), self.serve)
            self.server.start()
        self.outage = None

    def serve(self, sock: Any, peer: Any) -> None:
        try:
            line = sock.makefile("rb").readline()
            offset = int(line.split()[1])
            heartbeat_at = now_ms()
            while True:
                while self.outage is Outage.SILENT:
                    gevent.sleep(0.02)
                if self.outage is not None:
                    if self.outage is Outage.EVENTS_MISSING:
                        sock.sendall(b'{"offset":%d}\n' % (offset + 1))
                    sock.close()
                    return
                for event in self.events[offset:]:
                    sock.sendall(event + b"\n")
                    offset += 1
                if now_ms() >= heartbeat_at:
                    sock.sendall(b'{"offset":%d}\n' % offset)
                    heartbeat_at += HEARTBEAT_MS
                gevent.sleep(0.02)
        except (OSError, ValueError, IndexError):
            pass
