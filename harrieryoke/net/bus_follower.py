"""Follows the event bus: one connection at a time, from the last event that was received."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from ..core.actor import Actor, spawn
from ..core.clock import now_ms
from ..limits import Limits
from ..log import Log
from ..memory_budget import MemoryBudget
from .heartbeats import Heartbeats
from .hostlist_model import (
    EventReceived,
    ListConfirmed,
    ListReplaced,
    ListUpdate,
    Snapshot,
    decode_line,
    validate_event,
)

RECV_BYTES = 65536
MAX_LINE_FACTOR = 64  # times `Limits.line_bytes`


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """The bus has a new address."""

    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class LineReceived:
    """A line was read on the connection with that number."""

    connection: int
    line: bytes


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The connection with that number has ended."""

    connection: int
    reason: str


class LineBuffer:
    """Splits a stream into lines and computes when the next line is due.

    Time-outs of single reads are not enough: a peer that sends one byte at a time would never be detected as
    lost.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits, self.partial = limits, b""
        self.last_line_at = now  # when the last complete line was received
        self.line_started_at = now  # when the first byte of the current line was received

    def feed(self, data: bytes, now: float) -> list[bytes]:
        """Return the lines that are now complete, without blank ones.

        Raises ValueError for an overlong or late line.
        """
        *complete, partial = (self.partial + data).split(b"\n")
        if complete or not self.partial:
            self.line_started_at = now
        self.partial = partial
        lines = [line for line in complete if line.strip()]
        if lines:
            self.last_line_at = now
        elif now > self.deadline():
            raise ValueError("no whole line in time")
        if len(partial) > MAX_LINE_FACTOR * self.limits.line_bytes:
            raise ValueError("line too long")
        return lines

    def deadline(self) -> float:
        """Return when the next complete line is due."""
        if self.partial:
            return self.line_started_at + self.limits.bus_line_ms
        return self.last_line_at + self.limits.bus_quiet_ms

    def restart_deadline(self, now: float) -> None:
        """Restart the deadline: waiting for space in the follower's mailbox is not silence of the bus."""
        self.last_line_at = self.line_started_at = now

    def read_timeout_ms(self, now: float) -> float:
        """Return the time-out of the next read."""
        return max(1.0, min(self.deadline() - now, self.limits.bus_quiet_ms))


