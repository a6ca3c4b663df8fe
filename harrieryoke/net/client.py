"""One client connection: its actor handles the lines in order, tracks open calls and writes the answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
from gevent import socket

from ..core.calls import CallMaker, InvalidCallError
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.pauses import PauseWatch
from ..core.records import Call
from ..interface import Effect
from ..limits import Limits
from ..log import Log
from ..memory_budget import request_size
from .client_messages import (
    AnswerReady,
    CallRefused,
    CallUnsafe,
    CloseIfIdle,
    GiveWay,
    LineReceived,
    OutputDrained,
    RefusePartialLine,
    StopReading,
    TransferWhenIdle,
)
from .client_presence import ClientPresence
from .connection_ends import ConnectionEnds
from .connection_input import QUIET_MS
from .connection_state import EndReason, Refusal
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
from .outgoing import OutgoingQueue
from .pending_connections import MAX_FEW_CALLS
from .read_turns import ReadTurns
from .refusal import may_want_answer
from .unread import InputState, given_up_id, input_state, ms_since_data, read_now

ANSWER_OVERHEAD_BYTES = 256  # of an answer, in addition to its body
MAX_LONG_ANSWERS = 4  # that may be queued at once for a client that reads slowly
STALLED_MS = 250.0  # without progress, after which a client gives way to others
MAX_DRAINING_MS = 50.0  # of processor time, for a client that gives way
PASSED_OVER_BYTES = 4 * 1024  # at a time
REFUSING_SLICE_MS = 5.0  # after which the refusal of many lines lets others go on


class ClientActor(ClientPresence):
    """One client connection. It ends only by `end_connection`."""

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
        ends: ConnectionEnds | None = None,
    ) -> None:
        super().__init__(sock, name, limits, log, core.memory, pauses, turns)
        self.maker, self.core, self.on_closed = maker, core, on_closed
        self.ends = ends or ConnectionEnds(log, core.metrics)
        self.client, self.peer = name, name.rpartition(":")[0]
        self.open: dict[int, Call] = {}
        self.ids: dict[Call, int] = {}
        self.open_bytes = 0  # of the open calls, as charged
        self.deferred: deque[LineReceived] = deque()  # lines that came while answers wait
        self.close_request: CloseIfIdle | None = None
        self.transfer_request: TransferWhenIdle | None = None
        self.came_with_few_calls = False  # whole and short ones, before it had a place
        self.asked_at = float("-inf")  # when the front last asked it to give way
        # answers of ordinary size to all requests that may be open at once, and some long ones
        typical_bytes = limits.open_per_connection * (limits.body_bytes * 4 // 3 + ANSWER_OVERHEAD_BYTES)
        max_bytes = typical_bytes + MAX_LONG_ANSWERS * limits.answer_bytes * 4 // 3
        self.outgoing = OutgoingQueue(
            sock,
            self.name,
            max_bytes,
            log,
            self.output_drained,
            self.end_connection,
            core.memory,
            self.state,
        )

    # --- callbacks of the core ---

    def served(self, call: Call, body: bytes) -> None:
        self.send_bounded(AnswerReady(call, {"result": {"blob": body}}))

    def refused(self, call: Call, retry_after: float | None) -> None:
        error: dict[str, Any] = {"code": REFUSED, "message": "refused: trying again is harmless"}
        if retry_after:
            error["data"] = {"backoff": round(retry_after)}
        self.send_bounded(AnswerReady(call, {"error": error}))

    def failed(self, call: Call, reason: str) -> None:
        self.send_bounded(AnswerReady(call, {"error": {"code": FAILED, "message": f"failed: {reason}"}}))

    # --- what the client holds, for the front ---

    def stalled_bytes(self, now: float) -> int:
        """Return what a client holds here that may give way to others; 0 if it moves on or is owed answers.

        It moves on if the kernel has something from it that is not read here, or had a moment ago: a delay of
        this process is not the client's, and a call may stand behind the rest of a refused line.
        """
        if self.state.owes(False):
            return 0
        if self.is_in_line() and now - self.last_active > STALLED_MS and self.sends_nothing():
            return max(1, self.charged_input)
        return 0

    def sends_nothing(self) -> bool:
        """Return whether nothing is unread and nothing came for some time, as the kernel has it."""
        return input_state(self.sock) is InputState.EMPTY and ms_since_data(self.sock) > STALLED_MS

    def sends_too_many_lines(self, now: float) -> bool:
        """Return whether lines wait since there were more than the client may send, and no call is open."""
        return self.unposted and not self.open and self.read_rate.is_high(now)

    def is_demanding(self, now: float) -> bool:
        """Return whether the client is none that sends a few short calls at a time."""
        has_many_calls = len(self.open) + self.state.lines > MAX_FEW_CALLS
        return has_many_calls or not self.came_with_few_calls or self.read_rate.is_high(now)

    def waiting_bytes(self) -> int:
        """Return what the client holds here for a request that is not complete; 0 while calls are open."""
        return 0 if self.state.owes(False) else self.charged_input

    def idle_ms(self, now: float) -> float | None:
        """Return the time since the last complete line or answer; None while something is open."""
        return None if self.state.is_busy() or self.mailbox else now - self.last_active

    def is_stale(self, now: float, resumed: float) -> bool:
        """Return whether to close the connection to free its descriptor: the client is idle or has stalled.

        A pause of this process, the last of which ended at `resumed`, does not count as idle time.
        """
        between_requests = self.has_sent_line and not self.partial
        idle_ms = min(self.idle_ms(now) or 0.0, now - resumed)
        return idle_ms > (self.limits.client_idle_ms if between_requests else self.limits.client_ask_ms)

    def close_if_idle(self, reason: EndReason = EndReason.IDLE) -> bool:
        """Request a close, unless the client sends more before the actor handles the message."""
        return self.try_send(CloseIfIdle(reason, self.last_active if self.partial else None))

    # --- the end ---

    def end_connection(self, reason: EndReason, detail: str = "") -> bool:
        """End the connection at once, ahead of the messages in the mailbox, if this reason allows it.

        Lines that are not yet handled are dropped, nothing more is written, and no attempt may start for an
        open call. Returns False if calls are owed that may not be owed. That is a fault, unless they have
        come just now.
        """
        if self.finished:
            return True
        owed = self.owed_calls()
        if reason is not EndReason.FAULT and not self.may_end(reason):
            if not self.state.may_end(reason, has_unread=False):
                self.ends.report_fault(self.client, reason, owed, f"not ended: {detail}")
            return False
        self.stop_serving(reason, owed, detail)
        return True

    def may_end(self, reason: EndReason) -> bool:
        """Return whether the connection may end now for this reason."""
        return self.state.may_end(reason, self.has_unread_call(reason))

    def stop_serving(self, reason: EndReason, owed: list[str], detail: str) -> None:
        """Record the end; nothing is read, handled or written any more."""
        self.finished = True
        self.state.connection_ended(reason)
        self.ends.record(self.client, reason, owed, detail)
        if reason is EndReason.NOTHING_ACCEPTED:
            self.log("client-lost", f"{self.name}: {detail}")
        self.outgoing.close()
        for call in self.ids:
            call.abandoned = True
        self.message_arrived.set()
        self.space_available.set()

    def owed_calls(self) -> list[str]:
        """Return the ids of the requests that have no answer; of lines that are not handled, how many."""
        waiting = [f"unhandled line {n}" for n in range(1, self.state.lines + 1)]
        return [call.request_id for call in self.ids] + waiting

    def has_unread_call(self, reason: EndReason) -> bool:
        """Return whether input that may be a call is unread, or may be on its way behind the start of a line.

        The rest may wait in the client's kernel for a timer, though the client has written it. A line that
        takes longer than the limits allow is no reason to stay.
        """
        if self.skimmer is not None or (self.partial and reason is EndReason.PLACE):
            return not self.sends_nothing()
        return input_state(self.sock) is InputState.UNREAD

    def finish(self) -> None:
        """Withdraw all open calls."""
        super().finish()
        if self.state.ended is None:
            self.stop_serving(EndReason.FAULT, self.owed_calls(), "its actor has died")
        self.ends.close(self.sock)
        self.drop_input()
        calls = list(self.ids)
        # each call refers back to this actor, and such a cycle would live until the next full collection
        self.ids.clear()
        self.open.clear()
        self.deferred.clear()
        for call in calls:
            self.core.withdraw(call)
        self.on_closed(self)

    # --- messages ---

    def start(self) -> None:
        super().start()
        self.start_reading()

    def output_drained(self) -> None:
        """Have the lines handled that came meanwhile, and more read."""
        self.send_bounded(OutputDrained())
        self.space_available.set()

    def receive(self, message: Any) -> None:
        match message:
            case LineReceived() if self.deferred:
                self.deferred.append(message)
            case LineReceived():
                self.take_line(message)
            case CallRefused(id, refusal):
                self.state.line_handled()
                self.reject_line(None if id in self.open else id, "", refusal_error(refusal))
            case AnswerReady(call, reply):
                self.write_answer(call, reply)
            case CallUnsafe(call):
                self.refuse_unsafe_call(call)
            case RefusePartialLine():
                if self.partial and not self.unposted:
                    self.skim_line(Refusal.NO_MEMORY)
            case GiveWay(reason):
                self.give_way(reason)
            case StopReading():
                self.stop_reading()
            case CloseIfIdle():
                self.close_request = message
            case TransferWhenIdle():
                self.transfer_request = message
            case OutputDrained():
                self.handle_deferred()
        if not (self.finished or self.mailbox or self.state.is_busy()):
            self.close_or_transfer()

    def close_or_transfer(self) -> None:
        """Close or transfer the connection if requested; nothing is open, unsent or in the mailbox."""
        request = self.close_request
        if self.partial and (request is None or request.stalled_line_at != self.last_active):
            return
        if self.transfer_request is not None and not self.partial and self.skimmer is None:
            self.transfer(self.transfer_request)
        elif request is not None and self.may_end(request.reason):
            self.end_connection(request.reason)

    def transfer(self, request: TransferWhenIdle) -> None:
        """Give the socket away; nothing is read from it or written to it here any more.

        If the reader had taken bytes off the socket before it was stopped, the connection stays here for now.
        """
        self.reader.kill()
        if self.finished:
            return
        if self.mailbox or self.state.lines or self.partial:
            return self.start_reading()
        self.stop_serving(EndReason.TRANSFERRED, self.owed_calls(), "")
        sock, self.sock = self.sock, socket.socket()
        request.transfer(sock, self.client)

    def stop_reading(self) -> None:
        """Refuse the lines that were read and are not handled; what is unread has come too late."""
        self.state.reading_stopped()
        lines = [message for message in self.waiting_messages() if isinstance(message, LineReceived)]
        others = [message for message in self.mailbox if not isinstance(message, LineReceived)]
        self.deferred.clear()
        self.mailbox.clear()
        self.mailbox.extend(others)
        waiting = [message.data for message in lines] + self.input.take_lines().split(b"\n")[:-1]
        slice_end = now_ms() + REFUSING_SLICE_MS
        for data in waiting:
            self.handle_message(LineReceived(data, self.received_at, Refusal.STOPPING))
            if now_ms() > slice_end:
                gevent.sleep(0)
                slice_end = now_ms() + REFUSING_SLICE_MS

    def give_way(self, reason: EndReason) -> None:
        """Pass over what was sent, and end the connection if that comes to an end."""
        messages = [message for message in self.waiting_messages() if not isinstance(message, GiveWay)]
        lines = [message for message in messages if isinstance(message, LineReceived)]
        if len(lines) < len(messages) or self.state.open_ids or self.state.unsent_answers:
            return
        self.deferred.clear()
        self.mailbox.clear()
        self.input.put_back(b"".join(message.data + b"\n" for message in lines))
        self.state.giving_way_changed(True)
        drained = self.pass_over_input()
        self.state.giving_way_changed(False)
        if not (self.finished or self.is_asked_more()) and self.may_end(reason):
            self.end_connection(reason, f"{drained} bytes were passed over")

    def is_asked_more(self) -> bool:
        """Return whether messages wait that are no further requests to give way."""
        return any(not isinstance(message, GiveWay) for message in self.mailbox)

    def pass_over_input(self) -> int:
        """Pass over what was read and what is unread, until nothing comes or an answer can't be sent.

        Others get as much of the processor meanwhile. Returns how many bytes were read.
        """
        drained, spent_ms, was_quiet = 0, 0.0, False
        while not (self.finished or self.is_asked_more()) and spent_ms < MAX_DRAINING_MS:
            started_at = now_ms()
            if not self.pass_over(self.input.take_lines()):
                break
            if data := read_now(self.sock, PASSED_OVER_BYTES):
                drained += len(data)
                was_quiet = False
                self.take_input(data)
                step_ms = now_ms() - started_at
                spent_ms += step_ms
                gevent.sleep(step_ms / 1000)
            elif was_quiet:
                break
            else:
                # more may be on its way
                was_quiet = True
                gevent.sleep(QUIET_MS / 1000)
        return drained

    def pass_over(self, lines: bytes) -> bool:
        """Refuse the lines that may want an answer, and drop others; return False if an answer waits then."""
        if may_want_answer(lines):
            waiting, lines = deque(lines.split(b"\n")[:-1]), b""
            while waiting and not self.state.unsent_answers:
                self.handle_message(LineReceived(waiting.popleft(), self.received_at, Refusal.NO_PLACE))
            self.input.put_back(b"".join(line + b"\n" for line in waiting))
        self.release_input(len(lines))
        self.state.line_handled(lines.count(b"\n"))
        self.read_rate.count_line(lines.count(b"\n"))
        return not self.state.unsent_answers

    # --- lines ---

    def waiting_messages(self) -> Iterator[object]:
        yield from self.deferred
        yield from self.mailbox

    def handle_deferred(self) -> None:
        """Handle the lines that came while answers waited, as far as no further answer waits."""
        while self.deferred and self.state.may_handle():
            self.handle_message(self.deferred.popleft())

    def take_line(self, message: LineReceived) -> None:
        """Handle a line, or put it aside while answers wait."""
        if self.state.may_handle():
            self.handle_message(message)
        elif self.state.ended is None:
            self.deferred.append(message)

    def handle_message(self, message: LineReceived) -> None:
        """Handle a line, and charge its time to the client."""
        data, started_at = message.data, now_ms()
        self.release_input(len(data) + 1)
        if data.strip():
            self.handle_line(message)
        else:
            self.read_rate.count_line()
        self.state.line_handled()
        self.read_rate.charge(now_ms() - started_at)

    def handle_line(self, line: LineReceived) -> None:
        refusal, id, method = line.refusal, None, ""
        try:
            message = decode_message(line.data)
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
            if refusal is not None:
                raise refusal_error(refusal)
            if len(self.open) >= self.limits.open_per_connection:
                raise BadRequestError(REFUSED, "too many open requests on this connection")
            call = self.create_call(method, bytes(message.params), line.received_at)
            call.deadline -= line.waited_ms
            if not self.memory.may_hold(self.open_bytes, request_size(len(call.body))):
                raise BadRequestError(REFUSED, "the open requests of this connection hold too much memory")
        except BadRequestError as error:
            if refusal is Refusal.TOO_LONG and id is None:
                self.close_request = CloseIfIdle(EndReason.LINE_TOO_LONG)
                return
            return self.reject_line(id, method, error)
        call.open_before = len(self.open)
        self.open[id], self.ids[call] = call, id
        self.state.call_opened(id)
        self.open_bytes += request_size(len(call.body))
        self.core.offer(call, self)

    def close_call(self, id: int, call: Call) -> None:
        """Forget an open call."""
        del self.open[id], self.ids[call]
        self.state.call_closed(id)
        self.open_bytes -= request_size(len(call.body))

    def reject_line(self, id: int | None, method: str, error: BadRequestError) -> None:
        self.read_rate.count_line()
        self.log("bad-request", f"{self.name}: {error}")
        if method in self.maker.classes:
            self.core.metrics.count_final_answer(method, "refused" if error.code == REFUSED else "failed")
        self.write({"id": id, "error": self.error_of(error)})

    def error_of(self, error: BadRequestError) -> dict[str, Any]:
        """Return the error of an answer, with a backoff if it is a refusal."""
        answer: dict[str, Any] = {"code": error.code, "message": str(error)}
        if error.code == REFUSED and (backoff := self.maker.settings.max_retry_after):
            answer["data"] = {"backoff": round(backoff)}
        return answer

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
            call.source = self.client
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

    # --- answers ---

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

    def write_answer(self, call: Call, reply: dict[str, Any]) -> None:
        """Write the answer of an open call; a body that finds no room gives way to an error."""
        if (id := self.ids.get(call)) is None:
            return
        self.close_call(id, call)
        self.last_active = now_ms()
        line = encode_reply({"id": id} | reply)
        if not self.outgoing.has_room(len(line)):
            self.log("answer-replaced", f"{call.request_id}: {self.outgoing.unsent_bytes} bytes are unsent")
            line = encode_reply({"id": id, "error": self.error_of(self.no_room_error(call))})
        call.answer_reservation = None  # what is not accepted at once is charged as unsent
        self.outgoing.put(line, is_answer=True)

    def no_room_error(self, call: Call) -> BadRequestError:
        """Return the error for an answer that finds no room; the call has run."""
        request_class = self.maker.settings.classes[call.class_index]
        code = REFUSED if request_class.effect is Effect.SAFE else FAILED
        return BadRequestError(code, "no room for the answer: those before it are not read")

    def write(self, reply: dict[str, Any]) -> None:
        self.outgoing.put(encode_reply(reply), is_answer=reply.get("id") is not None)


def encode_reply(reply: dict[str, Any]) -> bytes:
    """Return the line of a reply."""
    return msgspec.json.encode({"jsonrpc": "2.0"} | reply) + b"\n"


def refusal_error(refusal: Refusal) -> BadRequestError:
    """Return the error for a line that is refused without being handled."""
    return BadRequestError(BAD_PARAMS if refusal is Refusal.TOO_LONG else REFUSED, refusal.value)
