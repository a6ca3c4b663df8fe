"""Clients that send calls at a given rate and count, each for itself, what became of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec
from gevent import socket

from ..core.clock import now_ms


@dataclass(slots=True)
class Sent:
    """One call and all that came back for it."""

    rid: str
    tenant: str
    kind: str
    sent: float
    budget: float
    answers: int = 0
    how: str = ""
    answered: float = 0.0
    backoff: float | None = None
    lost: bool = False  # its connection ended
    hinted: bool = False  # it is a return at the time that was told
    early: bool = False  # it is a return at half of that time
    again: Callable[[Sent], None] | None = None


class Connection:
    """One client connection with up to 32 open calls. A brief one closes once all is answered."""

    def __init__(self, where: tuple[str, int], source: str = "127.0.0.1", brief: bool = False) -> None:
        self.source, self.brief = source, brief
        self.sock = socket.create_connection(where, 5, (source, 0))
        self.sock.settimeout(None)
        self.open: dict[int, Sent] = {}
        self.known: dict[int, Sent] = {}
        self.number, self.over = 0, False
        self.reader = gevent.spawn(self.read)

    def send(self, call: Sent, function: str, key: str | None, body: bytes) -> None:
        self.number += 1
        params: dict[str, Any] = {
            "rid": call.rid,
            "budget": call.budget,
            "acct": call.tenant,
            "obj": function,
            "props": "memory_mb:400;lanes:4;load_ms:400",
            "blob": body,
        }
        if key is not None:
            params["token"] = key
        self.open[self.number] = self.known[self.number] = call
        line = {"jsonrpc": "2.0", "id": self.number, "method": call.kind, "params": params}
        try:
            self.sock.sendall(msgspec.json.encode(line) + b"\n")
        except OSError:
            self.end()

    def read(self) -> None:
        rest = b""
        try:
            while data := self.sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self.heard(msgspec.json.decode(line), now_ms())
        except (OSError, msgspec.MsgspecError):
            pass
        self.end()

    def heard(self, told: dict[str, Any], now: float) -> None:
        call = self.known.get(told["id"])
        if call is None:
            return
        self.open.pop(told["id"], None)
        call.answers += 1
        call.answered = now
        error = told.get("error")
        call.how = "served" if error is None else "refused" if error["code"] == -32050 else "failed"
        if error is not None:
            call.backoff = (error.get("data") or {}).get("backoff")
            if call.backoff and call.again is not None:
                call.again(call)
        if self.brief and not self.open:
            self.sock.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        self.over = True
        if self.brief:
            self.sock.close()
        for call in self.open.values():
            call.lost = True
        self.open.clear()


@dataclass(slots=True)
class Tenant:
    """One cooperative: its part of the calls, and how many functions it has."""

    name: str
    part: float
    functions: int = 8
    clients: int = 0  # addresses that its calls come from; 0: all from one


class Load:
    """Calls at random moments, `rate` a second, over tenants, classes and functions."""

    def __init__(
        self, where: tuple[str, int], rate: float, tenants: list[Tenant], rng: random.Random
    ) -> None:
        self.where, self.rate, self.tenants, self.rng = where, rate, tenants, rng
        self.calls: list[Sent] = []
        self.connections: list[Connection] = []
        self.herded: list[Connection] = []
        self.hasty = False  # every fourth client returns at half of its time
        self.returns = False  # who is refused with advice stays away until then, and returns once
        self.away: dict[str, float] = {}
        self.unreachable = 0
        self.stayed = 0  # calls that were not sent since their client stayed away

    def run(self, seconds: float) -> None:
        until, next_at = now_ms() + seconds * 1000, now_ms()
        while now_ms() < until:
            next_at += self.rng.expovariate(self.rate) * 1000
            gevent.sleep(max(0.0, next_at - now_ms()) / 1000)
            self.one()
        self.settle()

    def settle(self) -> None:
        """Until all is answered, or every client has given up and a little more."""
        until = now_ms() + 4500
        while now_ms() < until and any(c.open for c in self.connections + self.herded):
            gevent.sleep(0.02)
        for connection in self.connections + self.herded:
            connection.reader.kill()
            connection.sock.close()

    def one(self) -> None:
        tenant = self.rng.choices(self.tenants, [t.part for t in self.tenants])[0]
        rank = min(int(self.rng.paretovariate(1.0)), tenant.functions) - 1
        keyed = self.rng.random() < 0.21
        kind, longest = ("sample-write", 3000.0) if keyed else ("sample-read", 4000.0)
        number = self.tenants.index(tenant) + 1
        source = f"127.0.{number}.{1 + self.rng.randrange(tenant.clients)}" if tenant.clients else "127.0.0.1"
        if self.away.get(source, 0.0) > now_ms():
            self.stayed += 1
            return
        function = function_of(tenant.name, kind, rank)
        call = Sent(
            f"{self.rng.getrandbits(64):016x}",
            tenant.name,
            kind,
            now_ms(),
            longest * self.rng.uniform(0.5, 1.0),
        )
        key = f"k{self.rng.getrandbits(48):x}" if keyed else None
        if self.returns:
            call.again = lambda refused: self.later(refused, source, function, key)
        try:
            connection = self.connection(source)
        except OSError:  # the invoker is down
            self.unreachable += 1
            return
        self.calls.append(call)
        connection.send(call, function, key, b"kg 41")

    def herd(self, count: int, within_ms: float) -> None:
        """So many clients, each at an address of its own, ask once within so many ms; who is told when to
        come back comes then, once."""
        tenant = self.tenants[0]
        function = function_of(tenant.name, "sample-read", 0)

        def ask(source: str, hinted: bool) -> None:
            call = Sent(f"{self.rng.getrandbits(64):016x}", tenant.name, "sample-read", now_ms(), 4000.0)
            call.hinted = hinted

            def again(refused: Sent) -> None:
                gevent.spawn_later((refused.backoff or 0.0) / 1000, ask, source, True)

            call.again = None if hinted else again
            self.calls.append(call)
            connection = Connection(self.where, source, brief=True)
            self.herded.append(connection)
            connection.send(call, function, None, b"kg 41")

        for n in range(count):
            gevent.spawn_later(
                self.rng.uniform(0, within_ms) / 1000, ask, f"127.77.{n // 250}.{1 + n % 250}", False
            )

    def later(self, refused: Sent, source: str, function: str, key: str | None) -> None:
        """A client that does as it was told."""
        early = self.hasty and int(source.rpartition(".")[2]) % 4 == 0
        wait = (refused.backoff or 0.0) * (0.5 if early else 1.0)
        self.away[source] = now_ms() + wait

        def come() -> None:
            call = Sent(
                f"{self.rng.getrandbits(64):016x}",
                refused.tenant,
                refused.kind,
                now_ms(),
                refused.budget,
                hinted=not early,
                early=early,
            )
            self.calls.append(call)
            self.connection(source).send(call, function, key, b"kg 41")

        gevent.spawn_later(wait / 1000, come)

    def connection(self, source: str) -> Connection:
        self.connections = [c for c in self.connections if not c.over]
        free = [c for c in self.connections if len(c.open) < 24 and c.source == source]
        if not free:
            free = [Connection(self.where, source)]
            self.connections += free
        return min(free, key=lambda c: len(c.open))


def function_of(tenant: str, kind: str, rank: int) -> str:
    """A model's id: the same in every run."""
    return f"{sum(ord(c) << (3 * n) for n, c in enumerate(tenant)) & 0xFFFFFFFF:08x}{len(kind):04x}{rank:04x}"
