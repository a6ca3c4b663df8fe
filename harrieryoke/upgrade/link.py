"""The link between the process that serves and the one that replaces it: a Unix socket in `$TMPDIR`.

The new process says hello and gets, in one line, the ids of banned hosts and how many bytes follow; the
listening socket comes with that line (SCM_RIGHTS), behind it what `state_transfer.py` packs. Once it accepts,
the new one says `serving`, and the old one accepts no more; the connection of each client follows as soon as
no request is open on it. While the link stands each tells the other of bans. If it ends before the old
process was told to stop, the old one accepts again.
"""

from __future__ import annotations

import os
from array import array
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from socket import recv_fds
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from ..core.actor import Actor, spawn
from ..core.module import ModuleActor
from ..core.records import Leading, Visit
from ..limits import Limits
from ..log import Log
from ..net.hostlist import Ban, HostListActor
from ..net.platform import Accepted, PlatformFront, Resume, Yield
from .bans import BanFile, BansError


class Hello(msgspec.Struct, tag="hello"):
    """A new process asks for what is here."""


class Serving(msgspec.Struct, tag="serving"):
    """The new process accepts clients."""


class Banned(msgspec.Struct, tag="ban"):
    """An operator took a host out, or put it back."""

    id: str
    on: bool


class Client(msgspec.Struct, tag="client"):
    """A client's connection comes with this."""

    name: str


class Handed(msgspec.Struct, tag="handed"):
    """The first line to a new process; `size` bytes of what was learned follow."""

    size: int
    bans: list[str]


Say = Hello | Serving | Banned | Client
SAYS: msgspec.json.Decoder[Say] = msgspec.json.Decoder(Say)


@contextmanager
def at(path: Path) -> Iterator[str]:
    """Guards against a long path: a Unix address holds 107 bytes, and a folder's descriptor stands for it."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Predecessor(msgspec.Struct):
    """The process that serves here so far, and what it handed on."""

    sock: socket.socket
    listening: socket.socket
    bans: list[str]
    learned: bytes


def meet(path: Path, limits: Limits, log: Log) -> Predecessor | None:
    """Asks whoever listens at `path`, for `handover_ms` at most; None where nobody answers as it should."""
    sock, fds = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), list[int]()
    try:
        with gevent.Timeout(limits.handover_ms / 1000, TimeoutError("it did not answer in time")):
            with at(path) as name:
                sock.connect(name)
            sock.sendall(msgspec.json.encode(Hello()) + b"\n")
            data = b""
            while b"\n" not in data:
                more, came, _, _ = recv_fds(sock, 65536, 1)
                fds += came
                if not more or len(data) > limits.handover_bytes:
                    raise ValueError("it ended before it had handed over")
                data += more
            line, _, learned = data.partition(b"\n")
            handed: Handed = msgspec.json.decode(line, type=Handed)
            if not fds or handed.size > limits.handover_bytes:
                raise ValueError("it handed over no socket, or too much")
            while len(learned) < handed.size:
                more = sock.recv(65536)
                if not more:
                    raise ValueError("it ended before it had handed over")
                learned += more
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fds.pop())
        return Predecessor(sock, listening, handed.bans, learned)
    except (FileNotFoundError, ConnectionRefusedError):
        sock.close()  # nobody serves here: an ordinary start
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        sock.close()
        log("takeover-failed", f"the process before hands nothing over: {error}")
    for fd in fds:
        os.close(fd)
    return None


class Link(msgspec.Struct, eq=False):
    """To the process before, or to one that comes after; descriptors wait for the line they came with."""

    sock: socket.socket
    descriptors: deque[int] = msgspec.field(default_factory=deque)

    def send(self, line: bytes, descriptor: int) -> None:
        """A line, and a descriptor with its first byte. Raises OSError."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", [descriptor]))]
        while not self.sock.sendmsg([line[:1]], rights):
            pass
        self.sock.sendall(line[1:])


