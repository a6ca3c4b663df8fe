"""Emulated clients that send calls at a given rate and record the answer of each call."""

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
class SentCall:
    """One call and its answers. Times are milliseconds."""

    request_id: str
    tenant: str
    class_name: str
    sent_at: float
    budget: float
    answers: int = 0
    outcome: str = ""
    answered_at: float = 0.0
    retry_after: float | None = None
    connection_lost: bool = False  # the connection ended before an answer
    followed_hint: bool = False  # a retry at the advised time
    returned_early: bool = False  # a retry after half of the advised delay
    on_refused: Callable[[SentCall], None] | None = None


class Connection:
    """One client connection with up to 32 pending calls.

    With `close_when_answered` it closes as soon as no call is pending.
    """

    def __init__(
        self, address: tuple[str, int], source: str = "127.0.0.1", close_when_answered: bool = False
    ) -> None:
        self.source, self.close_when_answered = source, close_when_answered
        self.sock = socket.create_connection(address, 5, (source, 0))
        self.sock.settimeout(None)
        self.pending: dict[int, SentCall] = {}
        self.sent_calls: dict[int, SentCall] = {}
        self.last_id, self.closed = 0, False
        self.reader = gevent.spawn(self.read)

    def send(self, call: SentCall, function: str, key: str | None, body: bytes) -> None:
        self.last_id += 1
        params: dict[str, Any] = {
            "rid": call.request_id,
            "budget": call.budget,
            "acct": call.tenant,
            "obj": function,
            "props": "memory_mb:400;lanes:4;load_ms:400",
            "blob": body,
        }
        if key is not None:
            params["token"] = key
        self.pending[self.last_id] = self.sent_calls[self.last_id] = call
        line = {"jsonrpc": "2.0", "id": self.last_id, "method": call.class_name, "params": params}
        try:
            self.sock.sendall(msgspec.json.encode(line) + b"\n")
        except OSError:
            self.handle_close()

    def read(self) -> None:
        incomplete = b""
        try:
            while data := self.sock.recv(65536):
                *lines, incomplete = (incomplete + data).split(b"\n")
                for line in lines:
                    self.handle_answer(msgspec.json.decode(line), now_ms())
        except (OSError, msgspec.MsgspecError):
            pass
        self.handle_close()

    def handle_answer(self, answer: dict[str, Any], now: float) -> None:
        call = self.sent_calls.get(answer["id"])
        if call is None:
            return
        self.pending.pop(answer["id"], None)
        call.answers += 1
        call.answered_at = now
        error = answer.get("error")
        call.outcome = "served" if error is None else "refused" if error["code"] == -32050 else "failed"
        if error is not None:
            call.retry_after = (error.get("data") or {}).get("backoff")
            if call.retry_after and call.on_refused is not None:
                call.on_refused(call)
        if self.close_when_answered and not self.pending:
            self.sock.shutdown(socket.SHUT_RDWR)

    def handle_close(self) -> None:
        self.closed = True
        if self.close_when_answered:
            self.sock.close()
        for call in self.pending.values():
            call.connection_lost = True
        self.pending.clear()


@dataclass(slots=True)
class Tenant:
    """One tenant: its share of the calls and the number of its functions."""

    name: str
    share: float
    functions: int = 8
    source_addresses: int = 0  # 0: all calls come from one address that all tenants share


