"""The platform's front: listens for clients and keeps their connections, an actor for each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent import socket
from gevent.event import Event

from ..core.actor import Actor, spawn
from ..core.calls import CallMaker
from ..core.clock import now_ms
from ..core.local_errors import Pauses, retry_local
from ..core.module import ModuleActor
from ..core.pauses import PauseWatch
from ..limits import Limits
from ..log import Log
from .client import ClientActor, CloseIfIdle, TransferWhenIdle
from .listening import wait_for_listener

BACKLOG = 512  # connections that the machine accepts ahead of the listener


@dataclass(slots=True)
class ConnectionAccepted:
    """A connection; `asked` where another process has served it before."""

    sock: socket.socket
    name: str
    asked: bool = False


@dataclass(slots=True)
class ClientClosed:
    client: ClientActor


@dataclass(frozen=True, slots=True)
class AcceptorEnded:
    """The listener's greenlet for this descriptor accepts no more."""

    entry: socket.socket


class StopListening:
    """No new connections from here; those there are go once nothing is open on them."""


@dataclass(slots=True)
class TransferClients:
    """Another process accepts now; clients that are here go there through `to`, as they become idle."""

    to: Callable[[socket.socket, str], object]


class CloseIdleClient:
    """Newcomers wait for a client to leave."""


class ResumeAccepting:
    """The other process has ended: clients are accepted here again."""


