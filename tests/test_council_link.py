"""The council's links on loopback sockets: which peers are accepted, what is bounded, what is lost."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from itertools import pairwise
from typing import Any

import gevent
import pytest
from gevent import socket

from harrieryoke.council.decide.lease import DutyHandover
from harrieryoke.council.decide.messages import ForwardProposal, JoinRequest, Message, ReplicaId, TimeoutNow
from harrieryoke.council.handshake import encode_hello
from harrieryoke.council.link import Links, LinkSettings
from harrieryoke.council.wire.codec import MAX_FRAME_BYTES, pb
from harrieryoke.log import Log
from harrieryoke.wire.frames import Decoder, encode

INSTALLATION = "sfax-hives"


def until(done: Callable[[], object], seconds: float = 5.0) -> None:
    end = time.monotonic() + seconds
    while not done():
        assert time.monotonic() < end, "not done in time"
        gevent.sleep(0.002)


class RecordedLog(Log):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        self.lines.append(f"{kind} {text}")

    def of(self, kind: str) -> list[str]:
        return [line for line in self.lines if line.startswith(kind + " ")]


class Member:
    """A member's links, received messages and log."""

    def __init__(self, replica: ReplicaId, settings: LinkSettings) -> None:
        self.replica, self.log = replica, RecordedLog()
        self.received: list[tuple[ReplicaId, Message | DutyHandover]] = []
        self.links = Links(replica, settings, self.log, 7, lambda *message: self.received.append(message))

    def messages(self) -> list[Message | DutyHandover]:
        return [message for _, message in self.received]

    def status(self, name: str) -> Any:
        return self.links.status()[name]


class Fleet:
    """Each member has a host of its own, 127.0.1.N, and a free port."""

    def __init__(self) -> None:
        self.members: dict[str, tuple[str, int]] = {}
        self.running: list[Member] = []
        self.socks: list[Any] = []

    def add_members(self, *names: str) -> None:
        for name in names:
            sock = self.open_listener(f"127.0.1.{len(self.members) + 1}", 0)
            self.members[name] = sock.getsockname()
            sock.close()

    def link_settings(self, name: str, **other: Any) -> LinkSettings:
        short: dict[str, Any] = {"retry_ms": 5.0, "max_retry_ms": 40.0, "write_ms": 500.0}
        short |= {"installation": INSTALLATION, "listen": self.members[name], "members": dict(self.members)}
        return LinkSettings(**(short | other))

    def start(self, name: str, disk: int = 1, **other: Any) -> Member:
        made = Member(ReplicaId(name, disk), self.link_settings(name, **other))
        made.links.start()
        self.running.append(made)
        return made

    def open_listener(self, host: str, port: int) -> Any:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind((host, port))
        sock.listen(64)
        self.socks.append(sock)
        return sock

    def listen_as(self, name: str) -> Any:
        """Listens at that member's address, for the test to answer."""
        return self.open_listener(*self.members[name])

    def welcome(self, listener: Any, replica: ReplicaId) -> Any:
        sock, _ = listener.accept()
        self.socks.append(sock)
        sock.recv(4096)
        sock.sendall(
            encode(
                pb.Frame(welcome=pb.Welcome(version=1, seat=pb.Seat(name=replica.name, disk=replica.disk_id)))
            )
        )
        return sock

    def dial(self, to: str, replica: ReplicaId, **change: Any) -> Any:
        """Connects by hand, with changes to the Hello."""
        source = (self.members.get(replica.name, ("127.0.0.1", 0))[0], 0)
        sock = socket.create_connection(self.members[to], 2.0, source)
        self.socks.append(sock)
        (frame,) = Decoder(pb.Frame, 4096).feed(encode_hello(replica, self.link_settings(to), to))
        for field, value in change.items():
            setattr(frame.hello, field, value)
        sock.sendall(encode(frame))
        return sock

    def stop(self) -> None:
        for member in self.running:
            member.links.stop(0)
        for sock in self.socks:
            sock.close()


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    made = Fleet()
    made.add_members("a", "b", "c")
    yield made
    made.stop()


