"""A loopback MQTT broker for one session, versions 3.1.1 and 5: QoS 1 and receive maximum.

A second connection takes the session over: the first one is told so (in version 5) and closed.
"""

from __future__ import annotations

import selectors
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field

CONNECT, CONNACK, PUBLISH, PUBACK, SUBSCRIBE, SUBACK = 1, 2, 3, 4, 8, 9
PINGREQ, PINGRESP, DISCONNECT = 12, 13, 14
SESSION_TAKEN_OVER = 0x8E
# property identifiers
EXPIRY, RESPONSE, CORRELATION, SESSION_EXPIRY, RECEIVE_MAX, USER = 0x02, 0x08, 0x09, 0x11, 0x21, 0x26
PROPERTY_SIZES = {  # of fixed size
    0x01: 1,
    EXPIRY: 4,
    SESSION_EXPIRY: 4,
    0x13: 2,
    0x17: 1,
    0x19: 1,
    RECEIVE_MAX: 2,
    0x22: 2,
    0x23: 2,
    0x24: 1,
    0x25: 1,
    0x27: 4,
    0x28: 1,
    0x29: 1,
    0x2A: 1,
}


def text(value: str | bytes) -> bytes:
    raw = value.encode() if isinstance(value, str) else value
    return struct.pack(">H", len(raw)) + raw


def length(value: int) -> bytes:
    out = bytearray()
    while True:
        value, low = divmod(value, 128)
        out.append(low | (128 if value else 0))
        if not value:
            return bytes(out)


def packet(kind: int, flags: int, body: bytes) -> bytes:
    return bytes([kind << 4 | flags]) + length(len(body)) + body


