"""Connection handshake between two members: the dialler sends Hello, the listener Welcome or Refused."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from gevent import socket

from ..wire.frames import Decoder, WireError, encode
from .decide.messages import ReplicaId
from .wire.codec import MAX_HELLO_BYTES, MIN_VERSION, VERSION, pb, read_replica, replica_to_pb

MAX_REASON_CHARS = 300  # of a received reason


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """`members` maps names to listen addresses. Times are milliseconds, sizes bytes."""

    installation: str
    listen: tuple[str, int]
    members: dict[str, tuple[str, int]]
    max_queued_messages: int = 256  # per member; beyond them, or the bytes, the oldest is dropped as if lost
    max_queued_bytes: int = 4 << 20
    dial_ms: float = 500.0
    write_ms: float = 1000.0  # for a message to be written, and for written data to be acknowledged
    idle_ms: float = 60_000.0  # after which an idle connection is closed
    hello_ms: float = 2000.0
    retry_ms: float = 100.0  # after a broken connection; doubled with each failed attempt
    max_retry_ms: float = 5000.0  # also after a refusal
    # silence after which a connection may be replaced by one with another disk ID of the same name
    silent_ms: float = 5000.0
    max_incoming: int = 0  # incoming connections; 0: twice the number of members plus 8

    def incoming_limit(self) -> int:
        return self.max_incoming or 2 * len(self.members) + 8


class HandshakeRefusedError(Exception):
    """The other side refused the connection; the text is its reason, for an operator."""


def encode_hello(own_replica: ReplicaId, settings: LinkSettings, to: str) -> bytes:
    hello = pb.Hello(
        version=VERSION,
        least=MIN_VERSION,
        installation=settings.installation,
        seat=replica_to_pb(own_replica),
        to=to,
    )
    return encode(pb.Frame(hello=hello))


def encode_welcome(own_replica: ReplicaId, hello: pb.Hello) -> bytes:
    return encode(
        pb.Frame(welcome=pb.Welcome(version=min(VERSION, hello.version), seat=replica_to_pb(own_replica)))
    )


def read_first_frame(sock: Any) -> pb.Frame:
    """Reads the first frame of the other side. Raises WireError, or OSError if the connection ends first."""
    decoder = Decoder(pb.Frame, MAX_HELLO_BYTES)
    while data := sock.recv(MAX_HELLO_BYTES):
        for frame in decoder.feed(data):
            if decoder.buffer:
                raise WireError("unexpected data after the first frame")
            return frame
    raise OSError("connection closed without an answer")


def read_hello(sock: Any) -> pb.Hello:
    frame = read_first_frame(sock)
    if not frame.HasField("hello"):
        raise WireError(f"{frame.WhichOneof('said')}: expected hello as the first frame")
    return frame.hello


def read_welcome(sock: Any, name: str) -> ReplicaId:
    """Raises HandshakeRefusedError, or WireError if another member answers."""
    frame = read_first_frame(sock)
    if frame.HasField("refused"):
        reason = frame.refused.why[:MAX_REASON_CHARS]
        raise HandshakeRefusedError(
            "".join(c if c.isprintable() else "?" for c in reason) or "without a reason"
        )
    if not frame.HasField("welcome"):
        raise WireError(f"{frame.WhichOneof('said')}: expected welcome as the first frame")
    replica = read_replica("welcome.seat", frame.welcome.seat)
    if replica.name != name:
        raise WireError(f"welcome.seat.name: expected {name!r}, but {replica.name[:64]!r} answered")
    if not MIN_VERSION <= frame.welcome.version <= VERSION:
        raise WireError(f"welcome.version: {frame.welcome.version} is not within {MIN_VERSION} to {VERSION}")
    return replica


def refusal_reason(own_replica: ReplicaId, settings: LinkSettings, hello: pb.Hello, host: str) -> str:
    """Returns why this peer is not accepted as a member, or ""."""
    name = hello.seat.name
    if hello.version < MIN_VERSION or hello.least > VERSION:
        return (
            f"the peer supports versions {hello.least} to {hello.version}, "
            f"this member {MIN_VERSION} to {VERSION}"
        )
    if hello.installation != settings.installation:
        return f"installation {hello.installation[:64]!r} is not this one, {settings.installation!r}"
    if hello.to != own_replica.name:
        return (
            f"the connection is for {hello.to[:64]!r}, but this is {own_replica.name!r}: "
            "an address in members is wrong"
        )
    if name not in settings.members or name == own_replica.name:
        return f"{name[:64]!r} is not another member known to {own_replica.name!r}"
    expected_host = settings.members[name][0]
    if host != expected_host and host not in resolve_host(expected_host):
        return f"{name!r} is at {expected_host} in members of {own_replica.name!r}, but connected from {host}"
    return ""


def resolve_host(host: str) -> set[str]:
    """Returns the IP addresses of a host; empty if it cannot be resolved."""
    try:
        return {str(found[4][0]) for found in socket.getaddrinfo(host, None, socket.AF_INET)}
    except OSError:
        return set()


def close_socket(sock: Any) -> None:
    with suppress(OSError):  # already closed
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
