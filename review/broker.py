"""An MQTT 5 broker as a stand-in: sessions that outlive connections, QoS 1 both ways, receive maximum.

A packet identifier is the lowest that is not in use. A second connection under a client id takes the session
over: the first one is told so (reason 0x8e) and closed (MQTT 5, 3.1.4). After a reconnect all that was not
acknowledged is sent again with DUP and its old identifier (4.4). Only what the invoker needs is there.
"""

from __future__ import annotations

import asyncio
import json
import struct
from collections import deque
from dataclasses import dataclass, field

from standins import Record, now_ms, serve_until_end

CONNECT, CONNACK, PUBLISH, PUBACK, SUBSCRIBE, SUBACK = 1, 2, 3, 4, 8, 9
PINGREQ, PINGRESP, DISCONNECT = 12, 13, 14
RESPONSE, CORRELATION, SESSION_EXPIRY, RECEIVE_MAX, USER = 0x08, 0x09, 0x11, 0x21, 0x26
FIXED_SIZES = {
    0x01: 1,
    0x02: 4,
    0x11: 4,
    0x13: 2,
    0x17: 1,
    0x19: 1,
    0x21: 2,
    0x22: 2,
    0x23: 2,
    0x24: 1,
    0x25: 1,
}
FIXED_SIZES |= {0x27: 4, 0x28: 1, 0x29: 1, 0x2A: 1}
SESSION_TAKEN_OVER = 0x8E


def text(value: bytes) -> bytes:
    return struct.pack(">H", len(value)) + value


def varint(value: int) -> bytes:
    out = bytearray()
    while True:
        value, low = divmod(value, 128)
        out.append(low | (128 if value else 0))
        if not value:
            return bytes(out)


def packet(kind: int, flags: int, body: bytes) -> bytes:
    return bytes([kind << 4 | flags]) + varint(len(body)) + body


class Reader:
    """Reads values from the start of a packet's body."""

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
        end, found = self.varint(), dict[int, bytes]()
        end += self.at
        while self.at < end:
            name = self.varint()
            if name == USER:
                self.text()
                self.text()
            else:
                found[name] = self.take(FIXED_SIZES[name]) if name in FIXED_SIZES else self.text()
        return found


@dataclass
class Trigger:
    """A message that a gateway published, and what became of it."""

    topic: str
    payload: bytes
    correlation: str
    published_at: float = 0.0
    sent_at: list[float] = field(default_factory=list)  # each time it was written to the subscriber
    acked_at: float | None = None
    outcomes: list[tuple[float, str]] = field(default_factory=list)


@dataclass
class Session:
    """The subscriber's session, which outlives its connections."""

    subscribed: bool = False
    queue: deque[Trigger] = field(default_factory=deque)
    unacked: dict[int, Trigger] = field(default_factory=dict)
    receive_maximum: int = 65535
    seen: set[int] = field(
        default_factory=set
    )  # identifiers of outcomes not to be taken twice when marked DUP
    connection: asyncio.StreamWriter | None = None


