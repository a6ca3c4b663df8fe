"""What the event bus says of model hosts: its messages as types, and how they are read. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from .. import interface as i

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
