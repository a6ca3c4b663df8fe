"""Connections that get no place: each call on them that came whole is refused before they end."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from harrieryoke.core.clock import now_ms
from harrieryoke.net.connection_state import EndReason
from harrieryoke.net.pending_connections import (
    MAX_FEW_CALLS,
    Arrival,
    PendingConnection,
    PendingConnections,
    classify,
)
from harrieryoke.net.platform import RELIEF_MS
from harrieryoke.net.refused_connection import LONG_MS as LONG_REFUSAL_MS
from harrieryoke.net.refused_connection import QUIET_MS

from .clients import LONG_MS, TIMEOUT_S, Front, line, until

FEW_PLACES_BYTES = 3_000_000  # of the budget


@contextmanager
def without_places(write_ms: float = LONG_MS) -> Iterator[Front]:
    """Yield a front whose places are all taken by clients with an open call."""
    front = Front(write_ms=write_ms)
    front.core.memory.resize(FEW_PLACES_BYTES)
    held = [front.connect(line(n)) for n in range(front.front.hard_limit)]
    until(lambda: len(front.core.calls) == len(held), "all places are taken")
    yield front
    for sock in held:
        sock.close()
    until(lambda: not front.front.clients, "all have left")
    assert not front.log.totals.get("greenlet-died") and not front.core.metrics.end_faults


def read_ids(sock: socket.socket) -> list[int]:
    """Return the ids of all answers until the connection ends."""
    return [json.loads(text)["id"] for text in sock.makefile("rb")]


# Guards against a connection without a place that is closed after a time, whatever its client has sent.
def test_client_that_goes_on_sending_gets_a_refusal_for_each_call() -> None:
    with without_places() as front, socket.create_connection(front.address) as late:
        late.settimeout(4 * TIMEOUT_S)
        sent = 0

        def send() -> None:
            nonlocal sent
            until(lambda: front.front.refusing, "its calls are refused")
            stop_at = now_ms() + 1.5 * LONG_REFUSAL_MS
            while now_ms() < stop_at:
                late.sendall(line(9000 + sent))
                sent += 1
                gevent.sleep(0.001)

        late.sendall(line(8999))
        sending = gevent.spawn(send)
        answered = read_ids(late)
        sending.join()
        assert sending.successful() and answered == list(range(8999, 9000 + sent))


# Guards against a connection without a place that is closed as its client reads nothing for a moment.
def test_client_that_pauses_reading_gets_a_refusal_for_each_call() -> None:
    with without_places() as front, front.connect() as late:
        late.settimeout(4 * TIMEOUT_S)
        ids = range(9000, 10000)
        sending = gevent.spawn(late.sendall, b"".join(map(line, ids)))
        until(
            lambda: any(c.state.unsent_answers for c in front.front.refusing.refusing), "refusals wait for it"
        )
        gevent.sleep(5 * QUIET_MS / 1000)
        assert read_ids(late) == list(ids) and sending.successful()


# Guards against a connection without a place that ends while the rest of a call waits in the client's kernel.
def test_call_whose_rest_comes_late_is_refused() -> None:
    with without_places() as front, front.connect(line(9000)[:20]) as late:
        until(lambda: front.front.refusing, "its calls are refused")
        gevent.sleep(3 * QUIET_MS / 1000)
        late.sendall(line(9000)[20:])
        assert read_ids(late) == [9000]


# Guards against connections without a place that are held for good by clients that never read.
def test_client_that_never_reads_its_refusals_loses_its_connection_after_the_write_timeout() -> None:
    with without_places(write_ms=200.0) as front, front.connect() as late:
        sending = gevent.spawn(late.sendall, b"".join(map(line, range(9000, 10000))))
        ends = front.core.metrics.connection_ends
        until(lambda: ends[EndReason.NOTHING_ACCEPTED.value], "it has ended")
        assert front.core.metrics.calls_owed[EndReason.NOTHING_ACCEPTED.value] > 0
        assert not front.front.refusing and front.log.totals["calls-dropped"] == 1
        sending.kill()


# Guards against connections without a place that only send noise, and get neither an error nor an end.
def test_noise_on_a_connection_without_a_place_gets_an_error_and_the_connection_ends() -> None:
    with without_places() as front, front.connect(b"5\n") as late:
        answer, *others = map(json.loads, late.makefile("rb"))
        assert answer["id"] is None and answer["error"] and not others
        until(lambda: not (front.front.refusing or front.front.pending), "it is forgotten")


# Guards against connections whose calls are all refused that fill the memory while more are accepted.
def test_most_connections_that_wait_count_though_their_first_calls_are_refused() -> None:
    pending = PendingConnections()
    with socket.socket() as sock:
        for _ in range(100):
            pending.add(PendingConnection(sock, "c:1", is_first_refused=True))
        assert pending.unanswered() == 75


# Guards against the end of a connection whose first call the kernel has dropped, to be sent again.
def test_connection_without_a_byte_keeps_its_place() -> None:
    front = Front()
    front.core.memory.resize(FEW_PLACES_BYTES)
    with front.connect() as silent:
        until(lambda: front.front.clients, "it has a place")
        held = [front.connect(line(n)) for n in range(front.front.hard_limit - 1)]
        until(lambda: len(front.core.calls) == len(held), "all places are taken")
        gevent.sleep(2 * front.front.limits.client_fresh_ms / 1000)
        with front.connect(line(9000)):
            gevent.sleep(2 * RELIEF_MS / 1000)
            silent.sendall(line(8000))
            until(lambda: 8000 in front.core.calls, "the call has come")
    for sock in held:
        sock.close()


# Guards against a crowd that sends many calls at once, and takes all places for good.
def test_places_are_kept_for_clients_that_send_a_few_calls() -> None:
    front = Front()
    front.core.memory.resize(FEW_PLACES_BYTES)
    places = front.front.hard_limit
    crowd = [
        front.connect(*(line(100 * n + k) for k in range(2 * MAX_FEW_CALLS))) for n in range(1, places + 1)
    ]
    until(lambda: len(front.front.clients) + len(front.front.pending) == places, "all are accepted")
    assert len(front.front.clients) >= places // 2
    with front.connect(line(9000)):
        until(lambda: 9000 in front.core.calls, "the call has come")
    for sock in crowd:
        sock.close()


# Guards against places for connections that have sent less than others, or a refusal.
def test_connections_get_places_by_what_has_come() -> None:
    inputs = [b"", b"{", line(1) * (MAX_FEW_CALLS + 1), line(1), line(2)]
    pending = PendingConnections()
    with socket.socket() as sock:
        for data in inputs:
            pending.add(PendingConnection(sock, repr(data), arrival=classify(data)))
        pending.add(PendingConnection(sock, "refused", arrival=Arrival.FEW_CALLS, is_first_refused=True))
        order: list[str] = []
        while (connection := pending.next_for_place(Arrival.NOTHING)) is not None:
            assert (pending.next_for_place(Arrival.FEW_CALLS) is connection) == (len(order) < 2)
            order.append(connection.name)
            pending.take(connection)
    assert order == [repr(inputs[n]) for n in (3, 4, 2, 1, 0)]


# Guards against connections that wait for a place, whose calls have no answer as the process exits.
@pytest.mark.parametrize("is_being_refused", [False, True])
def test_calls_of_connections_without_a_place_are_refused_before_the_process_exits(
    is_being_refused: bool,
) -> None:
    with without_places() as front, front.connect(line(9000)) as late:
        until(lambda: front.front.pending, "it waits")
        if is_being_refused:
            (connection,) = front.front.pending.take_all()
            front.front.refuse_connection(connection)
        front.front.stop_reading()
        assert read_ids(late) == [9000]


# Guards against ends of waiting connections at the exit that are recorded as owing nothing.
@pytest.mark.usefixtures("expects_end_faults")
def test_calls_of_a_connection_that_waits_at_the_exit_are_reported() -> None:
    front = Front()
    front.core.memory.resize(FEW_PLACES_BYTES)
    served = [front.connect(line(n)) for n in range(front.front.hard_limit)]
    until(lambda: len(front.core.calls) == len(served), "all places are taken")
    with front.connect(line(9000) + line(9001)):
        until(lambda: front.front.pending, "it waits")
        front.front.record_remaining()
    assert front.core.metrics.end_faults == len(served) + 1
    assert front.core.metrics.calls_owed[EndReason.STOPPING.value] == len(served) + 2
    for sock in served:
        sock.close()
