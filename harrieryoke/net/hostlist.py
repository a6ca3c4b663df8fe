"""The worker list's actor, and the greenlet that follows the event bus for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import gevent
import msgspec
from gevent import socket

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.records import Listed, TaskEnded
from ..limits import Limits
from ..log import Log
from .host import HostActor, Retire, Standing

DRAINS = {"active": i.Drain.UP, "leaving": i.Drain.DRAINING, "left": i.Drain.GONE}


class Server(msgspec.Struct):
    """One model host of an event."""

    id: str
    addr: str
    state: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class Topology(msgspec.Struct):
    servers: list[Server]
    version: int = 0
    full: bool = False


class BusEvent(msgspec.Struct):
    offset: int
    topology: Topology | None = None


class Known(msgspec.Struct):
    """The events up to the start."""

    offset: int = 0
    batch: list[BusEvent] = []


def address(text: str) -> tuple[str, int]:
    """`host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def worker_number(id: str) -> int:
    """The module's number for a host: the same at every invoker and every start."""
    return int.from_bytes(blake2b(id.encode(), digest_size=6).digest())


@dataclass(slots=True)
class BusSaid:
    event: BusEvent


class HostListActor(Actor):
    """Keeps the list, opens an actor for each host, and tells the module what changed."""

    def __init__(self, zones: list[str], kinds: list[str], classes: tuple[i.RequestClass, ...],
                 limits: Limits, log: Log, tell_module: Callable[[Listed], object],
                 report: Callable[[TaskEnded], object]) -> None:  # fmt: skip
        super().__init__("worker list", limits.list_mailbox, log)
        self.zones, self.kinds, self.classes, self.limits = zones, kinds, classes, limits
        self.tell_module, self.report = tell_module, report
        self.hosts: dict[str, tuple[Standing, HostActor]] = {}

    def begin(self, known: Known) -> None:
        """The list as it was at the start, before the actor runs."""
        last: dict[str, Server] = {}
        for event in known.batch:
            if event.topology is not None:
                last = ({} if event.topology.full else last) | {s.id: s for s in event.topology.servers}
        self.apply(list(last.values()), i.ListScope.REMEMBERED)

    def receive(self, message: BusSaid) -> None:
        topology = message.event.topology
        if topology is not None:
            scope = i.ListScope.WHOLE if topology.full else i.ListScope.CHANGES
            self.apply(topology.servers, scope)

    def apply(self, servers: list[Server], scope: i.ListScope) -> None:
        entries, ports = [], {}
        how = "changed" if scope is i.ListScope.CHANGES else "in all"
        self.log("list", f"{len(servers)} model hosts {how}")
        if scope is i.ListScope.WHOLE:
            named = {s.id for s in servers}
            for id in [id for id in self.hosts if id not in named]:
                self.strike(id)
        for server in servers:
            entry = self.entry(server)
            if entry is None:
                continue
            entries.append(entry)
            if entry.drain is i.Drain.GONE:
                self.strike(server.id)
            else:
                ports[entry.worker] = self.host(server, entry.drain)
        self.tell_module(Listed(i.WorkersListed(scope, tuple(entries)), ports))

    def entry(self, server: Server) -> i.WorkerEntry | None:
        """One host as the module sees it; one that can't be read is left out, and the log says so."""
        try:
            address(server.addr)
            drain = DRAINS[server.state]
        except (ValueError, KeyError) as error:
            self.log("bad-event", f"model host {server.id!r}: {error}")
            return None
        zone = self.zones.index(server.zone) if server.zone in self.zones else 0
        kind = self.kinds.index(server.kind) if server.kind in self.kinds else 0
        return i.WorkerEntry(worker_number(server.id), zone, kind, server.cell, drain, server.weight,
                             server.started_ms or None)  # fmt: skip

    def host(self, server: Server, drain: i.Drain) -> HostActor:
        where = address(server.addr)
        for id, (standing, _) in list(self.hosts.items()):
            if standing.address == where and id != server.id:
                # guards against sending to a host that has gone: its address speaks for another now
                standing.replaced = True
                self.strike(id, now=True)
        if server.id in self.hosts:
            standing, actor = self.hosts[server.id]
            if standing.address == where and not actor.over:
                standing.drain = drain
                return actor
            self.strike(server.id)
        standing = Standing(where, drain)
        actor = HostActor(server.id, standing, self.classes, self.limits, self.log, self.report)
        actor.start()
        self.hosts[server.id] = (standing, actor)
        return actor

    def strike(self, id: str, now: bool = False) -> None:
        if id in self.hosts:
            standing, actor = self.hosts.pop(id)
            standing.drain = i.Drain.GONE
            if not actor.tell(Retire(now)):
                # guards against waiting here for a host whose mailbox is full: the others need their news
                spawn(self.log, f"retire {id}", lambda: actor.push(Retire(now)))


class BusFollower:
    """Reads the event bus from the last event it has, over and over, with growing pauses."""

    def __init__(self, where: tuple[str, int], last: int, limits: Limits, log: Log,
                 tell: Callable[[BusSaid], Any]) -> None:  # fmt: skip
        self.where, self.last, self.limits, self.log, self.tell = where, last, limits, log, tell
        self.greenlet: gevent.Greenlet | None = None
        self.decoder: msgspec.json.Decoder[BusEvent | int] = msgspec.json.Decoder(BusEvent | int)

    def start(self) -> None:
        self.greenlet = spawn(self.log, "event bus", self.run)

    def run(self) -> None:
        pause = self.limits.bus_backoff_ms
        while True:
            began = self.last
            try:
                self.follow()
            except (OSError, msgspec.MsgspecError, ValueError) as error:
                self.log("bus-lost", f"after event {self.last}: {error}")
            pause = self.limits.bus_backoff_ms if self.last > began else pause
            gevent.sleep(pause / 1000)
            pause = min(2 * pause, self.limits.bus_backoff_most_ms)

    def follow(self) -> None:
        """One connection's life. A bus that keeps quiet longer than its second is taken as lost."""
        with socket.create_connection(self.where, self.limits.bus_quiet_ms / 1000) as sock:
            sock.sendall(b"from %d\n" % self.last)
            rest = b""
            while data := sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                if len(rest) > 64 * self.limits.line_bytes:
                    raise ValueError("a line without end")
                for line in lines:
                    if line.strip():
                        self.line(line)
        raise ConnectionError("closed by the bus")

    def line(self, line: bytes) -> None:
        said = self.decoder.decode(line)
        if isinstance(said, int):
            if said > self.last:
                raise ValueError(f"the bus is at {said}, and its events have not come")
        elif said.offset > self.last:
            self.tell(BusSaid(said))
            self.last = said.offset


