"""The watch on the event bus: one connection at a time, followed from the last event that was taken."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec
from gevent import socket

from ..core.actor import Actor, spawn
from ..limits import Limits
from ..log import Log
from .hostlist_model import BusEvent, BusSaid


@dataclass(slots=True)
class Moved:
    """The bus has another address now."""

    where: tuple[str, int]


@dataclass(slots=True)
class Told:
    """A line of the bus, on the connection of that number."""

    connection: int
    line: bytes


@dataclass(slots=True)
class Ended:
    connection: int
    reason: str


class BusFollower(Actor):
    """Follows the event bus from the last event it has, over and over, with growing pauses. Each connection
    has a reader of its own, so that a move to another address waits for no dial and no silence."""

    def __init__(
        self, where: tuple[str, int], last: int, limits: Limits, log: Log, tell: Callable[[BusSaid], Any]
    ) -> None:
        super().__init__("event bus", limits.list_mailbox, log, reserve=limits.list_mailbox // 4)
        self.where, self.last, self.limits, self.tell_list = where, last, limits, tell
        self.decoder: msgspec.json.Decoder[BusEvent | int] = msgspec.json.Decoder(BusEvent | int)
        self.connection = 0
        self.reader: gevent.Greenlet | None = None
        self.pause = limits.bus_backoff_ms
        self.unreadable = self.skipped = -1  # the event after which a line could not be read, or was left out

    def move(self, where: tuple[str, int]) -> bool:
        return self.push(Moved(where))

    def run(self) -> None:
        self.connect(0.0)
        super().run()

    def connect(self, pause: float) -> None:
        """Ends the connection there is, if any, and opens another after a pause."""
        if self.reader is not None:
            self.reader.kill(block=False)
        self.connection += 1
        number, where, last = self.connection, self.where, self.last
        self.reader = spawn(
            self.log,
            "event bus reader",
            lambda: self.read(number, where, last, pause),
            lambda: self.push(Ended(number, "its reader ended")),
        )

    def read(self, number: int, where: tuple[str, int], last: int, pause: float) -> None:
        """One connection's life. A bus that keeps quiet for longer than its second is taken as lost."""
        try:
            gevent.sleep(pause / 1000)
            with socket.create_connection(where, self.limits.bus_dial_ms / 1000) as sock:
                # guards against a bus that stops while its connection stays open
                sock.settimeout(self.limits.bus_quiet_ms / 1000)
                sock.sendall(b"from %d\n" % last)
                rest = b""
                while data := sock.recv(65536):
                    *lines, rest = (rest + data).split(b"\n")
                    if len(rest) > 64 * self.limits.line_bytes:
                        raise ValueError("a line without end")
                    for line in filter(bytes.strip, lines):
                        self.push(Told(number, line))
            reason = "closed by the bus"
        except (OSError, ValueError) as error:
            reason = str(error)
        self.push(Ended(number, reason))

    def receive(self, message: Any) -> None:
        match message:
            case Moved(where) if where != self.where:
                self.log("bus-moved", f"to {where[0]}:{where[1]}, from event {self.last} on")
                self.where, self.pause = where, self.limits.bus_backoff_ms
                self.connect(0.0)
            case Told(number, line) if number == self.connection:
                try:
                    self.line(line)
                except ValueError as error:  # msgspec's are among them
                    self.lost(str(error))
            case Ended(number, reason) if number == self.connection:
                self.lost(reason)

    def lost(self, reason: str) -> None:
        self.log("bus-lost", f"after event {self.last}: {reason}")
        self.connect(self.pause)
        self.pause = min(2 * self.pause, self.limits.bus_backoff_most_ms)

    def line(self, line: bytes) -> None:
        try:
            said = self.decoder.decode(line)
        except ValueError:
            if self.unreadable != self.last:
                self.unreadable = self.last  # it may have been spoilt on its way: asked for once more
                raise
            # guards against asking for the same event for ever: nothing behind it would be heard
            self.skipped = self.last
            return self.log("bad-event", f"after event {self.last}, and again: {line[:200]!r}")
        offset = said if isinstance(said, int) else said.offset
        if isinstance(said, BusEvent) and offset > self.last:
            self.tell_list(BusSaid(said))
        elif offset > self.last and self.skipped != self.last:
            raise ValueError(f"the bus is at {offset}, and its events have not come")
        if offset > self.last:
            self.last = offset
        self.pause = self.limits.bus_backoff_ms
