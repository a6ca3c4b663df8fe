"""Messages of the event bus about model hosts, as types, and how they are decoded and validated. No I/O."""

from __future__ import annotations

import math
from _blake2 import blake2b
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from .. import interface as i

STATUS_BY_STATE = {
    "active": i.WorkerStatus.UP,
    "leaving": i.WorkerStatus.DRAINING,
    "left": i.WorkerStatus.GONE,
}
APPLY_ORDER = (
    "leaving",
    "active",
    "left",
)  # the order in which an event's entries are applied, see `in_apply_order`
MAX_SAFE_INTEGER = 2**53  # the largest integer that all JSON readers represent exactly
MAX_ID_LENGTH = 256  # characters
MAX_HOST_NAME_LENGTH = 253  # characters of a name in DNS
MAX_SHOWN_LENGTH = 80  # characters of an invalid value in an error message

Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]


class Server(msgspec.Struct):
    """One model host in an event."""

    id: str
    addr: str
    state: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class Topology(msgspec.Struct):
    """The complete list, or the changes to it."""

    servers: list[Server]
    version: int = 0
    full: bool = False


class BusEvent(msgspec.Struct):
    """An event with its number."""

    offset: Offset
    topology: Topology | None = None


class KnownEvents(msgspec.Struct):
    """The events that were already known at start-up."""

    offset: Offset = 0
    batch: list[BusEvent] = []


class WireTopology(msgspec.Struct):
    """A topology whose entries are decoded one by one: an invalid entry does not affect others."""

    servers: list[msgspec.Raw]
    version: int = 0
    full: bool = False


class WireEvent(msgspec.Struct):
    """A numbered event as received over the network."""

    offset: Offset
    topology: WireTopology | None = None


class EntryId(msgspec.Struct):
    """The part of an invalid entry that identifies the host."""

    id: str


LINE_DECODER: msgspec.json.Decoder[WireEvent | int] = msgspec.json.Decoder(WireEvent | Offset)
SERVER_DECODER: msgspec.json.Decoder[Server] = msgspec.json.Decoder(Server)
ENTRY_ID_DECODER: msgspec.json.Decoder[EntryId] = msgspec.json.Decoder(EntryId)


@dataclass(frozen=True, slots=True)
class BadServerError(ValueError):
    """An entry of an event is invalid. `host` is empty if the entry does not identify one."""

    host: str
    field: str
    reason: str

    def __str__(self) -> str:
        host, reason = self.host[:MAX_SHOWN_LENGTH], self.reason[:MAX_SHOWN_LENGTH]
        return f"model host {host!r}: {self.field}: {reason}"


