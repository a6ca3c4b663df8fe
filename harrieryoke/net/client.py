"""One client connection: its actor reads lines in order and writes the answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from gevent import socket

from ..core.actor import Actor, now_ms, spawn
from ..core.calls import BadCall, CallMaker
from ..core.module import ModuleActor
from ..core.records import Call
from ..limits import Limits
from ..log import Log
from .jsonrpc import (
    BAD_PARAMS,
    FAILED,
    INVALID,
    NO_METHOD,
    PARSE,
    REFUSED,
    BadRequest,
    CallParams,
    GiveUpParams,
    Message,
    read_props,
)


@dataclass(slots=True)
class Line:
    data: bytes
    at: float


@dataclass(slots=True)
class Answer:
    call: Call
    reply: dict[str, Any]


class Ended:
    """The client's side of the connection is over."""


class CloseIfIdle:
    """Nothing more is expected here: the connection goes once no request is open on it."""


@dataclass(slots=True)
class PassOn:
    """The connection goes to another process once no request is open on it: `to` gets the socket, and with it
    all that nobody has read yet, and the client's name."""

    to: Callable[[socket.socket, str], object]


class ClientActor(Actor):
    """One client connection: reads its lines in order, keeps what is open on it, writes its answers."""

    def __init__(
        self,
        sock: socket.socket,
        name: str,
        maker: CallMaker,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        gone: Callable[[ClientActor], object],
    ) -> None:
        # the reserve is kept for answers: they must find room however fast a client writes
        super().__init__(f"client {name}", limits.client_mailbox, log, reserve=limits.client_mailbox * 3 // 4)
        # guards against a client that does not read: its answer fails, and its connection ends
        sock.settimeout(limits.write_ms / 1000)
        self.sock, self.maker, self.core, self.limits, self.gone = sock, maker, core, limits, gone
        self.client, self.peer = name, name.rpartition(":")[0]
        self.open: dict[int, Call] = {}
        self.ids: dict[Call, int] = {}
        self.stopping = False
        self.going: PassOn | None = None
        self.rest: bytes | None = b""  # of a line that is not yet whole; None at the connection's end
        self.used = now_ms()  # the last sign of life, or the first byte of a line that is not yet whole
        self.asked, self.begun = False, False  # a whole line has come; a part of the next one has

    # --- the core's side ---

    def served(self, call: Call, body: bytes) -> None:
        self.tell(Answer(call, {"result": {"blob": body}}))

    def refused(self, call: Call, retry_after: float | None) -> None:
        error: dict[str, Any] = {"code": REFUSED, "message": "refused: trying again is harmless"}
        if retry_after:
            error["data"] = {"backoff": round(retry_after)}
        self.tell(Answer(call, {"error": error}))

    def failed(self, call: Call, reason: str) -> None:
        self.tell(Answer(call, {"error": {"code": FAILED, "message": f"failed: {reason}"}}))

    # --- the connection ---

    def quiet(self, now: float) -> float | None:
        """For how long nothing has come that is whole; None while something is open. The front reads this."""
        return None if self.open or self.box else now - self.used

    def stale(self, now: float, stepped: float) -> bool:
        """Guards the descriptors against clients that never ask, stop within a line, or never close. What the
        clock stepped over at `stepped` was no silence of theirs."""
        idle = self.asked and not self.begun
        quiet = min(self.quiet(now) or 0.0, now - stepped)
        return quiet > (self.limits.client_idle_ms if idle else self.limits.client_ask_ms)

    def unread(self) -> bool:
        """Guards against closing on a request that has come but was not read yet."""
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
        self.reader = spawn(self.log, f"{self.name} reader", self.read)

    def read(self) -> None:
        """The reader's greenlet: cuts the stream into lines."""
        try:
            while self.rest is not None:
                try:
                    data = self.sock.recv(self.limits.line_bytes // 4)
                except TimeoutError:
                    continue
                self.rest = self.cut(self.rest + data) if data else None
        except OSError:
            pass
        self.push(Ended())

    def cut(self, data: bytes) -> bytes | None:
        """Posts the whole lines and returns the rest, or None where a line is too long. The lines stay alive
        here only: the reader would hold them while it waits, for each of hundreds of clients."""
        *lines, rest = data.split(b"\n")
        if max(map(len, lines), default=0) > self.limits.line_bytes or len(rest) > self.limits.line_bytes:
            self.log("bad-client", f"{self.name}: a line of more than {self.limits.line_bytes} bytes")
            return None
        if lines or not self.begun:
            self.used = now_ms()
        self.asked, self.begun = self.asked or bool(lines), bool(rest)
        return rest if all(self.push(Line(line, now_ms())) for line in lines) else None

    def receive(self, message: Any) -> None:
        match message:
            case Line(data, at):
                if data.strip():
                    self.line(data, at)
            case Answer(call, reply):
                self.answer(call, reply)
            case Ended():
                self.over = True
            case CloseIfIdle():
                self.stopping = True
            case PassOn():
                self.going = message
        if self.going is not None and not self.over and not self.open and not self.box and not self.begun:
            self.hand_over(self.going)
        elif self.stopping and not self.open and not self.box and (self.begun or not self.unread()):
            self.over = True

    def hand_over(self, going: PassOn) -> None:
        """Guards against what the reader took off the socket as it was ended: it stays here for now."""
        self.reader.kill()
        if self.box or self.begun or self.rest is None:
            return self.start_reading()
        # guards against what comes after this: the socket is another's, and nothing is read or written here
        self.over, handed = True, self.sock
        self.sock = socket.socket()
        going.to(handed, self.client)

    def line(self, data: bytes, at: float) -> None:
        id, sort = None, ""
        try:
            try:
                m: Message = msgspec.json.decode(data, type=Message)
            except msgspec.ValidationError as error:
                raise BadRequest(INVALID, str(error)) from None
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                raise BadRequest(PARSE, str(error)) from None
            sort = m.method
            if m.jsonrpc != "2.0":
                raise BadRequest(INVALID, "jsonrpc: '2.0' is wanted")
            if m.method == "giveUp":
                return self.give_up(m)
            if m.id is None or m.id in self.open:
                # guards against a second answer under an id that is still open
                raise BadRequest(INVALID, "id: a new number is wanted")
            id = m.id
            if m.method == "probe":
                return self.write({"id": id, "result": {"healthy": True}})
            if len(self.open) >= self.limits.open_per_connection:
                raise BadRequest(REFUSED, "too many open requests on this connection")
            call = self.call(m.method, bytes(m.params), at)
        except BadRequest as error:
            self.log("bad-request", f"{self.name}: {error}")
            if sort in self.maker.classes:
                self.core.figures.ended(sort, "refused" if error.code == REFUSED else "failed")
            return self.write({"id": id, "error": {"code": error.code, "message": str(error)}})
        self.open[id], self.ids[call] = call, id
        self.core.offer(call, self)

    def call(self, method: str, params: bytes, at: float) -> Call:
        if method not in self.maker.classes:
            raise BadRequest(NO_METHOD, f"no class {method[:64]!r}")
        try:
            p: CallParams = msgspec.json.decode(params, type=CallParams)
            made = self.maker.make(
                method, p.rid, p.obj, p.budget, at, p.blob, p.token, p.acct, read_props(p.props)
            )
            made.client = self.peer
            return made
        except (msgspec.MsgspecError, BadCall, ValueError) as error:
            raise BadRequest(BAD_PARAMS, str(error)) from None

    def give_up(self, m: Message) -> None:
        """Named by its id or its rid; after this nothing is written for it."""
        try:
            p: GiveUpParams = msgspec.json.decode(bytes(m.params), type=GiveUpParams)
        except msgspec.MsgspecError as error:
            raise BadRequest(BAD_PARAMS, str(error)) from None
        id = p.id if p.id is not None else m.id
        if p.rid is not None:
            id = next((n for n, call in self.open.items() if call.rid == p.rid), None)
        if id is not None and (call := self.open.pop(id, None)) is not None:
            del self.ids[call]
            self.core.withdraw(call)

    def answer(self, call: Call, reply: dict[str, Any]) -> None:
        if (id := self.ids.pop(call, None)) is not None:
            del self.open[id]
            self.used = now_ms()
            self.write({"id": id} | reply)

    def write(self, reply: dict[str, Any]) -> None:
        try:
            self.sock.sendall(msgspec.json.encode({"jsonrpc": "2.0"} | reply) + b"\n")
        except OSError as error:
            self.log("client-lost", f"{self.name}: {error}")
            self.over = True

    def finish(self) -> None:
        """The connection is over: what was open on it is withdrawn."""
        super().finish()
        self.sock.close()
        for call in self.ids:
            self.core.withdraw(call)
        self.gone(self)
