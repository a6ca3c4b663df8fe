"""The actor of the worker list: it maintains the list and owns the actors of the model hosts."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from time import monotonic_ns

from gevent import socket
from gevent.event import AsyncResult

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.metrics import Metrics
from ..core.records import HostName, HostPort, TaskEnded, WorkerListConfirmed, WorkersChanged
from ..limits import Limits
from ..log import Log
from ..memory_budget import MemoryBudget
from .bans import BanChanged, BanTable
from .bus_follower import BusFollower
from .heartbeats import PROPAGATION_DELAY_MS
from .host import HostActor, HostRemoved, HostStatus
from .host_starts import HostStarts
from .hostlist_model import (
    STATUS_BY_STATE,
    BadServerError,
    BusEvent,
    EventReceived,
    KnownEvents,
    ListConfirmed,
    ListReplaced,
    ListUpdate,
    Server,
    Snapshot,
    Topology,
    find_unknown_names,
    in_apply_order,
    parse_address,
    validate_event,
    worker_number,
)

# the public names of discovery, re-exported here in one place
__all__ = [
    "STATUS_BY_STATE",
    "Ban",
    "BusEvent",
    "BusFollower",
    "EventReceived",
    "HostListActor",
    "KnownEvents",
    "Server",
    "Topology",
    "worker_number",
]


@dataclass(slots=True)
class Ban:
    """An operator bans a model host, or lifts the ban.

    `reply` gets True once the change, or a later one, is in force, or False for an id that was never listed.
    """

    id: str
    banned: bool
    reply: AsyncResult
    from_peer: bool = False  # the other process of an upgrade sent it, and has listed the host
    version: int = 0  # as in BanChanged; 0 if the change is made now, or the other process gave none
    source: object = None  # who sent it, and need not be told of it


@dataclass(slots=True)
class WorkerChanges:
    """Changes of the list to be sent to the module: the latest state of each host, by the module's number."""

    entries: dict[int, i.WorkerEntry] = field(default_factory=dict)
    ports: dict[int, HostPort] = field(default_factory=dict)
    names: dict[int, HostName] = field(default_factory=dict)

    def add(self, entry: i.WorkerEntry, server: Server, actor: HostActor | None) -> None:
        """Add a host as listed, without an actor if it is gone."""
        self.forget(entry.worker)
        self.entries[entry.worker] = entry
        self.names[entry.worker] = HostName(server.id, server.zone, server.kind, server.state)
        if actor is not None:
            self.ports[entry.worker] = actor

    def add_replaced(self, entry: i.WorkerEntry) -> None:
        """Add a host that was replaced; the bus may report that later, or never."""
        self.forget(entry.worker)
        self.entries[entry.worker] = replace(entry, status=i.WorkerStatus.GONE)

    def forget(self, worker: int) -> None:
        """Drop what was added of a host."""
        self.ports.pop(worker, None)
        self.names.pop(worker, None)
        self.entries.pop(worker, None)


