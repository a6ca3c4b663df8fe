"""One connection to a model host: its socket, its open tasks, and its unwritten frames."""

from __future__ import annotations

import errno
from collections import deque
from dataclasses import dataclass, field

from gevent import socket

from ..core.records import Task
from . import frames


class HostSocket(socket.socket):  # type: ignore[misc]  # gevent has no types
    """A connected socket whose reads wait and whose writes never do."""

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Write what the connection accepts without waiting.

        If that is not all, raises BlockingIOError with the count in `characters_written`.
        """
        try:
            written = self.send(data, flags, 0.0)
        except BlockingIOError:
            written = 0
        if written < len(data):
            raise BlockingIOError(errno.EAGAIN, "the host does not read", written)

    def wait_writable(self, timeout_ms: float) -> None:
        """Wait until the connection accepts more. Raises TimeoutError, or OSError on a closed socket."""
        watcher = self._write_event  # None once the socket is closed
        if watcher is None:
            raise OSError(errno.EBADF, "the link is closed")
        socket.wait(watcher, timeout_ms / 1000, TimeoutError("the host does not read"))


def host_socket(connected: socket.socket) -> HostSocket:
    """Return the same connection as a HostSocket; the given socket object is detached."""
    family, kind, protocol = connected.family, connected.type, connected.proto
    return HostSocket(family, kind, protocol, fileno=connected.detach())


@dataclass(slots=True, eq=False)
class PendingFrame:
    """A frame that is not yet written completely.

    A task's frame is encoded when its writing starts, as its fields tell how much time is left.
    """

    code: int
    id: int
    task: Task | None = None
    unwritten: bytes = b""  # what is still to be written
    started: bool = False  # its first byte is written, so the rest must follow, or the link is unusable


@dataclass(slots=True, eq=False)
class Link:
    """One connection and its open tasks by frame id."""

    sock: socket.socket
    decoder: frames.Decoder
    open: dict[int, Task] = field(default_factory=dict)
    last_used: float = 0.0
    waiting_since: float | None = (
        None  # since when an answer that should come promptly is due and nothing has been received
    )
    partial_since: float | None = (
        None  # when the last bytes of an incomplete frame were received; set by the reader
    )
    charged: int = 0  # bytes of the incomplete frame, as charged to the memory budget
    backlog: deque[PendingFrame] = field(default_factory=deque)
    awaiting_writable: bool = False  # a greenlet waits until the connection accepts more
    ended: bool = False  # the host closed it or it failed; set by the reader alone

    @property
    def load(self) -> int:
        """Open tasks and queued frames; a half-written task counts twice."""
        return len(self.open) + len(self.backlog)

    def has_frame(self, id: int | None) -> bool:
        """Return whether a frame with this id is open or queued; ids must be unique on a link."""
        return id in self.open or any(frame.id == id for frame in self.backlog)

    def write(self, frame: PendingFrame) -> bool:
        """Write what the connection accepts without waiting; return whether the frame is complete. Raises
        OSError."""
        task = frame.task
        if task is not None:
            task.write_started = True
        try:
            self.sock.sendall(frame.unwritten)
        except BlockingIOError as blocked:
            frame.started = frame.started or blocked.characters_written > 0
            frame.unwritten = frame.unwritten[blocked.characters_written :]
            if task is not None:
                task.write_started = frame.started
            return False
        frame.started = True
        return True
