"""The reading side of a client connection: a greenlet splits the stream into lines, and posts them."""

from __future__ import annotations

import gevent
from gevent import socket

from ..core.actor import Actor, spawn
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout
from ..core.pauses import PauseWatch
from ..limits import Limits
from ..log import Log
from ..memory_budget import MIN_INPUT_BYTES, MemoryBudget, Owner, Pressure
from .client_messages import CallRefused, LineReceived
from .connection_state import ConnectionState, EndReason, Refusal
from .line_buffer import LineBuffer
from .line_skimmer import LineSkimmer
from .read_turns import TURN_LINES, ReadRate, ReadTurns
from .refusal import CALL_START, call_budget_ms
from .unread import InputState, has_hung_up, input_state, ms_since_data, peek, read_now

HANG_UP_POLL_MS = 20.0  # between checks for a closed connection while nothing is read
MEMORY_POLL_MS = 60.0  # between checks for memory to read on
SKIM_SLICE_MS = 1.0  # after which skipping bytes waits for a turn
LOOKED_AT_BYTES = 512  # of a line, for the time of its call
REFUSED_INPUT_BYTES = 4 * 1024  # that may be read without memory, to be refused
QUIET_MS = 2.0  # without data; what was sent before has arrived then


class ConnectionInput(Actor):
    """Reads the lines of one client; `ClientActor` handles them.

    Backpressure: nothing is read, and nothing handed on, while answers wait for the client, while the mailbox
    is full, or while the memory does not allow it. What waits too long for memory is refused.
    """

    def __init__(
        self,
        sock: socket.socket,
        name: str,
        limits: Limits,
        log: Log,
        memory: MemoryBudget,
        pauses: PauseWatch,
        turns: ReadTurns | None,
    ) -> None:
        # the reserve is for answers: they must find space however fast a client sends
        super().__init__(f"client {name}", limits.client_mailbox, log, reserve=limits.client_mailbox * 3 // 4)
        # a client that reads nothing for this long loses its connection
        sock.settimeout(limits.write_ms / 1000)
        self.sock, self.limits, self.memory, self.pauses = sock, limits, memory, pauses
        self.turns, self.read_rate = turns or ReadTurns(), ReadRate()
        self.state = ConnectionState()
        self.input = LineBuffer(limits.line_bytes)
        self.charged_input = 0  # bytes read and not handled
        self.reserved_input = 0  # charged for the rest of a line
        self.skimmer: LineSkimmer | None = None  # takes the rest of a line that is refused
        self.skimmed_for = Refusal.NO_MEMORY
        self.refuses_input = False  # there is no memory to read what it sends
        self.short_since: float | None = None  # it waits for memory, and no line was taken since
        self.received_at = 0.0  # earliest time at which the bytes read last may have been received
        self.line_came_at = 0.0  # the first byte of the partial line
        self.watched_until = now_ms()  # nothing is unread that came before
        self.arrived_at = float("inf")  # of what is being read, the last of it
        self.waited_ms = 0.0  # of what was read last, in the kernel
        self.quiet_from = float("inf")  # the reader waits; from then on nothing was on its way before
        self.read_at = float("-inf")  # when bytes were read last
        self.unread_since: float | None = None  # of the bytes read last and what follows them
        # when the client was last active, or the first byte of a partial line was received
        self.last_active = now_ms()
        self.has_sent_line = False  # a complete line was received

    def end_connection(self, reason: EndReason, detail: str = "") -> bool:
        """End the connection, if this reason allows it now."""
        raise NotImplementedError

    @property
    def partial(self) -> bool:
        """Whether a line has begun that is neither complete nor refused."""
        return self.input.has_partial()

    def is_in_line(self) -> bool:
        """Return whether a line has begun that has not ended, refused or not."""
        return self.partial or self.skimmer is not None

    @property
    def unposted(self) -> bool:
        """Whether complete lines wait for space in the mailbox."""
        return self.input.has_line()

    # --- the reader's greenlet ---

    def start_reading(self) -> None:
        self.reader = spawn(self.log, f"{self.name} reader", self.read_stream)

    def read_stream(self) -> None:
        """Run the reader's greenlet: it ends when the client has left, or the connection has ended."""
        try:
            while self.post_lines() and self.wait_until_readable():
                try:
                    data = self.read_some()
                except TimeoutError as error:
                    if is_kernel_timeout(error):
                        break
                    continue
                if not data or self.finished or not self.take_input(data):
                    break
                if self.skimmer is not None:
                    self.skim_on()
        except OSError:
            pass  # a reset counts as the end of the stream
        except Exception:
            self.end_connection(EndReason.FAULT, "its reader has died")
            raise
        self.end_connection(EndReason.CLIENT_LEFT)

    def skim_on(self) -> None:
        """Skip what is there of a refused line, and pass the processor on: there may always be more."""
        slice_end = now_ms() + SKIM_SLICE_MS
        while self.skimmer is not None and now_ms() < slice_end:
            data = read_now(self.sock, self.limits.line_bytes // 4)
            if not data or not self.take_input(data):
                return
        with self.turns.turn():
            gevent.sleep(self.read_rate.take_spent() / 1000 if self.turns.waiting else 0)

    def wait_until_readable(self) -> bool:
        """Wait until the connection may be read; return False once it has ended."""
        while not self.finished:
            if not self.state.may_read():
                self.wait_for_space()
            elif self.room() > 0:
                return True
            else:
                if self.has_waited_too_long():
                    self.refuse_input()
                if self.room() <= 0:
                    gevent.sleep(MEMORY_POLL_MS / 1000)
            if has_hung_up(self.sock):
                return False
        return False

    def wait_for_space(self) -> None:
        """Wait until a message was taken or everything was written; not for long, as the client may leave."""
        self.space_available.clear()
        self.space_available.wait(HANG_UP_POLL_MS / 1000)

    def read_some(self) -> bytes:
        """Wait for data and read it; note since when some of it, or of what follows, may have been unread.

        What follows a read without a pause may have waited at the client for space here. Raises OSError.
        """
        self.end_quiet()
        if input_state(self.sock) is InputState.EMPTY:
            self.quiet_from = now_ms() + QUIET_MS
            self.sock.recv(1, socket.MSG_PEEK)
            self.end_quiet()
            self.watched_until = now_ms()
        if self.unread_since is None:
            self.unread_since = now_ms() - ms_since_data(self.sock)
        # the memory may have gone to others, or answers may wait, since this began to wait for data
        if not self.wait_until_readable():
            return b""
        room = self.room()
        self.arrived_at = max(self.watched_until, now_ms() - ms_since_data(self.sock))
        data: bytes = self.sock.recv(room)
        self.read_at = now_ms()
        if len(data) < room:
            self.watched_until = self.read_at
        return data

    def end_quiet(self) -> None:
        """Note that the reader waits no more; if it was quiet, what was sent before has arrived."""
        if now_ms() > self.quiet_from:
            self.unread_since = None
        self.quiet_from = float("inf")

    # --- memory ---

    def room(self) -> int:
        """Return how many bytes may be read now."""
        if self.skimmer is not None:
            return self.limits.line_bytes // 4
        room = self.affordable()
        if room > 0:
            self.refuses_input = False
            return room
        return max(0, REFUSED_INPUT_BYTES - self.charged_input) if self.refuses_input else 0

    def affordable(self) -> int:
        """Return how many bytes the memory allows to read.

        Under memory pressure that is an ordinary request, or a line whose whole length could be reserved:
        lines that are read side by side and all lack memory for their rest would never end.
        """
        chunk = self.limits.line_bytes // 4
        if self.reserved_input:
            return min(chunk, self.reserved_input)
        if self.memory.pressure is Pressure.NONE:
            return min(chunk, self.memory.free(Owner.INPUT))
        if self.charged_input < MIN_INPUT_BYTES:
            free = self.memory.free_for_ordinary(Owner.INPUT)
            return min(chunk, free, MIN_INPUT_BYTES - self.charged_input)
        return min(chunk, self.reserve_line())

    def reserve_line(self) -> int:
        """Reserve the memory for the rest of a line, as long as it may be; return how much that is."""
        rest = self.limits.line_bytes + 1 - len(self.input)
        is_alone = self.partial and not self.unposted and rest > 0  # no lines before it wait
        if is_alone and self.memory.may_reserve_line(rest) and self.memory.try_charge(Owner.INPUT, rest):
            self.reserved_input = rest
        return self.reserved_input

    def release_reserved(self) -> None:
        """Give back what was reserved for the rest of a line."""
        self.memory.release(Owner.INPUT, self.reserved_input)
        self.reserved_input = 0

    def release_input(self, size: int) -> None:
        """Give back the memory of handled bytes."""
        self.charged_input -= size
        self.memory.release(Owner.INPUT, size)

    def drop_input(self) -> None:
        """Discard what is read and not handled; the connection has ended."""
        self.input.clear()
        self.skimmer = None
        self.release_input(self.charged_input)
        self.release_reserved()

    def lacks_memory(self) -> bool:
        """Return whether a line has begun whose rest is not read for want of memory."""
        return self.partial and not self.reserved_input and self.charged_input >= MIN_INPUT_BYTES

    # --- refusal of what can't be read ---

    def has_waited_too_long(self) -> bool:
        """Return whether what comes has waited too long for memory, also before it was looked at."""
        now = now_ms()
        if self.short_since is None:
            self.short_since = now
        came_at = max(self.watched_until, now - ms_since_data(self.sock))
        since = min(self.short_since, self.line_came_at if self.partial else came_at)
        start = self.input.start(LOOKED_AT_BYTES) or peek(self.sock, LOOKED_AT_BYTES)
        return self.state.must_refuse(now - since, call_budget_ms(start))

    def refuse_input(self) -> None:
        """Refuse what is read from now on, as there was no memory for it for too long."""
        if self.lacks_memory() and not self.unposted:
            self.skim_line(Refusal.NO_MEMORY)
        else:
            self.refuses_input = True

    def skim_line(self, refusal: Refusal) -> None:
        """Refuse the partial line: give its memory back, and skip its rest.

        If its start tells which call it is, that is answered now, else when the line has ended.
        """
        start, skimmer = self.input.unread(), LineSkimmer()
        self.release_input(len(self.input))
        self.release_reserved()
        self.input.clear()
        self.state.partial_changed(False)
        skimmer.feed(start)
        self.skimmer, self.skimmed_for = skimmer, refusal
        if (head := CALL_START.match(start)) is not None:
            skimmer.is_answered = True
            self.state.lines_read(1)
            self.send_bounded(CallRefused(int(head[1]), refusal))

    def take_skimmed(self, skimmer: LineSkimmer, data: bytes) -> bytes:
        """Skip bytes of a refused line; return what follows it."""
        started_at = now_ms()
        line, rest = skimmer.feed(data)
        self.read_rate.charge(now_ms() - started_at)
        if line is not None:
            self.skimmer = None
            if not skimmer.is_answered:
                self.charge_input(len(line) + 1)
                self.state.lines_read(1)
                self.send_bounded(LineReceived(line, self.received_at, self.skimmed_for))
        return rest

    # --- lines ---

    def charge_input(self, size: int) -> None:
        """Charge bytes that were read."""
        self.charged_input += size
        self.memory.charge(Owner.INPUT, size)

    def take_input(self, data: bytes) -> bool:
        """Store what was read; return False once the connection has ended."""
        now = now_ms()
        self.received_at = self.pauses.earliest_arrival(now)
        # a call may have waited in the kernel for a place, for memory or for its turn
        self.waited_ms = max(0.0, self.received_at - self.arrived_at)
        self.arrived_at = float("inf")
        if self.skimmer is not None and not (data := self.take_skimmed(self.skimmer, data)):
            return not self.finished
        from_reserve = min(self.reserved_input, len(data))
        self.release_reserve(from_reserve)
        self.charge_input(len(data))
        was_partial = self.partial
        self.input.feed(data)
        self.state.lines_read(data.count(b"\n"))
        self.state.partial_changed(self.partial)
        if self.unposted or not was_partial:
            self.last_active, self.line_came_at = now, self.received_at - self.waited_ms
        if self.unposted:
            self.has_sent_line = True
            self.release_reserved()
        elif self.input.is_too_long():
            self.log("bad-client", f"{self.name}: a line of more than {self.limits.line_bytes} bytes")
            self.skim_line(Refusal.TOO_LONG)
        elif self.refuses_input and self.charged_input >= REFUSED_INPUT_BYTES:
            self.skim_line(Refusal.NO_MEMORY)
        return not self.finished

    def release_reserve(self, size: int) -> None:
        """Give back a part of what was reserved for the rest of a line: it was read."""
        self.reserved_input -= size
        self.memory.release(Owner.INPUT, size)

    def post_lines(self) -> bool:
        """Post the complete lines; return False once the connection has ended.

        Applies backpressure: waits while answers wait for the client, or the mailbox is full up to its
        reserve, unless the client closes the connection. `recv` would report that too late, as the end of the
        stream lies behind unread bytes.
        """
        while self.unposted and not self.finished:
            is_loud = self.read_rate.is_high(now_ms())
            max_waiting = TURN_LINES if is_loud else self.capacity - self.reserve
            if not self.wait_until_postable(max_waiting):
                return False
            if not is_loud:
                if not self.read_rate.is_high(now_ms()):  # it may have become so meanwhile
                    self.post_waiting_lines(max_waiting, max_waiting)
                continue
            with self.turns.turn():
                self.read_rate.take_spent()
                self.post_waiting_lines(TURN_LINES, TURN_LINES)
                gevent.sleep(0)
                if self.turns.waiting:
                    # others get as much of the processor as those that take turns
                    gevent.sleep(self.read_rate.take_spent() / 1000)
        return not self.finished

    def may_post(self, max_waiting: int) -> bool:
        """Return whether another line may be posted, of which so many may wait in the mailbox."""
        return self.state.may_handle() and len(self.mailbox) < max_waiting

    def wait_until_postable(self, max_waiting: int) -> bool:
        """Wait until a line may be posted; return False once the connection has ended or the client left.

        No turn is held meanwhile: it would be held for as long as the client reads nothing.
        """
        while not (self.finished or self.may_post(max_waiting)):
            if has_hung_up(self.sock):
                return False
            self.wait_for_space()
        return not self.finished

    def post_waiting_lines(self, count: int, max_waiting: int) -> None:
        """Post so many of the complete lines, as far as that needs no wait."""
        while self.unposted and count > 0 and self.may_post(max_waiting):
            self.post_line()
            count -= 1

    def post_line(self) -> None:
        """Post the first complete line; it is refused if there is no memory, or if it is too long."""
        refusal = Refusal.NO_MEMORY if self.refuses_input else None
        if refusal is None:
            self.short_since = None
        line = self.input.next_line()
        if len(line) > self.limits.line_bytes:
            refusal = Refusal.TOO_LONG
        self.send_bounded(LineReceived(line, self.received_at, refusal, self.waited_ms))
