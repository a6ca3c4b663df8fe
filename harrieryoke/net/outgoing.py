"""The queue of messages to one client: they are written in order, and the sender never waits."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from ..core.actor import spawn
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout
from ..log import Log
from ..memory_budget import MemoryBudget, Owner
from .unread import is_writable


def ignore_callback(*_: object) -> None:
    """Stands in for the callbacks of a closed queue."""


class OutgoingQueue:
    """The unsent messages of one socket.

    `put` never waits: what the socket does not accept at once is written by a greenlet that exists only while
    something is unsent.

    What is unsent is charged to the memory budget. Under pressure a client may leave no more unsent than its
    share.

    `on_drained` is called when that greenlet has written everything, `on_failed` with the reason when nothing
    more can be written: the socket failed, accepted nothing until its time-out, or more is unsent than the
    limits allow.
    """

    __slots__ = (
        "closed",
        "log",
        "max_bytes",
        "max_messages",
        "memory",
        "name",
        "on_drained",
        "on_failed",
        "sock",
        "stalled_since",
        "unsent",
        "unsent_bytes",
        "writer",
    )

    def __init__(
        self,
        sock: socket.socket,
        name: str,
        max_messages: int,
        max_bytes: int,
        log: Log,
        on_drained: Callable[[], object],
        on_failed: Callable[[str], object],
        memory: MemoryBudget,
    ) -> None:
        self.memory = memory
        self.sock, self.name, self.log = sock, name, log
        self.on_drained, self.on_failed = on_drained, on_failed
        self.max_messages, self.max_bytes = max_messages, max_bytes
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0  # bytes in `unsent`
        self.stalled_since: float | None = None  # since when the client has accepted nothing
        self.writer: gevent.Greenlet | None = None
        self.closed = False

    def put(self, data: bytes) -> None:
        """Write the message after those put before."""
        if self.closed:
            return
        if not self.unsent and (data := self.send_now(data)) == b"":
            return
        max_bytes = min(self.max_bytes, max(len(data), self.memory.fair_share()))
        if len(self.unsent) >= self.max_messages or self.unsent_bytes + len(data) > max_bytes:
            return self.fail(f"{len(self.unsent)} messages of {self.unsent_bytes} bytes are unsent")
        if self.closed or not self.memory.try_charge(Owner.ANSWERS, len(data)):
            return self.fail(f"no memory for an answer: {self.memory.describe()}")
        self.unsent.append(data)
        self.unsent_bytes += len(data)
        if self.writer is None:
            self.stalled_since = now_ms()
            self.writer = spawn(self.log, f"{self.name} writer", self.run_writer)

    def send_now(self, data: bytes) -> bytes:
        """Write as much as the socket accepts at once; return the rest."""
        try:
            return data[self.sock.send(data, timeout=0.0) :]
        except BlockingIOError:
            return data
        except OSError as error:
            self.fail(str(error))
            return b""

    def send_first(self) -> None:
        data = self.unsent[0]
        count = self.sock.send(data)
        if self.closed:
            return
        self.unsent_bytes -= count
        self.memory.release(Owner.ANSWERS, count)
        self.stalled_since = now_ms() if self.unsent_bytes else None
        if count < len(data):
            self.unsent[0] = data[count:]
        else:
            self.unsent.pop(0)

    def run_writer(self) -> None:
        """Run the writer's greenlet: each send waits for the socket's time-out at most."""
        try:
            while self.unsent:
                try:
                    self.send_first()
                except TimeoutError as error:
                    # a delay of this process is not the client's
                    if is_kernel_timeout(error) or not is_writable(self.sock):
                        raise
        except OSError as error:
            return self.fail(str(error))
        self.writer = None
        if not self.closed:
            self.on_drained()

    def fail(self, reason: str) -> None:
        if not self.closed:
            on_failed = self.on_failed
            self.close()
            on_failed(reason)

    def close(self) -> None:
        """Discard what is unsent and write nothing more.

        The callbacks are dropped: they refer back to this queue, and a reference cycle would keep the memory
        of an ended connection until the next full garbage collection.
        """
        self.closed = True
        self.memory.release(Owner.ANSWERS, self.unsent_bytes)
        self.unsent.clear()
        self.unsent_bytes = 0
        self.on_drained = self.on_failed = ignore_callback
