"""Events that cross on the links to a model host: a host's actor driven step by step against a stand-in on
loopback, so that each crossing is forced."""

from __future__ import annotations

import os
import resource
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from harrieryoke import interface as i
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import AttemptTask, Call, OrderTask, Task, TaskEnded
from harrieryoke.core.table import RequestTable
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net import frames
from harrieryoke.net.host import FIRST_INTERNAL_FRAME_ID, HostActor, HostStatus, LinkLost, LinkWritable
from harrieryoke.net.link import HostSocket, Link, PendingFrame, host_socket

PATIENCE = 20.0  # seconds for what should come at once
KINDS = i.Settings((i.RequestClass("weight-read", 1000, 4000),))
LARGE = b"x" * 16384  # more than the buffers of a `narrow` link
NOT_SENT, NO_CONNECTION, RESET, OK = (
    i.Outcome.NOT_SENT,
    i.Outcome.NO_CONNECTION,
    i.Outcome.RESET,
    i.Outcome.OK,
)


class Peer:
    """The host's end of one link: keeps what it reads, and reads only while `reading` is set."""

    def __init__(self, sock: socket.socket, reading: Event) -> None:
        self.sock, self.reading, self.heard = sock, reading, list[tuple[int, int]]()
        self.decoder = frames.Decoder(1 << 20, frames.TO_HOST)
        gevent.spawn(self.read)

    def read(self) -> None:
        try:
            while self.reading.wait() and (data := self.sock.recv(65536)):
                self.heard += [(f.code, f.id) for f in self.decoder.feed(data)]
        except OSError:
            pass

    def answer(self, code: int, task: AttemptTask) -> None:
        self.sock.sendall(frames.encode(code, int(task.call.request_id, 16), magic=frames.FROM_HOST))

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Stage(HostActor):
    """The real actor, with a stand-in on loopback; the test takes its messages from the mailbox by `step`.
    `dialling` is called in each dial. On a `narrow` link a large request can't be written at once."""

    def __init__(self, limits: Limits | None = None, narrow: bool = False) -> None:
        self.listening = socket.socket()
        self.narrow, self.reading = narrow, Event()
        self.reading.set()
        if narrow:
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2304)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(8)
        self.ends: list[tuple[Task, i.Outcome]] = []
        self.peers: list[Peer] = []
        self.dialling: Callable[[], object] = lambda: None
        where = HostStatus(self.listening.getsockname())
        limits = limits or Limits(write_ms=20000.0, silent_ms=20000.0)
        super().__init__("h", where, KINDS, limits, Log(), self.note, Metrics())

    def note(self, ended: TaskEnded) -> None:
        self.ends.append((ended.task, ended.outcome))

    def connect(self) -> HostSocket:
        self.dialling()
        if not self.narrow:
            sock = super().connect()
        else:
            plain = socket.socket()
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
            plain.connect(self.status.address)
            sock = host_socket(plain)
        self.peers.append(Peer(self.listening.accept()[0], self.reading))
        return sock

    def until(self, condition: Callable[[], object], step: bool = True) -> None:
        """Goes on only once the condition is seen to hold; meanwhile the actor takes its messages."""
        late = time.monotonic() + PATIENCE
        while not condition():
            assert time.monotonic() < late, (self.ends, [p.heard for p in self.peers])
            if step:
                self.process_mailbox()
            gevent.sleep(0.001)

    def blocked(self, body: bytes = LARGE) -> tuple[AttemptTask, Link]:
        """A request of which a part is written, on a link whose host does not read."""
        self.reading.clear()
        large = attempt(0xA, body=body)
        self.send_task(large)
        link = self.links[-1]
        assert link.awaiting_writable and link.backlog[0].started and large.write_started
        return large, link

    def tries(self) -> int:
        return self.metrics.for_class("weight-read").tries


@pytest.fixture
def stages() -> Iterator[Callable[..., Stage]]:
    made: list[Stage] = []

    def make(*args: Any, **named: Any) -> Stage:
        made.append(Stage(*args, **named))
        return made[-1]

    yield make
    for stage in made:
        stage.finish()
        stage.listening.close()
        for peer in stage.peers:
            peer.sock.close()


Make = Callable[..., Stage]


