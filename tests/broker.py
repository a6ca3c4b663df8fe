"""A loopback MQTT broker as far as one subscriber needs it: sessions, QoS 1, receive maximum; 3.1.1 and 5."""

from __future__ import annotations

import selectors
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field

CONNECT, CONNACK, PUBLISH, PUBACK, SUBSCRIBE, SUBACK = 1, 2, 3, 4, 8, 9
PINGREQ, PINGRESP, DISCONNECT = 12, 13, 14
EXPIRY, RESPONSE, CORRELATION, SESSION_EXPIRY, RECEIVE_MAX, USER = 0x02, 0x08, 0x09, 0x11, 0x21, 0x26
SIZES = {
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


class Cut:
    """Takes values off the front of a packet."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        self.at += size
        return self.data[self.at - size : self.at]

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
        end, read = self.varint(), {}
        end += self.at
        while self.at < end:
            name = self.varint()
            if name == USER:
                self.text(), self.text()
            elif name == 0x0B:
                self.varint()
            else:
                read[name] = self.take(SIZES[name]) if name in SIZES else self.text()
        return read


@dataclass
class Publication:
    """One message to the subscriber, or one that it published."""

    topic: str
    payload: bytes
    response: str | None = None
    correlation: bytes | None = None
    expiry: int | None = None
    user: dict[str, str] = field(default_factory=dict)
    retain: bool = False


class Broker:
    """Single-threaded: `step` does what is possible now. The session outlives connections."""

    def __init__(self, version: str = "5") -> None:
        self.v5, self.listening = version == "5", socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.conn: socket.socket | None = None
        self.rest, self.subscribed, self.known = bytearray(), False, False
        self.window, self.mid = 20, 0
        self.queue: deque[Publication] = deque()
        self.unacked: dict[int, Publication] = {}
        self.answers: list[Publication] = []
        self.acked = self.delivered = self.redelivered = self.most_unacked = 0
        self.seen_mids: set[int] = set()
        self.connections = 0
        self.closed_in_order = False

    def address(self) -> str:
        return "{}:{}".format(*self.listening.getsockname())

    def sockets(self) -> list[socket.socket]:
        return [self.listening] if self.conn is None else [self.conn]

    def drop(self) -> None:
        """The connection is lost; the session is kept."""
        if self.conn is not None:
            self.conn.close()
        self.conn, self.subscribed = None, False
        self.rest.clear()

    def step(self) -> None:
        if self.conn is None:
            try:
                self.conn, _ = self.listening.accept()
            except BlockingIOError:
                return
            self.connections += 1
        self.conn.settimeout(0)
        ended = True
        try:
            while data := self.conn.recv(65536):
                self.rest += data
        except BlockingIOError:
            ended = False
        except OSError:
            return self.drop()
        while self.conn is not None and (found := self.next_packet()):
            self.handle(*found)
        if ended:
            return self.drop()
        self.deliver()

    def next_packet(self) -> tuple[int, int, bytes] | None:
        cut = Cut(bytes(self.rest[:5]))
        if len(self.rest) < 2 or (len(self.rest) < 5 and self.rest[-1] >= 128):
            return None
        first = cut.number(1)
        size = cut.varint()
        if len(self.rest) < cut.at + size:
            return None
        body = bytes(self.rest[cut.at : cut.at + size])
        del self.rest[: cut.at + size]
        return first >> 4, first & 15, body

    def send(self, data: bytes) -> None:
        if self.conn is not None:
            self.conn.settimeout(20)
            try:
                self.conn.sendall(data)
            except OSError:
                self.drop()

    def handle(self, kind: int, flags: int, body: bytes) -> None:
        cut = Cut(body)
        if kind == CONNECT:
            cut.text()
            assert cut.number(1) == (5 if self.v5 else 4)
            clean = bool(cut.number(1) & 2)
            cut.number(2)
            told = cut.properties() if self.v5 else {}
            self.window = int.from_bytes(told.get(RECEIVE_MAX, b"\x00\x14"))
            assert not clean, "the session must outlive the connection"
            assert not self.v5 or int.from_bytes(told[SESSION_EXPIRY]) > 0
            self.send(packet(CONNACK, 0, bytes([int(self.known), 0]) + (b"\x00" if self.v5 else b"")))
            self.known = True
        elif kind == SUBSCRIBE:
            mid = cut.take(2)
            if self.v5:
                cut.properties()
            count = 0
            while cut.at < len(body):
                cut.text()
                assert cut.number(1) & 3 == 1
                count += 1
            self.send(packet(SUBACK, 0, mid + (b"\x00" if self.v5 else b"") + b"\x01" * count))
            self.subscribed = True
            for mid_, told_ in self.unacked.items():
                self.redelivered += 1
                self.send(self.encode(told_, mid_, dup=True))
        elif kind == PUBACK:
            mid_ = cut.number(2)
            assert mid_ in self.unacked, "acknowledged what was not out"
            del self.unacked[mid_]
            self.acked += 1
        elif kind == PUBLISH:
            topic = cut.text().decode()
            mid_ = cut.number(2)
            told = cut.properties() if self.v5 else {}
            if not (flags & 8 and mid_ in self.seen_mids):
                self.answers.append(Publication(topic, body[cut.at :], correlation=told.get(CORRELATION)))
            self.seen_mids.add(mid_)
            self.send(packet(PUBACK, 0, struct.pack(">H", mid_)))
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
        """As much as the subscriber's receive maximum lets out."""
        while self.subscribed and self.queue and len(self.unacked) < self.window:
            self.mid = self.mid % 65535 + 1
            while self.mid in self.unacked:
                self.mid = self.mid % 65535 + 1
            self.unacked[self.mid] = m = self.queue.popleft()
            self.delivered += 1
            self.most_unacked = max(self.most_unacked, len(self.unacked))
            self.send(self.encode(m, self.mid, dup=False))


def until(done: object, *parts: object, seconds: float = 20.0) -> None:
    """Steps the parts until `done()`; waits on their sockets, not on the clock."""
    end = time.monotonic() + seconds
    while not done():  # type: ignore[operator]
        assert time.monotonic() < end, "not done in time"
        for part in parts:
            part.step()  # type: ignore[attr-defined]
        with selectors.DefaultSelector() as waiting:
            for part in parts:
                for sock in part.sockets():  # type: ignore[attr-defined]
                    waiting.register(sock, selectors.EVENT_READ)
            waiting.select(0.05)
