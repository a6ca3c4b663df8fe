"""Races in discovery.

A connection to the bus that is lost in various ways, a bus that restarts its numbering, invalid events, and
hosts that exchange addresses within one event.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke import interface as i
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import WorkerListConfirmed, WorkersChanged
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.memory_budget import MemoryBudget, Owner
from harrieryoke.net import bus_follower
from harrieryoke.net.bus_follower import AddressChanged, BusFollower, LineBuffer, LineReceived
from harrieryoke.net.heartbeats import PROPAGATION_DELAY_MS
from harrieryoke.net.hostlist import BusEvent, EventReceived, HostListActor, KnownEvents, Topology
from harrieryoke.net.hostlist_model import ListConfirmed, ListReplaced, Server, decode_line, worker_number

from .rig import SETTINGS

TIMEOUT_S = 20.0  # for what should happen soon
UP, DRAINING, GONE = i.WorkerStatus.UP, i.WorkerStatus.DRAINING, i.WorkerStatus.GONE


class RecordingLog(Log):
    """Records what is logged, as `kind text`."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        self.lines.append(f"{kind} {text}")

    def of_kind(self, kind: str) -> list[str]:
        return [line for line in self.lines if line.split()[0] == kind]


def entry(id: str, port: int, state: str = "active", **other: Any) -> dict[str, Any]:
    return {"id": id, "addr": f"127.0.0.1:{port}", "state": state, **other}


def event(offset: int, *servers: Any, full: bool = False) -> bytes:
    return json.dumps({"offset": offset, "topology": {"full": full, "servers": servers}}).encode() + b"\n"


# --- the connection to the bus ---


class Bus:
    """The event bus, played by the test."""

    def __init__(self) -> None:
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.listening.settimeout(TIMEOUT_S)
        self.conn: Any = None

    def accept_request(self) -> str:
        """Accept the next connection and return its request."""
        self.conn, _ = self.listening.accept()
        self.conn.settimeout(TIMEOUT_S)
        request: bytes = self.conn.makefile("rb").readline()
        return request.decode().strip()

    def send_until_closed(self, data: bytes, every_s: float) -> None:
        """Send the same data repeatedly until the follower closes."""
        with pytest.raises(OSError), gevent.Timeout(TIMEOUT_S):
            while True:
                self.conn.sendall(data)
                gevent.sleep(every_s)

    def is_closed(self) -> bool:
        try:
            return not self.conn.recv(1)
        except ConnectionResetError:
            return True


class WatchedBus:
    """A follower between a bus and a list that accepts events only while `accepting` is set."""

    def __init__(self, last_offset: int = 1, **limits: Any) -> None:
        changed: dict[str, Any] = {"bus_backoff_ms": 10.0, "bus_quiet_ms": 5000.0} | limits
        self.bus, self.received, self.log, self.accepting = (
            Bus(),
            list[EventReceived | ListReplaced](),
            RecordingLog(),
            Event(),
        )
        self.confirmed: list[float] = []
        self.accepting.set()
        address = self.bus.listening.getsockname()[:2]
        self.memory = MemoryBudget(1 << 20)
        self.follower = BusFollower(
            address, last_offset, replace(Limits(), **changed), self.log, self.receive, self.memory
        )
        self.follower.start()

    def receive(self, message: EventReceived | ListReplaced | ListConfirmed) -> None:
        if isinstance(message, ListConfirmed):
            return self.confirmed.append(message.as_of)
        self.received.append(message)
        self.accepting.wait()

    def until(self, seen: Callable[[], object]) -> None:
        with gevent.Timeout(TIMEOUT_S):
            while not seen():
                gevent.sleep(0.002)

    def offsets(self) -> list[int]:
        return [
            message.event.offset if isinstance(message, EventReceived) else -message.update.offset
            for message in self.received
        ]

    def end(self) -> None:
        for greenlet in (self.follower.reader, self.follower.greenlet):
            if greenlet is not None:
                greenlet.kill(block=False)
        self.bus.listening.close()