def attempt(id: int, body: bytes = b"", number: int = 0) -> AttemptTask:
    return AttemptTask(1, 1e15, 0.0, call=Call(f"{id:016x}", 0, "f", 1e15, body), number=number)


def request(id: int) -> tuple[int, int]:
    return frames.REQUEST, id


# --- between the check and the first byte ---


def abandon(stage: Stage, task: AttemptTask) -> None:
    task.call.abandoned = True


def unwant(stage: Stage, task: AttemptTask) -> None:
    task.wanted = False


def drain(stage: Stage, task: AttemptTask) -> None:
    stage.status.state = i.WorkerStatus.DRAINING


def replaced(stage: Stage, task: AttemptTask) -> None:
    stage.status.replaced = True


def time_over(stage: Stage, task: AttemptTask) -> None:
    task.stop_at = 1.0


def window_over(stage: Stage, task: AttemptTask) -> None:
    task.start_by = 1.0


NEWS = [abandon, unwant, drain, replaced, time_over, window_over]


@pytest.mark.parametrize("news", NEWS)
def test_what_is_no_longer_wanted_when_its_dial_comes_up_does_not_begin(
    stages: Make, news: Callable[[Stage, AttemptTask], None]
) -> None:
    stage, task, marker = stages(), attempt(1), OrderTask(1, 1e15, 0.0, function="f", copies=0)
    stage.dialling = lambda: news(stage, task)
    stage.send_task(task)
    assert stage.ends == [(task, NOT_SENT)] and not task.write_started and not stage.locations
    stage.status.state, stage.status.replaced = i.WorkerStatus.UP, False
    stage.send_task(marker)
    stage.until(lambda: stage.peers[0].heard)
    assert stage.peers[0].heard == [(frames.HOLD, FIRST_INTERNAL_FRAME_ID + 1)] and stage.tries() == 0


@pytest.mark.parametrize("news", NEWS)
def test_what_is_no_longer_wanted_when_the_host_reads_on_does_not_begin(
    stages: Make, news: Callable[[Stage, AttemptTask], None]
) -> None:
    stage, task, later = stages(narrow=True), attempt(1), attempt(2)
    stage.blocked()
    stage.send_task(task)
    assert not task.write_started
    news(stage, task)
    stage.reading.set()
    stage.until(lambda: stage.ends)
    assert stage.ends == [(task, NOT_SENT)] and not task.write_started
    stage.status.state, stage.status.replaced = i.WorkerStatus.UP, False
    stage.send_task(later)
    stage.until(lambda: len(stage.peers[0].heard) == 2)
    assert stage.peers[0].heard == [request(0xA), request(2)] and stage.tries() == 2


# --- a host that does not read ---


def test_a_host_that_does_not_read_keeps_the_actor_from_nothing(stages: Make) -> None:
    stage, early, given_up = stages(narrow=True), attempt(1), attempt(2)
    stage.send_task(early)
    stage.until(lambda: stage.peers[0].heard)
    large, link = stage.blocked()
    stage.send_task(given_up)
    stage.handle_cancel(given_up)
    stage.peers[0].answer(frames.OK, early)
    stage.until(lambda: stage.ends)
    assert stage.ends == [(early, OK)] and link.awaiting_writable and not given_up.write_started
    stage.handle_cancel(large)
    stage.reading.set()
    stage.until(lambda: len(stage.peers[0].heard) == 3)
    assert stage.peers[0].heard == [request(1), request(0xA), (frames.GIVE_UP, 0xA)]
    assert stage.tries() == 2 and not stage.locations and not link.backlog and not link.awaiting_writable


def test_a_link_that_takes_nothing_for_its_time_ends_and_only_what_was_whole_may_have_run(
    stages: Make,
) -> None:
    stage, whole, queued = (
        stages(Limits(write_ms=50.0, vanished_ms=60000.0), narrow=True),
        attempt(1),
        attempt(2),
    )
    stage.send_task(whole)
    stage.until(lambda: stage.peers[0].heard)
    large, _ = stage.blocked()
    stage.send_task(queued)
    stage.until(lambda: len(stage.ends) == 3)
    assert dict(stage.ends) == {whole: RESET, large: NOT_SENT, queued: NOT_SENT}
    assert not stage.links and stage.tries() == 1


