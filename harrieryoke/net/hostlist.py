"""The worker list's actor, and the greenlet that follows the event bus for it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.metrics import Metrics
from ..core.records import HostName, Listed, TaskEnded
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


@dataclass(slots=True)
class Ban:
    """An operator leaves a model host out, or puts it back. `told` gets True once that binds, or False for an
    id that was never listed."""

    id: str
    on: bool
    told: AsyncResult
    known: bool = False  # another process has listed it


class HostListActor(Actor):
    """Keeps the list, opens an actor for each host, and tells the module what changed. A host that an
    operator left out drains, whatever the list says of it and however often, until it is put back."""

    def __init__(
        self,
        settings: i.Settings,
        limits: Limits,
        log: Log,
        tell_module: Callable[[Listed], object],
        report: Callable[[TaskEnded], object],
        figures: Metrics,
    ) -> None:
        super().__init__("worker list", limits.list_mailbox, log)
        self.settings, self.limits = settings, limits
        self.tell_module, self.report = tell_module, report
        self.figures = figures
        self.hosts: dict[str, tuple[Standing, HostActor]] = {}
        self.servers: dict[str, Server] = {}  # the list's last word on each, the latest last
        self.banned: set[str] = set()
        self.keep: Callable[[str, bool], object] = lambda id, on: None  # so that it outlives the process
        self.replaced: list[i.WorkerEntry] = []  # hosts whose address has passed to another in this event

    def begin(self, known: Known, banned: Iterable[str] = ()) -> None:
        """The list as it was at the start, and who is left out, listed yet or not; before the actor runs."""
        self.banned = set(banned)
        last: dict[str, Server] = {}
        for event in known.batch:
            if event.topology is not None:
                for server in event.topology.servers:
                    self.remember(server)
                last = ({} if event.topology.full else last) | {s.id: s for s in event.topology.servers}
        self.apply(list(last.values()), i.ListScope.REMEMBERED)

    def bans(self) -> list[str]:
        """The ids that operators left out."""
        return sorted(self.banned)

    def receive(self, message: BusSaid | Ban) -> None:
        match message:
            case BusSaid(BusEvent(topology=Topology() as topology)):
                scope = i.ListScope.WHOLE if topology.full else i.ListScope.CHANGES
                self.apply(topology.servers, scope)
            case Ban(id, on, told, known):
                told.set(self.ban(id, on, known))

    def ban(self, id: str, on: bool, known: bool) -> bool:
        """The host's actor and the module have heard when this returns. False for an id never listed."""
        if not known and id not in self.servers and id not in self.banned:
            return False
        if on != (id in self.banned):
            self.log("banned" if on else "unbanned", id)
            self.banned ^= {id}
            if id in self.hosts:
                self.apply([self.servers[id]], i.ListScope.CHANGES)
            self.keep(id, on)
        return True

    def remember(self, server: Server) -> None:
        """The list's last word on a host."""
        self.servers.pop(server.id, None)
        self.servers[server.id] = server
        if len(self.servers) > self.limits.ids_remembered:
            # guards the memory against hosts that come under ever new ids; bans are an operator's, and few
            needed = self.hosts.keys() | self.banned | {server.id}
            if (spare := next((id for id in self.servers if id not in needed), None)) is not None:
                del self.servers[spare]

    def retune(self, settings: i.Settings) -> None:
        """The service alone calls it, before any call of a new class is made. Guards against a host that gets
        such a call and does not know its name: a mailbox may be full, or behind."""
        self.settings = settings
        for _, actor in self.hosts.values():
            actor.retune(settings)

    def apply(self, servers: list[Server], scope: i.ListScope) -> None:
        entries, ports, names = [], {}, {}
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
            self.remember(server)
            entries.append(entry)
            names[entry.worker] = HostName(server.id, server.zone, server.kind, server.state)
            if entry.drain is i.Drain.GONE:
                self.strike(server.id)
            else:
                ports[entry.worker] = self.host(server, entry.drain)
        self.figures.pool_size = len(self.hosts)
        self.figures.banned = len(self.banned & self.hosts.keys())
        # guards against the module going on with a host whose end the bus tells only later
        entries, self.replaced = self.replaced + entries, []
        self.tell_module(Listed(i.WorkersListed(scope, tuple(entries)), ports, names))

    def entry(self, server: Server) -> i.WorkerEntry | None:
        """One host as the module sees it; one that can't be read is left out, and the log says so."""
        try:
            address(server.addr)
            drain = DRAINS[server.state]
        except (ValueError, KeyError) as error:
            self.log("bad-event", f"model host {server.id!r}: {error}")
            return None
        if server.id in self.banned and drain is i.Drain.UP:
            drain = i.Drain.DRAINING
        zones, kinds = self.settings.zones, self.settings.kinds
        zone = zones.index(server.zone) if server.zone in zones else 0
        kind = kinds.index(server.kind) if server.kind in kinds else 0
        return i.WorkerEntry(
            worker_number(server.id), zone, kind, server.cell, drain, server.weight, server.started_ms or None
        )

    def host(self, server: Server, drain: i.Drain) -> HostActor:
        where = address(server.addr)
        for id, (standing, _) in list(self.hosts.items()):
            if standing.address == where and id != server.id:
                # guards against sending to a host that has gone: its address speaks for another now
                standing.replaced = True
                self.strike(id, now=True)
                self.replaced.append(i.WorkerEntry(worker_number(id), drain=i.Drain.GONE))
        if server.id in self.hosts:
            standing, actor = self.hosts[server.id]
            if standing.address == where and not actor.over:
                standing.drain = drain
                return actor
            self.strike(server.id)
        standing = Standing(where, drain)
        actor = HostActor(
            server.id, standing, self.settings, self.limits, self.log, self.report, self.figures
        )
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