class Broker:
    """The broker with its gateways: `publish` is a gateway's message, outcomes come back to it."""

    def __init__(self, record: Record) -> None:
        self.record, self.address = record, ""
        self.sessions: dict[bytes, Session] = {}
        self.triggers: dict[str, Trigger] = {}
        self.connections = 0

    async def start(self) -> None:
        self.address = await serve_until_end(self.serve)

    def publish(self, topic: str, payload: bytes, correlation: str) -> Trigger:
        trigger = self.triggers[correlation] = Trigger(topic, payload, correlation, now_ms())
        self.record("gateway", "publishes", correlation, topic, payload)
        for session in self.sessions.values():
            session.queue.append(trigger)
            self.deliver(session)
        return trigger

    def write(self, session: Session, data: bytes) -> None:
        if session.connection is not None and not session.connection.is_closing():
            session.connection.write(data)

    def send(self, session: Session, mid: int, trigger: Trigger, dup: bool) -> None:
        properties = bytes([RESPONSE]) + text(b"outcomes")
        properties += bytes([CORRELATION]) + text(trigger.correlation.encode())
        body = text(trigger.topic.encode()) + struct.pack(">H", mid) + varint(len(properties)) + properties
        trigger.sent_at.append(now_ms())
        self.record("broker", "sends", trigger.correlation, f"packet={mid} dup={int(dup)}")
        self.write(session, packet(PUBLISH, 2 | 8 * dup, body + trigger.payload))

    def deliver(self, session: Session) -> None:
        while (
            session.connection is not None
            and session.subscribed
            and session.queue
            and len(session.unacked) < session.receive_maximum
        ):
            mid = next(n for n in range(1, 65536) if n not in session.unacked)
            session.unacked[mid] = trigger = session.queue.popleft()
            self.send(session, mid, trigger, dup=False)

    async def read_packet(self, reader: asyncio.StreamReader) -> tuple[int, int, bytes]:
        first = (await reader.readexactly(1))[0]
        size = shift = 0
        while True:
            byte = (await reader.readexactly(1))[0]
            size |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return first >> 4, first & 15, await reader.readexactly(size)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session: Session | None = None
        try:
            kind, _, body = await self.read_packet(reader)
            assert kind == CONNECT
            session = self.connected(Reader(body), writer)
            while True:
                kind, flags, body = await self.read_packet(reader)
                if session.connection is not writer:
                    return  # taken over meanwhile
                if kind == DISCONNECT:
                    return
                self.handle(session, kind, flags, Reader(body))
        finally:
            if session is not None and session.connection is writer:
                self.record("broker", "the subscriber's connection ended")
                session.connection = None

    def connected(self, body: Reader, writer: asyncio.StreamWriter) -> Session:
        body.text()
        assert body.number(1) == 5, "MQTT 5 is wanted"
        body.number(1)
        body.number(2)
        properties = body.properties()
        name = body.text()
        known = name in self.sessions
        session = self.sessions.setdefault(name, Session())
        if session.connection is not None:
            self.record("broker", "the session is taken over by a new connection")
            self.write(session, packet(DISCONNECT, 0, bytes([SESSION_TAKEN_OVER, 0])))
            session.connection.close()
        self.connections += 1
        session.connection = writer
        session.receive_maximum = int.from_bytes(properties.get(RECEIVE_MAX, b"\xff\xff"))
        self.record("broker", f"connection {self.connections} of {name.decode()}, session present: {known}")
        self.write(session, packet(CONNACK, 0, bytes([int(known), 0, 0])))
        for mid, trigger in session.unacked.items():
            self.send(session, mid, trigger, dup=True)
        self.deliver(session)
        return session

    def handle(self, session: Session, kind: int, flags: int, body: Reader) -> None:
        if kind == SUBSCRIBE:
            mid, count = body.take(2), 0
            body.properties()
            while body.at < len(body.data):
                body.text()
                body.number(1)
                count += 1
            session.subscribed = True
            self.write(session, packet(SUBACK, 0, mid + b"\x00" + b"\x01" * count))
        elif kind == PUBACK:
            trigger = session.unacked.pop(body.number(2), None)
            if trigger is not None:
                trigger.acked_at = now_ms()
                self.record("invoker", "acknowledges", trigger.correlation)
        elif kind == PUBLISH:
            body.text()
            outcome_mid = body.number(2)
            properties = body.properties()
            payload = json.loads(body.data[body.at :])
            if not (flags & 8 and (outcome_mid, body.data) in session.seen):
                correlation = properties[CORRELATION].decode()
                self.triggers[correlation].outcomes.append((now_ms(), payload["outcome"]))
                self.record("outcome", payload["outcome"], "of", correlation, payload.get("reason", ""))
            session.seen.add((outcome_mid, body.data))
            self.write(session, packet(PUBACK, 0, struct.pack(">H", outcome_mid)))
        elif kind == PINGREQ:
            self.write(session, packet(PINGRESP, 0, b""))
        self.deliver(session)


class Proxy:
    """Passes bytes on to an address, each way `delay_ms` late; `reset` cuts the connections of now."""

    def __init__(self, target: str, delay_ms: float) -> None:
        self.target, self.delay_s, self.address = target, delay_ms / 1000, ""
        self.writers = set[asyncio.StreamWriter]()

    async def start(self) -> None:
        self.address = await serve_until_end(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        self.writers -= pair

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self.delay_s, self.pass_on, writer, data)
        except OSError:
            pass
        loop.call_later(self.delay_s, writer.close)

    def pass_on(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    def reset(self) -> None:
        """Reset all connections, both ways; what is on its way is lost."""
        for writer in self.writers:
            writer.transport.abort()
