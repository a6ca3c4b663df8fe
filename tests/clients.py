"""A client connection on loopback with its real actor and a stub core that the test controls."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from harrieryoke import interface as i
from harrieryoke.core.calls import CallMaker
from harrieryoke.core.clock import now_ms
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.pauses import PauseWatch
from harrieryoke.core.records import Call
from harrieryoke.core.records import Front as CallFront
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.memory_budget import MemoryBudget
from harrieryoke.net.client import ClientActor
from harrieryoke.net.platform import PlatformFront

TIMEOUT_S = 5.0  # limit of a step that should succeed immediately
LONG_MS = 60000.0  # a write timeout that no test reaches
SETTINGS = i.Settings((i.RequestClass("weight-read", 1000, 4000),))
BODY = b"b" * 16000


def until(condition: Callable[[], object], what: str) -> None:
    with gevent.Timeout(TIMEOUT_S, AssertionError(f"never seen: {what}")):
        while not condition():
            gevent.sleep(0.001)


class NullLog(Log):
    """Counts lines by kind and writes none."""

    def write_line(self, *arguments: object) -> None: ...


class Core:
    """Replaces the decision module.

    `offer` waits while the gate is closed; with `answers`, each call is served.
    """

    def __init__(self) -> None:
        self.metrics, self.gate, self.answers = Metrics(["weight-read"]), Event(), False
        self.gate.set()
        self.memory = MemoryBudget(1 << 30)
        self.calls: dict[int, Call] = {}
        self.withdrawn: list[int] = []

    def offer(self, call: Call, front: CallFront) -> bool:
        self.calls[int(call.request_id, 16)] = call
        self.gate.wait()
        if self.answers:
            front.served(call, b"")
        return True

    def withdraw(self, call: Call) -> bool:
        self.withdrawn.append(int(call.request_id, 16))
        return True


def line(id: int, method: str = "weight-read") -> bytes:
    """Return the line of a call, a probe, or the giveUp of `id`."""
    params: dict[str, Any] = {"rid": f"{id:016x}", "budget": 3500, "obj": "7f3a9c21e0b4d655"}
    message: dict[str, Any] = {"jsonrpc": "2.0", "method": method, "id": id, "params": params}
    if method == "giveUp":
        message = {"jsonrpc": "2.0", "method": method, "params": {"id": id}}
    return json.dumps(message).encode() + b"\n"


def read(sock: socket.socket, count: int) -> list[tuple[int, int]]:
    """Read a number of answers; return the id and the length of the body of each."""
    answers, data = [], b""
    with gevent.Timeout(TIMEOUT_S, AssertionError("an answer is missing")):
        while data.count(b"\n") < count:
            received = sock.recv(65536)
            assert received, f"the connection ended after {len(data)} bytes"
            data += received
    for text in data.splitlines():
        answer = json.loads(text)
        answers.append((answer["id"], len(base64.b64decode(answer["result"].get("blob", "")))))
    return answers


class Connection:
    """Both ends of one connection: `sock` is the client's, `actor` has the other one, with small buffers."""

    def __init__(self, **limits: Any) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.sock = socket.socket()
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            self.sock.connect(listening.getsockname())
            served, _ = listening.accept()
        served.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        self.core, self.log, self.gone = Core(), NullLog(), Event()
        config: Any = Limits(**{"write_ms": LONG_MS} | limits)
        core: Any = self.core
        maker = CallMaker(SETTINGS, config)
        pauses = PauseWatch(now_ms(), LONG_MS, self.log)
        self.actor = ClientActor(
            served, "c:1", maker, core, config, self.log, lambda _: self.gone.set(), pauses
        )
        self.actor.start()

    def send(self, *lines: bytes) -> None:
        self.sock.sendall(b"".join(lines))

    def send_calls(self, *ids: int) -> None:
        """Send calls and wait until the core has them."""
        self.send(*map(line, ids))
        until(lambda: self.core.calls.keys() >= set(ids), f"offered {ids}")

    def answer(self, id: int, body: bytes = BODY) -> None:
        self.actor.served(self.core.calls[id], body)

    def block_output(self, id: int) -> None:
        """Answer the call with more than fits the buffers of a client that does not read."""
        self.answer(id)
        until(
            lambda: not self.actor.mailbox and self.actor.outgoing.unsent, "an answer that can't be written"
        )

    def read(self, count: int) -> list[tuple[int, int]]:
        return read(self.sock, count)

    def close(self) -> None:
        self.core.gate.set()
        self.sock.close()
        assert self.gone.wait(TIMEOUT_S), "the actor did not end"
        assert not self.log.totals.get("greenlet-died")


@contextmanager
def connected(**limits: Any) -> Iterator[Connection]:
    """Yield a connection, and close it at the end."""
    connection = Connection(**limits)
    try:
        yield connection
    finally:
        connection.close()


class StubListener:
    """Replaces the listening socket and the acceptor's descriptor; `accept` is the test's."""

    def __init__(self, sock: socket.socket, accept: Callable[[socket.socket], Any]) -> None:
        self.sock, self.accept_call = sock, accept

    def dup(self) -> StubListener:
        return StubListener(self.sock.dup(), self.accept_call)

    def accept(self) -> Any:
        return self.accept_call(self.sock)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class Front:
    """The front on loopback with small buffers; its acceptor uses `accept`, the front itself the socket."""

    def __init__(self, accept: Callable[[socket.socket], Any] = socket.socket.accept, **limits: Any) -> None:
        self.core, self.log = Core(), NullLog()
        config: Any = Limits(**{"write_ms": LONG_MS} | limits)
        core: Any = self.core
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.address = self.listening.getsockname()
        self.front = PlatformFront(self.address, CallMaker(SETTINGS, config), core, config, self.log)
        listener: Any = StubListener(self.listening, socket.socket.accept)
        listener.dup = lambda: StubListener(self.listening.dup(), accept)
        self.front.start(listener)

    def connect(self, *lines: bytes) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(TIMEOUT_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.connect(self.address)
        sock.sendall(b"".join(lines))
        return sock