@pytest.fixture
def watch() -> Iterator[Callable[..., WatchedBus]]:
    watches: list[WatchedBus] = []

    def make(*args: Any, **limits: Any) -> WatchedBus:
        watches.append(WatchedBus(*args, **limits))
        return watches[-1]

    yield make
    for watched in watches:
        watched.end()


# Guards against a link to the event bus that is lost while clients take all the memory (issue 61).
def test_news_of_the_bus_come_through_while_the_memory_is_used_up(watch: Callable[..., WatchedBus]) -> None:
    w = watch()
    assert w.bus.accept_request() == "from 1"
    w.memory.measure_with(lambda: 2 * w.memory.total, 0)
    w.bus.conn.sendall(b"1\n")
    w.until(lambda: w.confirmed)
    event = b'{"offset":2,"topology":{"version":2,"full":true,"servers":[]},"note":"%s"}\n' % (b"x" * 30_000)
    w.bus.conn.sendall(event[:20_000])
    gevent.sleep(0.05)
    w.bus.conn.sendall(event[20_000:] + b"2\n")
    w.until(lambda: w.offsets() == [2])
    assert not w.log.of_kind("bus-lost") and w.memory.used[Owner.LISTS] == 0


@pytest.mark.parametrize("data", [b"1", b"\n", b" \n", b"{"])
def test_a_bus_that_sends_bytes_but_no_complete_line_is_reconnected(
    watch: Callable[..., WatchedBus], data: bytes
) -> None:
    w = watch(bus_quiet_ms=300.0, bus_line_ms=600.0)
    assert w.bus.accept_request() == "from 1"
    w.bus.send_until_closed(data, 0.05)
    assert w.bus.accept_request() == "from 1" and w.received == []


def test_continuous_blank_lines_do_not_keep_a_connection_alive(
    watch: Callable[..., WatchedBus],
) -> None:
    w = watch(bus_quiet_ms=300.0)
    assert w.bus.accept_request() == "from 1"
    w.bus.send_until_closed(b"\n" * 4096, 0)
    assert w.bus.accept_request() == "from 1" and w.received == []


def test_a_read_times_out_when_the_line_is_due() -> None:
    buffer = LineBuffer(Limits(bus_quiet_ms=2000.0, bus_line_ms=4000.0), 0.0)
    assert buffer.feed(b"1\n\n", 500.0) == [b"1"] and buffer.read_timeout_ms(700.0) == 1800.0
    assert buffer.feed(b"{", 2000.0) == [] and buffer.read_timeout_ms(2500.0) == 2000.0
    assert buffer.feed(b"}", 5900.0) == [] and buffer.read_timeout_ms(5900.0) == 100.0
    with pytest.raises(ValueError, match="no whole line in time"):
        buffer.feed(b" ", 6001.0)


def test_a_long_line_may_take_longer_than_a_heartbeat(watch: Callable[..., WatchedBus]) -> None:
    w = watch(bus_quiet_ms=800.0, bus_line_ms=60_000.0)
    assert w.bus.accept_request() == "from 1"
    line = event(2, entry("h1", 1))
    for n in range(len(line)):
        w.bus.conn.sendall(line[n : n + 1])
        gevent.sleep(1.2 / len(line))
    w.until(lambda: w.offsets() == [2])
    assert not w.log.of_kind("bus-lost")


@pytest.mark.parametrize(
    "data, closes",
    [
        (b"", True),
        (b"1\n", True),
        (b"9\n", False),
        (b'{"offset":9}\n', False),
        (b"", False),
        (b"1\n", False),
    ],
)
def test_repeated_losses_of_the_bus_are_retried_with_bounded_exponential_backoff(
    watch: Callable[..., WatchedBus], data: bytes, closes: bool
) -> None:
    """The connection ends, names events that never come, or falls silent while open."""
    w = watch(bus_quiet_ms=60_000.0 if closes or b"9" in data else 200.0, bus_backoff_most_ms=60.0)
    pauses = []
    for _ in range(5):
        assert w.bus.accept_request() == "from 1"
        pauses.append(w.follower.backoff_ms)
        w.bus.conn.sendall(data)
        if closes:
            w.bus.conn.close()
    assert pauses == [10.0, 20.0, 40.0, 60.0, 60.0]


