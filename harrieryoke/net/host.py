"""The actor of one model host: it selects or opens a link for each task, and ends each task once."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.clock import now_ms
from ..core.local_errors import is_kernel_timeout, is_local
from ..core.metrics import Metrics
from ..core.records import AttemptTask, Call, OrderTask, Task, TaskEnded
from ..limits import Limits
from ..log import Log
from ..memory_budget import MemoryBudget, Owner, answer_size
from . import frames
from .answers import COPY_LOOKUPS, OUTCOMES, parse_count, parse_load_report
from .link import HostSocket, Link, PendingFrame, host_socket

FRAMES_WAIT_S = 0.002  # until answers that were read have been passed on
MAX_CHECK_MS = 5.0  # that the check before a first byte takes if the process does not stand still
# ids of orders and probes; requests bring their own ids, which must not collide with these on a link
FIRST_INTERNAL_FRAME_ID = 1 << 63
# reported by the kernel; a dial that times out in this process has no errno
RETRYABLE_CONNECT_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


class LinkUnavailableError(Exception):
    """This process can't open another link at present, which implies nothing about the host."""


@dataclass(slots=True)
class HostStatus:
    """The host's state in the worker list. The list's actor alone writes it; the host's actor reads it."""

    address: tuple[str, int]
    state: i.WorkerStatus = i.WorkerStatus.UP
    replaced: bool = False

    def accepts(self, task: Task) -> bool:
        """Return whether the host may get the task.

        A draining, gone or replaced host gets nothing new; a draining host may still be probed.
        """
        if self.replaced or self.state is i.WorkerStatus.GONE:
            return False
        return self.state is i.WorkerStatus.UP or (isinstance(task, OrderTask) and task.copies == 0)


@dataclass(slots=True)
class StartTask:
    """Send the task to the host."""

    task: Task


@dataclass(slots=True)
class CancelTask:
    """The answer to the task is no longer wanted."""

    task: Task


@dataclass(slots=True)
class DropCopies:
    """Ask the host to unload its copies of the function."""

    function: str


@dataclass(slots=True)
class FramesReceived:
    """The link's reader decoded these frames; none if a frame has only started."""

    link: Link
    frames: list[frames.Frame]


@dataclass(slots=True)
class LinkLost:
    """The link's reader has ended."""

    link: Link
    reason: str


@dataclass(slots=True)
class LinkWritable:
    """The link can be written again, or `error` says that it timed out or failed."""

    link: Link
    error: str = ""


@dataclass(slots=True)
class HostRemoved:
    """The host left the list: end once nothing is open, or immediately if its address was reused."""

    immediately: bool = False


def answers_promptly(task: Task) -> bool:
    """Return whether the host must answer the task within its usual time; only a load may take longer."""
    return not isinstance(task, OrderTask) or task.copies == 0


def is_withdrawn(call: Call) -> bool:
    """Return whether the client has left or given the call up, as far as that can be known now."""
    return call.abandoned or (call.origin is not None and call.origin.has_withdrawn(call))


