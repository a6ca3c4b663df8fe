"""The platform's front: JSON-RPC 2.0 over TCP, one message a line, an actor for each client connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from ..core.actor import Actor, now_ms, spawn
from ..core.calls import BadCall, CallMaker
from ..core.module import ModuleActor
from ..core.records import Call
from ..limits import Limits
from ..log import Log

REFUSED, FAILED = -32050, -32000
PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602


class Message(msgspec.Struct):
    method: str
    id: int | None = None
    jsonrpc: str = ""
    params: msgspec.Raw = msgspec.Raw(b"{}")


class CallParams(msgspec.Struct):
    rid: str
    budget: float
    obj: str
    acct: str | None = None
    token: str | None = None
    props: str = ""
    blob: bytes = b""


class GiveUpParams(msgspec.Struct):
    id: int | None = None
    rid: str | None = None


class BadRequest(ValueError):
    """What a client sent is no request; `code` is JSON-RPC's."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def read_props(text: str) -> dict[str, float]:
    """`name:number;name:number`; names it does not know are left alone by its caller."""
    read = {}
    for pair in text.split(";") if text else []:
        name, _, value = pair.partition(":")
        read[name] = float(value)
    return read


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
                self.core.figures.count_final_answer(sort, "refused" if error.code == REFUSED else "failed")
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


@dataclass(slots=True)
class Accepted:
    """A connection; `asked` where another process has served it before."""

    sock: socket.socket
    name: str
    asked: bool = False


@dataclass(slots=True)
class Gone:
    client: ClientActor


class StopListening:
    """No new connections from here; those there are go once nothing is open on them."""


@dataclass(slots=True)
class Yield:
    """Another process accepts now; clients that are here go there through `to`, as they become idle."""

    to: Callable[[socket.socket, str], object]


class Resume:
    """The other process has ended: clients are accepted here again."""


class PlatformFront(Actor):
    """Listens on the one address it was told, keeps the client connections, and stops in order."""

    def __init__(
        self, where: tuple[str, int], maker: CallMaker, core: ModuleActor, limits: Limits, log: Log
    ) -> None:
        super().__init__("platform front", limits.client_mailbox, log)
        self.where, self.maker, self.core, self.limits = where, maker, core, limits
        self.clients: dict[ClientActor, bool] = {}  # whether it was told to leave
        self.few, self.most = limits.sockets // 2, limits.sockets * 2 // 3  # usual clients hold a third
        self.stopping, self.empty = False, Event()
        self.yielded: PassOn | None = None
        self.listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Accepts on the listening socket that another process handed over, or on one of its own, which
        others may be `shared` with where that handing over can fail. Raises OSError."""
        if listening is not None:
            self.listening.close()
            self.listening = listening
        else:
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.listening.bind(self.where)
            self.listening.listen(512)
        super().start()
        self.open()

    def open(self) -> None:
        """A descriptor of its own to accept on: while others accept, the listening socket is kept."""
        self.entry = self.listening.dup()
        spawn(self.log, "listener", lambda: self.accept(self.entry))

    def accept(self, entry: socket.socket) -> None:
        """The listener's greenlet, until its descriptor is closed."""
        while not self.over:
            try:
                sock, peer = entry.accept()
            except OSError as error:
                if entry.fileno() < 0:
                    return
                # guards against running out of descriptors: the listener waits and goes on
                self.log("accept-failed", str(error))
                gevent.sleep(0.05)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.push(Accepted(sock, f"{peer[0]}:{peer[1]}"))

    def run(self) -> None:
        swept = stepped = now_ms()
        while not self.over:
            self.wait(self.limits.sweep_ms)
            self.work()
            now = now_ms()
            if not 0 <= now - swept < self.limits.sweep_ms:
                # guards against a clock that steps ahead: all idle clients looked stale at once, and were
                # closed with a request of theirs on its way
                stepped = stepped if 0 <= now - swept < 4 * self.limits.sweep_ms else now
                swept = now
                for client in [c for c in self.clients if c.stale(now, stepped)]:
                    self.dismiss(client)
                self.send_away()

    def send_away(self) -> None:
        """To the process that has taken over, if one has: whoever is here and was not told so yet."""
        if self.yielded is not None:
            for client in [c for c, leaves in self.clients.items() if not leaves]:
                self.clients[client] = client.tell(self.yielded)

    def dismiss(self, client: ClientActor) -> None:
        self.clients[client] = client.tell(CloseIfIdle())

    def receive(self, message: Any) -> None:
        match message:
            case Accepted(sock, name, asked):
                self.accepted(sock, name, asked)
            case Gone(client):
                self.clients.pop(client, None)
            case Yield(to) if not self.stopping:
                self.yielded = PassOn(to)
                self.entry.close()
                self.send_away()
            case Resume() if self.yielded is not None and not self.stopping:
                self.yielded = None
                self.open()
            case StopListening():
                self.stopping = True
                self.entry.close()
                self.listening.close()
                self.send_away()
                for client in [c for c, leaves in self.clients.items() if not leaves]:
                    self.dismiss(client)
        if self.stopping and not self.clients:
            self.empty.set()

    def accepted(self, sock: socket.socket, name: str, asked: bool) -> None:
        if len(self.clients) - sum(self.clients.values()) >= self.few:
            self.make_room()
        if len(self.clients) >= self.most:
            self.log("too-many-clients", f"{len(self.clients)} connections are open")
            sock.close()
            return
        client = ClientActor(
            sock, name, self.maker, self.core, self.limits, self.log, lambda c: self.push(Gone(c))
        )
        self.clients[client], client.asked = False, asked
        client.start()
        if self.stopping:
            self.dismiss(client)

    def make_room(self) -> None:
        """The one that has been quiet longest leaves: a newcomer most likely is there to ask. Guards the
        usual clients against others that ask once, or never, and keep their connections."""
        now = now_ms()
        quiet = {c: q for c, leaves in self.clients.items() if not leaves and (q := c.quiet(now)) is not None}
        if quiet and max(quiet.values()) > self.limits.client_fresh_ms:
            self.dismiss(max(quiet, key=quiet.__getitem__))
