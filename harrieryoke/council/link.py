"""Outgoing connections from this member to the others, each dialled when there is something to send."""

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
from .handshake import HandshakeRefusedError, LinkSettings, close_socket, encode_hello, read_welcome
from .listen import Listener
from .wire.codec import MAX_FRAME_BYTES, to_wire

__all__ = ["LinkSettings", "Links"]

MAX_UNKNOWN_NAMES = 64  # unknown names that have been logged


class PeerLink:
    """The outgoing connection to one member. Its greenlet runs while it is connected or has messages queued.
    The queue is bounded: beyond the bound the oldest message is dropped as if lost. A message for a replica
    is sent only to that replica.
    """

    def __init__(self, replica: ReplicaId, settings: LinkSettings, name: str, log: Log, seed: int) -> None:
        self.replica, self.settings, self.name, self.log = replica, settings, name, log
        # keeps members that dial the same one from retrying in step
        self.rng = Random(f"{seed} {replica.name} {name}")
        self.queue: deque[tuple[ReplicaId | None, bytes]] = deque()
        self.queued_bytes = self.sent = self.dropped = 0
        self.wake_sender, self.retry_now = Event(), Event()
        self.running = self.stopped = False
        self.sock: Any = None
        self.remote_replica: ReplicaId | None = None  # the connected replica
        self.close_reason = ""  # why the other side closed the connection, or ""
        self.refusal = self.failure = ""  # why there is no connection
        self.retry_ms = settings.retry_ms

    def enqueue(self, recipient: ReplicaId | None, data: bytes) -> None:
        if self.stopped:
            return
        self.queue.append((recipient, data))
        self.queued_bytes += len(data)
        while (
            len(self.queue) > self.settings.max_queued_messages
            or self.queued_bytes > self.settings.max_queued_bytes
        ):
            self.dequeue()
            self.dropped += 1
        self.wake_sender.set()
        if not self.running:
            self.running = True
            spawn(self.log, f"council link {self.name}", self.run, self.mark_ended)

    def dequeue(self) -> tuple[ReplicaId | None, bytes]:
        recipient, data = self.queue.popleft()
        self.queued_bytes -= len(data)
        return recipient, data

    def mark_ended(self) -> None:
        self.running = False

    def run(self) -> None:
        while self.queue and not self.stopped:
            wait_ms = 0.0
            try:
                self.connect()
                self.send_queued()
            except HandshakeRefusedError as error:
                if str(error) != self.refusal:
                    self.log("council-refused", f"{self.name} refused the connection: {error}")
                self.refusal, self.failure, wait_ms = str(error), "", self.settings.max_retry_ms
            except (OSError, WireError) as error:
                wait_ms = self.handle_failure(error)
            finally:
                self.disconnect()
            if wait_ms and not self.stopped:
                self.wait_for_retry(wait_ms)

    def connect(self) -> None:
        address = self.settings.members[self.name]
        with gevent.Timeout(self.settings.dial_ms / 1000, TimeoutError("connect timed out")):
            # Binds to this member's listen address: the other side checks that its `members` lists it.
            sock: Any = socket.create_connection(address, source_address=(self.settings.listen[0], 0))
        self.sock, self.close_reason = sock, ""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Detects a host that vanished without closing: written data is not acknowledged.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self.settings.write_ms))
        with gevent.Timeout(self.settings.hello_ms / 1000, TimeoutError("handshake timed out")):
            sock.sendall(encode_hello(self.replica, self.settings, self.name))
            self.remote_replica = read_welcome(sock, self.name)
        if self.failure or self.refusal:
            self.log("council-reached", f"{self.name} at {address[0]}:{address[1]}")
        self.refusal = self.failure = ""
        self.retry_ms = self.settings.retry_ms
        spawn(self.log, f"council watch {self.name}", lambda: self.watch_for_close(sock))

    def watch_for_close(self, sock: Any) -> None:
        """Detects a connection that ends while idle: the next message would otherwise be written into it."""
        try:
            close_reason = (
                "unexpected data from the peer" if sock.recv(1) else "the peer closed the connection"
            )
        except OSError as error:
            close_reason = str(error)
        if sock is self.sock:
            self.close_reason = close_reason
            self.wake_sender.set()

    def send_queued(self) -> None:
        """Returns after an idle period. Raises OSError if the connection ends."""
        started = time.monotonic()
        while not self.stopped:
            self.wake_sender.clear()
            while self.queue and not self.close_reason:
                recipient, data = self.dequeue()
                if recipient in (None, self.remote_replica):
                    self.send_frame(data)
                elif time.monotonic() - started > self.settings.max_retry_ms / 1000:
                    # The host of the previous replica may have vanished without closing: reconnects to find
                    # out which replica is there now.
                    self.queue.appendleft((recipient, data))
                    self.queued_bytes += len(data)
                    return
                else:
                    self.dropped += 1
            if self.close_reason:
                raise OSError(self.close_reason)
            if not self.wake_sender.wait(self.settings.idle_ms / 1000):
                return

    def send_frame(self, data: bytes) -> None:
        try:
            with gevent.Timeout(self.settings.write_ms / 1000, TimeoutError("write timed out")):
                self.sock.sendall(data)
        except OSError:
            self.dropped += 1
            raise
        self.sent += 1

    def handle_failure(self, error: Exception) -> float:
        """Returns the time to wait in milliseconds."""
        if self.stopped:
            return 0.0
        reason = str(error)
        if self.remote_replica is not None or reason != self.failure:
            kind = "council-bad-frame" if isinstance(error, WireError) else "council-lost"
            self.log(kind, f"{self.name}: {reason}")
        self.failure, self.refusal = reason, ""
        wait_ms, self.retry_ms = self.retry_ms, min(self.settings.max_retry_ms, 2 * self.retry_ms)
        return wait_ms

    def wait_for_retry(self, wait_ms: float) -> None:
        """Adds jitter so that members do not retry in step. Returns early when the peer has connected."""
        self.retry_now.clear()
        if self.retry_now.wait(wait_ms * self.rng.uniform(0.5, 1.5) / 1000) and not self.stopped:
            self.retry_now.clear()
            self.retry_now.wait(self.settings.retry_ms * self.rng.random() / 1000)

    def retry_soon(self) -> None:
        """The other side has connected, so it may be reachable again."""
        if not self.refusal:
            self.retry_now.set()

    def disconnect(self) -> None:
        sock, self.sock, self.remote_replica = self.sock, None, None
        if sock is not None:
            close_socket(sock)

    def stop(self) -> None:
        self.stopped = True
        self.wake_sender.set()
        self.retry_now.set()
        self.disconnect()

    def status(self) -> dict[str, object]:
        return {
            "connected": self.remote_replica is not None,
            "queued": len(self.queue),
            "sent": self.sent,
            "dropped": self.dropped,
            "refused": self.refusal,
            "lost": self.failure,
        }