class Said(msgspec.Struct):
    link: Link
    what: Say
    descriptor: int | None = None


class Leaving(msgspec.Struct):
    """A client's connection that is to go to the process that has taken over."""

    sock: socket.socket
    name: str


class LinkLost(msgspec.Struct):
    link: Link


class BanSet(msgspec.Struct):
    """An operator's word here, for the other process."""

    id: str
    on: bool


class Upgrade(Actor):
    """Hands over to processes that come after, and goes on serving where one of them ends too early."""

    def __init__(
        self,
        path: Path,
        front: PlatformFront,
        core: ModuleActor,
        hosts: HostListActor,
        limits: Limits,
        log: Log,
    ) -> None:
        """`path`, with an ending, names the socket and the file of bans."""
        super().__init__("upgrade", limits.list_mailbox, log)
        self.front, self.core, self.hosts, self.limits = front, core, hosts, limits
        self.path = path.with_name(f"{path.name}.sock")
        self.file = BanFile(path.with_name(f"{path.name}.bans"))
        self.links: list[Link] = []  # to processes that have said hello, and to the one before
        self.heard: set[Link] = set()  # all whose lines are read
        self.before: Predecessor | None = None
        hosts.keep = self.keep
        self.leading: Link | None = None  # the process that has taken over
        self.stopping = False
        self.listening: socket.socket | None = None

    def meet(self) -> tuple[socket.socket | None, list[str]]:
        """The listening socket of the process that serves here so far, if there is one; the banned hosts."""
        self.before = meet(self.path, self.limits, self.log)
        if self.before is not None:
            self.links.append(Link(self.before.sock))
            return self.before.listening, self.before.bans
        try:
            return None, self.file.read()
        except BansError as error:
            self.log("bans-damaged", f"{self.file.path}: {error}")
            return None, []

    def keep(self, id: str, on: bool) -> None:
        """Before the yes to an operator: the ban is in the file, and on its way to the other process."""
        try:
            self.file.write(self.hosts.bans())
        except OSError as error:
            # guards against a full disk: the ban holds, and goes to a process that comes after by the link
            self.log("bans-not-kept", f"{self.file.path}: {error}")
        self.tell(BanSet(id, on))

    def learn(self) -> None:
        """Before this process serves: what the one before has learned goes to the module."""
        if self.before is None:
            return
        from ..state_transfer import StateTransferError, restore, unpack

        try:
            told = unpack(self.before.learned) if self.before.learned else None
        except StateTransferError as error:
            return self.log("takeover-forgot", f"starting without what was learned: {error}")
        if told is not None:
            self.core.push(Visit(lambda router: restore(router, told)))
        learned, bans = len(self.before.learned), len(self.before.bans)
        self.log("takeover", f"{learned} bytes and {bans} bans were handed over")

    def start(self) -> None:
        """This process serves: the one before hears of it, and those that come after find this one."""
        if self.before is not None:
            self.say(self.links[0], Serving())
            self.read_from(self.links[0])
        self.listen()
        super().start()

    def listen(self) -> None:
        """From here on processes that come after find this one at the path."""
        aside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with at(aside) as name:
                listening.bind(name)
            listening.listen(4)
            os.replace(aside, self.path)
        except OSError as error:
            # guards against a folder that takes nothing: this process serves, and the next one binds anew
            listening.close()
            self.log("no-upgrade", f"a process that comes after will not find this one: {error}")
        else:
            if self.listening is not None:
                self.listening.close()
            self.listening = listening
            spawn(self.log, "upgrade listener", lambda: self.accept(listening))

    def accept(self, listening: socket.socket) -> None:
        """The listener's greenlet, until its descriptor is closed."""
        while not self.over:
            try:
                sock, _ = listening.accept()
            except OSError:
                return
            if len(self.heard) < self.limits.upgrade_links:
                self.read_from(Link(sock))
            else:
                # guards the descriptors: a process that finds no room here binds for itself
                sock.close()

    def read_from(self, link: Link) -> None:
        self.heard.add(link)
        link.sock.settimeout(self.limits.handover_ms / 1000)
        spawn(self.log, "upgrade link", lambda: self.read(link), lambda: self.push(LinkLost(link)))

    def read(self, link: Link) -> None:
        """A link's greenlet: its lines in order, until it ends."""
        rest = b""
        while len(rest) <= self.limits.line_bytes:
            try:
                data, came, _, _ = recv_fds(link.sock, 4096, 64)
            except TimeoutError:
                continue
            except OSError:
                return
            if not data:
                return
            link.descriptors.extend(came)
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                try:
                    said = SAYS.decode(line)
                    carries = isinstance(said, Client) and link.descriptors
                    self.push(Said(link, said, link.descriptors.popleft() if carries else None))
                except msgspec.MsgspecError as error:
                    return self.log("upgrade-link", f"what came can't be read: {error}")

    def say(self, link: Link, what: msgspec.Struct) -> None:
        try:
            link.sock.sendall(msgspec.json.encode(what) + b"\n")
        except OSError as error:
            self.log("upgrade-link", str(error))

    def receive(self, message: Any) -> None:
        match message:
            case Said(link, Hello()):
                self.hand_over(link)
            case Said(link, Serving()) if not self.stopping and link in self.links:
                self.log("taken-over", "another process serves; what was taken here is answered here")
                self.leading = link
                self.front.push(Yield(lambda sock, name: self.push(Leaving(sock, name))))
                self.core.push(Leading(False))
            case Said(_, Client(name), int(descriptor)):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
                self.front.push(Accepted(sock, name, asked=True))
            case Leaving(sock, name):
                self.pass_on(sock, name)
            case Said(_, Banned(id, on)):
                self.hosts.push(Ban(id, on, AsyncResult(), known=True))
            case BanSet(id, on):
                for link in self.links:
                    self.say(link, Banned(id, on))
            case LinkLost(link):
                self.lost(link)

    def hand_over(self, link: Link) -> None:
        from ..state_transfer import pack

        told: AsyncResult = AsyncResult()
        learned = b""
        # guards against a module that can't answer just now: the new process starts with less, but it starts
        if self.core.tell(Visit(lambda router: told.set(pack(router)))):
            try:
                learned = told.get(timeout=self.limits.carry_ms / 1000)
            except gevent.Timeout:
                self.log("takeover-forgot", "the module was too busy to tell what it learned")
        self.links.append(link)
        try:
            head = msgspec.json.encode(Handed(len(learned), self.hosts.bans())) + b"\n"
            link.send(head + learned, self.front.listening.fileno())
        except OSError as error:
            self.log("upgrade-link", str(error))

    def pass_on(self, sock: socket.socket, name: str) -> None:
        """A connection that can't be passed on is served here: nothing on it is lost."""
        try:
            if self.leading is not None:
                self.leading.send(msgspec.json.encode(Client(name)) + b"\n", sock.fileno())
                sock.close()
                return
        except OSError as error:
            self.log("upgrade-link", str(error))
        self.front.push(Accepted(sock, name, asked=True))

    def close(self, link: Link) -> None:
        link.sock.close()
        while link.descriptors:
            os.close(link.descriptors.popleft())

    def lost(self, link: Link) -> None:
        self.close(link)
        self.heard.discard(link)
        if link in self.links:
            self.links.remove(link)
        if link is self.leading and not self.stopping:
            # guards against a new process that ends right after it has taken over: somebody must serve
            self.log("taken-back", "the process that had taken over has ended; this one serves again")
            self.leading = None
            # guards against its stale socket at the path: the next process would find nobody, and bind anew
            self.listen()
            self.front.push(Resume())
            self.core.push(Leading(True))

    def stop(self) -> None:
        """SIGTERM came: from here on nothing is taken up again."""
        self.stopping = True

    def finish(self) -> None:
        super().finish()
        for link in self.heard:
            self.close(link)
        if self.listening is not None:
            self.listening.close()