def test_a_link_closed_while_its_writer_waits_ends_each_task_once(stages: Make) -> None:
    stage, queued = stages(narrow=True), attempt(2)
    large, link = stage.blocked()
    stage.send_task(queued)
    stage.close_link(link, "the test")
    stage.until(lambda: not link.awaiting_writable)
    assert sorted(stage.ends, key=lambda e: e[0] is large) == [(queued, NOT_SENT), (large, NOT_SENT)]


def test_a_request_goes_rather_by_a_link_whose_host_reads(stages: Make) -> None:
    stage, tasks = stages(Limits(streams_per_link=3), narrow=True), [attempt(n) for n in (1, 2, 3, 4)]
    for task in tasks[:3]:
        stage.send_task(task)
    stage.blocked()
    stage.handle_cancel(tasks[0])
    stage.send_task(tasks[3])
    assert tasks[3].write_started and stage.locations[tasks[3]][0] is stage.links[0]


def test_an_unload_that_has_not_begun_does_not_go_to_a_host_that_drains(stages: Make) -> None:
    stage, later = stages(narrow=True), attempt(2)
    stage.blocked()
    stage.send_drop_copies("f")
    stage.status.state = i.WorkerStatus.DRAINING
    stage.reading.set()
    stage.until(lambda: stage.peers[0].heard and not stage.links[0].awaiting_writable)
    stage.status.state = i.WorkerStatus.UP
    stage.send_task(later)
    stage.until(lambda: len(stage.peers[0].heard) == 2)
    assert stage.peers[0].heard == [request(0xA), request(2)]


def test_what_the_connection_takes_nothing_of_has_not_begun() -> None:
    class Unready:
        def sendall(self, data: bytes) -> None:
            raise BlockingIOError(11, "full", 0)

    task = attempt(1)
    frame = PendingFrame(frames.REQUEST, 1, task, b"data")
    assert not Link(Unready(), frames.Decoder(0)).write(frame) and frame.unwritten == b"data"
    assert not task.write_started and not frame.started


# --- the window in which a request may be repeated ---


class Port:
    """A host's mailbox that takes all and tells nothing."""

    def start_task(self, task: Task) -> bool:
        return True

    def cancel_task(self, task: Task) -> None: ...

    def drop_copies(self, function: str) -> None: ...

    def served(self, call: Call, body: bytes) -> None: ...

    def refused(self, call: Call, retry_after: float | None) -> None: ...

    def failed(self, call: Call, reason: str) -> None: ...


NEVER = float("inf")


@pytest.mark.parametrize(
    ("effect", "ends", "start_by"),
    [
        (i.Effect.KEYED, [RESET, RESET], 1000.0 + 300 - 2),  # the first of them counts
        (i.Effect.KEYED, [NOT_SENT, RESET], 1100.0 + 300 - 2),  # that never ran
        (i.Effect.KEYED, [NOT_SENT, i.Outcome.MISS], NEVER),
        (i.Effect.KEYED, [None, NOT_SENT], 1000.0 + 300 - 2),  # that is still out
        (i.Effect.KEYED, [], NEVER),
        (i.Effect.SAFE, [RESET, None], NEVER),
        (i.Effect.UNSAFE, [RESET, None], NEVER),
    ],
)
def test_a_repeat_may_begin_while_the_first_that_may_have_run_is_known_by_its_key(
    effect: i.Effect, ends: list[i.Outcome | None], start_by: float
) -> None:
    kind = i.RequestClass(
        "read", 500, 2000, effect=effect, deduplication_scope=i.DeduplicationScope.ALL, repeat_window=300
    )
    table, port = RequestTable(i.Settings((kind,), tick=2), Limits(), Metrics(), Log()), Port()
    table.take(Call("1", 0, "f", 9000.0), port, 1000.0)
    entry = table.entries[1]
    for turn, outcome in enumerate(ends):
        task = table.attempt(entry, 1, 5000.0, 1000.0 + 100 * turn)
        table.begin(task, port)
        if outcome is not None:
            table.settle(TaskEnded(task, outcome))
    assert table.attempt(entry, 1, 5000.0, 1250.0).start_by == start_by


# --- links that end ---


def test_a_reset_ends_each_request_on_the_link_once(stages: Make) -> None:
    stage, tasks = stages(), [attempt(n) for n in (1, 2, 3)]
    for task in tasks:
        stage.send_task(task)
    stage.until(lambda: len(stage.peers[0].heard) == 3)
    stage.peers[0].reset()
    stage.until(lambda: len(stage.ends) == 3)
    assert stage.ends == [(task, RESET) for task in tasks] and not stage.links and not stage.locations