def test_a_bus_that_falls_silent_is_followed_from_its_last_event(
    watch: Callable[..., WatchedBus],
) -> None:
    w = watch(bus_quiet_ms=300.0)
    assert w.bus.accept_request() == "from 1"
    w.bus.conn.sendall(event(2, entry("h1", 1)) + b"2\n")
    assert w.bus.is_closed() and w.bus.accept_request() == "from 2" and w.offsets() == [2]


# --- a change of address ---


def test_a_change_of_address_drops_a_partial_line_and_continues_from_the_last_event(
    watch: Callable[..., WatchedBus],
) -> None:
    w, other = watch(), Bus()
    assert w.bus.accept_request() == "from 1"
    w.bus.conn.sendall(event(2, entry("h1", 1)) + event(3, entry("old", 2))[:30])
    w.until(lambda: w.offsets() == [2])
    w.follower.change_address(other.listening.getsockname()[:2])
    assert other.accept_request() == "from 2" and w.bus.is_closed()
    other.conn.sendall(event(3, entry("new", 2)))
    w.until(lambda: w.offsets() == [2, 3])
    assert isinstance(message := w.received[1], EventReceived) and message.event.topology is not None
    assert [s.id for s in message.event.topology.servers] == ["new"]


def test_a_line_queued_after_a_change_of_address_is_dropped_and_one_before_it_counts(
    watch: Callable[..., WatchedBus],
) -> None:
    w, other = watch(), Bus()
    assert w.bus.accept_request() == "from 1"
    w.accepting.clear()
    w.bus.conn.sendall(event(2) + event(3))
    w.until(
        lambda: w.received and len(w.follower.mailbox) == 1
    )  # event 2 is being handled, event 3 is queued
    w.follower.change_address(other.listening.getsockname()[:2])
    w.bus.conn.sendall(event(4))
    w.until(lambda: len(w.follower.mailbox) == 3)
    w.accepting.set()
    assert other.accept_request() == "from 3"
    other.conn.sendall(event(5))
    w.until(lambda: len(w.received) == 3)
    assert w.offsets() == [2, 3, 5]


# --- a bus that restarts its numbering ---

RENUMBERED = event(1, entry("h1", 1), entry("h2", 2), full=True) + event(
    2, entry("h2", 2, "left"), entry("h3", 3)
)


def test_a_bus_that_restarts_its_numbering_is_fetched_from_its_first_event_as_one_list(
    watch: Callable[..., WatchedBus],
) -> None:
    w = watch(5, bus_anew_ms=300.0)
    assert w.bus.accept_request() == "from 5"
    w.bus.send_until_closed(event(3, entry("old", 9)) + b"2\n", 0.02)
    assert w.bus.accept_request() == "from 0"
    w.bus.conn.sendall(RENUMBERED)
    w.bus.conn.close()  # before the bus has named its number: no event may be applied yet
    assert w.bus.accept_request() == "from 0" and w.received == []
    w.bus.conn.sendall(RENUMBERED + b"2\n" + event(2, entry("old", 9)) + event(3, entry("h4", 4)))
    w.until(lambda: w.offsets() == [-2, 3])
    assert isinstance(message := w.received[0], ListReplaced)
    assert message.update.is_full and {s.id: s.addr[-1] for s in message.update.servers.values()} == {
        "h1": "1",
        "h3": "3",
    }


def events_into(received: list[Any]) -> Callable[[object], None]:
    """Return a receiver that stores changes of the list and ignores confirmations."""
    return lambda message: None if isinstance(message, ListConfirmed) else received.append(message)


def followed(patch: pytest.MonkeyPatch, last: int) -> tuple[BusFollower, list[Any], list[float]]:
    """Return a follower without a reader, on a clock that the test sets."""
    clock, received = [0.0], list[Any]()
    patch.setattr(bus_follower, "now_ms", lambda: clock[0])
    patch.setattr(bus_follower, "spawn", lambda *reader: None)
    follower = BusFollower(("", 1), last, Limits(), RecordingLog(), events_into(received))
    follower.connect(0.0)
    return follower, received, clock