class PacketReader:
    """Reads values from the start of a packet."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def take(self, size: int) -> bytes:
        self.position += size
        return self.data[self.position - size : self.position]

    def number(self, size: int) -> int:
        return int.from_bytes(self.take(size))

    def text(self) -> bytes:
        return self.take(self.number(2))

    def varint(self) -> int:
        value = shift = 0
        while True:
            byte = self.number(1)
            value |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return value

    def properties(self) -> dict[int, bytes]:
        end, found = self.varint(), {}
        end += self.position
        while self.position < end:
            name = self.varint()
            if name == USER:
                self.text(), self.text()
            elif name == 0x0B:
                self.varint()
            else:
                found[name] = self.take(PROPERTY_SIZES[name]) if name in PROPERTY_SIZES else self.text()
        return found


@dataclass
class Publication:
    """A message to the subscriber, or one that it published."""

    topic: str
    payload: bytes
    response: str | None = None
    correlation: bytes | None = None
    expiry: int | None = None
    user: dict[str, str] = field(default_factory=dict)
    retain: bool = False


class Broker:
    """Single-threaded: `step` does what is possible without blocking. The session outlives connections."""

    def __init__(self, version: str = "5") -> None:
        self.v5, self.listening = version == "5", socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.conn: socket.socket | None = None
        self.received, self.subscribed, self.known = bytearray(), False, False  # known: a session exists
        self.receive_maximum, self.mid = 20, 0
        self.queue: deque[Publication] = deque()
        self.unacked: dict[int, Publication] = {}
        self.answers: list[Publication] = []
        self.acked = self.delivered = self.redelivered = self.most_unacked = 0
        self.seen_mids: set[int] = set()
        self.connections = self.taken_over = 0
        self.closed_in_order = False

    def address(self) -> str:
        return "{}:{}".format(*self.listening.getsockname())

    def sockets(self) -> list[socket.socket]:
        return [self.listening] if self.conn is None else [self.listening, self.conn]

    def drop(self) -> None:
        """Close the connection without a DISCONNECT and keep the session."""
        if self.conn is not None:
            self.conn.close()
        self.conn, self.subscribed = None, False
        self.received.clear()

    def lose(self, publication: Publication) -> None:
        """Lose the connection, and with it a new message that has the identifier of the last one."""
        assert self.mid not in self.unacked, "the last message has to be acknowledged before"
        self.unacked[self.mid] = publication
        self.delivered += 1
        self.drop()

    def step(self) -> None:
        newest = self.accept()
        self.read()  # also what the connection before sent ahead of a new one
        if newest is not None:
            self.connect(newest)
        if self.conn is not None:
            self.deliver()

    def accept(self) -> socket.socket | None:
        try:
            return self.listening.accept()[0]
        except BlockingIOError:
            return None

    def connect(self, newest: socket.socket) -> None:
        """Serve a new connection; it takes the session from one that is still open."""
        if self.conn is not None:
            self.taken_over += 1
            if self.v5:
                self.send(packet(DISCONNECT, 0, bytes([SESSION_TAKEN_OVER, 0])))
            self.drop()
        self.conn = newest
        self.connections += 1

    def read(self) -> None:
        """Handle the packets that have come."""
        if self.conn is None:
            return
        self.conn.settimeout(0)
        ended = True
        try:
            while data := self.conn.recv(65536):
                self.received += data
        except BlockingIOError:
            ended = False
        except OSError:
            return self.drop()
        while self.conn is not None and (found := self.next_packet()):
            self.handle(*found)
        if ended:
            self.drop()

    def next_packet(self) -> tuple[int, int, bytes] | None:
        reader = PacketReader(bytes(self.received[:5]))
        if all(byte >= 128 for byte in self.received[1:5]):
            return None  # the length is not complete
        first = reader.number(1)
        size = reader.varint()
        if len(self.received) < reader.position + size:
            return None
        body = bytes(self.received[reader.position : reader.position + size])
        del self.received[: reader.position + size]
        return first >> 4, first & 15, body

    def send(self, data: bytes) -> None:
        if self.conn is not None:
            self.conn.settimeout(20)
            try:
                self.conn.sendall(data)
            except OSError:
                self.drop()

    def handle(self, kind: int, flags: int, body: bytes) -> None:
        reader = PacketReader(body)
        if kind == CONNECT:
            reader.text()
            assert reader.number(1) == (5 if self.v5 else 4)
            clean = bool(reader.number(1) & 2)
            reader.number(2)
            properties = reader.properties() if self.v5 else {}
            self.receive_maximum = int.from_bytes(properties.get(RECEIVE_MAX, b"\x00\x14"))
            assert not clean, "the session must outlive the connection"
            assert not self.v5 or int.from_bytes(properties[SESSION_EXPIRY]) > 0
            self.send(packet(CONNACK, 0, bytes([int(self.known), 0]) + (b"\x00" if self.v5 else b"")))
            self.known = True
        elif kind == SUBSCRIBE:
            mid = reader.take(2)
            if self.v5:
                reader.properties()
            count = 0
            while reader.position < len(body):
                reader.text()
                assert reader.number(1) & 3 == 1
                count += 1
            self.send(packet(SUBACK, 0, mid + (b"\x00" if self.v5 else b"") + b"\x01" * count))
            self.subscribed = True
            for message_id, message in self.unacked.items():
                self.redelivered += 1
                self.send(self.encode(message, message_id, dup=True))
        elif kind == PUBACK:
            message_id = reader.number(2)
            assert message_id in self.unacked, "acknowledged a message that was not in flight"
            del self.unacked[message_id]
            self.acked += 1
        elif kind == PUBLISH:
            topic = reader.text().decode()
            message_id = reader.number(2)
            properties = reader.properties() if self.v5 else {}
            if not (flags & 8 and message_id in self.seen_mids):
                self.answers.append(
                    Publication(topic, body[reader.position :], correlation=properties.get(CORRELATION))
                )
            self.seen_mids.add(message_id)
            self.send(packet(PUBACK, 0, struct.pack(">H", message_id)))
        elif kind == PINGREQ:
            self.send(packet(PINGRESP, 0, b""))
        elif kind == DISCONNECT:
            self.closed_in_order = True
            self.drop()

    def encode(self, m: Publication, mid: int, dup: bool) -> bytes:
        properties = b""
        if self.v5:
            if m.expiry is not None:
                properties += bytes([EXPIRY]) + struct.pack(">I", m.expiry)
            if m.response is not None:
                properties += bytes([RESPONSE]) + text(m.response)
            if m.correlation is not None:
                properties += bytes([CORRELATION]) + text(m.correlation)
            for name, value in m.user.items():
                properties += bytes([USER]) + text(name) + text(value)
            properties = length(len(properties)) + properties
        body = text(m.topic) + struct.pack(">H", mid) + properties + m.payload
        return packet(PUBLISH, 2 | 8 * dup | int(m.retain), body)

    def deliver(self) -> None:
        """Deliver as many messages as the subscriber's receive maximum allows."""
        while self.subscribed and self.queue and len(self.unacked) < self.receive_maximum:
            self.mid = self.mid % 65535 + 1
            while self.mid in self.unacked:
                self.mid = self.mid % 65535 + 1
            self.unacked[self.mid] = m = self.queue.popleft()
            self.delivered += 1
            self.most_unacked = max(self.most_unacked, len(self.unacked))
            self.send(self.encode(m, self.mid, dup=False))


def until(done: object, *parts: object, seconds: float = 20.0) -> None:
    """Step the parts until `done()`, and wait on their sockets in between."""
    end = time.monotonic() + seconds
    while not done():  # type: ignore[operator]
        assert time.monotonic() < end, "condition not met in time"
        for part in parts:
            part.step()  # type: ignore[attr-defined]
        with selectors.DefaultSelector() as waiting:
            for part in parts:
                for sock in part.sockets():  # type: ignore[attr-defined]
                    waiting.register(sock, selectors.EVENT_READ)
            waiting.select(0.05)
