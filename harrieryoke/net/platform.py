"""The JSON-RPC front: accepts client connections and runs an actor for each."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ..core.actor import Actor, spawn
from ..core.calls import CallMaker
from ..core.clock import now_ms
from ..core.local_errors import RetryDelays, retry_local
from ..core.module import ModuleActor
from ..core.pauses import PauseWatch
from ..limits import MAX_BACKLOG, Limits
from ..log import Log
from ..memory_budget import (
    CONNECTION_BYTES,
    MIN_INPUT_BYTES,
    Owner,
    Pressure,
)
from .client import ClientActor
from .client_messages import CloseIfIdle, GiveWay, RefusePartialLine, StopReading, TransferWhenIdle
from .connection_ends import ConnectionEnds
from .connection_state import EndReason, Refusal
from .front_messages import (
    AcceptorEnded,
    ClientClosed,
    ConnectionAccepted,
    RefusalEnded,
    RelieveMemory,
    ResumeAccepting,
    StopListening,
    TransferClients,
)
from .listening import wait_for_listener
from .pending_connections import Arrival, PendingConnection, PendingConnections
from .read_turns import ReadTurns
from .refused_connection import RefusedConnections

CLIENT_SOCKETS_SHARE = 3 / 4  # of all sockets; the rest is for model hosts, the event bus and operators
USUAL_CLIENTS_SHARE = 1 / 4  # of the places, that are kept for clients that send a few short calls at a time
SMALL_RECEIVE_BUFFER_BYTES = 4 * 1024  # below which an ordinary request takes several windows
SEGMENTS_IN_WINDOW = 4  # of a small receive buffer
SILENT_MS = 2500.0  # of a connection without a byte; the kernel may have dropped what its client sent first
PENDING_POLL_MS = 5.0  # between checks whether another connection may be accepted
RELIEF_MS = 50.0  # between checks while the memory is short, or the process stops


def prepare_connection(sock: socket.socket, peer: tuple[str, int], log: Log) -> PendingConnection | None:
    """Return a connection ready for its actor, or None if it was reset already."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        log("accept-failed", str(error))
        sock.close()
        return None
    return PendingConnection(sock, f"{peer[0]}:{peer[1]}", accepted_at=now_ms())


def limit_buffers(listening: socket.socket, limits: Limits) -> None:
    """Give the connections that are accepted here socket buffers of the sizes that the memory allows.

    The smallest receive windows hold several segments: the client's kernel would send less than a whole one
    only after a timer, and this one offers none but whole segments. Larger ones would fill with overhead.
    """
    sizes = {
        socket.SO_RCVBUF: limits.receive_buffer_bytes(),
        socket.SO_SNDBUF: limits.send_buffer_bytes(),
    }
    for option, size in sizes.items():
        if listening.getsockopt(socket.SOL_SOCKET, option) >= size:  # else it was given a smaller one
            listening.setsockopt(socket.SOL_SOCKET, option, size)
    if (size := limits.receive_buffer_bytes()) < SMALL_RECEIVE_BUFFER_BYTES:
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, size // SEGMENTS_IN_WINDOW)


