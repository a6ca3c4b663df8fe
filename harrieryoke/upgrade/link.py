"""Zero-downtime upgrade: the link between the serving process and its successor.

The link is a Unix socket in `$TMPDIR`. A new process sends `hello` and receives one line with the ids of
banned hosts and the size of the state that follows. The listening socket comes with that line (SCM_RIGHTS),
and the state packed by `state_transfer.py` after it. Once the new process accepts clients, it sends
`serving`, and the old one stops accepting; each client connection is transferred as soon as no request is
open on it. If the link ends before the old process was told to stop, the old process accepts again.

While the link is up, each process sends changes of bans to the other. The latest change of a host's ban holds
in all processes; a process passes on what it is told only to others than the sender.

The session at the MQTT broker has one owner. After `serving` the old process answers the triggers that it has
taken, disconnects, and sends `session-released`; only then does the new one connect.
"""

from __future__ import annotations

import os
from pathlib import Path
from socket import recv_fds
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult, Event

from ..broker_session import BrokerSession, split_answers
from ..core.actor import Actor, spawn
from ..core.clock import now_ms, wall_ms
from ..core.module import ModuleActor
from ..core.records import ActiveChanged, RouterCommand
from ..limits import Limits
from ..log import Log
from ..net.bans import BanChanged
from ..net.front_messages import ConnectionAccepted, ResumeAccepting, TransferClients
from ..net.hostlist import Ban, HostListActor
from ..net.pending_connections import PendingConnection
from ..net.platform import PlatformFront
from ..parts import Parts
from .bans import BanFile, BansError
from .handover import READ_BYTES, Predecessor, request_handover, short_socket_path
from .messages import (
    PEER_MESSAGE_DECODER,
    BanChange,
    BansChanged,
    ClientReleased,
    ClientTransfer,
    HandoverHeader,
    Hello,
    Link,
    LinkLost,
    PeerMessageReceived,
    Serving,
    SessionAnswers,
    SessionLeft,
    SessionReleased,
)