class HostListActor(Actor):
    """Maintains the list, runs an actor for each host, and reports changes to the module.

    A host that an operator banned drains, whatever the list says about it, until the ban is lifted.
    """

    def __init__(
        self,
        settings: i.Settings,
        limits: Limits,
        log: Log,
        send_to_module: Callable[[WorkersChanged | WorkerListConfirmed], object],
        report: Callable[[TaskEnded], object],
        metrics: Metrics,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__("worker list", limits.list_mailbox, log)
        self.settings, self.limits = settings, limits
        self.send_to_module, self.report = send_to_module, report
        self.metrics = metrics
        self.memory = memory or MemoryBudget(limits.budget_bytes())
        self.hosts: dict[str, tuple[HostStatus, HostActor]] = {}
        self.servers: dict[str, Server] = {}  # the latest entry of each host, in the order of arrival
        self.doubtful: set[str] = set()  # listed hosts whose latest entry could not be read
        self.has_unattributed_error = False  # an unreadable entry may concern any host
        self.host_starts = HostStarts()
        self.ban_table = BanTable(limits.ids_remembered)
        # stores a change of bans beyond this process
        self.on_ban_changed: Callable[[BanChanged], object] = lambda change: None

    @property
    def banned(self) -> set[str]:
        """The ids of the banned hosts."""
        return self.ban_table.banned

    def load_initial(
        self,
        known_events: KnownEvents,
        banned: Iterable[str] = (),
        as_of: float | None = None,
        ban_versions: Mapping[str, int] | None = None,
    ) -> None:
        """Load the list as of start-up and the banned hosts, listed or not, before the actor runs.

        `as_of` is the time of the list in milliseconds of the process's clock, if known; `ban_versions` are
        those that the process before knew, also of lifted bans.
        """
        self.ban_table.load(banned, ban_versions or {})
        snapshot = Snapshot()
        for event in known_events.batch:
            if (update := validate_event(EventReceived(event))) is not None:
                self.log_errors(update)
                self.update_doubtful(update, snapshot.servers.keys())
                for server in update.servers.values():
                    self.remember_server(server)
                snapshot.apply(update)
        self.host_starts.learn_initial(snapshot.servers.values())
        self.apply_entries(list(snapshot.servers.values()), i.ListScope.REMEMBERED)
        if as_of is not None:
            self.confirm_list(as_of - PROPAGATION_DELAY_MS)

    def link_sockets(self) -> list[socket.socket]:
        """Return the sockets of all links to model hosts."""
        return [link.sock for _, host in self.hosts.values() for link in host.links]

    def bans(self) -> list[str]:
        """Return the ids of the banned hosts."""
        return sorted(self.banned)

    def receive(self, message: EventReceived | ListReplaced | ListConfirmed | Ban) -> None:
        """Handle one message of the mailbox."""
        match message:
            case EventReceived():
                if (update := validate_event(message)) is not None:
                    self.apply_update(update)
            case ListReplaced(update):
                self.apply_update(update)
            case ListConfirmed(as_of):
                self.confirm_list(as_of)
            case Ban():
                message.reply.set(self.set_banned(message))

    def apply_update(self, update: ListUpdate) -> None:
        """Apply an event. Hosts with an invalid entry keep their previous state."""
        self.log_errors(update)
        self.update_doubtful(update, self.hosts.keys())
        servers = list(update.servers.values())
        if update.is_full and not self.hosts:
            self.host_starts.learn_initial(servers)
        if not update.is_full:
            return self.apply_entries(servers, i.ListScope.CHANGES)
        unchanged = [self.servers[id] for id in update.invalid_hosts() if id in self.hosts]
        self.apply_entries(unchanged + servers, i.ListScope.WHOLE)

    def update_doubtful(self, update: ListUpdate, listed: Collection[str]) -> None:
        """Track the hosts whose latest entry could not be read: discovery may have asked them to drain."""
        if update.is_full:
            self.doubtful, self.has_unattributed_error = set(), False
        self.doubtful -= update.servers.keys()
        self.doubtful |= update.invalid_hosts() & set(listed)
        self.has_unattributed_error = self.has_unattributed_error or not all(
            error.host for error in update.errors
        )

    def confirm_list(self, as_of: float) -> None:
        """Report to the module how recent the list is, and for which hosts it may be outdated."""
        doubtful = frozenset(worker_number(id) for id in self.doubtful & self.hosts.keys())
        if not self.has_unattributed_error:
            self.send_to_module(WorkerListConfirmed(i.ListConfirmed(as_of, doubtful)))

    def log_errors(self, update: ListUpdate) -> None:
        """Log the invalid entries and the unknown names of an event in one line each."""
        if update.errors:
            self.log_bad_event(
                update.offset, list(update.errors), "previous state kept; correct it at the bus"
            )
        unknown = [e for s in update.servers.values() for e in find_unknown_names(s, self.settings)]
        if unknown:
            self.log_bad_event(
                update.offset, unknown, "name it in the settings and send SIGHUP, or correct the bus"
            )

    def log_bad_event(self, offset: int, errors: list[BadServerError], advice: str) -> None:
        """Log the first of the errors and the number of the others."""
        more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
        self.log("bad-event", f"event {offset}: {errors[0]}{more}; {advice}")

    def set_banned(self, ban: Ban) -> bool:
        """Ban a host or lift its ban; return False for an id that was never listed.

        When this returns, the host's actor and the module have received the change, unless a later one is in
        force. An operator's call that changes nothing here is later than what another process may have told.
        """
        if not ban.from_peer and ban.id not in self.servers and ban.id not in self.banned:
            return False
        was_banned = ban.id in self.banned
        version = ban.version or self.ban_table.next_version(ban.id, monotonic_ns())
        if not self.ban_table.apply(ban.id, ban.banned, version):
            return True
        if ban.banned != was_banned:
            self.log("banned" if ban.banned else "unbanned", ban.id)
            if ban.id in self.hosts:
                self.apply_entries([self.servers[ban.id]], i.ListScope.CHANGES)
        self.on_ban_changed(BanChanged(ban.id, ban.banned, version, ban.source))
        return True

    def remember_server(self, server: Server) -> None:
        """Store the latest entry of a host."""
        self.servers.pop(server.id, None)
        self.servers[server.id] = server
        if len(self.servers) > self.limits.ids_remembered:
            # bounds the memory where hosts always get new ids; bans are kept, as operators set only a few
            in_use = self.hosts.keys() | self.banned | {server.id}
            if (oldest := next((id for id in self.servers if id not in in_use), None)) is not None:
                del self.servers[oldest]

    def apply_settings(self, settings: i.Settings) -> None:
        """Apply new settings; the service calls it before any call of a new class is created.

        This is no message: a mailbox may be full or delayed, and a host would receive a call of a class that
        it does not know.
        """
        self.settings = settings
        for _, actor in self.hosts.values():
            actor.apply_settings(settings)

    def apply_entries(self, servers: list[Server], scope: i.ListScope) -> None:
        """Apply validated entries, one for each host: first to the hosts' actors, then to the module."""
        extent = "changed" if scope is i.ListScope.CHANGES else "in all"
        self.log("list", f"{len(servers)} model hosts {extent}")
        if scope is i.ListScope.WHOLE:
            listed = {s.id for s in servers}
            for id in [id for id in self.hosts if id not in listed]:
                self.host_starts.forget(id)
                self.remove_host(id)
        changes, named = WorkerChanges(), {server.id for server in servers}
        for server in in_apply_order(servers):
            self.remember_server(server)
            entry = self.worker_entry(server)
            if self.is_outdated(server, named):
                entry = replace(entry, status=i.WorkerStatus.GONE)
            if entry.status is i.WorkerStatus.GONE:
                self.host_starts.forget(server.id)
                self.remove_host(server.id)
                actor = None
            else:
                self.remove_previous_host(server, changes)
                actor = self.ensure_host(server, entry.status)
            changes.add(entry, server, actor)
        self.metrics.pool_size = len(self.hosts)
        self.metrics.banned = len(self.banned & self.hosts.keys())
        event = i.WorkersListed(scope, tuple(changes.entries.values()))
        self.send_to_module(WorkersChanged(event, changes.ports, changes.names))

    def worker_entry(self, server: Server) -> i.WorkerEntry:
        """Return the module's entry of a host."""
        status = STATUS_BY_STATE[server.state]
        if server.id in self.banned and status is i.WorkerStatus.UP:
            status = i.WorkerStatus.DRAINING
        start = self.host_starts.observe(server)
        return replace(
            self.placed_entry(server),
            status=status,
            started=None if start is None else start.started_at,
            start_stamp=None if start is None else start.listed_start,
        )

    def placed_entry(self, server: Server) -> i.WorkerEntry:
        """Return the module's entry of a host without its start: its number, place and capacity."""
        zone, kinds = self.zone_index(server.zone), self.settings.kinds
        kind = kinds.index(server.kind) if server.kind in kinds else 0
        return i.WorkerEntry(worker_number(server.id), zone, kind, server.cell, capacity=server.weight)

    def zone_index(self, name: str) -> int:
        """Return the index of a zone in the settings; where they have one at most, it need not be named."""
        zones = self.settings.zones
        if name in zones:
            return zones.index(name)
        return i.UNKNOWN_ZONE if name or len(zones) > 1 else 0

    def is_outdated(self, server: Server, named: Collection[str]) -> bool:
        """Return whether the entry is of a host that has left its address to another: it drains no more.

        Hosts that the event itself has `named` may have moved.
        """
        address = parse_address(server.addr)
        return server.state == "leaving" and any(
            status.address == address and id not in named and self.servers[id].state == "active"
            for id, (status, _) in self.hosts.items()
        )

    def remove_previous_host(self, server: Server, changes: WorkerChanges) -> None:
        """Remove any other host at the server's address: the address belongs to this server now."""
        address = parse_address(server.addr)
        for id, (status, _) in list(self.hosts.items()):
            if status.address == address and id != server.id:
                status.replaced = True
                self.host_starts.forget(id)
                self.remove_host(id, immediately=True)
                changes.add_replaced(self.placed_entry(self.servers[id]))

    def ensure_host(self, server: Server, listed_status: i.WorkerStatus) -> HostActor:
        """Return the actor of a listed host; start a new one if its address has changed."""
        address = parse_address(server.addr)
        if server.id in self.hosts:
            status, actor = self.hosts[server.id]
            if status.address == address and not actor.finished:
                status.state = listed_status
                return actor
            self.remove_host(server.id)
        status = HostStatus(address, listed_status)
        actor = HostActor(
            server.id,
            status,
            self.settings,
            self.limits,
            self.log,
            self.report,
            self.metrics,
            self.memory,
        )
        actor.start()
        self.hosts[server.id] = (status, actor)
        return actor

    def remove_host(self, id: str, immediately: bool = False) -> None:
        if id in self.hosts:
            status, actor = self.hosts.pop(id)
            status.state = i.WorkerStatus.GONE
            if not actor.try_send(HostRemoved(immediately)):
                # a host with a full mailbox must not delay the news of the others
                spawn(self.log, f"retire {id}", lambda: actor.blocking_send(HostRemoved(immediately)))
