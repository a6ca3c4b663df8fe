"""One connection to a model host: its socket, what is out on it, and what is not yet written to it."""

from __future__ import annotations

import errno
from collections import deque
from dataclasses import dataclass, field

from gevent import socket

from ..core.records import Task
from . import frames


class HostSocket(socket.socket):  # type: ignore[misc]  # gevent has no types
    """A connected socket of which reads wait and writes never do."""

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Writes what the connection takes at once. Where that is not all of it, BlockingIOError says in
        `characters_written` how much it was."""
        try:
            written = self.send(data, flags, 0.0)
        except BlockingIOError:
            written = 0
        if written < len(data):
            raise BlockingIOError(errno.EAGAIN, "the host does not read", written)

    def wait_writable(self, timeout_ms: float) -> None:
        """Until the connection takes more. Raises TimeoutError, and OSError once the socket is closed."""
        watcher = self._write_event  # gone once the socket is closed
        if watcher is None:
            raise OSError(errno.EBADF, "the link is closed")
        socket.wait(watcher, timeout_ms / 1000, TimeoutError("the host does not read"))


def host_socket(connected: socket.socket) -> HostSocket:
    """The same connection as a HostSocket; the given socket is closed."""
    family, kind, protocol = connected.family, connected.type, connected.proto
    return HostSocket(family, kind, protocol, fileno=connected.detach())


@dataclass(slots=True, eq=False)
class PendingFrame:
    """A frame that is not yet written whole. A task's frame is encoded when it begins: its fields tell how
    much time is left."""

    code: int
    id: int
    task: Task | None = None
    unwritten: bytes = b""  # what is still to be written
    started: bool = False  # its first byte is written: it has to be finished, or the link is spoilt


@dataclass(slots=True, eq=False)
class Link:
    """One connection, and the tasks that have begun on it by frame id."""

    sock: socket.socket
    decoder: frames.Decoder
    open: dict[int, Task] = field(default_factory=dict)
    last_used: float = 0.0
    waiting_since: float | None = None  # since when something is owed an answer soon and nothing has come
    partial_since: float | None = None  # the last bytes of a frame not yet whole came then; set by its reader
    backlog: deque[PendingFrame] = field(default_factory=deque)
    awaiting_writable: bool = False  # a greenlet waits until the connection takes more
    ended: bool = False  # the host has closed it, or it failed; its reader alone writes it

    @property
    def load(self) -> int:
        """Tasks that are out on it, and frames that are not yet written whole; a half-written one is both."""
        return len(self.open) + len(self.backlog)

    def has_frame(self, id: int | None) -> bool:
        """Whether a frame with this id is out on it or waits: a second one could not be told from it."""
        return id in self.open or any(frame.id == id for frame in self.backlog)

    def write(self, frame: PendingFrame) -> bool:
        """Writes of the frame what the connection takes at once, and says whether it is whole now. Raises
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