@dataclass(slots=True)
class Moved:
    """The bus has another address now."""

    where: tuple[str, int]


@dataclass(slots=True)
class Told:
    """A line of the bus, on the connection of that number."""

    connection: int
    line: bytes


@dataclass(slots=True)
class Ended:
    connection: int
    reason: str


class BusFollower(Actor):
    """Follows the event bus from the last event it has, over and over, with growing pauses. Each connection
    has a reader of its own, so that a move to another address waits for no dial and no silence."""

    def __init__(
        self, where: tuple[str, int], last: int, limits: Limits, log: Log, tell: Callable[[BusSaid], Any]
    ) -> None:
        super().__init__("event bus", limits.list_mailbox, log, reserve=limits.list_mailbox // 4)
        self.where, self.last, self.limits, self.tell_list = where, last, limits, tell
        self.decoder: msgspec.json.Decoder[BusEvent | int] = msgspec.json.Decoder(BusEvent | int)
        self.connection = 0
        self.reader: gevent.Greenlet | None = None
        self.pause = limits.bus_backoff_ms
        self.unreadable = self.skipped = -1  # the event after which a line could not be read, or was left out

    def move(self, where: tuple[str, int]) -> bool:
        return self.push(Moved(where))

    def run(self) -> None:
        self.connect(0.0)
        super().run()

    def connect(self, pause: float) -> None:
        """Ends the connection there is, if any, and opens another after a pause."""
        if self.reader is not None:
            self.reader.kill(block=False)
        self.connection += 1
        number, where, last = self.connection, self.where, self.last
        self.reader = spawn(
            self.log,
            "event bus reader",
            lambda: self.read(number, where, last, pause),
            lambda: self.push(Ended(number, "its reader ended")),
        )

    def read(self, number: int, where: tuple[str, int], last: int, pause: float) -> None:
        """One connection's life. A bus that keeps quiet for longer than its second is taken as lost."""
        try:
            gevent.sleep(pause / 1000)
            with socket.create_connection(where, self.limits.bus_dial_ms / 1000) as sock:
                # guards against a bus that stops while its connection stays open
                sock.settimeout(self.limits.bus_quiet_ms / 1000)
                sock.sendall(b"from %d\n" % last)
                rest = b""
                while data := sock.recv(65536):
                    *lines, rest = (rest + data).split(b"\n")
                    if len(rest) > 64 * self.limits.line_bytes:
                        raise ValueError("a line without end")
                    for line in filter(bytes.strip, lines):
                        self.push(Told(number, line))
            reason = "closed by the bus"
        except (OSError, ValueError) as error:
            reason = str(error)
        self.push(Ended(number, reason))

    def receive(self, message: Any) -> None:
        match message:
            case Moved(where) if where != self.where:
                self.log("bus-moved", f"to {where[0]}:{where[1]}, from event {self.last} on")
                self.where, self.pause = where, self.limits.bus_backoff_ms
                self.connect(0.0)
            case Told(number, line) if number == self.connection:
                try:
                    self.line(line)
                except ValueError as error:  # msgspec's are among them
                    self.lost(str(error))
            case Ended(number, reason) if number == self.connection:
                self.lost(reason)

    def lost(self, reason: str) -> None:
        self.log("bus-lost", f"after event {self.last}: {reason}")
        self.connect(self.pause)
        self.pause = min(2 * self.pause, self.limits.bus_backoff_most_ms)

    def line(self, line: bytes) -> None:
        try:
            said = self.decoder.decode(line)
        except ValueError:
            if self.unreadable != self.last:
                self.unreadable = self.last  # it may have been spoilt on its way: asked for once more
                raise
            # guards against asking for the same event for ever: nothing behind it would be heard
            self.skipped = self.last
            return self.log("bad-event", f"after event {self.last}, and again: {line[:200]!r}")
        offset = said if isinstance(said, int) else said.offset
        if isinstance(said, BusEvent) and offset > self.last:
            self.tell_list(BusSaid(said))
        elif offset > self.last and self.skipped != self.last:
            raise ValueError(f"the bus is at {offset}, and its events have not come")
        if offset > self.last:
            self.last = offset
        self.pause = self.limits.bus_backoff_ms