class BusFollower(Actor):
    """Follows the event bus from the last received event and reconnects with exponential back-off.

    Each connection has its own reader, so that a change of address need not wait for a dial or a time-out.

    A bus that keeps naming a number below the last received event has restarted its numbering. All its events
    are then fetched from the first one into `snapshot`, and the list applies their net effect at once.
    """

    def __init__(
        self,
        address: tuple[str, int],
        last_offset: int,
        limits: Limits,
        log: Log,
        send_to_list: Callable[[EventReceived | ListReplaced | ListConfirmed], Any],
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__("event bus", limits.list_mailbox, log, reserve=limits.list_mailbox // 4)
        self.address, self.last_offset = address, last_offset
        self.limits, self.send_to_list = limits, send_to_list
        self.memory = memory or MemoryBudget(limits.budget_bytes())
        self.connection = 0
        self.heartbeats = Heartbeats(now_ms())
        self.incomplete = False  # an unreadable line was skipped, and no full list has been received since
        self.reader: gevent.Greenlet | None = None
        self.backoff_ms = limits.bus_backoff_ms
        # once a connection has lasted until then, the back-off starts again from its minimum
        self.stable_at = 0.0
        self.behind_since: float | None = None  # when the bus first named a number below `last_offset`
        self.snapshot: Snapshot | None = None  # events fetched so far from a bus that restarted its numbering
        # numbers of the last event before an unreadable line, and of the last one before a skipped line
        self.unreadable_after = self.skipped_after = -1

    def change_address(self, address: tuple[str, int]) -> bool:
        """Follow the bus at another address, once the actor handles the message."""
        return self.blocking_send(AddressChanged(address))

    def run(self) -> None:
        """Run the actor's greenlet."""
        self.connect(0.0)
        super().run()

    def connect(self, delay_ms: float) -> None:
        """Close the current connection, if any, and open another one after a delay."""
        if self.reader is not None:
            self.reader.kill(block=False)
        self.connection += 1
        self.heartbeats = Heartbeats(now_ms() + delay_ms)
        self.stable_at = now_ms() + delay_ms + self.limits.bus_quiet_ms
        self.behind_since = None
        if self.snapshot is not None:
            self.snapshot, self.last_offset = Snapshot(), 0
        connection, address, last_offset = self.connection, self.address, self.last_offset
        self.reader = spawn(
            self.log,
            "event bus reader",
            lambda: self.run_connection(connection, address, last_offset, delay_ms),
            lambda: self.blocking_send(ConnectionEnded(connection, "its reader ended")),
        )

    def run_connection(
        self, connection: int, address: tuple[str, int], last_offset: int, delay_ms: float
    ) -> None:
        """Run one connection from dial to end."""
        try:
            gevent.sleep(delay_ms / 1000)
            with socket.create_connection(address, self.limits.bus_dial_ms / 1000) as sock:
                sock.settimeout(self.limits.bus_quiet_ms / 1000)
                sock.sendall(b"from %d\n" % last_offset)
                self.read_lines(connection, sock)
            reason = "closed by the bus"
        except (OSError, ValueError) as error:
            reason = str(error)
        self.blocking_send(ConnectionEnded(connection, reason))

    def read_lines(self, connection: int, sock: socket.socket) -> None:
        """Read lines until the bus closes.

        Raises TimeoutError if no line arrives in time, and ValueError for a line too long, too late or
        more than the memory allows.
        """
        buffer, reservation = LineBuffer(self.limits, now_ms()), None
        while True:
            sock.settimeout(buffer.read_timeout_ms(now_ms()) / 1000)
            data = sock.recv(RECV_BYTES)
            if not data:
                return
            lines = buffer.feed(data, now_ms())
            del reservation
            reservation = self.memory.reserve_line_of_list(len(buffer.partial))
            if reservation is None:
                raise ValueError(f"no memory for its line: {self.memory.describe()}")
            for line in lines:
                self.blocking_send(LineReceived(connection, line))
            if lines:
                buffer.restart_deadline(now_ms())

    def receive(self, message: Any) -> None:
        """Handle one message of the mailbox; messages of an earlier connection are dropped."""
        match message:
            case AddressChanged(address) if address != self.address:
                self.log("bus-moved", f"to {address[0]}:{address[1]}, from event {self.last_offset} on")
                self.address, self.backoff_ms = address, self.limits.bus_backoff_ms
                self.connect(0.0)
            case LineReceived(connection, line) if connection == self.connection:
                try:
                    self.handle_line(line)
                except ValueError as error:
                    self.reconnect(str(error))
            case ConnectionEnded(connection, reason) if connection == self.connection:
                self.reconnect(reason)

    def reconnect(self, reason: str) -> None:
        """Close the connection and reconnect after the back-off."""
        self.log("bus-lost", f"after event {self.last_offset}: {reason}")
        delay_ms = self.backoff_ms
        self.backoff_ms = min(2 * delay_ms, self.limits.bus_backoff_most_ms)
        self.connect(delay_ms)

    def handle_line(self, line: bytes) -> None:
        """Handle a line of this connection. Raises ValueError if the connection must be closed."""
        try:
            event = decode_line(line)
        except ValueError as error:
            if self.unreadable_after != self.last_offset:
                # it may have been corrupted in transit: the line is requested once more
                self.unreadable_after = self.last_offset
                raise
            # if it were requested again and again, the line would block all events after it
            self.skipped_after, self.incomplete = self.last_offset, True
            return self.log(
                "bad-event", f"after event {self.last_offset}, received twice: {error}: {line[:200]!r}"
            )
        if isinstance(event, int):
            self.handle_heartbeat(event)
        else:
            self.handle_event(event)
        if now_ms() >= self.stable_at:
            self.backoff_ms = self.limits.bus_backoff_ms

    def handle_event(self, received: EventReceived) -> None:
        """Handle one event; an old or repeated one has no effect."""
        offset = received.event.offset
        if offset <= self.last_offset:
            return
        self.last_offset, self.behind_since = offset, None
        if self.snapshot is not None:
            update = validate_event(received)
            return self.snapshot.apply(update) if update is not None else None
        self.backoff_ms = self.limits.bus_backoff_ms
        if received.event.topology is not None and received.event.topology.full:
            self.incomplete = False
        self.send_to_list(received)

    def handle_heartbeat(self, offset: int) -> None:
        """Handle a heartbeat, which carries the number of the bus's last event."""
        as_of = self.heartbeats.record(now_ms())
        if offset > self.last_offset:
            if self.skipped_after != self.last_offset:
                raise ValueError(f"the bus is at event {offset}, but its events were not received")
            self.last_offset = offset
        if self.snapshot is not None and offset > 0:
            # even if an event had a higher offset: the number in the heartbeat is authoritative
            self.last_offset = offset
            self.finish_snapshot(self.snapshot.to_update(offset))
            return self.confirm_list(as_of)
        if offset >= self.last_offset:
            self.behind_since = None
            self.confirm_list(as_of)
        elif self.behind_since is None:
            self.behind_since = now_ms()
        elif now_ms() - self.behind_since > self.limits.bus_anew_ms:
            self.log(
                "bus-anew",
                f"the bus is at event {offset}, below event {self.last_offset}: fetching all events again",
            )
            self.snapshot = Snapshot()
            self.connect(0.0)

    def confirm_list(self, as_of: float) -> None:
        """Confirm that all changes before that time have been received."""
        if not self.incomplete:
            self.send_to_list(ListConfirmed(as_of))
        if self.heartbeats.lags(now_ms(), self.limits.bus_lag_ms):
            self.connect(0.0)

    def finish_snapshot(self, update: ListUpdate) -> None:
        """Pass on the net effect of all events of a bus that restarted its numbering."""
        self.snapshot, self.incomplete = None, False
        self.log("bus-anew", f"{len(update.servers)} model hosts as of event {update.offset}")
        self.send_to_list(ListReplaced(update))