@dataclass(frozen=True, slots=True)
class EventReceived:
    """An event for the list's actor, and its entries that could not be decoded."""

    event: BusEvent
    errors: tuple[BadServerError, ...] = ()


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The effect of an event on the list: one validated entry for each host.

    Hosts with an invalid entry keep their previous state.
    """

    offset: int
    is_full: bool
    servers: dict[str, Server]
    errors: tuple[BadServerError, ...] = ()

    def invalid_hosts(self) -> set[str]:
        """Return the hosts that are named only by invalid entries."""
        return {error.host for error in self.errors} - self.servers.keys()


@dataclass(frozen=True, slots=True)
class ListReplaced:
    """The net effect of all events of a bus that restarted its numbering."""

    update: ListUpdate


@dataclass(frozen=True, slots=True)
class ListConfirmed:
    """All changes published before `as_of` have been received; milliseconds of this process's clock."""

    as_of: float


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`. Raises ValueError, also for a host name that no resolver accepts."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or len(port) > 5 or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text[:MAX_SHOWN_LENGTH]!r}")
    if len(host) > MAX_HOST_NAME_LENGTH or not host.isprintable() or " " in host:
        raise ValueError(f"invalid host name: {host[:MAX_SHOWN_LENGTH]!r}")
    try:
        host.encode("idna")
    except UnicodeError as error:
        raise ValueError(f"invalid host name: {host[:MAX_SHOWN_LENGTH]!r}: {error}") from None
    return host, int(port)


def worker_number(id: str) -> int:
    """Return the host's number in the decision module: the same at every invoker and after every start."""
    return int.from_bytes(blake2b(id.encode(), digest_size=6).digest())


def check_server(server: Server) -> None:
    """Raise BadServerError for the first invalid field."""
    if not 0 < len(server.id) <= MAX_ID_LENGTH:
        raise BadServerError("", "id", f"must have 1 to {MAX_ID_LENGTH} characters, not {len(server.id)}")
    if server.state not in STATUS_BY_STATE:
        raise BadServerError(
            server.id,
            "state",
            f"{server.state[:MAX_SHOWN_LENGTH]!r} is not one of {', '.join(STATUS_BY_STATE)}",
        )
    try:
        parse_address(server.addr)
    except ValueError as error:
        raise BadServerError(server.id, "addr", str(error)) from None
    if not 0 <= server.cell <= MAX_SAFE_INTEGER:
        raise BadServerError(server.id, "cell", f"must be from 0 to {MAX_SAFE_INTEGER}")
    if not (math.isfinite(server.weight) and server.weight >= 0):
        raise BadServerError(server.id, "weight", f"{server.weight} is not a finite number of at least 0")
    if not 0 <= server.started_ms <= MAX_SAFE_INTEGER:
        raise BadServerError(
            server.id, "started_ms", f"{server.started_ms} is not from 0 to {MAX_SAFE_INTEGER}"
        )


def find_unknown_names(server: Server, settings: i.Settings) -> list[BadServerError]:
    """Return an error for a zone or a kind that the settings do not name.

    The host is used nevertheless: the bus may list a new zone before SIGHUP loads its name, and a host that
    drains there must be noticed.
    """
    checks = (
        ("zone", server.zone, settings.zones, "held for a zone of its own"),
        ("kind", server.kind, settings.kinds, "using the first one"),
    )
    return [
        BadServerError(server.id, field, f"{name[:MAX_SHOWN_LENGTH]!r} is not in the settings; {substitute}")
        for field, name, names, substitute in checks
        if name and name not in names
    ]


def decode_server(raw: msgspec.Raw) -> Server:
    """Decode one entry of an event. Raises BadServerError."""
    try:
        return SERVER_DECODER.decode(raw)
    except (ValueError, RecursionError) as error:
        problem = str(error)
    try:
        host = ENTRY_ID_DECODER.decode(raw).id
    except (ValueError, RecursionError):
        host = ""
    raise BadServerError(host if len(host) <= MAX_ID_LENGTH else "", "entry", problem)


def decode_line(line: bytes) -> EventReceived | int:
    """Decode a line of the bus: an event, or the number of the last one.

    The number comes alone, or as the offset of an event without a topology. Raises ValueError.
    """
    try:
        event = LINE_DECODER.decode(line)
    except RecursionError as error:
        raise ValueError(str(error)) from None
    if isinstance(event, int):
        return event
    if event.topology is None:
        return event.offset
    servers, errors = list[Server](), list[BadServerError]()
    for raw in event.topology.servers:
        try:
            servers.append(decode_server(raw))
        except BadServerError as error:
            errors.append(error)
    topology = Topology(servers, event.topology.version, event.topology.full)
    return EventReceived(BusEvent(event.offset, topology), tuple(errors))


def validate_event(received: EventReceived) -> ListUpdate | None:
    """Validate an event; return None if it has no topology.

    The last entry for a host counts. Of two hosts at one address the last active one counts
    (`in_apply_order`).
    """
    topology = received.event.topology
    if topology is None:
        return None
    servers, errors = dict[str, Server](), list(received.errors)
    for server in topology.servers:
        try:
            check_server(server)
        except BadServerError as error:
            errors.append(error)
            continue
        servers.pop(server.id, None)
        servers[server.id] = server
    # An entry that does not identify a host may concern any host, and a list without a valid entry may be
    # corrupt as a whole: in both cases no host is taken as removed.
    is_full = topology.full and all(error.host for error in errors) and bool(servers or not errors)
    return ListUpdate(received.event.offset, is_full, servers, tuple(errors))


def in_apply_order(servers: Iterable[Server]) -> list[Server]:
    """Sort an event's entries into the order in which they are applied.

    Their order within the event does not reflect time. Of two hosts with the same address the active one has
    it now and has replaced the other.
    """
    return sorted(servers, key=lambda server: APPLY_ORDER.index(server.state))


@dataclass(slots=True)
class Snapshot:
    """The net effect of a sequence of events."""

    servers: dict[str, Server] = field(default_factory=dict)
    is_full: bool = False  # whether one of the events was a full list
    errors: dict[str, BadServerError] = field(default_factory=dict)

    def apply(self, update: ListUpdate) -> None:
        """Apply the next event."""
        if update.is_full:
            invalid_hosts = update.invalid_hosts()
            self.servers = {id: s for id, s in self.servers.items() if id in invalid_hosts}
            self.is_full, self.errors = True, {}
        for error in update.errors:
            self.errors[error.host] = error
        for server in in_apply_order(update.servers.values()):
            self.put(server, update.servers)

    def put(self, server: Server, named: Container[str]) -> None:
        """Record the latest entry of a host, and remove any other host at its address.

        A host that leaves does not have the address of an active one that the event has not `named`.
        """
        self.errors.pop(server.id, None)
        self.servers.pop(server.id, None)
        if server.state == "left":
            return
        others = [id for id, other in self.servers.items() if other.addr == server.addr]
        if server.state == "leaving" and any(
            self.servers[id].state == "active" for id in others if id not in named
        ):
            return
        for id in others:
            del self.servers[id]
        self.servers[server.id] = server

    def to_update(self, offset: int) -> ListUpdate:
        """Return the net effect as one event."""
        return ListUpdate(offset, self.is_full, self.servers, tuple(self.errors.values()))