class HostActor(Actor):
    """Serialises all tasks of one model host, so that a silent host delays only its own tasks."""

    def __init__(
        self,
        name: str,
        status: HostStatus,
        settings: i.Settings,
        limits: Limits,
        log: Log,
        report: Callable[[TaskEnded], object],
        metrics: Metrics,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(f"host {name}", limits.host_mailbox, log, reserve=limits.host_mailbox // 4)
        self.status, self.limits, self.report = status, limits, report
        self.metrics, self.memory = metrics, memory or MemoryBudget(limits.budget_bytes())
        self.apply_settings(settings)
        self.links: list[Link] = []
        self.locations: dict[Task, tuple[Link, int]] = {}
        self.last_internal_id = FIRST_INTERNAL_FRAME_ID
        self.removed = False

    def apply_settings(self, settings: i.Settings) -> None:
        """Apply new settings; called by the owner of the list, like changes of `HostStatus`."""
        self.classes = settings.classes
        # even slow hosts answer something within this time
        self.silence_limit_ms = max(self.limits.silent_ms, 1.4 * settings.shortest_latency_target())

    # --- interface to the module actor ---

    def start_task(self, task: Task) -> bool:
        return self.try_send(StartTask(task))

    def cancel_task(self, task: Task) -> None:
        self.try_send(CancelTask(task))

    def drop_copies(self, function: str) -> None:
        self.try_send(DropCopies(function))

    # --- main loop ---

    def run(self) -> None:
        while not self.finished:
            answer_due = any(
                link.partial_since is not None or link.waiting_since is not None for link in self.links
            )
            self.wait_for_message(self.limits.frame_ms / 2 if answer_due else self.limits.link_idle_ms / 4)
            self.process_mailbox()
            self.close_dead_links()
            if self.removed and not self.locations and not self.mailbox:
                return

    def finish(self) -> None:
        """End every open or queued task, whatever ended the actor."""
        self.finished = True
        for link in list(self.links):
            self.close_link(link, "the host's actor ended")
        for message in list(self.mailbox):
            if isinstance(message, StartTask):
                self.end_task(message.task, i.Outcome.NOT_SENT)
        self.mailbox.clear()
        super().finish()

    def receive(self, message: Any) -> None:
        match message:
            case StartTask(task):
                self.send_task(task)
            case CancelTask(task):
                self.handle_cancel(task)
            case DropCopies(function):
                self.send_drop_copies(function)
            case FramesReceived(link, received):
                link.waiting_since = None
                for frame in received if link in self.links else []:
                    self.handle_answer(link, frame)
                if any(map(answers_promptly, link.open.values())):
                    link.waiting_since = now_ms()
            case LinkLost(link, reason):
                self.close_link(link, reason)
            case LinkWritable(link, error):
                link.awaiting_writable = False
                if error and link.backlog:
                    self.close_link(link, error)
                else:
                    self.flush(link)
            case HostRemoved(immediately):
                self.removed, self.finished = True, self.finished or immediately

    def end_task(self, task: Task, outcome: i.Outcome, **details: Any) -> None:
        self.report(TaskEnded(task, outcome, **details))

    # --- sending ---

    def may_start(self, task: Task) -> bool:
        """Return whether the task may still be written; checked again directly before its first byte."""
        now = now_ms()
        if not task.is_open or task.stop_at <= now or task.start_by <= now:
            return False
        if not self.status.accepts(task):
            return False
        return not (isinstance(task, AttemptTask) and is_withdrawn(task.call))

    def may_start_at_once(self, task: Task) -> bool:
        """Return whether the task may be written at once.

        If the process stood still during the check, its result may be outdated: it is made again.
        """
        while True:
            started_at = now_ms()
            if not self.may_start(task):
                return False
            if now_ms() - started_at <= MAX_CHECK_MS:
                return True

    def may_drop_copies(self) -> bool:
        return self.status.state is i.WorkerStatus.UP and not self.status.replaced

    def send_task(self, task: Task) -> None:
        """Queue the task on a link.

        Much can change during a dial or while the link is blocked: `flush` checks again.
        """
        if not self.may_start(task):
            return self.end_task(task, i.Outcome.NOT_SENT)
        try:
            link = self.select_link(task)
        except LinkUnavailableError:
            return self.end_task(task, i.Outcome.NOT_SENT)
        if link is None:
            self.fail_queued_tasks()
            return self.end_task(task, i.Outcome.NO_CONNECTION)
        frame = self.create_frame(task, link)
        self.locations[task] = (link, frame.id)
        self.enqueue_frame(link, frame)

    def enqueue_frame(self, link: Link, frame: PendingFrame) -> None:
        """Write the frame now, or once the host has read the frames before it."""
        link.backlog.append(frame)
        if not link.awaiting_writable:
            self.flush(link)

    def flush(self, link: Link) -> None:
        """Write queued frames as far as the connection accepts them, without waiting."""
        while link.backlog and not link.ended:
            frame = link.backlog[0]
            if not frame.started and not self.prepare_frame(link, frame):
                continue
            unstarted = not frame.started
            try:
                complete = link.write(frame)
            except OSError as error:
                return self.close_link(link, f"write: {error}")
            if unstarted and frame.started and frame.task is not None:
                self.record_started(link, frame.id, frame.task)
            if not complete:
                link.awaiting_writable = True
                spawn(self.log, f"{self.name} writer", lambda: self.wait_writable(link))
                return
            link.backlog.popleft()
            link.last_used = now_ms()
            if isinstance(frame.task, AttemptTask):
                self.metrics.class_metrics(self.classes[frame.task.call.class_index].name).tries += 1

    def prepare_frame(self, link: Link, frame: PendingFrame) -> bool:
        """Encode a frame, or drop it if it is no longer wanted; called directly before its first byte.

        The check comes last, so that its result is as fresh as can be.
        """
        task = frame.task
        if task is None:
            if frame.code != frames.UNLOAD or self.may_drop_copies():
                return True
            link.backlog.popleft()
            return False
        frame.unwritten = self.encode_task(frame, task)
        if self.may_start_at_once(task):
            return True
        link.backlog.popleft()
        del self.locations[task]
        self.end_task(task, i.Outcome.NOT_SENT)
        return False

    def record_started(self, link: Link, id: int, task: Task) -> None:
        link.open[id] = task
        if isinstance(task, AttemptTask):
            task.call.started = True
        if link.waiting_since is None and answers_promptly(task):
            link.waiting_since = now_ms()

    def wait_writable(self, link: Link) -> None:
        """Run the writer's greenlet, which exists only while something is unsent."""
        error = ""
        try:
            link.sock.wait_writable(self.limits.write_ms)
        except OSError as failed:
            error = f"write: {failed}"
        self.blocking_send(LinkWritable(link, error))

    def create_frame(self, task: Task, link: Link) -> PendingFrame:
        if isinstance(task, AttemptTask):
            return PendingFrame(frames.REQUEST, int(task.call.request_id, 16), task)
        self.last_internal_id += 1
        while self.last_internal_id in link.open:
            self.last_internal_id += 1
        return PendingFrame(
            frames.HOLD if isinstance(task, OrderTask) else frames.PROBE_LOAD, self.last_internal_id, task
        )

    def encode_task(self, frame: PendingFrame, task: Task) -> bytes:
        if isinstance(task, AttemptTask):
            call = task.call
            fields = {
                "sort": self.classes[call.class_index].name,
                "asset": call.function,
                "patience": str(max(1, int(task.stop_at - now_ms()))),
            }
            if call.key is not None:
                fields["op"] = call.key
            return frames.encode(frame.code, frame.id, fields, call.body)
        if isinstance(task, OrderTask):
            fields = {"asset": task.function, "pods": str(task.copies)}
            return frames.encode(frame.code, frame.id, fields)
        return frames.encode(frame.code, frame.id)

    def handle_cancel(self, task: Task) -> None:
        """Cancel a task: a request with a frame to the host, an order by ignoring its answer.

        A task that has not started is removed from the queue.
        """
        if (location := self.locations.pop(task, None)) is None:
            return
        link, id = location
        if link.open.get(id) is not task:
            link.backlog.remove(next(frame for frame in link.backlog if frame.task is task))
            return
        del link.open[id]
        if not link.open and not self.is_silent(link):
            link.waiting_since = None  # the answer was not overdue yet: this says nothing about the host
        if isinstance(task, AttemptTask):
            self.enqueue_frame(
                link, PendingFrame(frames.GIVE_UP, id, unwritten=frames.encode(frames.GIVE_UP, id))
            )

    def send_drop_copies(self, function: str) -> None:
        try:
            link = self.select_link(None) if self.may_drop_copies() else None
        except LinkUnavailableError:
            return
        if link is not None:
            id = int(function, 16)
            self.enqueue_frame(
                link, PendingFrame(frames.UNLOAD, id, unwritten=frames.encode(frames.UNLOAD, id))
            )

    # --- links ---

    def select_link(self, task: Task | None) -> Link | None:
        """Return the newest usable link, preferably one that is not blocked, or open one.

        A probe avoids a link that has owed an answer for longer than a dial may take. Returns None if the
        host can't be reached. Raises LinkUnavailableError.
        """
        is_probe = isinstance(task, OrderTask) and task.copies == 0
        id = int(task.call.request_id, 16) if isinstance(task, AttemptTask) else None
        blocked: Link | None = None
        for link in reversed(self.links):
            waited_ms = now_ms() - link.waiting_since if is_probe and link.waiting_since is not None else 0.0
            has_space = not link.ended and link.load < self.limits.streams_per_link and not link.has_frame(id)
            if has_space and waited_ms <= self.limits.dial_ms and not self.is_silent(link):
                if not link.awaiting_writable:
                    return link
                blocked = blocked or link
        return blocked or self.open_link(is_probe)

    def open_link(self, is_probe: bool) -> Link | None:
        if len(self.links) >= self.limits.links_per_host:
            for link in list(filter(self.is_silent, self.links)):
                self.close_link(link, "silent")
        if len(self.links) >= self.limits.links_per_host:
            if is_probe:
                return None
            # the host is only busy: it must not be taken as dead, nor its copies as lost
            raise LinkUnavailableError("all links to the host are full")
        return self.dial()

    def is_silent(self, link: Link, factor: int = 1) -> bool:
        """Return whether an answer has been due for too long.

        Detects a connection that stays open but delivers nothing, while a new one would work.
        """
        return (
            link.waiting_since is not None and now_ms() - link.waiting_since > factor * self.silence_limit_ms
        )

    def connect(self) -> HostSocket:
        """Dial, and retry once after an error that may be transient. Raises OSError."""
        try:
            return self.connect_once()
        except OSError as error:
            # a dead host refuses connections; after a reset the host may be alive, so it is dialled again
            if not isinstance(error, ConnectionResetError) and error.errno not in RETRYABLE_CONNECT_ERRORS:
                raise
            return self.connect_once()

    def connect_once(self) -> HostSocket:
        sock = host_socket(socket.create_connection(self.status.address, self.limits.dial_ms / 1000))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # detects a host that vanished: data that it does not acknowledge within this time ends the link
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self.limits.vanished_ms))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.limits.host_buffer_bytes())
        except OSError:
            sock.close()
            raise
        sock.settimeout(self.limits.write_ms / 1000)
        return sock

    def dial(self) -> Link | None:
        try:
            sock = self.connect()
        except OSError as error:
            self.log("dial-failed", f"{self.name}: {error}")
            if is_local(error):
                raise LinkUnavailableError(str(error)) from error
            return None
        link = Link(sock, frames.Decoder(self.limits.answer_bytes), last_used=now_ms())
        self.links.append(link)
        spawn(self.log, f"{self.name} reader", lambda: self.read_link(link))
        return link

    def fail_queued_tasks(self) -> None:
        """End all queued tasks after a failed dial, so that they do not wait for one dial after another."""
        queued = [m for m in self.mailbox if isinstance(m, StartTask)]
        for message in queued:
            self.mailbox.remove(message)
            startable = self.may_start(message.task)
            self.end_task(message.task, i.Outcome.NO_CONNECTION if startable else i.Outcome.NOT_SENT)

    def read_link(self, link: Link) -> None:
        """Run the reader's greenlet: convert bytes to messages, and report why the link ended."""
        reason = "closed by the host"
        try:
            while True:
                try:
                    data = link.sock.recv(65536)
                except TimeoutError as error:
                    if is_kernel_timeout(error):
                        raise
                    continue
                if not data:
                    break
                received: list[frames.Frame] = []
                self.release_partial(link)
                try:
                    for frame in link.decoder.feed(data):
                        frame.reservation = self.memory.reserve(Owner.FRAMES, answer_size(len(frame.body)))
                        received.append(frame)
                finally:
                    # Valid answers that precede an invalid frame are delivered. The start of a frame also
                    # wakes the actor, which then watches for the rest; a long frame may take a while.
                    previous, partial = link.partial_since, bool(link.decoder.buffer)
                    link.partial_since = now_ms() if partial else None
                    if received or (previous is None and partial):
                        self.blocking_send(FramesReceived(link, received))
                self.charge_partial(link)
        except frames.FrameError as error:
            reason = f"bad frame: {error}"
            self.log("bad-frame", f"{self.name}: {error}")
        except OSError as error:
            reason = f"read: {error}"
        link.ended = True  # no new task may start here, even while the message waits in the mailbox
        self.release_partial(link)
        self.blocking_send(LinkLost(link, reason))

    def charge_partial(self, link: Link) -> None:
        """Charge the incomplete frame of a link, as the answer that it will be.

        Waits while too much is on its way from hosts to clients. Raises FrameError if that takes too long.
        """
        self.release_partial(link)
        size = answer_size(link.decoder.expected_bytes())
        give_up_at = now_ms() + 2 * self.limits.frame_ms
        while size and not self.memory.may_read_frame(size):
            if now_ms() > give_up_at or link.ended:
                raise frames.FrameError(f"no memory for an answer: {self.memory.describe()}")
            link.partial_since = now_ms()
            gevent.sleep(FRAMES_WAIT_S)
        self.memory.charge(Owner.FRAMES, size)
        link.charged = size

    def release_partial(self, link: Link) -> None:
        """Give back the memory of the incomplete frame of a link."""
        self.memory.release(Owner.FRAMES, link.charged)
        link.charged = 0

    def close_link(self, link: Link, reason: str) -> None:
        """Close the link and end its tasks.

        What was sent may have run, and the host has given it up. What was not written completely has not run:
        a host acts only on complete frames.
        """
        if link not in self.links:
            return
        self.links.remove(link)
        link.sock.close()
        not_sent = [frame.task for frame in link.backlog if frame.task in self.locations]
        sent = [task for task in link.open.values() if task not in not_sent]
        link.open.clear()
        link.backlog.clear()
        if sent or not_sent:
            self.log("link-lost", f"{self.name}: {reason}; {len(sent)} out, {len(not_sent)} not written")
        else:
            self.log("link-closed", f"{self.name}: {reason}")
        for task in sent + not_sent:
            del self.locations[task]
            self.end_task(task, i.Outcome.RESET if task in sent else i.Outcome.NOT_SENT)

    def close_dead_links(self) -> None:
        """Close stalled, silent and idle links.

        Idle ones are closed shortly before the host would, so that no request crosses its close.
        """
        now = now_ms()
        for link in list(self.links):
            if link.partial_since is not None and now - link.partial_since > self.limits.frame_ms:
                # an answer was truncated: whatever follows would be taken as the rest of its frame
                self.log("bad-frame", f"{self.name}: timed out waiting for the rest of a frame")
                self.close_link(link, "incomplete frame")
        for link in [k for k in self.links if self.is_silent(k) and (not k.open or self.is_silent(k, 3))]:
            self.close_link(link, "silent")
        idle_before = now - 0.8 * self.limits.link_idle_ms
        for link in [k for k in self.links if not k.load and (k.last_used < idle_before or self.removed)]:
            self.close_link(link, "idle")

    # --- receiving ---

    def handle_answer(self, link: Link, frame: frames.Frame) -> None:
        task = link.open.get(frame.id)
        if task is None:
            return  # the task was cancelled while its answer was in transit
        is_probe_answer = frame.code >= frames.HEALTHY
        if frame.code not in OUTCOMES or is_probe_answer == isinstance(task, AttemptTask | OrderTask):
            self.log("bad-frame", f"{self.name}: code {frame.code} for {type(task).__name__}")
            return self.close_link(link, f"code {frame.code}")
        del link.open[frame.id], self.locations[task]
        link.last_used = now_ms()
        note = frame.fields.get("n", "")
        outcome = OUTCOMES[frame.code]
        if isinstance(task, OrderTask):
            return self.end_task(task, outcome, copies=parse_count(frame.fields.get("pods")) or 0)
        if isinstance(task, AttemptTask) and frame.body:
            task.call.answer_reservation = frame.reservation
            if frame.reservation is None:
                self.log("answer-dropped", f"{task.call.request_id}: {self.memory.describe()}")
                return self.end_task(task, i.Outcome.ERROR)
        report, concurrent = parse_load_report(frame.fields.get("l")), parse_count(frame.fields.get("depth"))
        self.end_task(
            task,
            outcome,
            body=frame.body,
            copy_lookup=COPY_LOOKUPS.get(note),
            load_failed=note == "f",
            concurrent_requests=concurrent,
            report=report,
        )