def test_nothing_begins_on_a_link_that_the_host_has_closed_while_the_news_lies_in_the_mailbox(
    stages: Make,
) -> None:
    stage, old, new = stages(), attempt(1), attempt(2)
    stage.send_task(old)
    stage.until(lambda: stage.peers[0].heard)
    stage.peers[0].sock.close()
    stage.until(lambda: any(isinstance(m, LinkLost) for m in stage.mailbox), step=False)
    stage.send_task(new)
    stage.until(lambda: stage.peers[1].heard)
    assert stage.peers[1].heard == [request(2)] and stage.ends == [(old, RESET)]


def test_what_waits_on_a_link_that_the_host_closes_never_begins(stages: Make) -> None:
    stage, queued = stages(narrow=True), attempt(2)
    large, link = stage.blocked(LARGE[:9000])
    stage.send_task(queued)
    stage.reading.set()
    stage.until(lambda: any(isinstance(m, LinkWritable) for m in stage.mailbox), step=False)
    begun = link.backlog[0]
    written = len(stage.encode_task(begun, large)) - len(begun.unwritten)
    stage.until(lambda: len(stage.peers[0].decoder.buffer) == written, step=False)  # there is room for both
    stage.peers[0].sock.shutdown(socket.SHUT_WR)  # it would still read
    stage.until(lambda: link.ended, step=False)
    stage.until(lambda: len(stage.ends) == 2)
    assert dict(stage.ends) == {large: NOT_SENT, queued: NOT_SENT} and not queued.write_started


def test_a_dial_that_never_comes_up_ends_all_that_waited_for_it_once(stages: Make) -> None:
    stage, tasks = stages(Limits(dial_ms=100.0)), [attempt(n) for n in (1, 2, 3)]
    stage.listening.listen(0)
    where, held = stage.listening.getsockname(), list[socket.socket]()
    with pytest.raises(TimeoutError):  # until the host's queue is full: it answers no dial any more
        while len(held) < 10:
            held.append(socket.create_connection(where, 0.2))
    for task in tasks[1:]:
        stage.start_task(task)
    tasks[2].call.abandoned = True
    stage.send_task(tasks[0])
    assert dict(stage.ends) == dict(zip(tasks, (NO_CONNECTION, NO_CONNECTION, NOT_SENT), strict=True))
    assert len(stage.ends) == 3 and not stage.mailbox and not stage.locations
    for sock in held:
        sock.close()


def test_a_dial_without_a_descriptor_tells_nothing_of_the_host(stages: Make) -> None:
    stage, task, queued = stages(), attempt(1), attempt(2)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    stage.start_task(queued)
    free = os.dup(0)
    os.close(free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
    try:
        stage.send_task(task)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert stage.ends == [(task, NOT_SENT)] and len(stage.mailbox) == 1
    stage.until(lambda: stage.peers and stage.peers[0].heard)
    assert stage.peers[0].heard == [request(2)] and len(stage.ends) == 1


def test_a_host_whose_links_are_all_full_is_not_taken_for_dead(stages: Make) -> None:
    stage, tasks = stages(Limits(links_per_host=2, streams_per_link=1)), [attempt(n) for n in (1, 2, 3, 4)]
    stage.start_task(tasks[3])
    for task in tasks[:3]:
        stage.send_task(task)
    assert stage.ends == [(tasks[2], NOT_SENT)] and len(stage.mailbox) == 1


@pytest.mark.parametrize("narrow", [False, True])
def test_two_attempts_of_a_request_that_are_out_together_go_by_two_links(stages: Make, narrow: bool) -> None:
    stage = stages(narrow=narrow)
    if narrow:
        stage.blocked()
    first, second = attempt(1), attempt(1, number=1)
    stage.send_task(first)
    stage.send_task(second)
    assert first.write_started is not narrow and second.write_started
    stage.handle_cancel(first)
    stage.reading.set()
    stage.until(lambda: stage.peers[1].heard)
    stage.peers[1].answer(frames.OK, second)
    stage.until(lambda: stage.ends)
    assert stage.ends == [(second, OK)] and first not in stage.locations
