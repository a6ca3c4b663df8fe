"""Endpoints of a model host, and what is known of each."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from ipaddress import IPv4Address, IPv6Address
from typing import Any, NamedTuple

MOST = 16  # endpoints of one host
MOST_PATH = 107  # bytes of a Unix socket's path, by the kernel


class Family(Enum):
    UNIX = "unix"
    V6 = "v6"
    V4 = "v4"


class EndpointError(ValueError):
    """What is no endpoint; the message begins with the text."""


class Endpoint(NamedTuple):
    family: Family
    host: str  # of a Unix socket: its path
    port: int = 0

    def __str__(self) -> str:
        if self.family is Family.UNIX:
            return f"unix:{self.host}"
        return f"[{self.host}]:{self.port}" if self.family is Family.V6 else f"{self.host}:{self.port}"


def read_endpoint(text: str) -> Endpoint:
    """`1.2.3.4:80`, `[::1]:80` or `unix:/run/host.sock`. Names are none: nothing is looked up. Raises
    EndpointError."""
    if text.startswith("unix:"):
        path = text[5:]
        if not path.startswith("/") or "\0" in path or len(path.encode()) > MOST_PATH:
            raise EndpointError(f"{text!r}: an absolute path of at most {MOST_PATH} bytes is wanted")
        return Endpoint(Family.UNIX, path)
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
        raise EndpointError(f"{text!r}: a port from 1 to 65535 is wanted")
    try:
        if host.startswith("[") and host.endswith("]"):
            return Endpoint(Family.V6, str(IPv6Address(host[1:-1])), int(port))
        return Endpoint(Family.V4, str(IPv4Address(host)), int(port))
    except ValueError as error:
        raise EndpointError(f"{text!r}: {error}") from None


def read_endpoints(entry: dict[str, Any]) -> tuple[Endpoint, ...]:
    """Of an entry of the worker list: `addr` first, as on the platform, then `addrs` where there are any;
    each once. Raises EndpointError."""
    more = entry.get("addrs", [])
    if not isinstance(more, list) or not all(isinstance(text, str) for text in more):
        raise EndpointError("addrs: a list of texts is wanted")
    texts = ([entry["addr"]] if isinstance(entry.get("addr"), str) else []) + more
    found = tuple(dict.fromkeys(map(read_endpoint, texts)))
    if not 1 <= len(found) <= MOST:
        raise EndpointError(f"addrs: 1 to {MOST} endpoints are wanted, not {len(found)}")
    return found


@dataclass(slots=True)
class Health:
    """What dials and links told of one endpoint."""

    dial_ms: float | None = None  # mean time until a connection stood
    failures: int = 0  # in a row
    failed_at: float = 0.0
    good_at: float | None = None  # last answer, or connection, over it

    def failed(self, now: float) -> None:
        self.failures += 1
        self.failed_at = now

    def dialled(self, now: float, took: float) -> None:
        self.dial_ms = took if self.dial_ms is None else self.dial_ms + 0.25 * (took - self.dial_ms)
        self.failures, self.good_at = 0, now

    def shunned(self, now: float, first: float, most: float) -> bool:
        """Whether it failed so lately that it is tried only after the others: for `first` ms, twice as long
        with each failure in a row, `most` at the longest. A clock that stepped back ends it."""
        pause = min(most, first * 2 ** min(20, self.failures - 1))
        return bool(self.failures) and 0 <= now - self.failed_at < pause


@dataclass(slots=True)
class Book:
    """Of one host. Endpoints that left the list are forgotten."""

    first_ms: float = 250.0
    most_ms: float = 30_000.0
    lasting_ms: float = 60_000.0  # that a good use is remembered for the order
    known: dict[Endpoint, Health] = field(default_factory=dict)

    def set(self, endpoints: tuple[Endpoint, ...]) -> set[Endpoint]:
        """The host's endpoints now; those that are gone are returned."""
        gone = self.known.keys() - set(endpoints)
        self.known = {e: self.known.get(e, Health()) for e in endpoints}
        return set(gone)

    def order(self, now: float) -> list[Endpoint]:
        """A Unix socket first, then the one last good, then v6 and v4 in turn, each in the list's order;
        those that failed lately come after all others, the one that failed longest ago first."""
        shunned = [e for e, h in self.known.items() if h.shunned(now, self.first_ms, self.most_ms)]
        fit = [e for e in self.known if e not in shunned]
        chosen = [e for e in fit if e.family is Family.UNIX]
        lately = {
            e: h.good_at
            for e in fit
            if (h := self.known[e]).good_at is not None and 0 <= now - h.good_at < self.lasting_ms
        }
        rest = [e for e in fit if e not in chosen]
        good = max((e for e in rest if e in lately), key=lambda e: lately[e] or 0.0, default=None)
        if good is not None:
            chosen.append(good)
            rest.remove(good)
        six = [e for e in rest if e.family is Family.V6]
        four = [e for e in rest if e.family is Family.V4]
        if good is not None and good.family is Family.V6:  # the families in turn, after the one just chosen
            six, four = four, six
        for n in range(max(len(six), len(four))):
            chosen += six[n : n + 1] + four[n : n + 1]
        return chosen + sorted(shunned, key=lambda e: self.known[e].failed_at)
