"""Where other members are heard: a connection carries what one of them says, and no answers."""

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
from .decide.hold import Passed
from .decide.messages import Message, Seat
from .greet import LinkTold, hang_up, read_hello, refusal, say_welcome
from .wire.codec import MOST_FRAME, from_wire, pb, read_seat

CHUNK = 64 << 10
MOST_TOLD = 256  # refused hosts and names whose reason is remembered; beyond them the oldest is told again


@dataclass(slots=True, eq=False)
class Incoming:
    """`heard` is by the monotonic clock, in seconds. `seat` is whose it is, once it was welcomed."""

    sock: Any
    host: str
    heard: float = field(default_factory=time.monotonic)
    seat: Seat | None = None


class Listener:
    """A greenlet for each connection. They are bounded: at the bound the one that has waited longest for its
    welcome goes, and where all were welcomed, the new one."""

    def __init__(
        self,
        me: Seat,
        told: LinkTold,
        log: Log,
        hear: Callable[[Seat, Message | Passed], object],
        met: Callable[[str], object],
    ) -> None:
        """`met` is told the name of each that was welcomed."""
        self.me, self.told, self.log, self.hear, self.met = me, told, log, hear, met
        self.open: dict[Incoming, bool] = {}
        self.heard: dict[str, Incoming] = {}  # by name, those that were welcomed
        self.refused: OrderedDict[tuple[str, str], str] = OrderedDict()  # by host and name: why
        self.listening: Any = None

    def start(self) -> None:
        """Raises OSError where the address can't be had."""
        self.listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listening.bind(self.told.listen)
            self.listening.listen(256)
        except OSError:
            self.listening.close()
            raise
        spawn(self.log, "council listener", self.accept)

    def renew(self, told: LinkTold) -> None:
        """What is known of members is asked again when they speak next."""
        was, self.told = self.told.members, told
        for one in list(self.open):
            if one.seat is not None and was.get(one.seat.name) != told.members.get(one.seat.name):
                hang_up(one.sock)

    def stop(self) -> None:
        if self.listening is not None:
            listening, self.listening = self.listening, None
            listening.close()
        for one in list(self.open):
            hang_up(one.sock)

    def accept(self) -> None:
        while self.listening is not None:
            try:
                sock, (host, _) = self.listening.accept()
            except OSError as error:
                if self.listening is None:
                    return
                # guards against running out of descriptors: the listener waits and goes on
                self.log("accept-failed", f"council: {error}")
                gevent.sleep(0.05)
                continue
            if len(self.open) >= self.told.most_incoming() and not self.make_room():
                sock.close()
                continue
            one = Incoming(sock, host)
            self.open[one] = True
            spawn(self.log, "council hearing", lambda one=one: self.serve(one))  # type: ignore[misc]

    def make_room(self) -> bool:
        waiting = next((one for one in self.open if one.seat is None), None)
        if waiting is not None:
            del self.open[waiting]
            hang_up(waiting.sock)
        return waiting is not None

    def serve(self, one: Incoming) -> None:
        """One connection's greenlet."""
        try:
            # guards the place against who says nothing, or does not close
            with gevent.Timeout(self.told.hello_ms / 1000, TimeoutError):
                seat = self.meet(one)
            if seat is not None:
                self.read(one, seat)
        except WireError as error:
            who = one.host if one.seat is None else f"{one.seat.name} at {one.host}"
            self.log("council-bad-frame", f"{who}: {error}")
        except OSError:
            pass  # it ended, or had nothing to say; who dials tells of it
        finally:
            self.open.pop(one, None)
            if one.seat is not None and self.heard.get(one.seat.name) is one:
                del self.heard[one.seat.name]
            hang_up(one.sock)

    def meet(self, one: Incoming) -> Seat | None:
        hello = read_hello(one.sock)
        name = hello.seat.name
        why = refusal(self.me, self.told, hello, one.host) or self.taken(hello)
        if why:
            self.tell_once((one.host, name[:64]), why)
            one.sock.sendall(encode(pb.Frame(refused=pb.Refused(why=why))))
            one.sock.shutdown(socket.SHUT_WR)
            # guards against a reset, which would take the answer along
            while one.sock.recv(4096):
                pass
            return None
        self.refused.pop((one.host, name), None)
        old, one.seat = self.heard.get(name), read_seat("hello.seat", hello.seat)
        self.heard[name] = one
        if old is not None:
            hang_up(old.sock)
        one.sock.sendall(say_welcome(self.me, hello))
        self.met(name)
        return one.seat

    def taken(self, hello: pb.Hello) -> str:
        """Guards a member against another process under its name, until the member is silent."""
        old = self.heard.get(hello.seat.name)
        if old is None or old.seat is None or old.seat.disk == hello.seat.disk:
            return ""
        if time.monotonic() - old.heard > self.told.silent_ms / 1000:
            return ""
        return f"{hello.seat.name!r} speaks here already, with another disk ({old.seat.disk:x})"

    def tell_once(self, who: tuple[str, str], why: str) -> None:
        if self.refused.get(who) != why:
            self.log("council-refused", f"{who[1]!r} from {who[0]} is not heard: {why}")
        self.refused[who] = why
        self.refused.move_to_end(who)
        if len(self.refused) > MOST_TOLD:
            self.refused.popitem(last=False)

    def read(self, one: Incoming, seat: Seat) -> None:
        decoder = Decoder(pb.Frame, MOST_FRAME)
        while True:
            wait_ms = self.told.write_ms if decoder.buffer else self.told.idle_ms
            one.sock.settimeout(2 * wait_ms / 1000)
            try:
                data = one.sock.recv(CHUNK)
            except TimeoutError:
                if decoder.buffer:
                    raise WireError(f"nothing came after {len(decoder.buffer)} bytes of a frame") from None
                raise
            if not data:
                return
            one.heard = time.monotonic()
            for frame in decoder.feed(data):
                self.hear(seat, from_wire(frame))
            if len(data) == CHUNK:
                gevent.sleep(0)  # guards the others against one that always has more
