"""Tests that data in transit is waited for, within limits, while the invoker closes connections."""

from __future__ import annotations

import itertools
import json
import time
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

from harrieryoke.core.clock import now_ms
from harrieryoke.net.client_messages import CloseIfIdle, StopReading
from harrieryoke.net.front_messages import ConnectionAccepted, ResumeAccepting, StopListening, TransferClients
from harrieryoke.net.jsonrpc import REFUSED
from harrieryoke.net.pending_connections import PendingConnection

from .clients import BODY, TIMEOUT_S, Connection, Front, line, read, until
from .scenario import Scene, ending
from .test_retune import ServiceHarness

CALL = json.loads(line(1))
CALL["params"] |= {"acct": "coop-kef", "props": "memory_mb:512;lanes:8;load_ms:500", "blob": ""}
FIRST_HALF, SECOND_HALF = json.dumps(CALL)[:40], json.dumps(CALL)[40:]
EARLIEST_KILL_MS = 3700.0  # after SIGTERM, with deadlines of 3 s and more
LONG_REQUEST_TIMEOUT = "[limits]\nclient_ask_ms = 60000"


def until_refused(scene: Scene) -> None:
    """Wait until the invoker has closed its listening socket: all its clients have been told to leave."""
    host, port = scene.address.split(":")
    deadline = time.monotonic() + 4 * TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            continue  # it crossed the close; the next one is refused
        time.sleep(0.01)
    raise AssertionError("the invoker still listens")


def play(folder: Path, *steps: str, operator: str = "") -> str:
    """Play a scenario, and wait for the closed listening socket between its parts."""
    with ending(Scene(folder, operator=operator)) as scene:
        scene.play(steps[0])
        for step in steps[1:]:
            until_refused(scene)
            scene.play(step)
    return scene.log()


def test_half_line_at_sigterm_is_waited_for_and_answered(tmp_path: Path) -> None:
    play(
        tmp_path,
        f"""
        send c1 part '{FIRST_HALF}'
        send node TERM
        wait stopping
        send node TERM""",
        f"""
        send c1 raw '{SECOND_HALF}'
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        expect c1 end
        expect node exit 0""",
        operator=LONG_REQUEST_TIMEOUT,
    )


def test_new_clients_do_not_displace_a_client_within_a_line(tmp_path: Path) -> None:
    others = "\n".join(f"send c{n} probe 1\nexpect c{n} 1 healthy" for n in range(2, 21))
    play(
        tmp_path,
        f"""
        send c1 part '{FIRST_HALF}'
        {others}
        expect c2 end
        send c1 raw '{SECOND_HALF}'
        expect h1 request
        send h1 ok body=y
        expect c1 1 result y
        send c1 probe 2
        expect c1 2 healthy""",
        operator=f"{LONG_REQUEST_TIMEOUT}\nsockets = 20\nclient_fresh_ms = 0.001",
    )


def test_line_that_continues_after_a_stall_is_not_confused_with_the_next_one() -> None:
    c = Connection()
    c.send(line(1, "probe")[:30])
    until(lambda: c.actor.partial, "half a line")
    stalled_since = c.actor.last_active
    c.send(line(1, "probe")[30:] + line(2, "probe")[:30])
    assert c.read(1) == [(1, 0)]
    c.actor.try_send(CloseIfIdle(stalled_line_at=stalled_since))
    until(lambda: c.actor.close_request, "told to close")
    c.send(line(2, "probe")[30:])
    assert c.read(1) == [(2, 0)]
    c.close()


def test_client_whose_half_line_does_not_continue_is_closed_at_a_stop() -> None:
    f = Front(client_ask_ms=100.0, sweep_ms=20.0)
    sock = f.connect(line(1)[:30])
    until(lambda: any(c.partial for c in f.front.clients), "half a line")
    f.front.try_send(StopListening())
    assert sock.recv(1) == b"" and f.front.all_closed.wait(TIMEOUT_S)


def test_listener_outlives_a_connection_that_was_reset_at_once() -> None:
    class Reset:
        closed = False

        def setsockopt(self, *told: object) -> None:
            raise OSError("reset")

        def close(self) -> None:
            self.closed = True

    reset = Reset()
    first = [(reset, ("127.0.0.1", 9))]
    f = Front(lambda entry: first.pop() if first else entry.accept())
    assert read(f.connect(line(1, "probe")), 1) == [(1, 0)]
    assert reset.closed and f.log.totals == {"accept-failed": 1}