class Upgrade(Actor):
    """Hands over to a successor, and serves again if the successor ends too early."""

    def __init__(
        self,
        path: Path,
        front: PlatformFront,
        core: ModuleActor,
        hosts: HostListActor,
        limits: Limits,
        log: Log,
        parts: Parts | None = None,
    ) -> None:
        """`path` is the common prefix of the socket and of the file of bans."""
        super().__init__("upgrade", limits.list_mailbox, log)
        self.front, self.core, self.hosts, self.limits = front, core, hosts, limits
        self.path = path.with_name(f"{path.name}.sock")
        self.ban_file = BanFile(path.with_name(f"{path.name}.bans"))
        self.links: list[Link] = []  # to processes that have sent hello, and to the predecessor
        self.reading: set[Link] = set()  # links with a reader
        self.predecessor: Predecessor | None = None
        self.predecessor_link: Link | None = None
        hosts.on_ban_changed = self.record_ban
        self.untold_bans: dict[str, BanChanged] = {}  # the last change of each host that links wait for
        self.successor: Link | None = None  # the process that has taken over
        self.broker = None if parts is None else parts.broker
        self.ops = None if parts is None else parts.ops
        self.session_heir: Link | None = None  # the process that gets the session at the broker
        self.session_sent = Event()  # the heir has been told that it may connect to the broker
        self.stopping = False
        self.listening: socket.socket | None = None

    def take_over(self) -> tuple[socket.socket | None, list[str]]:
        """Return the predecessor's listening socket, or None at an ordinary start, and the banned hosts."""
        hello = Hello(takes_session=self.broker is not None)
        self.predecessor = request_handover(self.path, self.limits, self.log, hello)
        if self.predecessor is not None:
            self.links.append(Link(self.predecessor.sock))
            if self.broker is not None:
                self.broker.await_session()
            return self.predecessor.listening, self.predecessor.bans
        try:
            return None, self.ban_file.read()
        except BansError as error:
            self.log("bans-damaged", f"{self.ban_file.path}: {error}")
            return None, []

    def ban_versions(self) -> dict[str, int]:
        """Return the versions of bans that the predecessor handed over."""
        return {} if self.predecessor is None else self.predecessor.ban_versions

    def record_ban(self, change: BanChanged) -> None:
        """Write the ban to the file and have it told to the others, before the operator gets the answer."""
        try:
            self.ban_file.write(self.hosts.bans())
        except OSError as error:
            # on a full disk the ban still applies, and a successor receives it over the link
            self.log("bans-not-kept", f"{self.ban_file.path}: {error}")
        self.untold_bans[change.id] = change
        self.try_send(BansChanged())  # if the mailbox is full, they are told after one of its messages

    def tell_bans(self) -> None:
        """Send changes of bans over all links but the one that they came from."""
        while self.untold_bans:
            _, change = self.untold_bans.popitem()
            line = BanChange(change.id, change.banned, change.version)
            for link in [each for each in self.links if each is not change.source]:
                self.send(link, line)

    def restore_state(self) -> None:
        """Give the predecessor's learned state to the router, before this process serves."""
        if self.predecessor is None:
            return
        from ..state_transfer import StateTransferError, restore, unpack

        try:
            state = unpack(self.predecessor.state, now_ms(), wall_ms()) if self.predecessor.state else None
        except StateTransferError as error:
            self.log("takeover-forgot", f"starting without learned state: {error}")
            return
        if state is not None:
            self.core.blocking_send(RouterCommand(lambda router: restore(router, state)))
        size, bans = len(self.predecessor.state), len(self.predecessor.bans)
        self.log("takeover", f"{size} bytes and {bans} bans were handed over")

    def start(self) -> None:
        """This process serves: tell the predecessor, and listen for successors."""
        if self.predecessor is not None:
            self.predecessor_link = self.links[0]
            self.send(self.predecessor_link, Serving())
            self.start_reader(self.predecessor_link)
        self.listen()
        super().start()

    def listen(self) -> None:
        """Listen at the path, replacing any other socket there."""
        aside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        listening: socket.socket | None = None
        try:
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with short_socket_path(aside) as name:
                listening.bind(name)
            listening.listen(4)
            os.replace(aside, self.path)
        except OSError as error:
            # this process serves nevertheless; its successor will bind the address itself
            if listening is not None:
                listening.close()
            self.log("no-upgrade", f"a successor will not find this process: {error}")
        else:
            if self.listening is not None:
                self.listening.close()
            self.listening = listening
            spawn(self.log, "upgrade listener", lambda: self.accept_links(listening))

    def accept_links(self, listening: socket.socket) -> None:
        """Run the listener's greenlet, until its descriptor is closed."""
        while not self.finished:
            try:
                sock, _ = listening.accept()
            except OSError:
                return
            if len(self.reading) < self.limits.upgrade_links:
                self.start_reader(Link(sock))
            else:
                # descriptors are bounded: a rejected process binds the address itself
                sock.close()

    def start_reader(self, link: Link) -> None:
        """Read the link's lines in a greenlet of its own."""
        self.reading.add(link)
        link.sock.settimeout(self.limits.handover_ms / 1000)
        spawn(self.log, "upgrade link", lambda: self.read(link), lambda: self.blocking_send(LinkLost(link)))

    def read(self, link: Link) -> None:
        """Run a link's reader: its lines in order, until it ends."""
        remainder = b""
        while len(remainder) <= self.limits.handover_bytes:
            try:
                data, received, _, _ = recv_fds(link.sock, READ_BYTES, 64)
            except TimeoutError:
                continue
            except OSError:
                return
            if not data:
                return
            link.descriptors.extend(received)
            *lines, remainder = (remainder + data).split(b"\n")
            try:
                for line in lines:
                    self.deliver(link, line)
            except msgspec.MsgspecError as error:
                self.log("upgrade-link", f"invalid message: {error}")
                return

    def deliver(self, link: Link, line: bytes) -> None:
        """Queue one line for the actor, with its descriptor. Raises MsgspecError."""
        message = PEER_MESSAGE_DECODER.decode(line)
        has_descriptor = isinstance(message, ClientTransfer) and link.descriptors
        descriptor = link.descriptors.popleft() if has_descriptor else None
        self.blocking_send(PeerMessageReceived(link, message, descriptor))

    def send(self, link: Link, message: msgspec.Struct) -> None:
        """Send one line; a broken link is only logged, as its reader ends it."""
        try:
            link.sock.sendall(msgspec.json.encode(message) + b"\n")
        except OSError as error:
            self.log("upgrade-link", str(error))

    def receive(self, message: Any) -> None:
        match message:
            case PeerMessageReceived(link, Hello(takes_session)):
                link.takes_session = takes_session
                self.hand_over(link)
            case PeerMessageReceived(link, Serving()) if link in self.links:
                self.yield_to(link)
            case PeerMessageReceived(_, ClientTransfer(name), int(descriptor)):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
                self.front.blocking_send(ConnectionAccepted(PendingConnection(sock, name, True, now_ms())))
            case ClientReleased(sock, name):
                self.transfer_client(sock, name)
            case PeerMessageReceived(link, BanChange(id, on, version)):
                ban = Ban(id, on, AsyncResult(), from_peer=True, version=version, source=link)
                self.hosts.blocking_send(ban)
            case PeerMessageReceived(_, SessionAnswers(answers)) if self.broker is not None:
                self.broker.adopt_answers(answers)
            case PeerMessageReceived(_, SessionReleased(unconfirmed, complete)) if self.broker is not None:
                self.broker.adopt(BrokerSession([], unconfirmed, complete))
            case SessionLeft(link, session):
                self.send_session(link, session)
            case LinkLost(link):
                self.on_link_lost(link)
        self.tell_bans()

    def yield_to(self, link: Link) -> None:
        """Leave what only one process can have to the process that now serves."""
        if link.takes_session:
            self.release_session(link)
        if self.stopping:
            return
        self.log("taken-over", "another process serves; calls accepted here are answered here")
        self.successor = link
        if self.ops is not None:
            self.ops.pause()
        self.front.blocking_send(
            TransferClients(lambda sock, name: self.blocking_send(ClientReleased(sock, name)))
        )
        self.core.blocking_send(ActiveChanged(False))

    def release_session(self, link: Link) -> None:
        """Have the broker's front leave its session, which the process at the link gets."""
        self.session_heir = link
        if self.broker is None:
            self.send_session(link, BrokerSession())
        else:
            self.broker.release(lambda session: self.blocking_send(SessionLeft(link, session)))

    def send_session(self, link: Link, session: BrokerSession) -> None:
        """Send what the new owner of the session has to know."""
        for answers in split_answers(session.answers, self.limits.handover_line_bytes):
            self.send(link, SessionAnswers(answers))
        self.send(link, SessionReleased(session.unconfirmed, session.complete))
        self.session_sent.set()

    def wait_for_session(self, timeout_ms: float) -> None:
        """Wait until a process that awaits the session has been told that it is free."""
        if self.session_heir is not None:
            self.session_sent.wait(max(0.0, timeout_ms) / 1000)

    def hand_over(self, link: Link) -> None:
        """Send a new process the listening socket, the bans and the learned state."""
        from ..state_transfer import pack

        listening = self.front.listening
        assert listening is not None, "handover comes after the front listens"
        packed: AsyncResult = AsyncResult()
        state = b""
        # a busy router must not delay the handover: the new process then starts without state
        if self.core.try_send(RouterCommand(lambda router: packed.set(pack(router, now_ms())))):
            try:
                state = packed.get(timeout=self.limits.carry_ms / 1000)
            except gevent.Timeout:
                self.log("takeover-forgot", "the module was too busy to provide its learned state")
        self.links.append(link)
        try:
            header = HandoverHeader(len(state), self.hosts.bans(), self.hosts.ban_table.versions)
            link.send_with_descriptor(msgspec.json.encode(header) + b"\n" + state, listening.fileno())
        except OSError as error:
            self.log("upgrade-link", str(error))

    def transfer_client(self, sock: socket.socket, name: str) -> None:
        """Transfer an idle client connection to the successor. If that fails it is served here, so that
        nothing on it is lost."""
        try:
            if self.successor is not None:
                line = msgspec.json.encode(ClientTransfer(name)) + b"\n"
                self.successor.send_with_descriptor(line, sock.fileno())
                sock.close()
                return
        except OSError as error:
            self.log("upgrade-link", str(error))
        self.front.blocking_send(ConnectionAccepted(PendingConnection(sock, name, True, now_ms())))

    def close(self, link: Link) -> None:
        """Close the link and the descriptors that no line has claimed."""
        link.sock.close()
        while link.descriptors:
            os.close(link.descriptors.popleft())

    def on_link_lost(self, link: Link) -> None:
        """Forget the link; if it was the successor's, serve again."""
        self.close(link)
        self.reading.discard(link)
        if link in self.links:
            self.links.remove(link)
        if self.broker is not None and link is self.predecessor_link:
            self.broker.predecessor_lost()
        if self.broker is not None and link is self.session_heir:
            self.session_heir = None
            self.session_sent.clear()
            self.broker.successor_lost()
        if link is self.successor and not self.stopping:
            # the successor ended soon after it took over, and a process must serve
            self.log("taken-back", "the process that had taken over has ended; this one serves again")
            self.successor = None
            # the path may hold the successor's stale socket: the next process would not find this one
            self.listen()
            if self.ops is not None:
                self.ops.resume()
            self.front.blocking_send(ResumeAccepting())
            self.core.blocking_send(ActiveChanged(True))

    def stop(self) -> None:
        """Handle SIGTERM: this process does not serve again."""
        self.stopping = True

    def finish(self) -> None:
        """Close all links and the listener."""
        super().finish()
        for link in self.reading:
            self.close(link)
        if self.listening is not None:
            self.listening.close()
