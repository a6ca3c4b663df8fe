"""How two members meet: who dials says Hello, who listens answers Welcome, or Refused and why."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from gevent import socket

from ..wire.frames import Decoder, WireError, encode
from .decide.messages import Seat
from .wire.codec import LEAST, MOST_HELLO, VERSION, pb, read_seat, seat_pb

MOST_WHY = 300  # characters of a reason that are read


@dataclass(frozen=True, slots=True)
class LinkTold:
    """`members`: by name, the address that it listens at. Times are milliseconds, sizes bytes."""

    installation: str
    listen: tuple[str, int]
    members: dict[str, tuple[str, int]]
    queue: int = 256  # messages to one member; beyond them, or the bytes, the oldest goes, as if lost
    queue_bytes: int = 4 << 20
    dial_ms: float = 500.0
    write_ms: float = 1000.0  # for a message to be written, and for what was written to be confirmed
    idle_ms: float = 60_000.0  # after which a connection with nothing to say is closed
    hello_ms: float = 2000.0
    pause_ms: float = 100.0  # after a broken connection; doubled at each dial that fails
    pause_most_ms: float = 5000.0  # and after a refusal
    silent_ms: float = 5000.0  # after which a connection gives way to one of the same name's other disk
    incoming: int = 0  # connections from others; 0: twice the members and eight

    def most_incoming(self) -> int:
        return self.incoming or 2 * len(self.members) + 8


class Refusal(Exception):
    """The other side has refused; the text is its reason, for an operator."""


def say_hello(me: Seat, told: LinkTold, to: str) -> bytes:
    said = pb.Hello(version=VERSION, least=LEAST, installation=told.installation, seat=seat_pb(me), to=to)
    return encode(pb.Frame(hello=said))


def say_welcome(me: Seat, hello: pb.Hello) -> bytes:
    return encode(pb.Frame(welcome=pb.Welcome(version=min(VERSION, hello.version), seat=seat_pb(me))))


def first(sock: Any) -> pb.Frame:
    """What the other side says first. Raises WireError; OSError where it ends before."""
    decoder = Decoder(pb.Frame, MOST_HELLO)
    while data := sock.recv(MOST_HELLO):
        for frame in decoder.feed(data):
            if decoder.buffer:
                raise WireError("more was said than was asked for")
            return frame
    raise OSError("closed without an answer")


def read_hello(sock: Any) -> pb.Hello:
    frame = first(sock)
    if not frame.HasField("hello"):
        raise WireError(f"{frame.WhichOneof('said')}: hello is wanted first")
    return frame.hello


def read_welcome(sock: Any, name: str) -> Seat:
    """Raises Refusal, and WireError where somebody else answers."""
    frame = first(sock)
    if frame.HasField("refused"):
        why = frame.refused.why[:MOST_WHY]
        raise Refusal("".join(c if c.isprintable() else "?" for c in why) or "without a reason")
    if not frame.HasField("welcome"):
        raise WireError(f"{frame.WhichOneof('said')}: welcome is wanted first")
    seat = read_seat("welcome.seat", frame.welcome.seat)
    if seat.name != name:
        raise WireError(f"welcome.seat.name: {seat.name[:64]!r} answers where {name!r} should")
    if not LEAST <= frame.welcome.version <= VERSION:
        raise WireError(f"welcome.version: {frame.welcome.version} is not {LEAST} to {VERSION}")
    return seat


def refusal(me: Seat, told: LinkTold, hello: pb.Hello, host: str) -> str:
    """Why who says that, from that host, is no member that may speak here; or nothing."""
    name = hello.seat.name
    if hello.version < LEAST or hello.least > VERSION:
        return f"versions {hello.least} to {hello.version} are spoken there, and {LEAST} to {VERSION} here"
    if hello.installation != told.installation:
        return f"installation {hello.installation[:64]!r} is not this one, {told.installation!r}"
    if hello.to != me.name:
        return f"{hello.to[:64]!r} is wanted, and this is {me.name!r}: an address in members is wrong"
    if name not in told.members or name == me.name:
        return f"{name[:64]!r} is no other member of {me.name!r}"
    wanted = told.members[name][0]
    if host != wanted and host not in hosts(wanted):
        return f"{name!r} is at {wanted} in members of {me.name!r}, and this came from {host}"
    return ""


def hosts(text: str) -> set[str]:
    """The numbers of a host; none for one that can't be looked up."""
    try:
        return {str(found[4][0]) for found in socket.getaddrinfo(text, None, socket.AF_INET)}
    except OSError:
        return set()


def hang_up(sock: Any) -> None:
    with suppress(OSError):  # it had ended
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
