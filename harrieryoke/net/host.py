"""The actor of one model host: its links, and what is out on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gevent import socket

from .. import interface as i
from ..core.actor import Actor, now_ms, spawn
from ..core.metrics import Metrics
from ..core.records import Attempt, Order, Task, TaskEnded
from ..limits import Limits
from ..log import Log
from ..settings import REPORT_NAMES
from . import frames

ENDS = {
    frames.OK: i.Outcome.OK,
    frames.MISS: i.Outcome.MISS,
    frames.FULL: i.Outcome.FULL,
    frames.ERROR: i.Outcome.ERROR,
    frames.OVER: i.Outcome.NOT_SENT,
    frames.HEALTHY: i.Outcome.OK,
    frames.SICK: i.Outcome.ERROR,
}
FOUND = {"w": i.Found.COPY, "c": i.Found.BEGAN_LOAD, "j": i.Found.WAITED}


@dataclass(slots=True)
class Standing:
    """What the worker list says of a host. The list's actor alone writes it; the host reads it."""

    address: tuple[str, int]
    drain: i.Drain = i.Drain.UP
    replaced: bool = False

    def takes(self, task: Task) -> bool:
        """A draining, gone or replaced host gets nothing new; one that drains may still be asked."""
        if self.replaced or self.drain is i.Drain.GONE:
            return False
        return self.drain is i.Drain.UP or (isinstance(task, Order) and task.copies == 0)


@dataclass(slots=True, eq=False)
class Link:
    """One connection, and what is open on it by frame id."""

    sock: socket.socket
    decoder: frames.Decoder
    open: dict[int, Task] = field(default_factory=dict)
    used: float = 0.0
    asked: float | None = None  # since when something is owed an answer soon and nothing has come
    part_since: float | None = None  # a frame has begun and its rest has not come; its reader alone writes it


@dataclass(slots=True)
class Begin:
    task: Task


@dataclass(slots=True)
class Revoke:
    task: Task


@dataclass(slots=True)
class Drop:
    function: str


@dataclass(slots=True)
class Heard:
    link: Link
    frames: list[frames.Frame]


@dataclass(slots=True)
class Lost:
    link: Link
    reason: str


@dataclass(slots=True)
class Retire:
    """The host has left the list: it ends once nothing is out on it, or now if its address is another's."""

    now: bool = False


def soon(task: Task) -> bool:
    """A load may take its time; all else is answered within its usual time, or the host is silent."""
    return not isinstance(task, Order) or task.copies == 0


def number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdecimal() else None


def read_report(text: str | None) -> i.LoadReport | None:
    """The load report of an answer; what can't be read is as absent."""
    values: dict[str, float] = {}
    for pair in text.split(";") if text else []:
        name, _, value = pair.partition(":")
        try:
            if name in REPORT_NAMES:
                values[REPORT_NAMES[name]] = float(value)
        except ValueError:
            continue
    return i.LoadReport(**values) if values else None