@pytest.mark.parametrize("between", [b"5", event(6), event(3)])
def test_only_a_lasting_number_below_the_last_event_counts_as_restarted_numbering(
    monkeypatch: pytest.MonkeyPatch, between: bytes
) -> None:
    """A newer event or the right number in between restarts the period; an old event has no effect."""
    follower, _, clock = followed(monkeypatch, 5)
    for at, line in ((0.0, b"2"), (4000.0, between), (5000.0, b"2"), (8000.0, b"2")):
        clock[0] = at
        follower.receive(LineReceived(follower.connection, line))
    assert (follower.snapshot is not None) == (between == event(3))
    clock[0] = 12_500.0
    follower.receive(LineReceived(follower.connection, b"2"))
    assert follower.snapshot is not None or between == event(3)


def test_a_restarted_numbering_without_a_full_list_does_not_empty_the_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    follower, received, clock = followed(monkeypatch, 5)
    for at in (0.0, 8000.0, 9000.0):
        clock[0] = at
        follower.receive(LineReceived(follower.connection, b"0"))
    assert received == [] and follower.last_offset == 0
    for line in (event(1, entry("h1", 1)), b"1"):
        follower.receive(LineReceived(follower.connection, line))
    assert [t.update.is_full for t in received] == [False]


def test_an_event_with_a_wrong_high_offset_hides_later_events_only_temporarily(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    follower, received, clock = followed(monkeypatch, 5)
    high = event(2**52, entry("h6", 6))
    for at, line in ((0.0, high), (1.0, b"6"), (8000.0, b"6")):
        clock[0] = at
        follower.receive(LineReceived(follower.connection, line))
    for line in (event(1, entry("h1", 1), full=True), high, b"6", event(7, entry("h7", 7))):
        follower.receive(LineReceived(follower.connection, line))
    assert [list(t.update.servers) for t in received[1:2]] == [["h1", "h6"]]
    assert [t.event.offset for t in received[2:]] == [7]


def test_a_change_of_address_during_a_snapshot_restarts_it_from_the_first_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    follower, received, clock = followed(monkeypatch, 5)
    for at in (0.0, 8000.0):
        clock[0] = at
        follower.receive(LineReceived(follower.connection, b"2"))
    first, second = RENUMBERED.splitlines()
    old = follower.connection
    for message in (
        LineReceived(old, first),
        AddressChanged(("", 2)),
        LineReceived(old, second),
        LineReceived(old, b"2"),
    ):
        follower.receive(message)
    assert received == [] and follower.last_offset == 0
    for line in (
        event(1, entry("h7", 7)),
        b"1",
    ):  # not a full list, so that only the change of address discards the others
        follower.receive(LineReceived(follower.connection, line))
    assert [list(t.update.servers) for t in received] == [["h7"]]


# --- confirmations of the list ---

CONFIRMATIONS: dict[str, tuple[list[tuple[float, bytes]], list[float]]] = {
    "the first heartbeat confirms the start of the connection": ([(900.0, b"5")], [0.0]),
    "each further one confirms one more second": ([(900.0, b"5"), (1900.0, b"5")], [0.0, 1000.0]),
    "late ones that arrive together confirm no more": ([(6000.0, b"5")] * 3, [0.0, 1000.0, 2000.0]),
    "none was written after it was read": ([(10.0, b"5"), (20.0, b"5")], [0.0, 20.0]),
    "an event confirms nothing": ([(10.0, event(6))], []),
    "the number of an event that was received": ([(10.0, event(6)), (900.0, b"6")], [0.0]),
    "the number of one that was not": ([(900.0, b"6")], []),
    "the number as an event without a topology": ([(900.0, b'{"offset":5}')], [0.0]),
    "and of one that was not received": ([(900.0, b'{"offset":6}')], []),
    "a number below the last": ([(900.0, b"4")], []),
    "none while a line is skipped": ([(1.0, b"{"), (2.0, b"{"), (900.0, b"6"), (1900.0, b"6")], []),
    "again after a full list": (
        [(1.0, b"{"), (2.0, b"{"), (900.0, b"6"), (950.0, event(7, full=True)), (1900.0, b"7")],
        [1051.0],  # the line was requested once more on a new connection: 1 ms and the back-off later
    ),
}


@pytest.mark.parametrize("case", CONFIRMATIONS)
def test_a_heartbeat_with_the_last_number_confirms_the_list_as_of_its_earliest_writing(
    monkeypatch: pytest.MonkeyPatch, case: str
) -> None:
    lines, expected = CONFIRMATIONS[case]
    follower, _, clock = followed(monkeypatch, 5)
    received: list[Any] = []
    follower.send_to_list = received.append
    for at, line in lines:
        clock[0] = at
        follower.receive(LineReceived(follower.connection, line))
    confirmed = [
        message.as_of + PROPAGATION_DELAY_MS for message in received if isinstance(message, ListConfirmed)
    ]
    assert confirmed == expected


@pytest.mark.parametrize(
    "period, latency, reconnects",
    [(1000.0, 0.0, 0), (1010.0, 0.0, 5), (1100.0, 0.0, 46), (1300.0, 0.0, 100), (1000.0, 3000.0, 0)],
)
def test_a_bus_with_infrequent_heartbeats_is_reconnected_before_the_list_seems_old(
    monkeypatch: pytest.MonkeyPatch, period: float, latency: float, reconnects: int
) -> None:
    """If they are merely late because of a slow link, another connection would not help."""
    follower, _, clock = followed(monkeypatch, 5)
    received: list[Any] = []
    follower.send_to_list = received.append
    first, max_age = follower.connection, max(follower.limits.bus_lag_ms, 2 * (latency + period))
    for n in range(1, 601):
        clock[0] = n * period + latency
        follower.receive(LineReceived(follower.connection, b"5"))
        assert clock[0] - received[-1].as_of <= max_age + PROPAGATION_DELAY_MS + period
    assert follower.connection - first == reconnects


# --- the list ---


class DrivenList:
    """The list's actor, driven by lines of the bus; `module` is the module's view of the list."""

    def __init__(self) -> None:
        self.log, self.module, self.ports = RecordingLog(), dict[int, i.WorkerEntry](), dict[int, Any]()
        self.confirmed: list[i.ListConfirmed] = []
        receive = self.receive
        self.actor = HostListActor(SETTINGS, Limits(), self.log, receive, lambda ended: None, Metrics())
        self.offset = 0

    def receive(self, message: WorkersChanged | WorkerListConfirmed) -> None:
        if isinstance(message, WorkerListConfirmed):
            return self.confirmed.append(message.event)
        workers = [e.worker for e in message.event.workers]
        assert len(workers) == len(set(workers)), "two entries for one host"
        if message.event.scope is not i.ListScope.CHANGES:
            self.module, self.ports = {}, {}
        self.ports |= message.ports
        self.module |= {e.worker: e for e in message.event.workers}
        self.module = {w: e for w, e in self.module.items() if e.status is not GONE}

    def send_event(self, *servers: Any, full: bool = False) -> None:
        self.offset += 1
        message = decode_line(event(self.offset, *servers, full=full))
        assert isinstance(message, EventReceived)
        self.actor.receive(message)

    def state(self) -> dict[str, tuple[i.WorkerStatus, int]]:
        """Return status and port of each host; the module and the hosts' actors must agree on them."""
        hosts = self.actor.hosts
        state = {id: (status.state, status.address[1]) for id, (status, _) in hosts.items()}
        assert {worker_number(id): drain for id, (drain, _) in state.items()} == {
            worker: e.status for worker, e in self.module.items()
        }
        for id, (_, actor) in hosts.items():
            assert self.ports[worker_number(id)] is actor and not actor.finished
        return state


@pytest.fixture
def listed() -> Iterator[DrivenList]:
    """A list of h1 and h2."""
    driven = DrivenList()
    driven.send_event(entry("h1", 1), entry("h2", 2), full=True)
    yield driven
    for id in list(driven.actor.hosts):
        driven.actor.remove_host(id, immediately=True)
    gevent.sleep(0)


BOTH = {"h1": (UP, 1), "h2": (UP, 2)}
INVALID_FIELDS: dict[str, tuple[str, Any]] = {
    "a label too long": ("addr", "a" * 64 + ".tn:1"),
    "an empty label": ("addr", "a..tn:1"),
    "a name too long": ("addr", "a." * 200 + "tn:1"),
    "a name with a null": ("addr", "a\0:1"),
    "no port": ("addr", "10.0.0.1"),
    "port 0": ("addr", "10.0.0.1:0"),
    "a port too high": ("addr", "10.0.0.1:65536"),
    "a port of 5000 digits": ("addr", "10.0.0.1:" + "1" * 5000),
    "a port in other digits": ("addr", "10.0.0.1:\u0661"),
    "an unknown state": ("state", "asleep" * 1000),
    "a negative weight": ("weight", -1.0),
    "an infinite weight": ("weight", float("inf")),
    "a weight that is no number": ("weight", float("nan")),
    "a negative start": ("started_ms", -1.0),
    "a start at no time": ("started_ms", 1e300),
    "a huge cell": ("cell", 10**4000),
    "a cell of the wrong type": ("cell", "x"),
    "an address of the wrong type": ("addr", None),
}


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("case", INVALID_FIELDS)
def test_an_invalid_entry_is_logged_once_and_its_host_keeps_its_previous_state(
    listed: DrivenList, case: str, full: bool
) -> None:
    field, value = INVALID_FIELDS[case]
    invalid = entry("h1", 1, "leaving") | {field: value}
    if isinstance(value, float):  # values that JSON can't express, as a less strict decoder would return them
        servers = [Server(**invalid), Server(**entry("h3", 3))]
        listed.actor.receive(EventReceived(BusEvent(2, Topology(servers, full=full))))
    else:
        listed.send_event(invalid, entry("h3", 3), full=full)
    assert listed.state() == {"h1": (UP, 1), "h3": (UP, 3)} | ({} if full else {"h2": (UP, 2)})
    (line,) = listed.log.of_kind("bad-event")
    assert line.startswith("bad-event event 2: model host 'h1': ") and len(line) < 400
    assert f"h1': {field}: " in line or "entry: " in line


@pytest.mark.parametrize("id", ["", "h" * 257, 7, None])
def test_a_full_list_with_an_entry_without_a_host_removes_no_host(listed: DrivenList, id: Any) -> None:
    listed.send_event(entry("h3", 3), entry("x", 9) | {"id": id}, full=True)
    assert listed.state() == BOTH | {"h3": (UP, 3)} and len(listed.log.of_kind("bad-event")) == 1


def test_an_unknown_zone_is_logged_and_the_host_is_used_nevertheless(listed: DrivenList) -> None:
    """The next SIGHUP may load the zone; until then a host that drains there must get nothing new."""
    listed.send_event(entry("h1", 1, "leaving", zone="nowhere", kind="odd"))
    assert listed.state() == BOTH | {"h1": (DRAINING, 1)}
    (line,) = listed.log.of_kind("bad-event")
    assert "event 2: model host 'h1': zone: 'nowhere'" in line


@pytest.mark.parametrize("full", [False, True])
def test_a_host_with_an_invalid_entry_is_confirmed_only_by_its_next_valid_one(
    listed: DrivenList, full: bool
) -> None:
    listed.send_event(entry("h1", 1, "?"), entry("h2", 2), full=full)
    listed.actor.receive(ListConfirmed(5.0))
    listed.send_event(entry("h1", 1))
    listed.actor.receive(ListConfirmed(6.0))
    assert listed.confirmed == [
        i.ListConfirmed(5.0, frozenset({worker_number("h1")})),
        i.ListConfirmed(6.0),
    ]


def test_an_entry_that_may_concern_any_host_leaves_the_list_unconfirmed_until_a_full_one(
    listed: DrivenList,
) -> None:
    listed.send_event(entry("", 1))
    listed.actor.receive(ListConfirmed(5.0))
    listed.send_event(entry("h1", 1))
    listed.actor.receive(ListConfirmed(6.0))
    assert listed.confirmed == []
    listed.send_event(entry("h1", 1), full=True)
    listed.actor.receive(ListConfirmed(7.0))
    assert listed.confirmed == [i.ListConfirmed(7.0)]


def test_the_initial_list_is_as_old_as_its_file() -> None:
    driven = DrivenList()
    driven.actor.load_initial(KnownEvents(1, [BusEvent(1, Topology([Server(**entry("h1", 1))]))]), as_of=5.0)
    assert driven.confirmed == [i.ListConfirmed(5.0 - PROPAGATION_DELAY_MS)]
    driven.actor.remove_host("h1", immediately=True)
    gevent.sleep(0)


FULL_LISTS: dict[str, tuple[list[Any], dict[str, tuple[i.WorkerStatus, int]]]] = {
    "lacks a host": ([entry("h2", 2)], {"h2": (UP, 2)}),
    "is empty": ([], {}),
    "has only invalid entries": ([entry("h1", 1, "?"), entry("h2", 99999), 7], BOTH),
    "has only invalid entries that name their hosts": ([entry("h1", 1, "?")], BOTH),
    "is repeated": ([entry("h1", 1), entry("h2", 2)], BOTH),
    "names a host twice": ([entry("h1", 3, "leaving"), entry("h1", 1), entry("h2", 2)], BOTH),
    "names a host twice, the second time invalid": (
        [entry("h1", 1), entry("h2", 2), entry("h1", 1, "?")],
        BOTH,
    ),
}


@pytest.mark.parametrize("case", FULL_LISTS)
def test_a_full_list_replaces_the_list_and_an_invalid_one_changes_nothing(
    listed: DrivenList, case: str
) -> None:
    servers, expected = FULL_LISTS[case]
    before = {id: actor for id, (_, actor) in listed.actor.hosts.items()}
    listed.send_event(*servers, full=True)
    assert listed.state() == expected
    assert all(listed.actor.hosts[id][1] is before[id] for id in expected)


def test_a_full_list_and_changes_are_ordered_by_offset_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """An old or repeated list has no effect; a newer one replaces everything."""
    follower, received, _ = followed(monkeypatch, 2)
    driven = DrivenList()
    for line in (
        event(3, entry("h1", 1)),
        event(2, entry("h2", 2), full=True),
        event(3, full=True),
        event(4, entry("h1", 1, "left"), entry("h4", 4), full=True),
        event(4, full=True),
    ):
        follower.receive(LineReceived(follower.connection, line))
    for message in received:
        driven.actor.receive(message)
    assert driven.state() == {"h4": (UP, 4)} and follower.last_offset == 4
    driven.actor.remove_host("h4", immediately=True)
    gevent.sleep(0)


# one event, in either order of its entries, applied to a list of h1 at port 1 and h2 at port 2
SIMULTANEOUS_CHANGES: dict[str, tuple[list[Any], dict[str, tuple[i.WorkerStatus, int]]]] = {
    "left, with its address reused": ([entry("h1", 1, "left"), entry("n", 1)], {"n": (UP, 1), "h2": (UP, 2)}),
    "drains, with its address reused": (
        [entry("h1", 1, "leaving"), entry("n", 1)],
        {"n": (UP, 1), "h2": (UP, 2)},
    ),
    "moves to the address of one that left": ([entry("h1", 2), entry("h2", 2, "left")], {"h1": (UP, 2)}),
    "exchange addresses": ([entry("h1", 2), entry("h2", 1)], {"h1": (UP, 2), "h2": (UP, 1)}),
    "moves to the address of one that moves": (
        [entry("h1", 2), entry("h2", 3)],
        {"h1": (UP, 2), "h2": (UP, 3)},
    ),
}


@pytest.mark.parametrize("is_reversed", [False, True])
@pytest.mark.parametrize("case", SIMULTANEOUS_CHANGES)
def test_hosts_that_exchange_addresses_in_one_event_do_so_in_either_order(
    listed: DrivenList, case: str, is_reversed: bool
) -> None:
    servers, expected = SIMULTANEOUS_CHANGES[case]
    before = {id: listed.actor.hosts[id] for id in listed.actor.hosts}
    listed.send_event(*(servers[::-1] if is_reversed else servers))
    assert listed.state() == expected
    for id, (status, _) in before.items():
        successors = {port: other for other, (_, port) in expected.items()}.get(status.address[1], id)
        assert status.replaced or successors == id or status.state is GONE
    if "n" in expected:
        assert before["h1"][0].replaced


@pytest.mark.parametrize("is_initial", [False, True])
def test_the_last_entry_of_a_host_in_a_batch_decides_whether_it_is_listed(is_initial: bool) -> None:
    driven = DrivenList()
    steps = [entry("h1", 1), entry("h1", 1, "left"), entry("h1", 1, started_ms=5)]
    steps += [entry("h2", 2, "left"), entry("h2", 2), entry("h2", 2, "left"), entry("h3", 3), entry("h4", 3)]
    servers = [Server(**step) for step in steps]
    if is_initial:
        driven.actor.load_initial(KnownEvents(8, [BusEvent(n, Topology([s])) for n, s in enumerate(servers)]))
    else:
        driven.actor.receive(EventReceived(BusEvent(1, Topology(servers))))
    assert driven.state() == {"h1": (UP, 1), "h4": (UP, 3)}
    assert driven.module[worker_number("h1")].start_stamp == 5
    for id in list(driven.actor.hosts):
        driven.actor.remove_host(id, immediately=True)
    gevent.sleep(0)


def test_a_replaced_host_stays_removed_if_its_successor_leaves_in_the_same_batch() -> None:
    driven = DrivenList()
    steps = [entry("h1", 1), entry("h2", 1), entry("h2", 1, "left")]
    batch = [BusEvent(n, Topology([Server(**step)])) for n, step in enumerate(steps)]
    driven.actor.load_initial(KnownEvents(2, batch))
    assert driven.state() == {}


# --- arbitrary JSON ---

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
ENTRY = st.fixed_dictionaries(
    {"id": st.sampled_from(["h1", "h2"]) | JSON},
    optional={
        "addr": st.sampled_from(["127.0.0.1:1", "127.0.0.1:9"]) | JSON,
        "state": st.sampled_from(["active", "leaving", "left"]) | JSON,
        "weight": st.floats(allow_nan=False) | JSON,
        "started_ms": st.integers() | JSON,
        "cell": st.integers() | JSON,
        "zone": st.text() | JSON,
    },
)
TOPOLOGY = st.fixed_dictionaries(
    {"servers": st.lists(ENTRY | JSON, max_size=4) | JSON, "full": st.booleans()}
)
EVENT = st.fixed_dictionaries({"offset": st.integers(-2, 9) | JSON, "topology": TOPOLOGY | JSON})


@settings(max_examples=300, deadline=None)
@given(message=EVENT | JSON)
def test_no_json_ends_the_follower_or_the_list_and_invalid_json_changes_nothing(message: Any) -> None:
    driven, received, log = DrivenList(), list[Any](), RecordingLog()
    driven.send_event(entry("h1", 1), entry("h2", 2), full=True)
    before = driven.state()
    follower = BusFollower(("", 1), 2, Limits(), log, events_into(received))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(bus_follower, "spawn", lambda *reader: None)
        follower.connect(0.0)
        for _ in range(2):  # the second time the line is skipped
            follower.receive(LineReceived(follower.connection, json.dumps(message).encode()))
    changes = len(driven.log.of_kind("list"))
    for each in received:
        driven.actor.receive(each)
    assert len(driven.log.of_kind("list")) > changes or driven.state() == before
    assert driven.state() is not None
    for id in list(driven.actor.hosts):
        driven.actor.remove_host(id, immediately=True)
    gevent.sleep(0)


def test_lines_nested_too_deeply_for_the_decoder_are_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    follower, received, _ = followed(monkeypatch, 1)
    nested = b"[" * 100_000 + b"]" * 100_000
    for line in (
        b'{"offset":2,"x":' + nested + b"}",
        b'{"offset":2,"topology":{"servers":[' + nested + b"]}}",
    ):
        for _ in range(2):
            follower.receive(LineReceived(follower.connection, line))
    follower.receive(LineReceived(follower.connection, event(2)))
    assert [t.event.offset for t in received] == [2]
