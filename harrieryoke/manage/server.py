"""The operators' listener: a connection carries one line, gets one answer, and is closed."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from ..core.actor import now_ms, spawn
from ..core.metrics import Metrics
from ..errors import Busy, CallTooLong, NotReady, OperatorError, UnfinishedCall, UnknownServer
from ..limits import Limits
from ..log import Log
from ..net.hostlist import Ban
from .commands import COMMANDS, read_call, tell_figures


class Caller(msgspec.Struct, eq=False):
    """One connection. `heard` is when something last came from it. It is `idle` while the rest of its line,
    or its leaving, is waited for."""

    sock: socket.socket
    heard: float = msgspec.field(default_factory=now_ms)
    idle: bool = False


class Management:
    """Each caller has a greenlet of its own and none waits for another, so that silent callers cost the
    others nothing. Callers are bounded in number and in time."""

    def __init__(
        self,
        where: tuple[str, int],
        figures: Metrics,
        serves: Callable[[], bool],
        tell_list: Callable[[Ban], bool],
        limits: Limits,
        log: Log,
    ) -> None:
        self.where, self.figures, self.serves, self.limits, self.log = where, figures, serves, limits, log
        self.tell_list = tell_list
        self.callers: dict[Caller, bool] = {}
        self.doers: dict[str, Callable[..., list[str]]] = {
            "help": self.help,
            "ready": self.ready,
            "show-stat": self.show_stat,
            "disable-server": self.disable,
            "enable-server": self.enable,
        }

    def start(self) -> None:
        """Listens from here on. Raises OSError where the address can't be had."""
        # guards against create_server, which makes a socket that blocks the whole process
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self.where)
        listening.listen(128)
        self.figures.watched = True
        spawn(self.log, "management listener", lambda: self.accept(listening))

    def accept(self, listening: socket.socket) -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except OSError as error:
                # guards against running out of descriptors: the listener waits and goes on
                self.log("accept-failed", f"management: {error}")
                gevent.sleep(0.05)
                continue
            if len(self.callers) >= self.limits.management_callers:
                self.make_room()
            caller = Caller(sock)
            self.callers[caller] = True
            spawn(self.log, "management caller", lambda caller=caller: self.serve(caller))  # type: ignore[misc]

    def make_room(self) -> None:
        """The one that has said nothing for longest goes. Those whose call is being done are done soon."""
        if not any(c.idle for c in self.callers):
            # guards against closing a caller whose line has come along: all are heard first. Not for each new
            # one: a busy process takes 15 ms for it, and who stands behind eighty of them would wait a second
            gevent.sleep(0)
        if idle := [c for c in self.callers if c.idle]:
            silent = min(idle, key=lambda c: c.heard)
            del self.callers[silent]
            silent.sock.close()

    def serve(self, caller: Caller) -> None:
        """One caller's greenlet."""
        try:
            # guards the descriptors against callers that say nothing, or do not read, or do not close
            with gevent.Timeout(self.limits.management_ms / 1000, TimeoutError), caller.sock as sock:
                sock.sendall(self.answer(caller))
                caller.idle = True
                sock.shutdown(socket.SHUT_WR)
                # guards against a reset, which would take the answer along: what else came is read
                while sock.recv(4096):
                    pass
        except OSError:
            pass  # it left, or its time is over, or another needed the room
        finally:
            self.callers.pop(caller, None)

    def answer(self, caller: Caller) -> bytes:
        try:
            command, arguments = read_call(self.line(caller))
            lines = self.doers[command.name](*arguments)
        except OperatorError as error:
            lines = [f"error {error}"]
        return "".join(f"{line}\n" for line in lines).encode()

    def line(self, caller: Caller) -> bytes:
        """Its one line, without the line feed."""
        data, most = b"", self.limits.management_line_bytes
        caller.idle = True
        while b"\n" not in data:
            if len(data) > most:
                raise CallTooLong(f"more than {most} bytes")
            more = caller.sock.recv(most + 1 - len(data))
            if not more:
                raise UnfinishedCall
            data, caller.heard = data + more, now_ms()
        caller.idle = False
        return data.partition(b"\n")[0]

    # --- the calls ---

    def help(self) -> list[str]:
        return ["done " + ", ".join(c.usage() for c in COMMANDS.values())]

    def ready(self) -> list[str]:
        if not self.serves():
            raise NotReady
        return ["done ready"]

    def show_stat(self) -> list[str]:
        return [*tell_figures(self.figures), "end"]

    def disable(self, id: str) -> list[str]:
        return self.ban(id, True)

    def enable(self, id: str) -> list[str]:
        return self.ban(id, False)

    def ban(self, id: str, on: bool) -> list[str]:
        """The yes is said once it binds. What the list's actor has no time for may come to bind later."""
        told: AsyncResult = AsyncResult()
        if not self.tell_list(Ban(id, on, told)):
            raise Busy
        try:
            listed = told.get(timeout=self.limits.ban_ms / 1000)
        except gevent.Timeout:
            raise Busy from None
        if not listed:
            raise UnknownServer(repr(id[:64]))
        return [f"done {id} is {'left out' if on else 'as the list has it'}"]
