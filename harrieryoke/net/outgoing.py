"""The queue of messages to one client: they are written in order, and the sender never waits."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from ..core.actor import spawn
from ..log import Log


def ignore_callback(*_: object) -> None:
    """Stands in for the callbacks of a closed queue."""


class OutgoingQueue:
    """The unsent messages of one socket.

    `put` never waits: what the socket does not accept at once is written by a greenlet that exists only while
    something is unsent.

    `on_drained` is called when that greenlet has written everything, `on_failed` with the reason when nothing
    more can be written: the socket failed, accepted nothing until its time-out, or more is unsent than the
    limits allow.
    """

    __slots__ = (
        "closed",
        "log",
        "max_bytes",
        "max_messages",
        "name",
        "on_drained",
        "on_failed",
        "sock",
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
    ) -> None:
        self.sock, self.name, self.log = sock, name, log
        self.on_drained, self.on_failed = on_drained, on_failed
        self.max_messages, self.max_bytes = max_messages, max_bytes
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0  # bytes in `unsent`
        self.writer: gevent.Greenlet | None = None
        self.closed = False

    def put(self, data: bytes) -> None:
        """Write the message after those put before."""
        if self.closed:
            return
        if len(self.unsent) >= self.max_messages or self.unsent_bytes + len(data) > self.max_bytes:
            return self.fail(f"{len(self.unsent)} messages of {self.unsent_bytes} bytes are unsent")
        self.unsent.append(data)
        self.unsent_bytes += len(data)
        if self.writer is None:
            self.send_without_waiting()

    def send_without_waiting(self) -> None:
        """Write as much as the socket accepts at once; a greenlet writes the rest."""
        try:
            self.send_first(timeout=0.0)
        except BlockingIOError:
            pass
        except OSError as error:
            return self.fail(str(error))
        if self.unsent:
            self.writer = spawn(self.log, f"{self.name} writer", self.run_writer)

    def send_first(self, **timeout: float) -> None:
        data = self.unsent[0]
        count = self.sock.send(data, **timeout)
        if self.closed:
            return
        self.unsent_bytes -= count
        if count < len(data):
            self.unsent[0] = data[count:]
        else:
            self.unsent.pop(0)

    def run_writer(self) -> None:
        """Run the writer's greenlet: each send waits for the socket's time-out at most."""
        try:
            while self.unsent:
                self.send_first()
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
        self.unsent.clear()
        self.unsent_bytes = 0
        self.on_drained = self.on_failed = ignore_callback
