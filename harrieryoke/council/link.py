"""The ways from this member to the others: a connection to each, dialled when there is something to say."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ..core.actor import spawn
from ..log import Log
from ..wire.frames import WireError, encode
from .decide.lease import DutyHandover
from .decide.messages import Message, ReplicaId
from .handshake import LinkTold, Refusal, hang_up, read_welcome, say_hello
from .listen import Listener
from .wire.codec import MOST_FRAME, to_wire

__all__ = ["LinkTold", "Links"]

MOST_UNKNOWN = 64  # names without an address that are remembered


class Dialled:
    """To one member. A greenlet runs while there is a connection or something to say; the queue is bounded,
    and at the bound the oldest message is dropped as if lost. A message for a seat goes out only to that
    seat."""

    def __init__(self, me: ReplicaId, told: LinkTold, name: str, log: Log, seed: int) -> None:
        self.me, self.told, self.name, self.log = me, told, name, log
        self.rng = Random(f"{seed} {me.name} {name}")  # guards against all who dial one in step
        self.queue: deque[tuple[ReplicaId | None, bytes]] = deque()
        self.size = self.sent = self.dropped = 0
        self.filled, self.awake = Event(), Event()
        self.running = self.over = False
        self.sock: Any = None
        self.seat: ReplicaId | None = None  # who answers, while there is a connection
        self.cut = ""  # how the connection has ended, where it was not this side
        self.refused = self.lost = ""  # why there is none
        self.pause = told.pause_ms

    def put(self, to: ReplicaId | None, data: bytes) -> None:
        if self.over:
            return
        self.queue.append((to, data))
        self.size += len(data)
        while len(self.queue) > self.told.queue or self.size > self.told.queue_bytes:
            self.take()
            self.dropped += 1
        self.filled.set()
        if not self.running:
            self.running = True
            spawn(self.log, f"council link {self.name}", self.run, self.ended)

    def take(self) -> tuple[ReplicaId | None, bytes]:
        to, data = self.queue.popleft()
        self.size -= len(data)
        return to, data

    def ended(self) -> None:
        self.running = False

    def run(self) -> None:
        while self.queue and not self.over:
            wait = 0.0
            try:
                self.dial()
                self.speak()
            except Refusal as error:
                if str(error) != self.refused:
                    self.log("council-refused", f"{self.name} does not hear this member: {error}")
                self.refused, self.lost, wait = str(error), "", self.told.pause_most_ms
            except (OSError, WireError) as error:
                wait = self.broken(error)
            finally:
                self.hang_up()
            if wait and not self.over:
                self.rest(wait)

    def dial(self) -> None:
        where = self.told.members[self.name]
        with gevent.Timeout(self.told.dial_ms / 1000, TimeoutError("not reached in time")):
            # from the address that it listens at: the other side compares it with its members
            sock: Any = socket.create_connection(where, source_address=(self.told.listen[0], 0))
        self.sock, self.cut = sock, ""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # guards against a machine that went without a word: nobody confirms what is written to it
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self.told.write_ms))
        with gevent.Timeout(self.told.hello_ms / 1000, TimeoutError("no welcome in time")):
            sock.sendall(say_hello(self.me, self.told, self.name))
            self.seat = read_welcome(sock, self.name)
        if self.lost or self.refused:
            self.log("council-reached", f"{self.name} at {where[0]}:{where[1]}")
        self.refused = self.lost = ""
        self.pause = self.told.pause_ms
        spawn(self.log, f"council watch {self.name}", lambda: self.watch(sock))

    def watch(self, sock: Any) -> None:
        """Guards against a connection that ended while nothing was to be said: the next message would go
        into it."""
        try:
            cut = "it spoke where it only hears" if sock.recv(1) else "it closed the connection"
        except OSError as error:
            cut = str(error)
        if sock is self.sock:
            self.cut = cut
            self.filled.set()

    def speak(self) -> None:
        """Until there was nothing to say for long. Raises OSError where the connection ends."""
        since = time.monotonic()
        while not self.over:
            self.filled.clear()
            while self.queue and not self.cut:
                to, data = self.take()
                if to in (None, self.seat):
                    self.write(data)
                elif time.monotonic() - since > self.told.pause_most_ms / 1000:
                    # guards against the seat of before, whose machine went without a word: who is there now?
                    self.queue.appendleft((to, data))
                    self.size += len(data)
                    return
                else:
                    self.dropped += 1
            if self.cut:
                raise OSError(self.cut)
            if not self.filled.wait(self.told.idle_ms / 1000):
                return

    def write(self, data: bytes) -> None:
        try:
            with gevent.Timeout(self.told.write_ms / 1000, TimeoutError("it does not read")):
                self.sock.sendall(data)
        except OSError:
            self.dropped += 1
            raise
        self.sent += 1

    def broken(self, error: Exception) -> float:
        """Milliseconds to wait."""
        if self.over:
            return 0.0
        why = str(error)
        if self.seat is not None or why != self.lost:
            kind = "council-bad-frame" if isinstance(error, WireError) else "council-lost"
            self.log(kind, f"{self.name}: {why}")
        self.lost, self.refused = why, ""
        wait, self.pause = self.pause, min(self.told.pause_most_ms, 2 * self.pause)
        return wait

    def rest(self, wait_ms: float) -> None:
        """Not to the letter, so that nobody dials in step. Cut short when the other side has dialled."""
        self.awake.clear()
        if self.awake.wait(wait_ms * self.rng.uniform(0.5, 1.5) / 1000) and not self.over:
            self.awake.clear()
            self.awake.wait(self.told.pause_ms * self.rng.random() / 1000)

    def met(self) -> None:
        """It has dialled, so that it may be reached again."""
        if not self.refused:
            self.awake.set()

    def hang_up(self) -> None:
        sock, self.sock, self.seat = self.sock, None, None
        if sock is not None:
            hang_up(sock)

    def stop(self) -> None:
        self.over = True
        self.filled.set()
        self.awake.set()
        self.hang_up()

    def status(self) -> dict[str, object]:
        return {
            "connected": self.seat is not None,
            "queued": len(self.queue),
            "sent": self.sent,
            "dropped": self.dropped,
            "refused": self.refused,
            "lost": self.lost,
        }


class Links:
    """`hear` is called with the seat that speaks and what it says, in the greenlet of its connection: it must
    not block, and what it has no room for is lost. `seed` spreads the pauses between dials."""

    def __init__(
        self,
        me: ReplicaId,
        told: LinkTold,
        log: Log,
        seed: int,
        hear: Callable[[ReplicaId, Message | DutyHandover], object],
    ) -> None:
        self.me, self.told, self.log, self.seed = me, told, log, seed
        self.peers = {n: Dialled(me, told, n, log, seed) for n in told.members if n != me.name}
        self.listener = Listener(me, told, log, hear, self.met)
        self.unknown: set[str] = set()

    def start(self) -> None:
        """Listens from here on. Raises OSError where the address can't be had."""
        self.listener.start()

    def met(self, name: str) -> None:
        if name in self.peers:
            self.peers[name].met()

    def renew(self, members: dict[str, tuple[str, int]]) -> None:
        """Who may speak and be spoken to from here on. The connections of who has gone, or moved, end."""
        was, self.told = self.told.members, replace(self.told, members=members)
        self.listener.renew(self.told)
        for name in (was.keys() | members.keys()) - {self.me.name}:
            if was.get(name) == members.get(name):
                self.peers[name].told = self.told
                continue
            if name in self.peers:
                self.peers.pop(name).stop()
            if name in members:
                self.peers[name] = Dialled(self.me, self.told, name, self.log, self.seed)
        self.unknown -= members.keys()

    def send(self, to: ReplicaId | None, message: Message | DutyHandover) -> None:
        """Never blocks; what can't be sent is lost. None: to every member; who wants fewer uses `send_to`."""
        if to is None:
            self.put(self.peers, None, message)
        else:
            self.put((to.name,), to, message)

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None:
        """By name, whatever the disk. This member's own name is passed over."""
        self.put(names, None, message)

    def put(self, names: Iterable[str], to: ReplicaId | None, message: Message | DutyHandover) -> None:
        data = encode(to_wire(message))
        if len(data) > MOST_FRAME:
            return self.log("council-too-large", f"{type(message).__name__} of {len(data)} bytes is not sent")
        for name in names:
            if name in self.peers:
                self.peers[name].put(to, data)
            elif name != self.me.name and name not in self.unknown and len(self.unknown) < MOST_UNKNOWN:
                self.unknown.add(name)
                self.log(
                    "council-no-address", f"{name!r} is agreed to be a member and is not in members here"
                )

    def stop(self, timeout_s: float = 0.2) -> None:
        """What is queued for who is connected goes out, for so long; then all connections end."""
        with gevent.Timeout(timeout_s, False):
            while any(peer.queue and peer.seat is not None for peer in self.peers.values()):
                gevent.sleep(0.005)
        self.listener.stop()
        for peer in self.peers.values():
            peer.stop()

    def status(self) -> dict[str, object]:
        """By member: whether there is a connection to it and from it, and what became of messages."""
        heard = self.listener.heard
        return {name: peer.status() | {"heard": name in heard} for name, peer in self.peers.items()}