def answer(sock: Any) -> pb.Frame:
    (frame,) = Decoder(pb.Frame, 4096).feed(sock.recv(4096))
    return frame


def closed(sock: Any) -> bool:
    try:
        return not sock.recv(4096)
    except ConnectionError:
        return True


def offers(begin: int, end: int, size: int = 8) -> list[ForwardProposal]:
    return [ForwardProposal(at.to_bytes(8) + bytes(size - 8)) for at in range(begin, end)]


# --- which peers are accepted ---


def test_messages_between_members_arrive_in_order(fleet: Fleet) -> None:
    a, b, c = fleet.start("a", 1), fleet.start("b", 2), fleet.start("c", 3)
    for message in offers(0, 100):
        a.links.send(b.replica, message)
    b.links.send(None, JoinRequest())
    b.links.send_to(["a", "b", "c"], DutyHandover("a", "reconcile", 9))
    until(lambda: len(b.received) == 100 and len(a.received) == 2 and len(c.received) == 2)
    assert b.received == [(a.replica, message) for message in offers(0, 100)]
    assert (
        a.received
        == c.received
        == [(b.replica, JoinRequest()), (b.replica, DutyHandover("a", "reconcile", 9))]
    )
    assert a.status("b") == {
        "connected": True,
        "queued": 0,
        "sent": 100,
        "dropped": 0,
        "refused": "",
        "lost": "",
        "heard": True,
    }
    assert a.log.lines == b.log.lines == c.log.lines == []


def swap(members: dict[str, tuple[str, int]], **to: str) -> dict[str, tuple[str, int]]:
    return members | {name: members[of] for name, of in to.items()}


@pytest.mark.parametrize(
    ("here", "there", "why"),
    [
        (lambda f: {"installation": "other"}, lambda f: {}, "installation 'other' is not this one"),
        (
            lambda f: {"members": swap(f.members, b="c")},
            lambda f: {},
            "the connection is for 'b', but this is 'c'",
        ),
        (
            lambda f: {},
            lambda f: {"members": {"b": f.members["b"]}},
            "'a' is not another member known to 'b'",
        ),
        (
            lambda f: {},
            lambda f: {"members": swap(f.members, a="c")},
            "'a' is at 127.0.1.3 in members of 'b'",
        ),
    ],
)
def test_a_peer_that_is_no_member_is_refused_with_a_reason(
    fleet: Fleet, here: Any, there: Any, why: str
) -> None:
    a, b = fleet.start("a", **here(fleet)), fleet.start("b", **there(fleet))
    c = fleet.start("c")
    refuser = c if "this is 'c'" in why else b
    a.links.send_to(["b"], JoinRequest())
    until(lambda: why in a.status("b")["refused"])
    times = refuser.log.totals["council-refused"]
    # It retries after a delay with the same result: logged once on both sides.
    tries: list[float] = []
    dialled = a.links.peers["b"].connect
    a.links.peers["b"].connect = lambda: tries.append(1) or dialled()  # type: ignore[method-assign,func-returns-value]
    until(lambda: len(tries) == 3)
    assert times == refuser.log.totals["council-refused"] == a.log.totals["council-refused"] == 1
    assert why in refuser.log.of("council-refused")[0] and why in a.log.of("council-refused")[0]
    assert not b.received and not c.received and a.status("b")["queued"] == 1


def test_versions_are_negotiated_or_refused(fleet: Fleet) -> None:
    fleet.start("b")
    assert answer(fleet.dial("b", ReplicaId("a", 1), version=5)).welcome.version == 1
    assert "versions 2 to 5" in answer(fleet.dial("b", ReplicaId("a", 1), version=5, least=2)).refused.why
    assert "versions 1 to 0" in answer(fleet.dial("b", ReplicaId("a", 1), version=0)).refused.why