def test_front_ends_with_its_listener_unless_that_was_closed_on_purpose() -> None:
    f, broken = Front(), Event()
    f.front.blocking_send(TransferClients(lambda sock, name: None))
    until(lambda: f.front.transfer_request and not f.front.running_acceptors, "the listener's end")
    f.front.blocking_send(ResumeAccepting())
    assert read(f.connect(line(1, "probe")), 1) == [(1, 0)]

    def fail(entry: socket.socket) -> None:
        broken.wait()
        raise ValueError("unforeseen")

    f = Front(fail)
    greenlet = f.front.greenlet
    assert greenlet is not None
    broken.set()
    greenlet.join(TIMEOUT_S)
    assert greenlet.ready() and f.log.totals == {"greenlet-died": 1}


def test_backlog_is_accepted_before_the_listening_socket_closes() -> None:
    asleep = Event()

    def sleep(entry: socket.socket) -> None:
        asleep.wait()
        raise OSError("closed")

    f = Front(sleep)
    socks = [f.connect(line(n)) for n in (1, 2, 3)]
    assert not f.front.clients
    f.front.try_send(StopListening())
    until(lambda: len(f.core.calls) == 3, "offered")
    for client in list(f.front.clients):
        for call in list(client.ids):
            client.served(call, b"y")
    for n, sock in enumerate(socks, 1):
        assert read(sock, 1) == [(n, 1)] and sock.recv(1) == b""
    asleep.set()
    assert f.front.all_closed.wait(TIMEOUT_S)


def check_stop_after_answer(f: Front, sock: socket.socket) -> None:
    """Check that the stop waits for the call from the socket, and ends with its answer."""
    until(lambda: f.core.calls, "offered")
    assert not f.front.all_closed.is_set()
    (client,) = f.front.clients
    client.served(f.core.calls[1], b"")
    assert read(sock, 1) == [(1, 0)] and f.front.all_closed.wait(TIMEOUT_S)


def test_stop_waits_for_a_connection_in_the_mailbox() -> None:
    f = Front()
    f.front.blocking_send(TransferClients(lambda sock, name: None))
    until(lambda: f.front.transfer_request and not f.front.running_acceptors, "the listener's end")
    sock = f.connect(line(1))
    served, _ = f.listening.accept()
    f.front.try_send(StopListening())
    f.front.try_send(ConnectionAccepted(PendingConnection(served, "c:1", True, now_ms())))
    check_stop_after_answer(f, sock)


def test_stop_waits_for_a_connection_that_the_listener_has_just_accepted() -> None:
    held, release = list[object](), Event()

    def hold(entry: socket.socket) -> object:
        if held:
            raise OSError("closed")
        held.append(entry.accept())
        release.wait()
        return held[0]

    f = Front(hold)
    sock = f.connect(line(1))
    until(lambda: held, "accepted")
    f.front.try_send(StopListening())
    until(lambda: f.front.acceptor.fileno() < 0, "the entry closed")
    assert not f.front.all_closed.is_set()
    release.set()
    check_stop_after_answer(f, sock)


def test_partly_written_answer_is_completed_at_a_stop() -> None:
    f = Front()
    sock = f.connect(line(1))
    until(lambda: f.core.calls, "offered")
    (client,) = f.front.clients
    client.served(f.core.calls[1], BODY)
    until(lambda: not client.mailbox and client.outgoing.unsent, "a half written answer")
    f.front.try_send(StopListening())
    until(lambda: client.close_request, "told to close")
    assert not f.front.all_closed.is_set()
    assert read(sock, 1) == [(1, len(BODY))] and sock.recv(1) == b""
    assert f.front.all_closed.wait(TIMEOUT_S)


# Guards against calls that were read shortly before the process exits and have no answer then.
def test_lines_that_were_read_before_the_end_of_a_stop_are_refused() -> None:
    c = Connection()
    with c.actor.turns.turn():
        c.send(b"1\n" * 100, line(1), line(2, "probe"))
        until(lambda: c.actor.read_rate.is_high(now_ms()) and b"probe" in c.actor.input.unread(), "it waits")
        c.actor.try_send(StopReading())
        answers = [json.loads(text) for text in itertools.islice(c.sock.makefile("rb"), 102)]
    assert [answer["id"] for answer in answers[-2:]] == [1, 2]
    assert answers[-2]["error"]["code"] == REFUSED and answers[-1]["result"]["healthy"]
    c.send(line(3))
    gevent.sleep(0.05)
    assert c.actor.state.lines == 0 and not c.core.calls
    c.close()


# Guards against a stop that is killed while it waits for the counters of its last log line (issue 61).
def test_stop_ends_in_time_though_the_core_gives_no_counters(tmp_path: Path) -> None:
    harness = ServiceHarness(tmp_path)
    limits = harness.service.limits
    limits.stop_within_ms, limits.write_ms = 3000.0, 5000.0
    started_at = now_ms()
    assert harness.service.shut_down() == 0
    assert now_ms() - started_at < EARLIEST_KILL_MS
    assert harness.log.lines[-1].split()[0] == "stopped"