class Links:
    """`on_message` is called with the sending replica and its message in the greenlet of the connection; it
    must not block, and drops what it has no room for. `seed` varies the retry delays.
    """

    def __init__(
        self,
        replica: ReplicaId,
        settings: LinkSettings,
        log: Log,
        seed: int,
        on_message: Callable[[ReplicaId, Message | DutyHandover], object],
    ) -> None:
        self.replica, self.settings, self.log, self.seed = replica, settings, log, seed
        self.peers = {
            n: PeerLink(replica, settings, n, log, seed) for n in settings.members if n != replica.name
        }
        self.listener = Listener(replica, settings, log, on_message, self.on_peer_connected)
        self.unknown_names: set[str] = set()

    def start(self) -> None:
        """Starts listening. Raises OSError if the address is not available."""
        self.listener.start()

    def on_peer_connected(self, name: str) -> None:
        if name in self.peers:
            self.peers[name].retry_soon()

    def update_members(self, members: dict[str, tuple[str, int]]) -> None:
        """Sets which members may connect and be connected to. Closes the connections of members that were
        removed or have moved.
        """
        old_members, self.settings = self.settings.members, replace(self.settings, members=members)
        self.listener.update_settings(self.settings)
        for name in (old_members.keys() | members.keys()) - {self.replica.name}:
            if old_members.get(name) == members.get(name):
                self.peers[name].settings = self.settings
                continue
            if name in self.peers:
                self.peers.pop(name).stop()
            if name in members:
                self.peers[name] = PeerLink(self.replica, self.settings, name, self.log, self.seed)
        self.unknown_names -= members.keys()

    def send(self, recipient: ReplicaId | None, message: Message | DutyHandover) -> None:
        """Never blocks; a message that cannot be sent is dropped. None sends to every member; see `send_to`
        for a subset.
        """
        if recipient is None:
            self.enqueue(self.peers, None, message)
        else:
            self.enqueue((recipient.name,), recipient, message)

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None:
        """Sends to members by name, whatever their disk ID. This member's own name is skipped."""
        self.enqueue(names, None, message)

    def enqueue(
        self, names: Iterable[str], recipient: ReplicaId | None, message: Message | DutyHandover
    ) -> None:
        data = encode(to_wire(message))
        if len(data) > MAX_FRAME_BYTES:
            return self.log(
                "council-too-large", f"{type(message).__name__} of {len(data)} bytes exceeds the frame limit"
            )
        for name in names:
            if name in self.peers:
                self.peers[name].enqueue(recipient, data)
            elif (
                name != self.replica.name
                and name not in self.unknown_names
                and len(self.unknown_names) < MAX_UNKNOWN_NAMES
            ):
                self.unknown_names.add(name)
                self.log("council-no-address", f"{name!r} is a member, but has no address in members here")

    def stop(self, timeout_s: float = 0.2) -> None:
        """Sends what is queued for connected members within the timeout, then closes all connections."""
        with gevent.Timeout(timeout_s, False):
            while any(peer.queue and peer.remote_replica is not None for peer in self.peers.values()):
                gevent.sleep(0.005)
        self.listener.stop()
        for peer in self.peers.values():
            peer.stop()

    def status(self) -> dict[str, object]:
        """By member: whether it is connected in either direction, and the message counts."""
        heard = self.listener.welcomed
        return {name: peer.status() | {"heard": name in heard} for name, peer in self.peers.items()}
