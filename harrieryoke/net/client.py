"""One client connection: its actor reads lines in order and writes the answers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec
from gevent import socket

from ..core.actor import Actor, spawn
from ..core.calls import CallMaker, InvalidCallError
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout
from ..core.module import ModuleActor
from ..core.pauses import PauseWatch
from ..core.process_memory import is_receive_buffer_full
from ..core.records import Call
from ..limits import Limits
from ..log import Log
from ..memory_budget import MIN_INPUT_BYTES, Owner, Pressure, request_size
from .jsonrpc import (
    BAD_PARAMS,
    FAILED,
    INVALID,
    NO_METHOD,
    PROP_SEPARATOR,
    REFUSED,
    BadRequestError,
    CallParams,
    Message,
    decode_message,
    parse_props,
)
from .line_buffer import LineBuffer
from .outgoing import OutgoingQueue
from .read_turns import TURN_LINES, ReadRate, ReadTurns
from .refusal import CALL_MEMBER, CALL_START
from .unread import (
    InputState,
    given_up_id,
    gives_up,
    has_hung_up,
    input_state,
    is_writable,
    ms_since_data,
    peek,
)

HANG_UP_POLL_MS = 20.0  # between checks for a closed connection while the mailbox is full
MEMORY_POLL_MS = 60.0  # between checks for memory to read on
MAX_MEMORY_WAIT_MS = 500.0  # for memory to read a line, after which its call is refused
MAX_UNSENT_MESSAGES = 256
ANSWER_OVERHEAD_BYTES = 256  # of an answer, in addition to its body
MAX_LONG_ANSWERS = 4  # that may be queued at once for a client that reads slowly
STALLED_MS = 250.0  # without progress, after which a client gives way under memory pressure
QUIET_MS = 2.0  # without data; what was sent before has arrived then
MAX_UNREAD_MS = 100.0  # after a client has left, no attempt may begin; what it sent may hide that for so long


@dataclass(frozen=True, slots=True)
class LineReceived:
    """The reader has read a line."""

    data: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class LineRefused:
    """There is no memory to read the call with this id to its end."""

    id: int


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """The core has answered the call."""

    call: Call
    reply: dict[str, Any]


@dataclass(frozen=True, slots=True)
class CallUnsafe:
    """The call was not sent: bytes that may say that the client has left were unread for too long."""

    call: Call


@dataclass(frozen=True, slots=True)
class OutputDrained:
    """Everything that could not be written at once has been written."""


@dataclass(frozen=True, slots=True)
class CloseIfIdle:
    """Close the connection once no request is open on it and no line is partly read.

    A partial line that was started at `stalled_line_at` has stalled and is not waited for; any other line is.
    """

    stalled_line_at: float | None = None


@dataclass(frozen=True, slots=True)
class TransferWhenIdle:
    """Transfer the connection to another process once no request is open on it.

    `transfer` gets the socket, with all bytes that are still unread, and the client's name.
    """

    transfer: Callable[[socket.socket, str], object]


class ClientActor(Actor):
    """One client connection: reads its lines in order, tracks its open calls, writes its answers."""

    def __init__(
        self,
        sock: socket.socket,
        name: str,
        maker: CallMaker,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        on_closed: Callable[[ClientActor], object],
        pauses: PauseWatch,
        turns: ReadTurns | None = None,
    ) -> None:
        # the reserve is for answers: they must find space however fast a client sends
        super().__init__(f"client {name}", limits.client_mailbox, log, reserve=limits.client_mailbox * 3 // 4)
        # a client that reads nothing for this long loses its connection
        sock.settimeout(limits.write_ms / 1000)
        self.sock, self.maker, self.core, self.limits, self.on_closed = sock, maker, core, limits, on_closed
        self.pauses, self.memory = pauses, core.memory
        self.turns = turns or ReadTurns()
        self.read_rate = ReadRate()
        self.client, self.peer = name, name.rpartition(":")[0]
        self.open: dict[int, Call] = {}
        self.ids: dict[Call, int] = {}
        self.close_requested = False
        self.stalled_line_at: float | None = None  # start of a stalled partial line: a close ignores it
        self.transfer_request: TransferWhenIdle | None = None
        self.input = LineBuffer(limits.line_bytes)
        self.charged_input = 0  # bytes read and not handled
        self.reserved_input = 0  # charged for the rest of a line
        self.is_skipping = False  # up to the end of a line that was refused
        self.open_bytes = 0  # of the open calls, as charged
        self.received_at = 0.0  # earliest time at which they may have been received
        self.quiet_from = float("inf")  # the reader waits; from then on nothing was on its way before
        self.read_at = float("-inf")  # when bytes were read last
        self.unread_since: float | None = None  # of the bytes read last and what follows them
        # when the client was last active, or the first byte of a partial line was received
        self.last_active = now_ms()
        self.has_sent_line = False  # a complete line was received
        # answers of ordinary size to all requests that may be open at once, and some long ones
        typical_bytes = limits.open_per_connection * (limits.body_bytes * 4 // 3 + ANSWER_OVERHEAD_BYTES)
        max_bytes = typical_bytes + MAX_LONG_ANSWERS * limits.answer_bytes * 4 // 3
        self.outgoing = OutgoingQueue(
            sock,
            self.name,
            MAX_UNSENT_MESSAGES,
            max_bytes,
            log,
            lambda: self.try_send(OutputDrained()),
            self.write_failed,
            core.memory,
        )

    # --- callbacks of the core ---

    def served(self, call: Call, body: bytes) -> None:
        self.try_send(AnswerReady(call, {"result": {"blob": body}}))

    def refused(self, call: Call, retry_after: float | None) -> None:
        error: dict[str, Any] = {"code": REFUSED, "message": "refused: trying again is harmless"}
        if retry_after:
            error["data"] = {"backoff": round(retry_after)}
        self.try_send(AnswerReady(call, {"error": error}))

    def failed(self, call: Call, reason: str) -> None:
        self.try_send(AnswerReady(call, {"error": {"code": FAILED, "message": f"failed: {reason}"}}))

    # --- connection ---

    @property
    def partial(self) -> bool:
        """Whether a line has begun and is not complete."""
        return self.input.has_partial()

    @property
    def unposted(self) -> bool:
        """Whether complete lines wait for space in the mailbox."""
        return self.input.has_line()

    def stalled_bytes(self, now: float) -> int:
        """Return what the client holds here without moving on for some time; 0 if it moves on.

        It moves on if the kernel has something from it that is not read here, or accepts something for it: a
        delay of this process is not the client's. A client that is owed answers has not stalled. One whose
        long line can't be read for want of memory has: those that hold little need its place. So has one that
        sends more lines than it may, none of which is a call.
        """
        if self.sends_too_many_lines(now):
            return self.charged_input
        if self.open or self.mailbox or self.unposted:
            return 0
        stalled = 0
        if self.partial and now - self.last_active > STALLED_MS:
            stalled += self.charged_input if self.lacks_memory() or self.sends_nothing() else 0
        since = self.outgoing.stalled_since
        if since is not None and now - since > STALLED_MS and not is_writable(self.sock):
            stalled += self.outgoing.unsent_bytes
        return stalled

    def sends_too_many_lines(self, now: float) -> bool:
        """Return whether lines wait since there were more than the client may send, and none is a call."""
        if self.open or not self.unposted or not self.read_rate.is_high(now):
            return False
        posted = (message.data for message in self.mailbox if isinstance(message, LineReceived))
        return CALL_MEMBER not in self.input.unread() and not any(CALL_MEMBER in line for line in posted)

    def sends_nothing(self) -> bool:
        """Return whether nothing is unread and nothing came for some time, as the kernel has it."""
        return input_state(self.sock) is InputState.EMPTY and ms_since_data(self.sock) > STALLED_MS

    def waiting_bytes(self) -> int:
        """Return what the client holds here for a request that is not complete; 0 while calls are open."""
        return 0 if self.open or self.mailbox or self.unposted else self.charged_input

    def idle_ms(self, now: float) -> float | None:
        """Return the time since the last complete line or answer; None while something is open."""
        is_busy = self.open or self.mailbox or self.unposted or self.outgoing.unsent
        return None if is_busy else now - self.last_active

    def is_stale(self, now: float, resumed: float) -> bool:
        """Return whether to close the connection to free its descriptor: the client is idle or has stalled.

        A pause of this process, the last of which ended at `resumed`, does not count as idle time.
        """
        between_requests = self.has_sent_line and not self.partial
        idle_ms = min(self.idle_ms(now) or 0.0, now - resumed)
        return idle_ms > (self.limits.client_idle_ms if between_requests else self.limits.client_ask_ms)

    def close_if_idle(self) -> bool:
        """Request a close, unless the client sends more before the actor handles the message."""
        return self.try_send(CloseIfIdle(self.last_active if self.partial else None))

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have been received that the reader has not read yet."""
        self.sock.settimeout(0)
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        finally:
            self.sock.settimeout(self.limits.write_ms / 1000)

    def start(self) -> None:
        super().start()
        self.start_reading()

    def start_reading(self) -> None:
        self.reader = spawn(self.log, f"{self.name} reader", self.read_stream)

    def read_stream(self) -> None:
        """Run the reader's greenlet: split the stream into lines."""
        try:
            while self.post_lines() and self.wait_for_room():
                try:
                    data = self.read_some()
                except TimeoutError as error:
                    if is_kernel_timeout(error):
                        break
                    continue
                if not data or self.finished or not self.take_input(data):
                    break
        except OSError:
            pass  # a reset counts as the end of the stream
        self.end_connection()

    def room(self) -> int:
        """Return how many bytes may be read now.

        Under memory pressure that is an ordinary request, or a line whose whole length could be reserved:
        lines that are read side by side and all lack memory for their rest would never end.
        """
        chunk = self.limits.line_bytes // 4
        if self.is_skipping:
            return chunk
        if self.reserved_input:
            return min(chunk, self.reserved_input)
        free = min(chunk, self.memory.free(Owner.INPUT))
        if self.memory.pressure is Pressure.NONE:
            return free
        if self.charged_input < MIN_INPUT_BYTES:
            return min(free, MIN_INPUT_BYTES - self.charged_input)
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

    def lacks_memory(self) -> bool:
        """Return whether a line has begun whose rest is not read for want of memory."""
        return self.partial and not self.reserved_input and self.charged_input >= MIN_INPUT_BYTES

    def wait_for_room(self) -> bool:
        """Wait until the memory allows to read on; return False once the connection has ended."""
        waiting_since = now_ms()
        while not self.finished and self.room() <= 0:
            if has_hung_up(self.sock):
                return False
            if now_ms() - waiting_since > MAX_MEMORY_WAIT_MS and self.refuse_partial():
                return True
            gevent.sleep(MEMORY_POLL_MS / 1000)
        return not self.finished

    def refuse_partial(self) -> bool:
        """Refuse the call whose line can't be read for want of memory, and skip the rest of that line.

        Returns False if it is not known which call it is.
        """
        if not self.lacks_memory() or self.unposted:
            return False
        start = CALL_START.match(self.input.unread())
        if start is None or not self.try_send(LineRefused(int(start[1]))):
            return False
        self.release_input(len(self.input))
        self.input.clear()
        self.is_skipping = True
        return True

    def skip_line(self, data: bytes) -> bytes:
        """Return what follows the line that is skipped."""
        _, end, rest = data.partition(b"\n")
        self.is_skipping = not end
        return rest

    def take_input(self, data: bytes) -> bool:
        """Store what was read; return False if the connection has to end for it."""
        if self.is_skipping and not (data := self.skip_line(data)):
            return True
        from_reserve = min(self.reserved_input, len(data))
        self.reserved_input -= from_reserve
        if not self.memory.try_charge(Owner.INPUT, len(data) - from_reserve):
            self.memory.release(Owner.INPUT, from_reserve)
            reason = f"no memory for what it sends: {self.memory.describe()}"
            self.log("client-closed", f"{self.client}: {reason}")
            self.end_connection(reason)
            return False
        self.charged_input += len(data)
        was_partial = self.partial
        self.input.feed(data)
        now = now_ms()
        self.received_at = self.pauses.earliest_arrival(now)
        if self.unposted or not was_partial:
            self.last_active = now
        if self.unposted:
            self.has_sent_line = True
            self.release_reserved()
        if self.input.is_too_long():
            self.log("bad-client", f"{self.name}: a line of more than {self.limits.line_bytes} bytes")
            return False
        return True

    def release_input(self, size: int) -> None:
        """Give back the memory of handled bytes."""
        self.charged_input -= size
        self.memory.release(Owner.INPUT, size)

    def drop_input(self) -> None:
        """Discard what is read and not handled; the connection has ended."""
        self.input.clear()
        self.release_input(self.charged_input)
        self.release_reserved()

    def read_some(self) -> bytes:
        """Wait for data and read it; note since when some of it, or of what follows, may have been unread.

        What follows a read without a pause may have waited at the client for space here. Raises OSError.
        """
        self.end_quiet()
        if input_state(self.sock) is InputState.EMPTY:
            self.quiet_from = now_ms() + QUIET_MS
            self.sock.recv(1, socket.MSG_PEEK)
            self.end_quiet()
        if self.unread_since is None:
            self.unread_since = now_ms() - ms_since_data(self.sock)
        # the memory may have gone to others while this waited for data
        while (room := self.room()) <= 0:
            if not self.wait_for_room():
                return b""
        data: bytes = self.sock.recv(room)
        self.read_at = now_ms()
        return data

    def end_quiet(self) -> None:
        """Note that the reader waits no more; if it was quiet, what was sent before has arrived."""
        if now_ms() > self.quiet_from:
            self.unread_since = None
        self.quiet_from = float("inf")

    # --- whether the client is still there ---

    def open_calls(self) -> int:
        """Return how many calls of the connection have no answer yet."""
        return len(self.open)

    def has_withdrawn(self, call: Call) -> bool:
        """Return whether nothing may be sent for the call any more; asked directly before its first byte.

        The client's end, or its `giveUp`, may lie behind bytes that are not read yet. Where these were unread
        for too long, not even the kernel need know of an end, and the call counts as withdrawn.
        """
        if call.abandoned or self.finished:
            return True
        state = input_state(self.sock)
        if state is InputState.ENDED:
            self.end_connection()
        elif state is InputState.UNREAD:
            call.abandoned = self.is_given_up(call) or self.must_refuse(call)
        elif self.unposted or self.mailbox:
            call.abandoned = self.is_given_up(call)
        return call.abandoned

    def is_given_up(self, call: Call) -> bool:
        """Return whether a line that is not handled yet gives the call up."""
        id = self.ids.get(call)
        return id is None or gives_up(self.unhandled_lines(), id, call.request_id)

    def unhandled_lines(self) -> Iterator[bytes]:
        """Yield the lines that are in the mailbox, before it, or still unread."""
        for message in self.mailbox:
            if isinstance(message, LineReceived):
                yield message.data
        yield from (self.input.unread() + peek(self.sock)).split(b"\n")

    def must_refuse(self, call: Call) -> bool:
        """Return whether bytes were unread for too long to know of the client; the call is answered then.

        As long as the client may send more, its end would have arrived behind what is unread.
        """
        now = now_ms()
        if now > self.read_at + QUIET_MS and not is_receive_buffer_full(self.sock):
            return False
        since = now - ms_since_data(self.sock)
        if self.unread_since is not None and now <= self.quiet_from:
            since = min(since, self.unread_since)
        return now - since > MAX_UNREAD_MS and self.try_send(CallUnsafe(call))

    def refuse_unsafe_call(self, call: Call) -> None:
        """Answer a call that was not sent, as the client may have left, and withdraw it."""
        id = self.ids.get(call)
        if id is None:
            return
        self.log("refused", f"{call.request_id}: {self.name} sends more than is read of it")
        code, result = (FAILED, "failed") if call.started else (REFUSED, "refused")
        self.core.metrics.count_final_answer(call.class_name, result)
        self.core.withdraw(call)
        self.write_answer(call, {"error": {"code": code, "message": f"{result}: read too slowly"}})

    # --- reading ---

    def post_lines(self) -> bool:
        """Post the complete lines; return False once the connection has ended.

        Applies backpressure: waits while the mailbox is full up to its reserve, unless the client closes the
        connection. `recv` would report that too late, as the end of the stream lies behind unread bytes.
        """
        max_waiting = self.capacity - self.reserve
        while self.unposted and not self.finished:
            if self.read_rate.is_high(now_ms()):
                with self.turns.turn():
                    self.read_rate.take_spent()
                    is_open = self.post_waiting_lines(TURN_LINES, TURN_LINES)
                    gevent.sleep(0)
                    if self.turns.waiting:
                        # others get as much of the processor as those that take turns
                        gevent.sleep(self.read_rate.take_spent() / 1000)
            else:
                is_open = self.post_waiting_lines(max_waiting, max_waiting)
            if not is_open:
                return False
        return not self.finished

    def post_waiting_lines(self, count: int, max_waiting: int) -> bool:
        """Post so many of the complete lines, of which some may wait in the mailbox at a time.

        Lines of an ended connection are dropped.
        """
        while self.unposted and count > 0 and not self.finished:
            if len(self.mailbox) < max_waiting:
                self.try_send(LineReceived(self.input.next_line(), self.received_at))
                count -= 1
            elif has_hung_up(self.sock):
                return False
            else:
                self.space_available.clear()
                self.space_available.wait(HANG_UP_POLL_MS / 1000)
        if self.input.is_too_long():
            self.log("bad-client", f"{self.name}: a line of more than {self.limits.line_bytes} bytes")
            return False
        return not self.finished

    def end_connection(self, reason: str = "") -> None:
        """End the connection at once, ahead of the messages in the mailbox.

        Lines that are not yet handled are dropped, nothing more is written, and no attempt may start for an
        open call. A `reason` says why this process ends it; there is none where the client has left.
        """
        if reason and self.open and not self.finished:
            self.log("calls-dropped", f"{self.client}: {len(self.open)} open calls: {reason}")
        self.finished = True
        self.outgoing.close()
        for call in self.ids:
            call.abandoned = True
        self.message_arrived.set()
        self.space_available.set()

    def write_failed(self, reason: str) -> None:
        """Handle a failure of the outgoing queue."""
        self.log("client-lost", f"{self.name}: {reason}")
        self.end_connection(reason)

    def receive(self, message: Any) -> None:
        match message:
            case LineReceived(data, received_at):
                self.release_input(len(data) + 1)
                started_at = now_ms()
                self.handle_line(data, received_at) if data.strip() else self.read_rate.count_line()
                self.read_rate.charge(now_ms() - started_at)
            case LineRefused(id):
                error = BadRequestError(REFUSED, "no memory to read a request of this size")
                self.reject_line(None if id in self.open else id, "", error)
            case AnswerReady(call, reply):
                self.write_answer(call, reply)
            case CallUnsafe(call):
                self.refuse_unsafe_call(call)
            case CloseIfIdle(stalled_line_at):
                self.close_requested, self.stalled_line_at = True, stalled_line_at
            case TransferWhenIdle():
                self.transfer_request = message
            case OutputDrained():
                pass  # only wakes the actor for the check below
        if not (self.finished or self.open or self.mailbox or self.unposted or self.outgoing.unsent):
            self.close_or_transfer()

    def close_or_transfer(self) -> None:
        """Close or transfer the connection if requested; nothing is open, unsent or in the mailbox."""
        if self.partial and self.stalled_line_at != self.last_active:
            return
        if self.transfer_request is not None and not self.partial:
            self.transfer(self.transfer_request)
        elif self.close_requested and not self.has_unread_bytes():
            self.finished = True

    def transfer(self, request: TransferWhenIdle) -> None:
        """Give the socket away; nothing is read from it or written to it here any more.

        If the reader had taken bytes off the socket before it was stopped, the connection stays here for now.
        """
        self.reader.kill()
        if self.finished:
            return
        if self.mailbox or self.unposted or self.partial:
            return self.start_reading()
        self.finished, sock = True, self.sock
        self.sock = socket.socket()
        request.transfer(sock, self.client)

    def handle_line(self, data: bytes, received_at: float) -> None:
        id, method = None, ""
        try:
            message = decode_message(data)
            method = message.method
            if message.jsonrpc != "2.0":
                raise BadRequestError(INVALID, "jsonrpc: '2.0' is wanted")
            if method == "giveUp":
                self.read_rate.count_line()
                return self.handle_give_up(message)
            if message.id is None or message.id in self.open:
                # a second answer could be sent under an id that is still open
                raise BadRequestError(INVALID, "id: a new number is wanted")
            id = message.id
            if method == "probe":
                self.read_rate.count_line()
                return self.write({"id": id, "result": {"healthy": True}})
            if len(self.open) >= self.limits.open_per_connection:
                raise BadRequestError(REFUSED, "too many open requests on this connection")
            call = self.create_call(method, bytes(message.params), received_at)
            if not self.memory.may_hold(self.open_bytes, request_size(len(call.body))):
                raise BadRequestError(REFUSED, "the open requests of this connection hold too much memory")
        except BadRequestError as error:
            return self.reject_line(id, method, error)
        call.open_before = len(self.open)
        self.open[id], self.ids[call] = call, id
        self.open_bytes += request_size(len(call.body))
        self.core.offer(call, self)

    def close_call(self, id: int, call: Call) -> None:
        """Forget an open call."""
        del self.open[id], self.ids[call]
        self.open_bytes -= request_size(len(call.body))

    def reject_line(self, id: int | None, method: str, error: BadRequestError) -> None:
        self.read_rate.count_line()
        self.log("bad-request", f"{self.name}: {error}")
        if method in self.maker.classes:
            self.core.metrics.count_final_answer(method, "refused" if error.code == REFUSED else "failed")
        answer: dict[str, Any] = {"code": error.code, "message": str(error)}
        if error.code == REFUSED and (backoff := self.maker.settings.max_retry_after):
            answer["data"] = {"backoff": round(backoff)}
        self.write({"id": id, "error": answer})

    def create_call(self, method: str, params: bytes, received_at: float) -> Call:
        if method not in self.maker.classes:
            raise BadRequestError(NO_METHOD, f"no class {method[:64]!r}")
        try:
            call_params: CallParams = msgspec.json.decode(params, type=CallParams)
            call = self.maker.make(
                method,
                call_params.rid,
                call_params.obj,
                call_params.budget,
                received_at,
                call_params.blob,
                call_params.token,
                call_params.acct,
                parse_props(call_params.props),
            )
            call.client, call.class_name, call.origin = self.peer, method, self
            call.prop_count = call_params.props.count(PROP_SEPARATOR) + 1
            return call
        except (msgspec.MsgspecError, InvalidCallError, ValueError) as error:
            raise BadRequestError(BAD_PARAMS, str(error)) from None

    def handle_give_up(self, message: Message) -> None:
        """Withdraw a call, named by its id or its rid; nothing is written for it afterwards."""
        open_ids = ((open_id, call.request_id) for open_id, call in self.open.items())
        try:
            id = given_up_id(message, open_ids)
        except msgspec.MsgspecError as error:
            raise BadRequestError(BAD_PARAMS, str(error)) from None
        if id is not None and (call := self.open.get(id)) is not None:
            self.close_call(id, call)
            call.abandoned = True
            self.core.withdraw(call)

    def write_answer(self, call: Call, reply: dict[str, Any]) -> None:
        if (id := self.ids.get(call)) is not None:
            self.close_call(id, call)
            self.last_active = now_ms()
            self.write({"id": id} | reply)

    def write(self, reply: dict[str, Any]) -> None:
        self.outgoing.put(msgspec.json.encode({"jsonrpc": "2.0"} | reply) + b"\n")

    def finish(self) -> None:
        """Withdraw all open calls."""
        super().finish()
        self.end_connection()
        self.sock.close()
        self.drop_input()
        calls = list(self.ids)
        # each call refers back to this actor, and such a cycle would live until the next full collection
        self.ids.clear()
        self.open.clear()
        for call in calls:
            self.core.withdraw(call)
        self.on_closed(self)
