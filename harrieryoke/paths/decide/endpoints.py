"""Endpoints of a model host: parsing, health, and the order in which they are dialled."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from ipaddress import IPv4Address, IPv6Address
from typing import Any, NamedTuple

MAX_ENDPOINTS = 16  # per host
MAX_UNIX_PATH_BYTES = 107  # limit of the kernel


class Family(Enum):
    """Address family of an endpoint."""

    UNIX = "unix"
    V6 = "v6"
    V4 = "v4"


class EndpointError(ValueError):
    """An invalid endpoint; the message begins with the rejected text."""


class Endpoint(NamedTuple):
    """One of a model host's addresses."""

    family: Family
    host: str  # the path of a Unix socket
    port: int = 0

    def __str__(self) -> str:
        if self.family is Family.UNIX:
            return f"unix:{self.host}"
        return f"[{self.host}]:{self.port}" if self.family is Family.V6 else f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parses `1.2.3.4:80`, `[::1]:80` or `unix:/run/host.sock`. Host names are invalid: nothing is resolved.
    Raises EndpointError."""
    if text.startswith("unix:"):
        path = text[5:]
        if not path.startswith("/") or "\0" in path or len(path.encode()) > MAX_UNIX_PATH_BYTES:
            raise EndpointError(f"{text!r}: expected an absolute path of at most {MAX_UNIX_PATH_BYTES} bytes")
        return Endpoint(Family.UNIX, path)
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
        raise EndpointError(f"{text!r}: expected a port from 1 to 65535")
    try:
        if host.startswith("[") and host.endswith("]"):
            return Endpoint(Family.V6, str(IPv6Address(host[1:-1])), int(port))
        return Endpoint(Family.V4, str(IPv4Address(host)), int(port))
    except ValueError as error:
        raise EndpointError(f"{text!r}: {error}") from None


def parse_endpoints(entry: dict[str, Any]) -> tuple[Endpoint, ...]:
    """Returns the endpoints of a worker list entry without duplicates: `addr`, the platform's field, first,
    then the optional `addrs`. Raises EndpointError."""
    more = entry.get("addrs", [])
    if not isinstance(more, list) or not all(isinstance(text, str) for text in more):
        raise EndpointError("addrs: expected a list of strings")
    texts = ([entry["addr"]] if isinstance(entry.get("addr"), str) else []) + more
    endpoints = tuple(dict.fromkeys(map(parse_endpoint, texts)))
    if not 1 <= len(endpoints) <= MAX_ENDPOINTS:
        raise EndpointError(f"addrs: expected 1 to {MAX_ENDPOINTS} endpoints, got {len(endpoints)}")
    return endpoints


@dataclass(slots=True)
class EndpointHealth:
    """Health of one endpoint, learned from dials and connections."""

    connect_time: float | None = None  # moving average
    consecutive_failures: int = 0
    failed_at: float = 0.0
    succeeded_at: float | None = None  # last answer on it, or last established connection

    def record_failure(self, now: float) -> None:
        self.consecutive_failures += 1
        self.failed_at = now

    def record_connected(self, now: float, duration: float) -> None:
        self.connect_time = (
            duration
            if self.connect_time is None
            else self.connect_time + 0.25 * (duration - self.connect_time)
        )
        self.consecutive_failures, self.succeeded_at = 0, now

    def in_backoff(self, now: float, initial_backoff: float, max_backoff: float) -> bool:
        """Returns whether the endpoint is dialled only after all others because of a recent failure. The
        back-off doubles with each consecutive failure, up to the maximum. A clock that stepped back ends
        it."""
        backoff = min(max_backoff, initial_backoff * 2 ** min(20, self.consecutive_failures - 1))
        return bool(self.consecutive_failures) and 0 <= now - self.failed_at < backoff


@dataclass(slots=True)
class EndpointTable:
    """Endpoints of one host with their health. Endpoints that left the worker list are removed."""

    initial_backoff: float = 250.0
    max_backoff: float = 30_000.0
    success_ttl: float = 60_000.0  # how long a success counts for the dial order
    health: dict[Endpoint, EndpointHealth] = field(default_factory=dict)

    def replace(self, endpoints: tuple[Endpoint, ...]) -> set[Endpoint]:
        """Sets the host's current endpoints and returns the removed ones."""
        removed = self.health.keys() - set(endpoints)
        self.health = {e: self.health.get(e, EndpointHealth()) for e in endpoints}
        return set(removed)

    def dial_order(self, now: float) -> list[Endpoint]:
        """Returns the order of dials: Unix sockets, the endpoint with the latest success, then IPv6 and IPv4
        endpoints alternating, each in list order. Endpoints in back-off come last, oldest failure first."""
        backed_off = [
            e for e, h in self.health.items() if h.in_backoff(now, self.initial_backoff, self.max_backoff)
        ]
        usable = [e for e in self.health if e not in backed_off]
        ordered = [e for e in usable if e.family is Family.UNIX]
        recent_successes = {
            e: h.succeeded_at
            for e in usable
            if (h := self.health[e]).succeeded_at is not None and 0 <= now - h.succeeded_at < self.success_ttl
        }
        rest = [e for e in usable if e not in ordered]
        latest = max(
            (e for e in rest if e in recent_successes),
            key=lambda e: recent_successes[e] or 0.0,
            default=None,
        )
        if latest is not None:
            ordered.append(latest)
            rest.remove(latest)
        first = [e for e in rest if e.family is Family.V6]
        second = [e for e in rest if e.family is Family.V4]
        if latest is not None and latest.family is Family.V6:  # alternate, starting with the other family
            first, second = second, first
        for n in range(max(len(first), len(second))):
            ordered += first[n : n + 1] + second[n : n + 1]
        return ordered + sorted(backed_off, key=lambda e: self.health[e].failed_at)
