"""Connections that get no place: their calls are refused for as long as some come, then they are closed."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from ..core.actor import spawn
from ..core.clock import now_ms
from ..limits import Limits
from ..log import Log
from ..memory_budget import REFUSED_CONNECTION_BYTES, MemoryBudget, Owner
from .connection_ends import ConnectionEnds
from .connection_state import ConnectionState, EndReason, Refusal
from .outgoing import OutgoingQueue
from .pending_connections import PendingConnection
from .read_turns import ReadTurns
from .refusal import CallReader, encode_refusal
from .unread import InputState, has_hung_up, input_state

MAX_REFUSED_CONNECTIONS = 32  # at a time, without those that never stop sending
READ_BYTES = 4 * 1024  # at a time
QUIET_MS = 50.0  # without a byte, after which the calls of the connection have been read
SHORT_QUIET_MS = 2.0  # the same for a client that goes on and on; what was sent before has arrived then
LONG_READ_BYTES = 64 * 1024  # at a time, from a client that goes on and on with lines that are no calls
LONG_READING_MS = 2.0  # at a time, for such a client
PARTIAL_QUIET_MS = 250.0  # in the middle of a line, whose rest may wait in the client's kernel for a timer
READ_EACH_MS = 5.0  # between reads, for those that are served
LONG_MS = 1000.0  # after which a client that still sends takes turns with other loud ones
HANG_UP_POLL_MS = 20.0  # between checks for a closed connection while nothing is read


class RefusedConnection:
    """Refuses the calls of one connection without holding them, and ends it between two calls.

    It is read only while no refusal waits for the client. The first call may have been refused before.
    """

    def __init__(
        self,
        connection: PendingConnection,
        reason: Refusal,
        backoff_ms: float,
        limits: Limits,
        log: Log,
        memory: MemoryBudget,
        turns: ReadTurns,
        ends: ConnectionEnds,
    ) -> None:
        self.sock, self.name = connection.sock, connection.name
        self.reason, self.backoff_ms = reason, backoff_ms
        self.turns, self.ends = turns, ends
        self.reader, self.state = CallReader(connection.is_first_refused), ConnectionState()
        self.started_at, self.refused_calls = now_ms(), 0
        self.drained = Event()
        self.sock.settimeout(limits.write_ms / 1000)
        self.outgoing = OutgoingQueue(
            self.sock, self.name, 0, log, self.drained.set, self.end, memory, self.state
        )

    @property
    def is_long(self) -> bool:
        """Whether the client has been sending for long."""
        return now_ms() - self.started_at > LONG_MS

    @property
    def sends_no_calls(self) -> bool:
        """Whether the client has been sending for long, and no call was among it."""
        return self.is_long and not self.refused_calls

    def run(self) -> None:
        """Refuse what comes until the connection has ended."""
        try:
            while self.state.ended is None:
                if self.state.may_read():
                    self.read_on()
                else:
                    self.wait_until_drained()
        except OSError as error:
            self.end(EndReason.CLIENT_LEFT, str(error))
        finally:
            if self.state.ended is None:
                self.end(EndReason.FAULT, "its greenlet has died")

    def read_on(self) -> None:
        """Refuse the calls of one read, or end the connection if nothing came. Raises OSError."""
        if has_hung_up(self.sock):
            self.end(EndReason.CLIENT_LEFT)
        elif not self.wait_for_data():
            if self.state.may_end(EndReason.PLACE, input_state(self.sock) is InputState.UNREAD):
                self.end(EndReason.PLACE)
        elif self.is_long:
            with self.turns.turn():
                if self.sends_no_calls:
                    self.catch_up()
                else:
                    self.refuse_some(READ_BYTES)
                gevent.sleep(0)
        else:
            self.refuse_some(READ_BYTES)
            gevent.sleep(READ_EACH_MS / 1000)

    def quiet_ms(self) -> float:
        """Return how long nothing may come until the connection ends."""
        if self.reader.is_in_line():
            return PARTIAL_QUIET_MS
        if self.sends_no_calls:
            return 0.0
        return SHORT_QUIET_MS if self.is_long else QUIET_MS

    def wait_for_data(self) -> bool:
        """Wait for data or the end of the stream; return False if there is none for a moment."""
        if input_state(self.sock) is InputState.EMPTY and (quiet_ms := self.quiet_ms()):
            with gevent.Timeout(quiet_ms / 1000, False):
                self.sock.recv(1, socket.MSG_PEEK)
        return input_state(self.sock) is not InputState.EMPTY

    def catch_up(self) -> None:
        """Read on, to find a moment at which nothing is unread: it may end then. Raises OSError."""
        read_until = now_ms() + LONG_READING_MS
        while self.sends_no_calls and now_ms() < read_until and self.state.ended is None:
            if input_state(self.sock) is InputState.EMPTY:
                return
            self.refuse_some(LONG_READ_BYTES)

    def refuse_some(self, size: int) -> None:
        """Read once, and refuse the calls that end in it. Raises OSError."""
        if self.state.ended is not None:
            return
        data = self.sock.recv(size)
        if not data:
            return self.end(EndReason.CLIENT_LEFT)
        for id in self.reader.feed(data):
            self.refused_calls += 1
            self.outgoing.put(encode_refusal(id, self.reason.value, self.backoff_ms), is_answer=True)

    def wait_until_drained(self) -> None:
        """Wait until the client has taken the refusals, or has left."""
        self.drained.clear()
        self.drained.wait(HANG_UP_POLL_MS / 1000)
        if has_hung_up(self.sock):
            self.end(EndReason.CLIENT_LEFT)

    def owed_calls(self) -> list[str]:
        """Return the refusals that the kernel has not accepted."""
        return [f"unsent refusal {n}" for n in range(1, self.state.unsent_answers + 1)]

    def end(self, reason: EndReason, detail: str = "") -> None:
        """Record the end of the connection, and close it; asked for again, it does nothing."""
        if self.state.ended is not None:
            return
        owed = self.owed_calls()
        self.state.connection_ended(reason)
        self.outgoing.close()
        self.ends.record(self.name, reason, owed, detail)
        self.ends.close(self.sock)
        self.drained.set()


class RefusedConnections:
    """The connections whose calls are being refused, each in a greenlet of its own.

    `on_end` is called when one has ended.
    """

    def __init__(
        self,
        limits: Limits,
        log: Log,
        memory: MemoryBudget,
        turns: ReadTurns,
        ends: ConnectionEnds,
        on_end: Callable[[], object],
    ) -> None:
        self.limits, self.log, self.memory = limits, log, memory
        self.turns, self.ends, self.on_end = turns, ends, on_end
        self.refusing: dict[RefusedConnection, None] = {}

    def __len__(self) -> int:
        return len(self.refusing)

    def may_add(self) -> bool:
        """Return whether the calls of a further connection may be refused at the moment."""
        is_short = self.memory.free(Owner.CONNECTIONS) < REFUSED_CONNECTION_BYTES
        counted = sum(is_short or not connection.is_long for connection in self.refusing)
        return counted < MAX_REFUSED_CONNECTIONS

    def add(self, connection: PendingConnection, reason: Refusal, backoff_ms: float, in_use: int) -> None:
        """Refuse the calls of a connection, for this reason; `in_use` is the number of places."""
        refused = RefusedConnection(
            connection, reason, backoff_ms, self.limits, self.log, self.memory, self.turns, self.ends
        )
        self.refusing[refused] = None
        self.memory.charge(Owner.CONNECTIONS, REFUSED_CONNECTION_BYTES)
        spawn(self.log, f"refusal {connection.name}", refused.run, lambda: self.forget(refused, in_use))

    def forget(self, refused: RefusedConnection, in_use: int) -> None:
        """Forget a connection that has ended."""
        text = f"{in_use} connections were open, {refused.refused_calls} further calls of it are refused"
        self.log("too-many-clients", f"{refused.name}: {text}")
        del self.refusing[refused]
        self.memory.release(Owner.CONNECTIONS, REFUSED_CONNECTION_BYTES)
        self.on_end()

    def sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections."""
        return [connection.sock for connection in self.refusing]

    def end_all(self, reason: EndReason, detail: str) -> None:
        """End all connections, whatever they owe; that is recorded."""
        for connection in list(self.refusing):
            connection.end(reason, detail)