class LoadGenerator:
    """Sends calls as a Poisson process of `rate` per second over tenants, classes and functions."""

    def __init__(
        self, address: tuple[str, int], rate: float, tenants: list[Tenant], rng: random.Random
    ) -> None:
        self.address, self.rate, self.tenants, self.rng = address, rate, tenants, rng
        self.calls: list[SentCall] = []
        self.connections: list[Connection] = []
        self.herd_connections: list[Connection] = []
        self.impatient = False  # every fourth client retries after half of the advised delay
        self.retries = False  # a client refused with a retry delay sends nothing until then and retries once
        self.away_until: dict[str, float] = {}
        self.unreachable = 0
        self.withheld = 0  # calls not sent because their client waits for its retry time

    def run(self, seconds: float) -> None:
        until, next_at = now_ms() + seconds * 1000, now_ms()
        while now_ms() < until:
            next_at += self.rng.expovariate(self.rate) * 1000
            gevent.sleep(max(0.0, next_at - now_ms()) / 1000)
            self.send_random_call()
        self.settle()

    def settle(self) -> None:
        """Wait until all calls are answered or have timed out on every client; then close the connections."""
        until = now_ms() + 4500
        while now_ms() < until and any(c.pending for c in self.connections + self.herd_connections):
            gevent.sleep(0.02)
        for connection in self.connections + self.herd_connections:
            connection.reader.kill()
            connection.sock.close()

    def send_random_call(self) -> None:
        tenant = self.rng.choices(self.tenants, [t.share for t in self.tenants])[0]
        rank = min(int(self.rng.paretovariate(1.0)), tenant.functions) - 1
        keyed = self.rng.random() < 0.21
        class_name, max_budget = ("sample-write", 3000.0) if keyed else ("sample-read", 4000.0)
        tenant_number = self.tenants.index(tenant) + 1
        source = (
            f"127.0.{tenant_number}.{1 + self.rng.randrange(tenant.source_addresses)}"
            if tenant.source_addresses
            else "127.0.0.1"
        )
        if self.away_until.get(source, 0.0) > now_ms():
            self.withheld += 1
            return
        function = function_id(tenant.name, class_name, rank)
        call = SentCall(
            f"{self.rng.getrandbits(64):016x}",
            tenant.name,
            class_name,
            now_ms(),
            max_budget * self.rng.uniform(0.5, 1.0),
        )
        key = f"k{self.rng.getrandbits(48):x}" if keyed else None
        if self.retries:
            call.on_refused = lambda refused: self.schedule_retry(refused, source, function, key)
        try:
            connection = self.connection_from(source)
        except OSError:  # the invoker is down
            self.unreachable += 1
            return
        self.calls.append(call)
        connection.send(call, function, key, b"kg 41")

    def start_herd(self, count: int, within_ms: float) -> None:
        """Send one call from each of `count` clients, at random times within `within_ms`.

        Each client has its own address. A client refused with a retry delay retries once after it.
        """
        tenant = self.tenants[0]
        function = function_id(tenant.name, "sample-read", 0)

        def send(source: str, followed_hint: bool) -> None:
            call = SentCall(f"{self.rng.getrandbits(64):016x}", tenant.name, "sample-read", now_ms(), 4000.0)
            call.followed_hint = followed_hint

            def retry(refused: SentCall) -> None:
                gevent.spawn_later((refused.retry_after or 0.0) / 1000, send, source, True)

            call.on_refused = None if followed_hint else retry
            self.calls.append(call)
            connection = Connection(self.address, source, close_when_answered=True)
            self.herd_connections.append(connection)
            connection.send(call, function, None, b"kg 41")

        for n in range(count):
            gevent.spawn_later(
                self.rng.uniform(0, within_ms) / 1000, send, f"127.77.{n // 250}.{1 + n % 250}", False
            )

    def schedule_retry(self, refused: SentCall, source: str, function: str, key: str | None) -> None:
        """Retry a refused call after the advised delay, or after half of it if the client is impatient."""
        returned_early = self.impatient and int(source.rpartition(".")[2]) % 4 == 0
        wait = (refused.retry_after or 0.0) * (0.5 if returned_early else 1.0)
        self.away_until[source] = now_ms() + wait

        def retry() -> None:
            call = SentCall(
                f"{self.rng.getrandbits(64):016x}",
                refused.tenant,
                refused.class_name,
                now_ms(),
                refused.budget,
                followed_hint=not returned_early,
                returned_early=returned_early,
            )
            self.calls.append(call)
            self.connection_from(source).send(call, function, key, b"kg 41")

        gevent.spawn_later(wait / 1000, retry)

    def connection_from(self, source: str) -> Connection:
        self.connections = [c for c in self.connections if not c.closed]
        available = [c for c in self.connections if len(c.pending) < 24 and c.source == source]
        if not available:
            available = [Connection(self.address, source)]
            self.connections += available
        return min(available, key=lambda c: len(c.pending))


def function_id(tenant: str, class_name: str, rank: int) -> str:
    """Return the id of a function; it is the same in every run."""
    tenant_hash = sum(ord(c) << (3 * n) for n, c in enumerate(tenant)) & 0xFFFFFFFF
    return f"{tenant_hash:08x}{len(class_name):04x}{rank:04x}"
