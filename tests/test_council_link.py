"""The council's links on real sockets of the loopback: who is heard, what is bounded, what is lost."""

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

HIVES = "sfax-hives"


def until(done: Callable[[], object], seconds: float = 5.0) -> None:
    end = time.monotonic() + seconds
    while not done():
        assert time.monotonic() < end, "not done in time"
        gevent.sleep(0.002)


class Lines(Log):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def write_line(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None:
        self.lines.append(f"{kind} {text}")

    def of(self, kind: str) -> list[str]:
        return [line for line in self.lines if line.startswith(kind + " ")]


class Member:
    """Links, what they heard and what they logged."""

    def __init__(self, seat: ReplicaId, told: LinkSettings) -> None:
        self.seat, self.log = seat, Lines()
        self.heard: list[tuple[ReplicaId, Message | DutyHandover]] = []
        self.links = Links(seat, told, self.log, 7, lambda *said: self.heard.append(said))

    def said(self) -> list[Message | DutyHandover]:
        return [message for _, message in self.heard]

    def status(self, name: str) -> Any:
        return self.links.status()[name]


class Fleet:
    """Each member has a host of its own, 127.0.1.N, and a port that was free."""

    def __init__(self) -> None:
        self.members: dict[str, tuple[str, int]] = {}
        self.running: list[Member] = []
        self.socks: list[Any] = []

    def known(self, *names: str) -> None:
        for name in names:
            sock = self.listening(f"127.0.1.{len(self.members) + 1}", 0)
            self.members[name] = sock.getsockname()
            sock.close()

    def told(self, name: str, **other: Any) -> LinkSettings:
        short: dict[str, Any] = {"retry_ms": 5.0, "max_retry_ms": 40.0, "write_ms": 500.0}
        short |= {"installation": HIVES, "listen": self.members[name], "members": dict(self.members)}
        return LinkSettings(**(short | other))

    def start(self, name: str, disk: int = 1, **other: Any) -> Member:
        made = Member(ReplicaId(name, disk), self.told(name, **other))
        made.links.start()
        self.running.append(made)
        return made

    def listening(self, host: str, port: int) -> Any:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind((host, port))
        sock.listen(64)
        self.socks.append(sock)
        return sock

    def plays(self, name: str) -> Any:
        """A listener at that member's address, for the test to answer as it likes."""
        return self.listening(*self.members[name])

    def welcome(self, listener: Any, seat: ReplicaId) -> Any:
        sock, _ = listener.accept()
        self.socks.append(sock)
        sock.recv(4096)
        sock.sendall(
            encode(pb.Frame(welcome=pb.Welcome(version=1, seat=pb.Seat(name=seat.name, disk=seat.disk_id))))
        )
        return sock

    def dial(self, to: str, seat: ReplicaId, **change: Any) -> Any:
        """By hand, with a hello that may be changed."""
        source = (self.members.get(seat.name, ("127.0.0.1", 0))[0], 0)
        sock = socket.create_connection(self.members[to], 2.0, source)
        self.socks.append(sock)
        (frame,) = Decoder(pb.Frame, 4096).feed(encode_hello(seat, self.told(to), to))
        for field, value in change.items():
            setattr(frame.hello, field, value)
        sock.sendall(encode(frame))
        return sock

    def end(self) -> None:
        for member in self.running:
            member.links.stop(0)
        for sock in self.socks:
            sock.close()


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    made = Fleet()
    made.known("a", "b", "c")
    yield made
    made.end()


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


# --- who is heard ---


def test_members_hear_each_other_in_order(fleet: Fleet) -> None:
    a, b, c = fleet.start("a", 1), fleet.start("b", 2), fleet.start("c", 3)
    for one in offers(0, 100):
        a.links.send(b.seat, one)
    b.links.send(None, JoinRequest())
    b.links.send_to(["a", "b", "c"], DutyHandover("a", "reconcile", 9))
    until(lambda: len(b.heard) == 100 and len(a.heard) == 2 and len(c.heard) == 2)
    assert b.heard == [(a.seat, one) for one in offers(0, 100)]
    assert a.heard == c.heard == [(b.seat, JoinRequest()), (b.seat, DutyHandover("a", "reconcile", 9))]
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
def test_who_is_no_member_here_is_refused_in_words(fleet: Fleet, here: Any, there: Any, why: str) -> None:
    a, b = fleet.start("a", **here(fleet)), fleet.start("b", **there(fleet))
    c = fleet.start("c")
    refuser = c if "this is 'c'" in why else b
    a.links.send_to(["b"], JoinRequest())
    until(lambda: why in a.status("b")["refused"])
    times = refuser.log.totals["council-refused"]
    # it dials again after a pause, with the same end: told once at both sides
    tries: list[float] = []
    dialled = a.links.peers["b"].connect
    a.links.peers["b"].connect = lambda: tries.append(1) or dialled()  # type: ignore[method-assign,func-returns-value]
    until(lambda: len(tries) == 3)
    assert times == refuser.log.totals["council-refused"] == a.log.totals["council-refused"] == 1
    assert why in refuser.log.of("council-refused")[0] and why in a.log.of("council-refused")[0]
    assert not b.heard and not c.heard and a.status("b")["queued"] == 1


def test_versions_are_agreed_or_refused(fleet: Fleet) -> None:
    fleet.start("b")
    assert answer(fleet.dial("b", ReplicaId("a", 1), version=5)).welcome.version == 1
    assert "versions 2 to 5" in answer(fleet.dial("b", ReplicaId("a", 1), version=5, least=2)).refused.why
    assert "versions 1 to 0" in answer(fleet.dial("b", ReplicaId("a", 1), version=0)).refused.why


def test_a_refused_member_pauses_long_and_a_broken_one_does_not(fleet: Fleet) -> None:
    a, b = fleet.start("a", retry_ms=1.0, max_retry_ms=400.0), fleet.plays("b")
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


def test_somebody_else_at_a_members_address_gets_nothing(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.plays("b")
    a.links.send_to(["b"], JoinRequest())
    sock = fleet.welcome(b, ReplicaId("c", 1))
    assert closed(sock)
    until(lambda: a.log.of("council-bad-frame"))
    assert "expected 'b', but 'c' answered" in a.log.of("council-bad-frame")[0]


def test_one_of_two_disks_is_heard_under_a_name(fleet: Fleet) -> None:
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
    until(lambda: b.heard == [(ReplicaId("a", 2), JoinRequest())])


# --- what can't be read ---


@pytest.mark.parametrize(
    ("bytes_", "told"),
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
def test_bad_bytes_end_the_connection_and_are_told(fleet: Fleet, bytes_: bytes, told: str) -> None:
    b, c = fleet.start("b", write_ms=50.0), fleet.start("c")
    sock = fleet.dial("b", ReplicaId("a", 1))
    assert answer(sock).HasField("welcome")
    sock.sendall(bytes_)
    c.links.send(b.seat, JoinRequest())  # others are heard meanwhile
    until(lambda: b.heard)
    assert closed(sock)
    assert told in b.log.of("council-bad-frame")[0]
    assert b.heard == [(c.seat, JoinRequest())] and list(b.links.listener.welcomed) == ["c"]


def test_strangers_hold_no_place_for_long(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b", max_incoming=3, hello_ms=300.0)
    silent = [socket.create_connection(fleet.members["b"], 2.0) for _ in range(5)]
    a.links.send(b.seat, JoinRequest())
    until(lambda: b.heard)
    assert not a.log.lines, "it had to dial again"
    assert closed(silent[0]) and len(b.links.listener.connections) <= 3
    assert closed(silent[4])  # its time for a hello is over
    assert [one.replica for one in b.links.listener.connections] == [a.seat]


# --- what is bounded ---


def test_who_does_not_read_blocks_nobody_and_loses_the_oldest(fleet: Fleet) -> None:
    a, c = fleet.start("a", max_queued_messages=20, write_ms=100.0), fleet.start("c")
    listener = fleet.plays("b")
    a.links.send_to(["b"], JoinRequest())
    deaf = fleet.welcome(listener, ReplicaId("b", 1))
    until(lambda: a.status("b")["connected"])
    way = a.links.peers["b"].sock
    way.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)  # else it takes them all
    assert way.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 100
    way.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)  # one that reads a little now and then
    ran: list[int] = []
    gevent.spawn(ran.append, 1)
    for one in offers(0, 200, 100_000):
        a.links.send(ReplicaId("b", 1), one)
    assert not ran, "a sender waited"
    assert a.status("b")["queued"] == 20 and a.status("b")["dropped"] == 180
    a.links.send(c.seat, JoinRequest())
    until(lambda: c.heard)
    until(lambda: a.log.of("council-lost") == ["council-lost b: write timed out"])  # in the midst of a frame
    deaf.close()
    listener.close()
    b = fleet.start("b")
    until(lambda: b.said()[-1:] == offers(199, 200, 100_000))
    # what was written into the deaf one is gone, and no more than that
    assert b.said() == offers(200 - len(b.heard), 200, 100_000)
    status = a.status("b")
    assert status["sent"] + status["dropped"] == 201 and status["queued"] == 0
    assert 181 <= status["dropped"] <= 190


def test_the_queue_is_bounded_in_bytes_too(fleet: Fleet) -> None:
    a = fleet.start("a", max_queued_bytes=1000)
    for one in offers(0, 5, 300):
        a.links.send_to(["b"], one)
    a.links.send_to(["c"], ForwardProposal(bytes(1001)))
    assert (a.status("b")["queued"], a.status("b")["dropped"]) == (3, 2)
    assert (a.status("c")["queued"], a.status("c")["dropped"]) == (0, 1)


def test_what_can_go_nowhere_is_told_once(fleet: Fleet) -> None:
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


def test_a_cut_link_is_dialled_again(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b")
    a.links.send(b.seat, TimeoutNow(1))
    until(lambda: b.heard)
    b.links.listener.welcomed["a"].sock.shutdown(socket.SHUT_RDWR)
    until(lambda: not a.status("b")["connected"])
    assert a.log.of("council-lost")
    a.links.send(b.seat, TimeoutNow(2))
    until(lambda: len(b.heard) == 2)
    assert b.said() == [TimeoutNow(1), TimeoutNow(2)] and a.log.of("council-reached")


def test_one_that_dials_is_dialled_at_once(fleet: Fleet) -> None:
    a = fleet.start("a", retry_ms=60_000.0, max_retry_ms=60_000.0)
    a.links.send_to(["b"], TimeoutNow(1))
    until(lambda: "refused" in a.status("b")["lost"])
    a.links.peers["b"].settings = fleet.told("a")  # the pause has begun; what comes after it is short
    b = fleet.start("b")
    b.links.send(a.seat, TimeoutNow(2))
    until(lambda: a.heard and b.heard)


def test_a_restart_with_another_disk_gets_nothing_of_the_old_seat(fleet: Fleet) -> None:
    a, old = fleet.start("a"), fleet.start("b", 1)
    a.links.send(old.seat, TimeoutNow(1))
    until(lambda: old.heard)
    old.links.stop()
    until(lambda: not a.status("b")["connected"])
    a.links.send(ReplicaId("b", 1), TimeoutNow(2))
    a.links.send(ReplicaId("b", 2), TimeoutNow(3))
    a.links.send_to(["b"], TimeoutNow(4))
    a.links.send(ReplicaId("b", 1), TimeoutNow(5))
    new = fleet.start("b", 2)
    until(lambda: a.status("b")["queued"] == 0 and len(new.heard) == 2)
    assert new.said() == [TimeoutNow(3), TimeoutNow(4)] and a.status("b")["dropped"] == 2


def test_a_machine_that_went_without_a_word_is_found_under_its_new_seat(fleet: Fleet) -> None:
    a, listener = fleet.start("a"), fleet.plays("b")
    a.links.send_to(["b"], TimeoutNow(1))
    fleet.welcome(listener, ReplicaId("b", 1))  # and this connection stays as it is
    until(lambda: a.status("b")["sent"] == 1)
    listener.close()
    b = fleet.start("b", 2)
    a.links.send(b.seat, TimeoutNow(2))

    def again() -> bool:
        a.links.send(b.seat, TimeoutNow(3))
        return bool(b.heard)

    until(again)
    assert set(b.said()) <= {TimeoutNow(2), TimeoutNow(3)}


def test_an_idle_link_is_closed_and_costs_no_greenlet(fleet: Fleet) -> None:
    a, b = fleet.start("a", idle_ms=30.0), fleet.start("b")
    for at in (1, 2):
        a.links.send(b.seat, TimeoutNow(at))
        until(lambda at=at: len(b.heard) == at)  # type: ignore[misc]
        until(lambda: not a.links.peers["b"].running and not b.links.listener.connections)
        assert not a.status("b")["connected"]
    assert a.log.lines == b.log.lines == []


class Pauses:
    """Stands for the event that a pause waits for: notes when it would end, and ends the ninth at once."""

    def __init__(self, peer: Any, times: list[float]) -> None:
        self.peer, self.times = peer, times

    def clear(self) -> None:
        pass

    def wait(self, seconds: float) -> bool:
        self.times.append(self.times[-1] + seconds)
        self.peer.over = len(self.times) > 8
        return False


def test_forty_that_lost_one_member_do_not_dial_in_step() -> None:
    """Real dials to a port where nobody listens, by forty members with one seed; their pauses are noted."""
    fleet, times = Fleet(), dict[str, list[float]]()
    fleet.known("gone")
    members = fleet.members | {f"n{at}": ("127.0.0.1", 1 + at) for at in range(40)}
    for name in members.keys() - {"gone"}:
        told = LinkSettings(HIVES, ("127.0.0.1", 0), members)
        peer = Member(ReplicaId(name, 1), told).links.peers["gone"]
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


def test_what_is_queued_goes_out_before_the_end(fleet: Fleet) -> None:
    a, b = fleet.start("a"), fleet.start("b")
    a.links.send(b.seat, TimeoutNow(1))
    until(lambda: b.heard)
    for one in offers(0, 50):
        a.links.send(b.seat, one)
    a.links.stop()
    until(lambda: len(b.heard) == 51)
    a.links.send(b.seat, TimeoutNow(2))
    gevent.sleep(0)
    assert not a.links.peers["b"].running
