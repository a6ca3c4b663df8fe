"""Incoming connections from other members; a connection carries messages in one direction only."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket

from ..core.actor import spawn
from ..log import Log
from ..wire.frames import Decoder, WireError, encode
from .decide.lease import DutyHandover
from .decide.messages import Message, ReplicaId
from .handshake import LinkSettings, close_socket, encode_welcome, read_hello, refusal_reason
from .wire.codec import MAX_FRAME_BYTES, from_wire, pb, read_replica

RECEIVE_BYTES = 64 << 10
MAX_REMEMBERED_REFUSALS = 256  # by host and name; beyond them the oldest is forgotten, to be logged anew


@dataclass(slots=True, eq=False)
class IncomingConnection:
    """`last_received` is by the monotonic clock, in seconds. `replica` is set after the handshake."""

    sock: Any
    host: str
    last_received: float = field(default_factory=time.monotonic)
    replica: ReplicaId | None = None


class Listener:
    """Runs a greenlet per connection. The number of connections is bounded: beyond it the oldest one that
    waits for its handshake is closed, or the new one if there is none.
    """

    def __init__(
        self,
        replica: ReplicaId,
        settings: LinkSettings,
        log: Log,
        on_message: Callable[[ReplicaId, Message | DutyHandover], object],
        on_welcome: Callable[[str], object],
    ) -> None:
        """`on_welcome` is called with the name of each member that was accepted."""
        self.replica, self.settings, self.log, self.on_message, self.on_welcome = (
            replica,
            settings,
            log,
            on_message,
            on_welcome,
        )
        self.connections: dict[IncomingConnection, bool] = {}
        self.welcomed: dict[str, IncomingConnection] = {}  # accepted connections by name
        self.refusals: OrderedDict[tuple[str, str], str] = OrderedDict()  # reason by host and name
        self.server_socket: Any = None

    def start(self) -> None:
        """Raises OSError if the address is not available."""
        self.server_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.server_socket.bind(self.settings.listen)
            self.server_socket.listen(256)
        except OSError:
            self.server_socket.close()
            raise
        spawn(self.log, "council listener", self.accept_connections)

    def update_settings(self, settings: LinkSettings) -> None:
        """Closes the connections of changed members, which have to pass the handshake again."""
        old_members, self.settings = self.settings.members, settings
        for connection in list(self.connections):
            if connection.replica is not None and old_members.get(
                connection.replica.name
            ) != settings.members.get(connection.replica.name):
                close_socket(connection.sock)

    def stop(self) -> None:
        if self.server_socket is not None:
            server_socket, self.server_socket = self.server_socket, None
            server_socket.close()
        for connection in list(self.connections):
            close_socket(connection.sock)

    def accept_connections(self) -> None:
        while self.server_socket is not None:
            try:
                sock, (host, _) = self.server_socket.accept()
            except OSError as error:
                if self.server_socket is None:
                    return
                # Out of file descriptors, for example: the listener waits and continues.
                self.log("accept-failed", f"council: {error}")
                gevent.sleep(0.05)
                continue
            if len(self.connections) >= self.settings.incoming_limit() and not self.evict_waiting():
                sock.close()
                continue
            connection = IncomingConnection(sock, host)
            self.connections[connection] = True
            spawn(
                self.log,
                "council connection",
                lambda connection=connection: self.serve_connection(connection),  # type: ignore[misc]
            )

    def evict_waiting(self) -> bool:
        waiting = next((connection for connection in self.connections if connection.replica is None), None)
        if waiting is not None:
            del self.connections[waiting]
            close_socket(waiting.sock)
        return waiting is not None

    def serve_connection(self, connection: IncomingConnection) -> None:
        """Runs in the connection's greenlet."""
        try:
            # Frees the slot of a peer that sends nothing, or does not close.
            with gevent.Timeout(self.settings.hello_ms / 1000, TimeoutError):
                replica = self.handshake(connection)
            if replica is not None:
                self.read_messages(connection, replica)
        except WireError as error:
            peer = (
                connection.host
                if connection.replica is None
                else f"{connection.replica.name} at {connection.host}"
            )
            self.log("council-bad-frame", f"{peer}: {error}")
        except OSError:
            pass  # the connection ended or was idle; the dialling side reports it
        finally:
            self.connections.pop(connection, None)
            if connection.replica is not None and self.welcomed.get(connection.replica.name) is connection:
                del self.welcomed[connection.replica.name]
            close_socket(connection.sock)

    def handshake(self, connection: IncomingConnection) -> ReplicaId | None:
        hello = read_hello(connection.sock)
        name = hello.seat.name
        reason = refusal_reason(self.replica, self.settings, hello, connection.host) or self.name_conflict(
            hello
        )
        if reason:
            self.log_refusal((connection.host, name[:64]), reason)
            connection.sock.sendall(encode(pb.Frame(refused=pb.Refused(why=reason))))
            connection.sock.shutdown(socket.SHUT_WR)
            # Reads to the end before closing: unread data would cause a reset, which discards the answer.
            while connection.sock.recv(4096):
                pass
            return None
        self.refusals.pop((connection.host, name), None)
        previous, connection.replica = self.welcomed.get(name), read_replica("hello.seat", hello.seat)
        self.welcomed[name] = connection
        if previous is not None:
            close_socket(previous.sock)
        connection.sock.sendall(encode_welcome(self.replica, hello))
        self.on_welcome(name)
        return connection.replica

    def name_conflict(self, hello: pb.Hello) -> str:
        """Rejects a second process under a member's name until the first one is silent."""
        previous = self.welcomed.get(hello.seat.name)
        if previous is None or previous.replica is None or previous.replica.disk_id == hello.seat.disk:
            return ""
        if time.monotonic() - previous.last_received > self.settings.silent_ms / 1000:
            return ""
        return f"{hello.seat.name!r} is already connected with another disk ({previous.replica.disk_id:x})"

    def log_refusal(self, key: tuple[str, str], reason: str) -> None:
        if self.refusals.get(key) != reason:
            self.log("council-refused", f"{key[1]!r} from {key[0]} was refused: {reason}")
        self.refusals[key] = reason
        self.refusals.move_to_end(key)
        if len(self.refusals) > MAX_REMEMBERED_REFUSALS:
            self.refusals.popitem(last=False)

    def read_messages(self, connection: IncomingConnection, replica: ReplicaId) -> None:
        decoder = Decoder(pb.Frame, MAX_FRAME_BYTES)
        while True:
            wait_ms = self.settings.write_ms if decoder.buffer else self.settings.idle_ms
            connection.sock.settimeout(2 * wait_ms / 1000)
            try:
                data = connection.sock.recv(RECEIVE_BYTES)
            except TimeoutError:
                if decoder.buffer:
                    raise WireError(f"timed out after {len(decoder.buffer)} bytes of a frame") from None
                raise
            if not data:
                return
            connection.last_received = time.monotonic()
            for frame in decoder.feed(data):
                self.on_message(replica, from_wire(frame))
            if len(data) == RECEIVE_BYTES:
                gevent.sleep(0)  # yields to others: this peer always has more to read
