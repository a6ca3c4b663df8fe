"""The admin server: a connection carries one command line, gets one answer, and is closed."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from ..core.actor import spawn
from ..core.clock import now_ms
from ..core.metrics import Metrics
from ..core.process_memory import resident_bytes
from ..errors import Busy, CallTooLong, NotReady, OperatorError, UnfinishedCall, UnknownServer
from ..limits import Limits
from ..log import Log
from ..memory_budget import MemoryBudget
from ..net.hostlist import Ban
from ..net.listening import wait_for_listener
from .commands import COMMANDS, format_ends, format_memory, format_metrics, parse_command

BACKLOG = 128  # connections that the kernel accepts ahead of the listener
ACCEPT_RETRY_S = 0.05
READ_BYTES = 4096


class Caller(msgspec.Struct, eq=False):
    """One connection. `last_received` is when data last came from it. It is `idle` while the server waits for
    the rest of its line, or for it to close."""

    sock: socket.socket
    last_received: float = msgspec.field(default_factory=now_ms)
    idle: bool = False


class AdminServer:
    """Serves each connection in a greenlet of its own, so that a silent caller does not delay the others.
    Connections are bounded in number and in time."""

    def __init__(
        self,
        address: tuple[str, int],
        metrics: Metrics,
        serves: Callable[[], bool],
        send_to_host_list: Callable[[Ban], bool],
        limits: Limits,
        log: Log,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget(limits.budget_bytes())
        self.address, self.metrics, self.serves = address, metrics, serves
        self.limits, self.log = limits, log
        self.send_to_host_list = send_to_host_list
        self.callers: dict[Caller, bool] = {}
        self.handlers: dict[str, Callable[..., list[str]]] = {
            "help": self.help,
            "ready": self.ready,
            "show-stat": self.show_stat,
            "show-memory": self.show_memory,
            "disable-server": self.disable,
            "enable-server": self.enable,
        }

    def start(self) -> None:
        """Start to listen. Raises OSError if the address can't be bound."""
        listening = wait_for_listener(self.address, BACKLOG, self.limits, self.log)
        self.metrics.watched = True
        spawn(self.log, "management listener", lambda: self.accept(listening))

    def accept(self, listening: socket.socket) -> None:
        """Run the listener's greenlet."""
        while True:
            try:
                sock, _ = listening.accept()
            except OSError as error:
                # Out of file descriptors, for example: some may be closed by the next attempt.
                self.log("accept-failed", f"management: {error}")
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            if len(self.callers) >= self.limits.management_callers:
                self.evict_idle()
            caller = Caller(sock)
            self.callers[caller] = True
            spawn(self.log, "management caller", lambda caller=caller: self.serve(caller))  # type: ignore[misc]

    def evict_idle(self) -> None:
        """Close the connection that has been idle for longest. Those that run a command end soon anyway."""
        if not any(c.idle for c in self.callers):
            # Some connections may have an unread line: let their greenlets run. This is not done for each new
            # connection: in a busy process one round of all greenlets takes 15 ms, and the last of eighty
            # new connections would wait a second.
            gevent.sleep(0)
        if idle := [c for c in self.callers if c.idle]:
            longest_silent = min(idle, key=lambda c: c.last_received)
            del self.callers[longest_silent]
            longest_silent.sock.close()

    def serve(self, caller: Caller) -> None:
        """Run one connection's greenlet."""
        try:
            # Connections that do not send, do not read or do not close must not use up the file descriptors.
            with gevent.Timeout(self.limits.management_ms / 1000, TimeoutError), caller.sock as sock:
                sock.sendall(self.answer(caller))
                caller.idle = True
                sock.shutdown(socket.SHUT_WR)
                # Closing with unread data would reset the connection and lose the answer.
                while sock.recv(READ_BYTES):
                    pass
        except OSError:
            pass  # closed by the peer, timed out, or evicted
        finally:
            self.callers.pop(caller, None)

    def answer(self, caller: Caller) -> bytes:
        """Read one command and return its answer, or an error line."""
        try:
            command, arguments = parse_command(self.read_line(caller))
            lines = self.handlers[command.name](*arguments)
        except OperatorError as error:
            lines = [f"error {error}"]
        return "".join(f"{line}\n" for line in lines).encode()

    def read_line(self, caller: Caller) -> bytes:
        """Return the caller's line without the line feed. Raises OperatorError."""
        data, max_bytes = b"", self.limits.management_line_bytes
        caller.idle = True
        while b"\n" not in data:
            if len(data) > max_bytes:
                raise CallTooLong(f"more than {max_bytes} bytes")
            more = caller.sock.recv(max_bytes + 1 - len(data))
            if not more:
                raise UnfinishedCall
            data, caller.last_received = data + more, now_ms()
        caller.idle = False
        return data.partition(b"\n")[0]

    # --- the commands ---

    def help(self) -> list[str]:
        """Return the commands and their arguments."""
        return ["done " + ", ".join(c.usage() for c in COMMANDS.values())]

    def ready(self) -> list[str]:
        """Return whether this process serves. Raises NotReady."""
        if not self.serves():
            raise NotReady
        return ["done ready"]

    def show_stat(self) -> list[str]:
        """Return the metrics and the end mark."""
        return [*format_metrics(self.metrics), "end"]

    def show_memory(self) -> list[str]:
        """Return the memory that others hold, by owner, and the end mark."""
        return [*format_memory(self.memory, resident_bytes()), *format_ends(self.metrics), "end"]

    def disable(self, id: str) -> list[str]:
        """Drain a model host until it is enabled."""
        return self.ban(id, True)

    def enable(self, id: str) -> list[str]:
        """Put a drained model host back into use."""
        return self.ban(id, False)

    def ban(self, id: str, banned: bool) -> list[str]:
        """Set or lift a ban and return once it is in force. After Busy it may still come into force."""
        reply: AsyncResult = AsyncResult()
        if not self.send_to_host_list(Ban(id, banned, reply)):
            raise Busy
        try:
            listed = reply.get(timeout=self.limits.ban_ms / 1000)
        except gevent.Timeout:
            raise Busy from None
        if not listed:
            raise UnknownServer(repr(id[:64]))
        return [f"done {id} is {'left out' if banned else 'as the list has it'}"]
