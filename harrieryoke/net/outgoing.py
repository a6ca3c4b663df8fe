"""The queue of messages to one client: they are written in order, and the sender never waits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

from ..core.actor import spawn
from ..core.local_errors import is_kernel_timeout
from ..log import Log
from ..memory_budget import MemoryBudget, Owner
from .connection_state import ConnectionState, EndReason
from .unread import is_writable

SMALL_MESSAGE_BYTES = 1024  # errors; the bound on open calls bounds how many may wait


@dataclass(slots=True)
class UnsentMessage:
    """What the kernel has not accepted of a message; `is_answer`: to a call."""

    data: bytes
    is_answer: bool


def ignore_callback(*_: object) -> None:
    """Stands in for the callbacks of a closed queue."""


class OutgoingQueue:
    """The unsent messages of one socket.

    `put` never waits: what the socket does not accept at once is written by a greenlet that exists only while
    something is unsent. No message is dropped: the connection is not read meanwhile, and whoever has a long
    one asks `has_room` first.

    `on_drained` is called when that greenlet has written everything, `on_failed` with the reason when nothing
    more can be written: the socket failed, or accepted nothing until its time-out.
    """

    __slots__ = (
        "closed",
        "log",
        "max_bytes",
        "memory",
        "name",
        "on_drained",
        "on_failed",
        "sock",
        "state",
        "unsent",
        "writer",
    )

    def __init__(
        self,
        sock: socket.socket,
        name: str,
        max_bytes: int,
        log: Log,
        on_drained: Callable[[], object],
        on_failed: Callable[[EndReason, str], object],
        memory: MemoryBudget,
        state: ConnectionState,
    ) -> None:
        self.memory, self.state = memory, state
        self.sock, self.name, self.log = sock, name, log
        self.on_drained, self.on_failed = on_drained, on_failed
        self.max_bytes = max_bytes
        self.unsent: list[UnsentMessage] = []
        self.writer: gevent.Greenlet | None = None
        self.closed = False

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the kernel has not accepted."""
        return self.state.unsent_bytes

    def has_room(self, size: int) -> bool:
        """Return whether a message of that size may wait behind what is unsent.

        The first one may; further ones up to a limit and, under memory pressure, to the client's share.
        """
        if not self.unsent or size <= SMALL_MESSAGE_BYTES:
            return True
        return self.unsent_bytes + size <= min(self.max_bytes, self.memory.fair_share())

    def put(self, data: bytes, is_answer: bool) -> None:
        """Write the message after those put before; `is_answer`: it answers a call."""
        if self.closed:
            return
        if not self.unsent and (data := self.send_now(data)) == b"":
            return
        if self.closed:
            return
        self.memory.charge(Owner.ANSWERS, len(data))
        self.unsent.append(UnsentMessage(data, is_answer))
        self.count_unsent(len(data), is_answer)
        if self.writer is None:
            self.writer = spawn(self.log, f"{self.name} writer", self.run_writer)

    def send_now(self, data: bytes) -> bytes:
        """Write as much as the socket accepts at once; return the rest."""
        try:
            return data[self.sock.send(data, timeout=0.0) :]
        except BlockingIOError:
            return data
        except OSError as error:
            self.fail(error)
            return b""

    def count_unsent(self, size: int, answers: int) -> None:
        """Count bytes, and answers among them, that have come or gone."""
        state = self.state
        state.unsent_changed(state.unsent_bytes + size, state.unsent_answers + answers)

    def send_first(self) -> None:
        message = self.unsent[0]
        count = self.sock.send(message.data)
        if self.closed:
            return
        self.memory.release(Owner.ANSWERS, count)
        message.data = message.data[count:]
        is_whole = not message.data
        self.count_unsent(-count, -int(is_whole and message.is_answer))
        if is_whole:
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
            return self.fail(error)
        self.writer = None
        if not self.closed:
            self.on_drained()

    def fail(self, error: OSError) -> None:
        """Report that nothing more can be written."""
        if self.closed:
            return
        timed_out = isinstance(error, TimeoutError) and not is_kernel_timeout(error)
        reason = EndReason.NOTHING_ACCEPTED if timed_out else EndReason.CLIENT_LEFT
        self.on_failed(reason, str(error))

    def close(self) -> None:
        """Discard what is unsent and write nothing more.

        The callbacks are dropped: they refer back to this queue, and a reference cycle would keep the memory
        of an ended connection until the next full garbage collection.
        """
        self.closed = True
        self.memory.release(Owner.ANSWERS, self.unsent_bytes)
        self.unsent.clear()
        self.state.unsent_changed(0, 0)
        self.on_drained = self.on_failed = ignore_callback
