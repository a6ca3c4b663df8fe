"""The platform's front: listens for clients and keeps their connections, an actor for each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ..core.actor import Actor, now_ms, spawn
from ..core.calls import CallMaker
from ..core.module import ModuleActor
from ..limits import Limits
from ..log import Log
from .client import ClientActor, CloseIfIdle, PassOn


@dataclass(slots=True)
class Accepted:
    """A connection; `asked` where another process has served it before."""

    sock: socket.socket
    name: str
    asked: bool = False


@dataclass(slots=True)
class Gone:
    client: ClientActor


class StopListening:
    """No new connections from here; those there are go once nothing is open on them."""


@dataclass(slots=True)
class Yield:
    """Another process accepts now; clients that are here go there through `to`, as they become idle."""

    to: Callable[[socket.socket, str], object]


class Resume:
    """The other process has ended: clients are accepted here again."""


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
        self.yielded: PassOn | None = None
        self.listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Accepts on the listening socket that another process handed over, or on one of its own, which
        others may be `shared` with where that handing over can fail. Raises OSError."""
        if listening is not None:
            self.listening.close()
            self.listening = listening
        else:
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.listening.bind(self.where)
            self.listening.listen(512)
        super().start()
        self.open()

    def open(self) -> None:
        """A descriptor of its own to accept on: while others accept, the listening socket is kept."""
        self.entry = self.listening.dup()
        spawn(self.log, "listener", lambda: self.accept(self.entry))

    def accept(self, entry: socket.socket) -> None:
        """The listener's greenlet, until its descriptor is closed."""
        while not self.over:
            try:
                sock, peer = entry.accept()
            except OSError as error:
                if entry.fileno() < 0:
                    return
                # guards against running out of descriptors: the listener waits and goes on
                self.log("accept-failed", str(error))
                gevent.sleep(0.05)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.push(Accepted(sock, f"{peer[0]}:{peer[1]}"))

    def run(self) -> None:
        swept = stepped = now_ms()
        while not self.over:
            self.wait(self.limits.sweep_ms)
            self.work()
            now = now_ms()
            if not 0 <= now - swept < self.limits.sweep_ms:
                # guards against a clock that steps ahead: all idle clients looked stale at once, and were
                # closed with a request of theirs on its way
                stepped = stepped if 0 <= now - swept < 4 * self.limits.sweep_ms else now
                swept = now
                for client in [c for c in self.clients if c.stale(now, stepped)]:
                    self.dismiss(client)
                self.send_away()

    def send_away(self) -> None:
        """To the process that has taken over, if one has: whoever is here and was not told so yet."""
        if self.yielded is not None:
            for client in [c for c, leaves in self.clients.items() if not leaves]:
                self.clients[client] = client.tell(self.yielded)

    def dismiss(self, client: ClientActor) -> None:
        self.clients[client] = client.tell(CloseIfIdle())

    def receive(self, message: Any) -> None:
        match message:
            case Accepted(sock, name, asked):
                self.accepted(sock, name, asked)
            case Gone(client):
                self.clients.pop(client, None)
            case Yield(to) if not self.stopping:
                self.yielded = PassOn(to)
                self.entry.close()
                self.send_away()
            case Resume() if self.yielded is not None and not self.stopping:
                self.yielded = None
                self.open()
            case StopListening():
                self.stopping = True
                self.entry.close()
                self.listening.close()
                self.send_away()
                for client in [c for c, leaves in self.clients.items() if not leaves]:
                    self.dismiss(client)
        if self.stopping and not self.clients:
            self.empty.set()

    def accepted(self, sock: socket.socket, name: str, asked: bool) -> None:
        if len(self.clients) - sum(self.clients.values()) >= self.few:
            self.make_room()
        if len(self.clients) >= self.most:
            self.log("too-many-clients", f"{len(self.clients)} connections are open")
            sock.close()
            return
        client = ClientActor(
            sock, name, self.maker, self.core, self.limits, self.log, lambda c: self.push(Gone(c))
        )
        self.clients[client], client.asked = False, asked
        client.start()
        if self.stopping:
            self.dismiss(client)

    def make_room(self) -> None:
        """The one that has been quiet longest leaves: a newcomer most likely is there to ask. Guards the
        usual clients against others that ask once, or never, and keep their connections."""
        now = now_ms()
        quiet = {c: q for c, leaves in self.clients.items() if not leaves and (q := c.quiet(now)) is not None}
        if quiet and max(quiet.values()) > self.limits.client_fresh_ms:
            self.dismiss(max(quiet, key=quiet.__getitem__))