def prepare_connection(sock: socket.socket, peer: tuple[str, int], log: Log) -> ConnectionAccepted | None:
    """A connection ready for its actor; None where it was reset before it was looked at."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        log("accept-failed", str(error))
        sock.close()
        return None
    return ConnectionAccepted(sock, f"{peer[0]}:{peer[1]}")


class PlatformFront(Actor):
    """Listens on the one address it was told, keeps the client connections, and stops in order."""

    def __init__(
        self, where: tuple[str, int], maker: CallMaker, core: ModuleActor, limits: Limits, log: Log
    ) -> None:
        super().__init__("platform front", limits.client_mailbox, log)
        self.where, self.maker, self.core, self.limits = where, maker, core, limits
        self.clients: dict[ClientActor, bool] = {}  # whether it was told to leave
        self.few, self.most = limits.sockets // 2, limits.sockets * 2 // 3  # usual clients hold a third
        self.stopping, self.empty = False, Event()
        self.room = Event()  # a client has gone
        self.listeners = 0  # greenlets that accept, or have accepted and still hold a connection
        self.yielded: TransferWhenIdle | None = None
        self.listening: socket.socket | None = None
        self.pauses = PauseWatch(now_ms(), limits.sweep_ms, log)

    def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Accepts on the listening socket that another process handed over, or on one of its own, which
        others may be `shared` with where that handing over can fail. Raises OSError."""
        if listening is None:
            listening = wait_for_listener(self.where, BACKLOG, self.limits, self.log, shared)
        self.listening = listening
        self.pauses.restart(now_ms())
        super().start()
        self.open()

    def open(self) -> None:
        """A descriptor of its own to accept on: while others accept, the listening socket is kept. Raises
        OSError."""
        assert self.listening is not None, "open comes after start"
        self.entry = entry = retry_local("listen", self.listening.dup, self.limits.start_ms, self.log)
        self.listeners += 1
        spawn(
            self.log, "listener", lambda: self.accept(entry), lambda: self.blocking_send(AcceptorEnded(entry))
        )

    def accept(self, entry: socket.socket) -> None:
        """The listener's greenlet, until its descriptor is closed."""
        pauses = Pauses()
        while not self.finished:
            self.wait_for_room(entry)
            try:
                sock, peer = entry.accept()
            except OSError as error:
                if entry.fileno() < 0:
                    return
                # where descriptors have run out, the listener waits and goes on
                self.log("accept-failed", str(error))
                pauses.wait()
                continue
            pauses.reset()
            if (accepted := prepare_connection(sock, peer, self.log)) is not None:
                self.blocking_send(accepted)

    def wait_for_room(self, entry: socket.socket) -> None:
        """Newcomers wait in the backlog while clients hold all that they may and some of them are about to
        leave. Where all are busy nobody waits: a newcomer is turned away at once, as it may try elsewhere."""
        while entry.fileno() >= 0 and self.is_full() and self.may_leave():
            self.room.clear()
            self.try_send(CloseIdleClient())
            self.room.wait(self.limits.client_fresh_ms / 1000)

    def is_full(self) -> bool:
        """With those on their way through the mailbox."""
        return len(self.clients) + sum(isinstance(m, ConnectionAccepted) for m in self.mailbox) >= self.most

    def may_leave(self) -> bool:
        """Whether some client has nothing open and is not within a line."""
        now = now_ms()
        return any(c.quiet(now) is not None and not c.partial for c in self.clients)

    def run(self) -> None:
        swept = now_ms()
        while not self.finished:
            self.wait_for_message(self.limits.sweep_ms)
            self.process_mailbox()
            now = now_ms()
            self.pauses.wake(now)
            if now - swept >= self.limits.sweep_ms:
                swept = now
                # after a pause of this process, all idle clients look stale at once, and would be closed with
                # a request of theirs on its way
                for client in [c for c in self.clients if c.stale(now, self.pauses.resumed)]:
                    self.log("client-closed", f"{client.client}: it was silent for too long")
                    self.clients[client] = client.close_stale()
                self.send_away()

    def send_away(self) -> None:
        """To the process that has taken over, if one has: whoever is here and was not told so yet."""
        if self.yielded is not None:
            for client in [c for c, leaves in self.clients.items() if not leaves]:
                self.clients[client] = client.try_send(self.yielded)

    def dismiss(self, client: ClientActor, reason: str) -> None:
        """Have the connection closed once nothing is open on it."""
        self.log("client-closed", f"{client.client}: {reason}")
        self.clients[client] = client.try_send(CloseIfIdle())

    def receive(self, message: Any) -> None:
        match message:
            case ConnectionAccepted(sock, name, asked):
                self.accepted(sock, name, asked)
            case ClientClosed(client):
                self.clients.pop(client, None)
                self.room.set()
            case CloseIdleClient():
                self.make_room()
            case TransferClients(to) if not self.stopping:
                self.yielded = TransferWhenIdle(to)
                self.entry.close()
                self.send_away()
            case ResumeAccepting() if self.yielded is not None and not self.stopping:
                self.yielded = None
                self.open()
            case AcceptorEnded(entry):
                self.listeners -= 1
                # a front that accepts nobody, and was not told so, ends: the service sees that
                self.finished = entry.fileno() >= 0
            case StopListening():
                self.stop_listening()
        if self.stopping and not (self.clients or self.mailbox or self.listeners):
            self.empty.set()

    def stop_listening(self) -> None:
        self.stopping = True
        if self.yielded is None:
            self.take_backlog()
        self.entry.close()
        if self.listening is not None:
            self.listening.close()
        self.send_away()
        for client in [c for c, leaves in self.clients.items() if not leaves]:
            self.dismiss(client, "the process stops")

    def take_backlog(self) -> None:
        """Connections that the machine has accepted and nobody has taken: the close would reset them. Where
        none can be taken at the moment they are waited for."""
        if self.listening is None:
            return
        self.listening.settimeout(0)
        give_up_at, pauses = now_ms() + self.limits.stop_accepting_ms, Pauses()
        for _ in range(BACKLOG):
            try:
                sock, peer = self.listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.log("accept-failed", str(error))
                if now_ms() >= give_up_at:
                    return
                pauses.wait()
                continue
            pauses.reset()
            if (accepted := prepare_connection(sock, peer, self.log)) is not None:
                self.accepted(accepted.sock, accepted.name, accepted.asked)

    def accepted(self, sock: socket.socket, name: str, asked: bool) -> None:
        if len(self.clients) - sum(self.clients.values()) >= self.few:
            self.make_room()
        if len(self.clients) >= self.most:
            self.log("too-many-clients", f"{len(self.clients)} connections are open")
            sock.close()
            return
        client = ClientActor(
            sock,
            name,
            self.maker,
            self.core,
            self.limits,
            self.log,
            lambda c: self.blocking_send(ClientClosed(c)),
            self.pauses,
        )
        self.clients[client], client.asked = False, asked
        client.start()
        if self.stopping:
            self.dismiss(client, "the process stops")

    def make_room(self) -> None:
        """The client that has been quiet longest leaves, unless it is within a line: a newcomer most likely
        is there to ask. So the usual clients find room beside others that ask once, or never, and keep their
        connections."""
        now = now_ms()
        staying = [c for c, leaves in self.clients.items() if not leaves and not c.partial]
        quiet = {c: q for c in staying if (q := c.quiet(now)) is not None}
        if quiet and max(quiet.values()) > self.limits.client_fresh_ms:
            self.dismiss(max(quiet, key=quiet.__getitem__), "a newcomer needs room")
