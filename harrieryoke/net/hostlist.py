"""The worker list's actor: it keeps the list and owns the actors of the model hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent.event import AsyncResult

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.figures import Figures
from ..core.records import HostName, Listed, TaskEnded
from ..limits import Limits
from ..log import Log
from .bus_follower import BusFollower
from .host import HostActor, Retire, Standing
from .hostlist_model import DRAINS, BusEvent, BusSaid, Known, Server, Topology, address, worker_number

# the discovery's public names in one place
__all__ = [
    "DRAINS",
    "Ban",
    "BusEvent",
    "BusFollower",
    "BusSaid",
    "HostListActor",
    "Known",
    "Server",
    "Topology",
    "worker_number",
]


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
        figures: Figures,
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