class PlatformFront(Actor):
    """Listens on the configured address, owns the client connections, and shuts down in order."""

    def __init__(
        self, address: tuple[str, int], maker: CallMaker, core: ModuleActor, limits: Limits, log: Log
    ) -> None:
        super().__init__("platform front", limits.client_mailbox, log)
        self.address, self.maker, self.core, self.limits = address, maker, core, limits
        self.clients: dict[ClientActor, bool] = {}  # value: whether it was asked to leave
        self.memory = core.memory
        self.memory.on_change = self.memory_pressure_changed
        self.turns = ReadTurns()
        self.ends = ConnectionEnds(log, core.metrics)
        self.refusing = RefusedConnections(
            limits, log, self.memory, self.turns, self.ends, lambda: self.try_send(RefusalEnded())
        )
        self.pending = PendingConnections()
        self.stopping, self.all_closed = False, Event()
        self.running_acceptors = 0  # greenlets that accept, or hold a connection they have accepted
        self.transfer_request: TransferWhenIdle | None = None
        self.listening: socket.socket | None = None
        self.pauses = PauseWatch(now_ms(), limits.sweep_ms, log)

    def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Accept on the given listening socket, or on a new one. Raises OSError.

        A new one is `shared` with other processes if the handover of the socket can fail.
        """
        if listening is None:
            listening = wait_for_listener(self.address, self.limits.backlog(), self.limits, self.log, shared)
        limit_buffers(listening, self.limits)
        self.listening = listening
        self.pauses.restart(now_ms())
        super().start()
        self.start_accepting()

    def start_accepting(self) -> None:
        """Start an acceptor with a descriptor of its own. Raises OSError.

        The listening socket itself is kept while another process accepts.
        """
        assert self.listening is not None, "start_accepting is called after start"
        self.acceptor = acceptor = retry_local("listen", self.listening.dup, self.limits.start_ms, self.log)
        self.running_acceptors += 1
        spawn(
            self.log,
            "listener",
            lambda: self.run_acceptor(acceptor),
            lambda: self.blocking_send(AcceptorEnded(acceptor)),
        )

    def run_acceptor(self, acceptor: socket.socket) -> None:
        """Run the acceptor's greenlet until its descriptor is closed."""
        pauses = RetryDelays()
        while not self.finished:
            try:
                sock, peer = acceptor.accept()
            except OSError as error:
                if acceptor.fileno() < 0:
                    return
                # if descriptors have run out, wait and retry
                self.log("accept-failed", str(error))
                pauses.sleep()
                continue
            pauses.reset()
            if (accepted := prepare_connection(sock, peer, self.log)) is None:
                continue
            self.wait_until_queued(acceptor)
            self.blocking_send(ConnectionAccepted(accepted))

    def wait_until_queued(self, acceptor: socket.socket) -> None:
        """Wait while as many connections wait as may; those after it are not accepted."""
        while acceptor.fileno() >= 0 and self.has_too_many_connections():
            gevent.sleep(PENDING_POLL_MS / 1000)

    def has_too_many_connections(self) -> bool:
        """Return whether as many connections wait as may, or clients use as many descriptors as they may."""
        waiting = self.waiting_connections()
        in_use = len(self.clients) + len(self.pending) + len(self.refusing)
        most = int(self.limits.sockets * CLIENT_SOCKETS_SHARE)
        return waiting >= self.limits.pending_connections() or in_use >= most

    def waiting_connections(self) -> int:
        """Return how many accepted connections have no place and no answer, with those in the mailbox."""
        return sum(isinstance(m, ConnectionAccepted) for m in self.mailbox) + self.pending.unanswered()

    def refuse_connection(self, connection: PendingConnection, reason: Refusal = Refusal.NO_PLACE) -> None:
        """Refuse the calls of a connection that gets no place."""
        backoff_ms = self.maker.settings.max_retry_after
        self.refusing.add(connection, reason, backoff_ms, len(self.clients))

    def client_sockets(self) -> list[socket.socket]:
        """Return the sockets of the clients."""
        return [
            *(client.sock for client in self.clients),
            *self.refusing.sockets(),
            *self.pending.sockets(),
        ]

    @property
    def hard_limit(self) -> int:
        """The most client connections: ordinarily they use a third of the sockets."""
        return min(self.limits.sockets * 2 // 3, self.memory.max_connections())

    @property
    def soft_limit(self) -> int:
        """The number of client connections from which idle ones make room for new ones."""
        return self.hard_limit * 3 // 4

    def memory_pressure_changed(self, previous: Pressure) -> None:
        """Log what gives way from now on, and have connections closed where that is due."""
        level = self.memory.pressure
        self.log(
            "memory-pressure", f"{previous.name.lower()} to {level.name.lower()}: {self.memory.describe()}"
        )
        if level >= Pressure.RELIEVING:
            self.try_send(RelieveMemory())

    def has_place(self) -> bool:
        """Return whether another connection may be served now, at least one that sends a few short calls."""
        if len(self.clients) >= self.hard_limit:
            return False
        return self.has_memory_for_place() or self.usual_clients() < self.hard_limit * USUAL_CLIENTS_SHARE

    def has_memory_for_place(self) -> bool:
        """Return whether the memory suffices for a further client of any kind."""
        return self.memory.free(Owner.CONNECTIONS) >= CONNECTION_BYTES

    def usual_clients(self) -> int:
        """Return how many clients send a few short calls at a time."""
        now = now_ms()
        return sum(not client.is_demanding(now) for client in self.clients)

    def wanted_arrival(self) -> Arrival:
        """Return what must have come on a connection that gets a place.

        Some places are kept for clients that send a few short calls at a time.
        """
        if not self.has_memory_for_place():
            return Arrival.FEW_CALLS
        for_others = self.hard_limit * (1 - USUAL_CLIENTS_SHARE)
        if len(self.clients) < for_others or len(self.clients) - self.usual_clients() < for_others:
            return Arrival.NOTHING
        return Arrival.FEW_CALLS

    def may_get_room(self) -> bool:
        """Return whether some client has no open call, or stands still, or only the memory is short.

        Memory is short for a moment, and for all new connections: those rejected would come again at once.
        """
        if len(self.clients) < self.limits.sockets // 2:
            return True
        now = now_ms()
        return any(
            c.idle_ms(now) is not None or c.stalled_bytes(now) or c.sends_too_many_lines(now)
            for c in self.clients
        )

    def run(self) -> None:
        swept = now_ms()
        while not self.finished:
            is_short = self.pending or self.stopping or self.memory.pressure >= Pressure.RELIEVING
            self.wait_for_message(RELIEF_MS if is_short else self.limits.sweep_ms)
            self.process_mailbox()
            self.admit_pending()
            if self.memory.pressure >= Pressure.RELIEVING:
                self.relieve_memory()
            now = now_ms()
            self.pauses.record_wake(now)
            if now - swept >= self.limits.sweep_ms:
                swept = now
                # Idle time counts from the last pause of this process at the earliest: otherwise all idle
                # clients would look stale at once after it, and be closed with requests in transit.
                for client in [c for c in self.clients if c.is_stale(now, self.pauses.resumed_at)]:
                    self.log("client-closed", f"{client.client}: idle for too long")
                    self.clients[client] = client.close_if_idle()
                if self.stopping:
                    self.refuse_loud_clients()
                self.transfer_clients()

    def transfer_clients(self) -> None:
        """Transfer the clients to the process that took over, if any; each is asked once."""
        if self.transfer_request is not None:
            for client in [client for client, leaving in self.clients.items() if not leaving]:
                self.clients[client] = client.try_send(self.transfer_request)

    def close_when_idle(self, client: ClientActor, reason: EndReason) -> None:
        """Close the connection once nothing is open on it."""
        self.log("client-closed", f"{client.client}: {reason.value}")
        self.clients[client] = client.try_send(CloseIfIdle(reason))

    def refuse_loud_clients(self) -> None:
        """Refuse what clients sent faster than they may, and what is still unread as the process ends."""
        now = now_ms()
        for client in [client for client in self.clients if client.sends_too_many_lines(now)]:
            client.try_send(GiveWay(EndReason.STOPPING))

    def receive(self, message: Any) -> None:
        match message:
            case ConnectionAccepted(connection):
                self.take_connection(connection)
            case ClientClosed(client):
                self.forget_client(client)
            case RelieveMemory():
                self.relieve_memory()
            case TransferClients(transfer) if not self.stopping:
                self.transfer_request = TransferWhenIdle(transfer)
                self.acceptor.close()
                self.transfer_clients()
            case ResumeAccepting() if self.transfer_request is not None and not self.stopping:
                self.transfer_request = None
                self.start_accepting()
            case AcceptorEnded(acceptor):
                self.running_acceptors -= 1
                # If the descriptor is still open, the acceptor ended by a fault: this actor ends too, and the
                # service notices.
                self.finished = acceptor.fileno() >= 0
            case StopListening():
                self.stop_listening()
        is_busy = self.clients or self.pending or self.running_acceptors or self.refusing
        if self.stopping and not (is_busy or self.mailbox):
            self.all_closed.set()

    def stop_listening(self) -> None:
        self.stopping = True
        if self.transfer_request is None:
            self.accept_backlog()
        self.acceptor.close()
        if self.listening is not None:
            self.listening.close()
        self.transfer_clients()
        for client in [c for c, leaving in self.clients.items() if not leaving]:
            self.close_when_idle(client, EndReason.STOPPING)

    def stop_reading(self) -> None:
        """Have the clients that are left refuse what was read, and read no more: the process ends soon.

        The calls of connections that still wait for a place are refused, too.
        """
        for client in self.clients:
            client.send_bounded(StopReading())
        for connection in self.pending.take_all():
            self.refuse_connection(connection, Refusal.STOPPING)

    def record_remaining(self) -> None:
        """Record the connections that end with the process."""
        for client in list(self.clients):
            if not client.finished:
                client.stop_serving(EndReason.STOPPING, client.owed_calls(), "the process exits")
        self.refusing.end_all(EndReason.STOPPING, "the process exits")
        for connection in self.pending.take_all():
            owed = connection.unread_calls()
            self.ends.record(connection.name, EndReason.STOPPING, owed, "no place until the process exits")
            self.ends.close(connection.sock)

    def accept_backlog(self) -> None:
        """Accept the connections in the kernel's backlog, which a close would reset.

        Retries for a limited time if accepting fails.
        """
        if self.listening is None:
            return
        self.listening.settimeout(0)
        give_up_at, pauses = now_ms() + self.limits.stop_accepting_ms, RetryDelays()
        for _ in range(MAX_BACKLOG):
            try:
                sock, peer = self.listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.log("accept-failed", str(error))
                if now_ms() >= give_up_at:
                    return
                pauses.sleep()
                continue
            pauses.reset()
            if (accepted := prepare_connection(sock, peer, self.log)) is not None:
                self.take_connection(accepted)

    def take_connection(self, connection: PendingConnection) -> None:
        """Serve a connection, now or once it has a place. If all are busy, it is refused at once."""
        if not (self.has_place() or self.may_get_room()) and self.refusing.may_add():
            return self.refuse_connection(connection)
        self.pending.add(connection)
        self.admit_pending()

    def admit_pending(self) -> None:
        """Serve connections as far as there are places, and have others give way to the rest."""
        self.pending.look()
        while self.pending and self.has_place():
            if (connection := self.pending.next_for_place(self.wanted_arrival())) is None:
                break
            self.pending.take(connection)
            self.add_client(connection)
        if not self.pending:
            return
        for connection in self.pending.take_left():
            self.ends.record(connection.name, EndReason.CLIENT_LEFT, (), "")
            self.ends.close(connection.sock)
        for connection in self.pending.overdue():
            connection.refuse_first(Refusal.NO_PLACE.value, self.maker.settings.max_retry_after)
            if self.refusing.may_add():
                self.pending.take(connection)
                self.refuse_connection(connection)
        if len(self.pending) > sum(self.clients.values()):  # else as many leave already
            self.make_place()

    def add_client(self, connection: PendingConnection) -> None:
        """Start the actor of a connection that has a place."""
        if len(self.clients) - sum(self.clients.values()) >= self.soft_limit:
            self.close_idle_client()
        self.memory.charge(Owner.CONNECTIONS, CONNECTION_BYTES)
        client = ClientActor(
            connection.sock,
            connection.name,
            self.maker,
            self.core,
            self.limits,
            self.log,
            lambda c: self.blocking_send(ClientClosed(c)),
            self.pauses,
            self.turns,
            self.ends,
        )
        self.clients[client], client.has_sent_line = False, connection.served_before
        client.watched_until = connection.accepted_at
        is_usual = connection.arrival is Arrival.FEW_CALLS
        client.came_with_few_calls = is_usual or connection.served_before
        client.start()
        if self.stopping:
            self.close_when_idle(client, EndReason.STOPPING)

    def forget_client(self, client: ClientActor) -> None:
        """Give back the place and the memory of a client that has ended."""
        if self.clients.pop(client, None) is not None:
            self.memory.release(Owner.CONNECTIONS, CONNECTION_BYTES)

    def relieve_memory(self) -> None:
        """Refuse partial lines, those that hold most first, until the memory suffices.

        Stalled ones come first; before new calls are refused, so does one that is only large.
        """
        now = now_ms()
        waiting = {c: size for c in self.clients if not c.finished and (size := c.waiting_bytes())}
        for client in sorted(waiting, key=waiting.__getitem__, reverse=True):
            is_large = self.memory.pressure >= Pressure.REFUSING and waiting[client] > MIN_INPUT_BYTES
            if is_large or client.stalled_bytes(now):
                client.try_send(RefusePartialLine())
                return

    def make_place(self) -> None:
        """Have a client give way to a new connection: one that has stalled, sends too much, or is idle."""
        if self.close_stalled_client():
            return
        self.ask_loud_client()
        if self.pending.next_for_place(self.wanted_arrival()) is not None:
            self.close_idle_client()

    def close_stalled_client(self) -> bool:
        """Close the client that holds most without moving on; return whether there was one."""
        now = now_ms()
        stalled = {c: size for c in self.clients if not c.finished and (size := c.stalled_bytes(now))}
        for client in sorted(stalled, key=stalled.__getitem__, reverse=True):
            if client.may_end(EndReason.PLACE):
                self.close_client(client, f"{stalled[client]} bytes stand still")
                return True
        return False

    def ask_loud_client(self) -> None:
        """Have the client with the most unhandled input give way among those that send more than they may.

        One that could not, as calls are open or answers wait, is asked again after the others.
        """
        now = now_ms()
        loud = [client for client in self.clients if client.sends_too_many_lines(now)]
        if loud:
            client = min(loud, key=lambda client: (client.asked_at, -client.charged_input))
            client.asked_at = now
            client.try_send(GiveWay(EndReason.PLACE))

    def close_client(self, client: ClientActor, reason: str) -> None:
        """Close a client that is owed no answer, and give back what it held."""
        self.log("client-closed", f"{client.client}: a new connection needs its place; {reason}")
        if client.end_connection(EndReason.PLACE, reason):
            client.drop_input()
            self.forget_client(client)

    def close_idle_client(self) -> None:
        """Close the client that has been idle longest, unless it has a partial line.

        A new connection most likely brings a request. So ordinary clients find space beside others that send
        once, or never, and keep their connections.
        """
        now = now_ms()
        staying = [c for c, leaving in self.clients.items() if not (leaving or c.is_in_line())]
        idle = {c: q for c in staying if (q := c.idle_ms(now)) is not None and q > self.fresh_ms(c)}
        if idle:
            self.close_when_idle(max(idle, key=idle.__getitem__), EndReason.PLACE)

    def fresh_ms(self, client: ClientActor) -> float:
        """Return how long a client may be idle without giving its place up."""
        return self.limits.client_fresh_ms if client.has_sent_line else SILENT_MS