def test_a_refused_member_retries_later_than_a_disconnected_one(fleet: Fleet) -> None:
    a, b = fleet.start("a", retry_ms=1.0, max_retry_ms=400.0), fleet.listen_as("b")
    a.links.send_to(["b"], JoinRequest())
    for _ in range(3):
        sock, _ = b.accept()
        sock.close()
    sock, _ = b.accept()
    sock.sendall(encode(pb.Frame(refused=pb.Refused(why="not\nyou"))))
    until(lambda: a.status("b")["refused"] == "not?you")
    began = time.monotonic()
    b.accept()
    assert time.monotonic() - began > 0.15


def test_a_wrong_member_at_an_address_receives_nothing(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.listen_as("b")
    a.links.send_to(["b"], JoinRequest())
    sock = fleet.welcome(b, ReplicaId("c", 1))
    assert closed(sock)
    until(lambda: a.log.of("council-bad-frame"))
    assert "expected 'b', but 'c' answered" in a.log.of("council-bad-frame")[0]


def test_only_one_disk_is_accepted_per_member(fleet: Fleet) -> None:
    b = fleet.start("b", silent_ms=150.0)
    first, again = fleet.dial("b", ReplicaId("a", 1)), None
    assert answer(first).HasField("welcome")
    again = fleet.dial("b", ReplicaId("a", 1))
    assert answer(again).HasField("welcome") and closed(first)
    assert "another disk (1)" in answer(fleet.dial("b", ReplicaId("a", 2))).refused.why
    until(lambda: time.monotonic() - b.links.listener.welcomed["a"].last_received > 0.15)
    other = fleet.dial("b", ReplicaId("a", 2))
    assert answer(other).HasField("welcome") and closed(again)
    other.sendall(encode(pb.Frame(knock=pb.Knock())))
    until(lambda: b.received == [(ReplicaId("a", 2), JoinRequest())])


# --- what can't be read ---


@pytest.mark.parametrize(
    ("bytes_", "expected"),
    [
        (encode(pb.Frame(vote=pb.Vote(term=1 << 63))), "a at 127.0.1.1: vote.term"),
        (b"\xff\xff\xff\x7f", f"a at 127.0.1.1: a frame of more than {MAX_FRAME_BYTES} bytes"),
        (b"\x05abcde", "a at 127.0.1.1: no frame"),
        (encode(pb.Frame(welcome=pb.Welcome())), "a at 127.0.1.1: welcome: not a message"),
        (
            encode(pb.Frame(offer=pb.Offer(data=b"x" * 50)))[:20],
            "a at 127.0.1.1: timed out after 20 bytes",
        ),
    ],
)
def test_invalid_bytes_close_the_connection_and_are_logged(
    fleet: Fleet, bytes_: bytes, expected: str
) -> None:
    b, c = fleet.start("b", write_ms=50.0), fleet.start("c")
    sock = fleet.dial("b", ReplicaId("a", 1))
    assert answer(sock).HasField("welcome")
    sock.sendall(bytes_)
    c.links.send(b.replica, JoinRequest())  # others are served meanwhile
    until(lambda: b.received)
    assert closed(sock)
    assert expected in b.log.of("council-bad-frame")[0]
    assert b.received == [(c.replica, JoinRequest())] and list(b.links.listener.welcomed) == ["c"]


def test_silent_connections_are_evicted(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b", max_incoming=3, hello_ms=300.0)
    silent = [socket.create_connection(fleet.members["b"], 2.0) for _ in range(5)]
    a.links.send(b.replica, JoinRequest())
    until(lambda: b.received)
    assert not a.log.lines, "it had to dial again"
    assert closed(silent[0]) and len(b.links.listener.connections) <= 3
    assert closed(silent[4])  # its time for a Hello is over
    assert [connection.replica for connection in b.links.listener.connections] == [a.replica]


# --- what is bounded ---


def test_a_peer_that_does_not_read_blocks_nobody_and_loses_the_oldest(fleet: Fleet) -> None:
    a, c = fleet.start("a", max_queued_messages=20, write_ms=100.0), fleet.start("c")
    listener = fleet.listen_as("b")
    a.links.send_to(["b"], JoinRequest())
    stalled = fleet.welcome(listener, ReplicaId("b", 1))
    until(lambda: a.status("b")["connected"])
    connection = a.links.peers["b"].sock
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)  # otherwise it buffers them all
    assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 100
    # as for a peer that reads a little now and then
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
    ran: list[int] = []
    gevent.spawn(ran.append, 1)
    for message in offers(0, 200, 100_000):
        a.links.send(ReplicaId("b", 1), message)
    assert not ran, "a sender waited"
    assert a.status("b")["queued"] == 20 and a.status("b")["dropped"] == 180
    a.links.send(c.replica, JoinRequest())
    until(lambda: c.received)
    until(lambda: a.log.of("council-lost") == ["council-lost b: write timed out"])  # in the middle of a frame
    stalled.close()
    listener.close()
    b = fleet.start("b")
    until(lambda: b.messages()[-1:] == offers(199, 200, 100_000))
    # Only what was written to the stalled peer is lost.
    assert b.messages() == offers(200 - len(b.received), 200, 100_000)
    status = a.status("b")
    assert status["sent"] + status["dropped"] == 201 and status["queued"] == 0
    assert 181 <= status["dropped"] <= 190


def test_the_queue_is_bounded_in_bytes_too(fleet: Fleet) -> None:
    a = fleet.start("a", max_queued_bytes=1000)
    for message in offers(0, 5, 300):
        a.links.send_to(["b"], message)
    a.links.send_to(["c"], ForwardProposal(bytes(1001)))
    assert (a.status("b")["queued"], a.status("b")["dropped"]) == (3, 2)
    assert (a.status("c")["queued"], a.status("c")["dropped"]) == (0, 1)


def test_an_undeliverable_message_is_logged_once(fleet: Fleet) -> None:
    a = fleet.start("a")
    a.links.send_to(["b"], ForwardProposal(bytes(MAX_FRAME_BYTES)))
    for _ in range(3):
        a.links.send(ReplicaId("d", 1), JoinRequest())
    assert a.log.lines == [
        f"council-too-large ForwardProposal of {MAX_FRAME_BYTES + 14} bytes exceeds the frame limit",
        "council-no-address 'd' is a member, but has no address in members here",
    ]
    assert a.status("b")["queued"] == 0


# --- links that break, members that restart ---


def test_a_broken_link_reconnects(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b")
    a.links.send(b.replica, TimeoutNow(1))
    until(lambda: b.received)
    b.links.listener.welcomed["a"].sock.shutdown(socket.SHUT_RDWR)
    until(lambda: not a.status("b")["connected"])
    assert a.log.of("council-lost")
    a.links.send(b.replica, TimeoutNow(2))
    until(lambda: len(b.received) == 2)
    assert b.messages() == [TimeoutNow(1), TimeoutNow(2)] and a.log.of("council-reached")


def test_an_incoming_connection_ends_the_retry_delay(fleet: Fleet) -> None:
    a = fleet.start("a", retry_ms=60_000.0, max_retry_ms=60_000.0)
    a.links.send_to(["b"], TimeoutNow(1))
    until(lambda: "refused" in a.status("b")["lost"])
    a.links.peers["b"].settings = fleet.link_settings("a")  # the delay has begun; later ones are short
    b = fleet.start("b")
    b.links.send(a.replica, TimeoutNow(2))
    until(lambda: a.received and b.received)


def test_a_new_disk_receives_nothing_for_the_old_replica(fleet: Fleet) -> None:
    a, old = fleet.start("a"), fleet.start("b", 1)
    a.links.send(old.replica, TimeoutNow(1))
    until(lambda: old.received)
    old.links.stop()
    until(lambda: not a.status("b")["connected"])
    a.links.send(ReplicaId("b", 1), TimeoutNow(2))
    a.links.send(ReplicaId("b", 2), TimeoutNow(3))
    a.links.send_to(["b"], TimeoutNow(4))
    a.links.send(ReplicaId("b", 1), TimeoutNow(5))
    new = fleet.start("b", 2)
    until(lambda: a.status("b")["queued"] == 0 and len(new.received) == 2)
    assert new.messages() == [TimeoutNow(3), TimeoutNow(4)] and a.status("b")["dropped"] == 2


def test_a_host_that_vanished_is_reached_under_its_new_replica(fleet: Fleet) -> None:
    a, listener = fleet.start("a"), fleet.listen_as("b")
    a.links.send_to(["b"], TimeoutNow(1))
    fleet.welcome(listener, ReplicaId("b", 1))  # this connection stays open
    until(lambda: a.status("b")["sent"] == 1)
    listener.close()
    b = fleet.start("b", 2)
    a.links.send(b.replica, TimeoutNow(2))

    def again() -> bool:
        a.links.send(b.replica, TimeoutNow(3))
        return bool(b.received)

    until(again)
    assert set(b.messages()) <= {TimeoutNow(2), TimeoutNow(3)}


def test_an_idle_link_is_closed_and_uses_no_greenlet(fleet: Fleet) -> None:
    a, b = fleet.start("a", idle_ms=30.0), fleet.start("b")
    for at in (1, 2):
        a.links.send(b.replica, TimeoutNow(at))
        until(lambda at=at: len(b.received) == at)  # type: ignore[misc]
        until(lambda: not a.links.peers["b"].running and not b.links.listener.connections)
        assert not a.status("b")["connected"]
    assert a.log.lines == b.log.lines == []


class Pauses:
    """Replaces the retry event: records when each wait would end, and stops the link at the ninth."""

    def __init__(self, peer: Any, times: list[float]) -> None:
        self.peer, self.times = peer, times

    def clear(self) -> None:
        pass

    def wait(self, seconds: float) -> bool:
        self.times.append(self.times[-1] + seconds)
        self.peer.stopped = len(self.times) > 8
        return False


def test_forty_members_do_not_retry_in_step() -> None:
    """Dials a port without a listener from forty members with one seed; their delays are recorded."""
    fleet, times = Fleet(), dict[str, list[float]]()
    fleet.add_members("gone")
    members = fleet.members | {f"n{at}": ("127.0.0.1", 1 + at) for at in range(40)}
    for name in members.keys() - {"gone"}:
        settings = LinkSettings(INSTALLATION, ("127.0.0.1", 0), members)
        peer = Member(ReplicaId(name, 1), settings).links.peers["gone"]
        times[name] = [0.0]

        peer.retry_now = Pauses(peer, times[name])
        peer.enqueue(None, b"x")
    until(lambda: all(len(mine) > 8 for mine in times.values()))
    for dial in range(1, 9):
        at = sorted(mine[dial] for mine in times.values())
        pause = min(0.1 * 2 ** (dial - 1), 5.0)
        window = pause / 10
        assert max(sum(begin <= t < begin + window for t in at) for begin in at) <= 12, (dial, at)
    gaps = [b - a for mine in times.values() for a, b in pairwise(mine[6:])]
    assert min(gaps) >= 2.5 and max(gaps) <= 7.5  # max_retry_ms is kept


def test_queued_messages_are_sent_before_stopping(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b")
    a.links.send(b.replica, TimeoutNow(1))
    until(lambda: b.received)
    for message in offers(0, 50):
        a.links.send(b.replica, message)
    a.links.stop()
    until(lambda: len(b.received) == 51)
    a.links.send(b.replica, TimeoutNow(2))
    gevent.sleep(0)
    assert not a.links.peers["b"].running