class HostActor(Actor):
    """Serialises all that goes to one model host. A host that is silent holds up nobody but itself."""

    def __init__(
        self,
        name: str,
        standing: Standing,
        settings: i.Settings,
        limits: Limits,
        log: Log,
        report: Callable[[TaskEnded], object],
        figures: Metrics,
    ) -> None:
        super().__init__(f"host {name}", limits.host_mailbox, log, reserve=limits.host_mailbox // 4)
        self.standing, self.limits, self.report = standing, limits, report
        self.figures = figures
        self.retune(settings)
        self.links: list[Link] = []
        self.places: dict[Task, tuple[Link, int]] = {}
        self.serial = 0
        self.retiring = False

    def retune(self, settings: i.Settings) -> None:
        """For whoever keeps the list, as with `Standing`."""
        self.classes = settings.classes
        # slow hosts still answer something in this time
        self.silence = max(self.limits.silent_ms, 1.4 * settings.shortest_aim())

    # --- the port that the module actor sees ---

    def begin(self, task: Task) -> bool:
        return self.tell(Begin(task))

    def revoke(self, task: Task) -> None:
        self.tell(Revoke(task))

    def drop(self, function: str) -> None:
        self.tell(Drop(function))

    # --- the loop ---

    def run(self) -> None:
        while not self.over:
            owed = any(link.part_since is not None or link.asked is not None for link in self.links)
            self.wait(self.limits.frame_ms / 2 if owed else self.limits.link_idle_ms / 4)
            self.work()
            self.tidy()
            if self.retiring and not self.places and not self.box:
                return

    def finish(self) -> None:
        """Whatever ended the actor: nothing that was out or queued stays without its end."""
        self.over = True
        for link in list(self.links):
            self.close(link, "the host's actor ended")
        for message in list(self.box):
            if isinstance(message, Begin):
                self.end(message.task, i.Outcome.NOT_SENT)
        self.box.clear()
        super().finish()

    def receive(self, message: Any) -> None:
        match message:
            case Begin(task):
                self.send(task)
            case Revoke(task):
                self.give_up(task)
            case Drop(function):
                self.unload(function)
            case Heard(link, heard):
                link.asked = None
                for frame in heard if link in self.links else []:
                    self.answer(link, frame)
                if any(map(soon, link.open.values())):
                    link.asked = now_ms()
            case Lost(link, reason):
                if link in self.links:
                    self.close(link, reason)
            case Retire(now):
                self.retiring, self.over = True, self.over or now

    def end(self, task: Task, outcome: i.Outcome, **told: Any) -> None:
        self.report(TaskEnded(task, outcome, **told))

    # --- towards the host ---

    def send(self, task: Task) -> None:
        """Checks all over again just before the first byte: much can change while a dial takes its time."""
        if not task.wanted or not self.standing.takes(task) or task.stop_at <= now_ms():
            return self.end(task, i.Outcome.NOT_SENT)
        link = self.link_for_one_more(isinstance(task, Order) and task.copies == 0)
        if link is None:
            self.fail_queued()
            return self.end(task, i.Outcome.NO_CONNECTION)
        # guards against a request that ended, or a host that began to drain, during the dial
        now = now_ms()
        if not task.wanted or not self.standing.takes(task) or task.stop_at <= now:
            return self.end(task, i.Outcome.NOT_SENT)
        id, data = self.frame_for(task, link, now)
        task.begun = True
        link.open[id], self.places[task] = task, (link, id)
        if link.asked is None and soon(task):
            link.asked = now
        self.write(link, data, task)

    def frame_for(self, task: Task, link: Link, now: float) -> tuple[int, bytes]:
        if isinstance(task, Attempt):
            call = task.call
            fields = {
                "sort": self.classes[call.class_index].name,
                "asset": call.function,
                "patience": str(max(1, int(task.stop_at - now))),
            }
            if call.key is not None:
                fields["op"] = call.key
            id = int(call.rid, 16)
            return id, frames.encode(frames.REQUEST, id, fields, call.body)
        self.serial += 1
        while self.serial in link.open:
            self.serial += 1
        if isinstance(task, Order):
            held = {"asset": task.function, "pods": str(task.copies)}
            return self.serial, frames.encode(frames.HOLD, self.serial, held)
        return self.serial, frames.encode(frames.PROBE_LOAD, self.serial)

    def give_up(self, task: Task) -> None:
        """A request is given up with a word; an order just is not waited for any more."""
        if (place := self.places.pop(task, None)) is not None:
            link, id = place
            del link.open[id]
            if not link.open and not self.silent(link):
                link.asked = None  # what was given up early tells nothing of the host
            if isinstance(task, Attempt):
                self.write(link, frames.encode(frames.GIVE_UP, id))

    def unload(self, function: str) -> None:
        open_to_it = self.standing.drain is i.Drain.UP and not self.standing.replaced
        if open_to_it and (link := self.link_for_one_more()):
            self.write(link, frames.encode(frames.UNLOAD, int(function, 16)))

    def write(self, link: Link, data: bytes, unwritten: Task | None = None) -> None:
        try:
            link.sock.sendall(data)
            link.used = now_ms()
        except OSError as error:
            return self.close(link, f"write: {error}", unwritten)
        if isinstance(unwritten, Attempt):
            self.figures.for_class(self.classes[unwritten.call.class_index].name).tries += 1

    # --- links ---

    def link_for_one_more(self, ask: bool = False) -> Link | None:
        """The newest link with room; a further one only when all are full, or silent. An ask whether
        the host lives goes by none that owes an answer for longer than a dial would take."""
        for link in reversed(self.links):
            quiet = now_ms() - link.asked if ask and link.asked is not None else 0.0
            free = len(link.open) < self.limits.streams_per_link
            if free and quiet <= self.limits.dial_ms and not self.silent(link):
                return link
        if len(self.links) >= self.limits.links_per_host:
            for link in list(filter(self.silent, self.links)):
                self.close(link, "silent")
        if len(self.links) >= self.limits.links_per_host:
            return None
        return self.dial()

    def silent(self, link: Link, times: int = 1) -> bool:
        """Guards against a connection that stays open and brings nothing more, while a new one would."""
        return link.asked is not None and now_ms() - link.asked > times * self.silence

    def connect(self) -> socket.socket:
        dialled = (self.standing.address, self.limits.dial_ms / 1000)
        try:
            return socket.create_connection(*dialled)
        except ConnectionResetError:
            # guards against taking a host for dead, its copies lost: a dead one refuses, it does not reset
            return socket.create_connection(*dialled)

    def dial(self) -> Link | None:
        try:
            sock = self.connect()
        except OSError as error:
            self.log("dial-failed", f"{self.name}: {error}")
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # guards against a host that vanished with its link open: what it does not acknowledge ends the link
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self.limits.vanished_ms))
        sock.settimeout(self.limits.write_ms / 1000)
        link = Link(sock, frames.Decoder(self.limits.body_bytes), used=now_ms())
        self.links.append(link)
        spawn(self.log, f"{self.name} reader", lambda: self.read(link))
        return link

    def fail_queued(self) -> None:
        """What waited behind a failed dial fails with it: nobody waits for one dial after the other."""
        queued = [m for m in self.box if isinstance(m, Begin)]
        for message in queued:
            self.box.remove(message)
            fits = message.task.wanted and self.standing.takes(message.task)
            self.end(message.task, i.Outcome.NO_CONNECTION if fits else i.Outcome.NOT_SENT)

    def read(self, link: Link) -> None:
        """The reader's greenlet: turns bytes into messages, and says how the link ended."""
        reason = "closed by the host"
        try:
            while True:
                try:
                    data = link.sock.recv(65536)
                except TimeoutError:
                    continue
                if not data:
                    break
                heard: list[frames.Frame] = []
                try:
                    for frame in link.decoder.feed(data):
                        heard.append(frame)
                finally:
                    # guards the good answers ahead of a bad frame; and a frame that has only begun wakes the
                    # actor too, so that somebody looks whether its rest comes
                    began, rest = link.part_since, bool(link.decoder.rest)
                    link.part_since = (now_ms() if heard or began is None else began) if rest else None
                    if heard or (began is None and rest):
                        self.push(Heard(link, heard))
        except frames.FrameError as error:
            reason = f"bad frame: {error}"
            self.log("bad-frame", f"{self.name}: {error}")
        except OSError as error:
            reason = f"read: {error}"
        self.push(Lost(link, reason))

    def close(self, link: Link, reason: str, unwritten: Task | None = None) -> None:
        """What was out on a link that ends may have run; the host has given it up. What was never written
        whole has not run: a host acts on whole frames alone."""
        if link not in self.links:
            return
        self.links.remove(link)
        link.sock.close()
        if link.open:
            self.log("link-lost", f"{self.name}: {reason}; {len(link.open)} out")
        for task in link.open.values():
            del self.places[task]
            self.end(task, i.Outcome.NOT_SENT if task is unwritten else i.Outcome.RESET)
        link.open.clear()

    def tidy(self) -> None:
        """Closes links that lie idle a little before the host would: no request crosses such a close."""
        now = now_ms()
        for link in list(self.links):
            if link.part_since is not None and now - link.part_since > self.limits.frame_ms:
                # guards against an answer that stops short: what comes behind it would be its rest
                self.log("bad-frame", f"{self.name}: the rest of a frame has not come")
                self.close(link, "a frame stopped short")
        for link in [k for k in self.links if self.silent(k) and (not k.open or self.silent(k, 3))]:
            self.close(link, "silent")
        late = now - 0.8 * self.limits.link_idle_ms
        for link in [k for k in self.links if not k.open and (k.used < late or self.retiring)]:
            self.close(link, "idle")

    # --- from the host ---

    def answer(self, link: Link, frame: frames.Frame) -> None:
        task = link.open.get(frame.id)
        if task is None:
            return  # it was given up while the answer was on its way
        probed = frame.code >= frames.HEALTHY
        if frame.code not in ENDS or probed == isinstance(task, Attempt | Order):
            self.log("bad-frame", f"{self.name}: code {frame.code} for {type(task).__name__}")
            return self.close(link, f"code {frame.code}")
        del link.open[frame.id], self.places[task]
        link.used = now_ms()
        note = frame.fields.get("n", "")
        outcome = ENDS[frame.code]
        if isinstance(task, Order):
            return self.end(task, outcome, copies=number(frame.fields.get("pods")) or 0)
        report, crowd = read_report(frame.fields.get("l")), number(frame.fields.get("depth"))
        self.end(
            task,
            outcome,
            body=frame.body,
            found=FOUND.get(note),
            load_failed=note == "f",
            crowd=crowd,
            report=report,
        )
