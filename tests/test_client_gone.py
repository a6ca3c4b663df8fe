"""Tests that nothing is offered or written for a client after it has left, in any state of its connection."""

from __future__ import annotations

import itertools
import json
import struct

import gevent
import pytest
from gevent import socket

from harrieryoke.net.client_messages import CloseIfIdle, TransferWhenIdle
from harrieryoke.net.client_presence import MAX_UNREAD_MS
from harrieryoke.net.jsonrpc import FAILED, REFUSED

from .clients import BODY, connected, line, until


def leave(sock: socket.socket, how: str) -> None:
    if how == "half-closes":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVING = pytest.mark.parametrize("how", ["closes", "half-closes", "resets"])


@LEAVING
def test_client_leaves_behind_an_answer_it_does_not_read(how: str) -> None:
    with connected() as c:
        c.send_calls(1, 2)
        c.block_output(1)
        leave(c.sock, how)
        until(lambda: c.core.calls[2].abandoned, "abandoned")
        until(lambda: c.core.withdrawn == [2], "withdrawn")
        assert c.actor.outgoing.unsent == []


@LEAVING
@pytest.mark.parametrize("behind", [3, 40], ids=["few lines", "more lines than the mailbox takes"])
def test_lines_before_the_end_are_dropped_while_the_actor_waits(how: str, behind: int) -> None:
    with connected() as c:
        c.core.gate.clear()
        c.send_calls(1)
        c.send(*(line(n) for n in range(2, 2 + behind)))
        until(lambda: len(c.actor.mailbox) == min(behind, 16), "lines in the mailbox")
        leave(c.sock, how)
        until(lambda: c.core.calls[1].abandoned, "abandoned")
        c.core.gate.set()
        assert c.gone.wait(10)
        assert list(c.core.calls) == c.core.withdrawn == [1]


def test_give_up_and_new_calls_behind_an_answer_that_cannot_be_written() -> None:
    with connected() as c:
        c.send_calls(1, 2, 3)
        c.block_output(1)
        c.send(line(2, "giveUp") + line(4))
        until(lambda: c.actor.has_withdrawn(c.core.calls[2]), "given up in bytes that are not read")
        assert not c.actor.has_withdrawn(c.core.calls[3])
        gevent.sleep(0.05)
        assert not c.core.withdrawn and 4 not in c.core.calls and not c.actor.mailbox
        c.answer(3, b"")
        assert c.read(2) == [(1, len(BODY)), (3, 0)]
        until(lambda: 4 in c.core.calls, "offered once the answers were accepted")
        assert c.core.withdrawn == [2]
        c.answer(2)
        c.answer(4, b"4")
        assert c.read(1) == [(4, 1)]


def test_hand_over_waits_until_all_is_written_in_order() -> None:
    with connected() as c:
        handed: list[socket.socket] = []
        c.send_calls(1, 2)
        c.block_output(1)
        c.answer(2)
        c.actor.try_send(TransferWhenIdle(lambda sock, name: handed.append(sock)))
        until(lambda: not c.actor.open and not c.actor.mailbox, "nothing open")
        assert not handed
        assert c.read(2) == [(1, len(BODY)), (2, len(BODY))]
        until(lambda: handed, "handed over")
        c.actor.write({"id": 3})
        handed[0].sendall(b"from the other process")
        assert c.sock.recv(100) == b"from the other process"
        handed[0].close()


@pytest.mark.parametrize("how", ["close", "hand-over"])
def test_leaving_waits_for_lines_that_the_mailbox_had_no_room_for(how: str) -> None:
    with connected() as c:
        handed: list[socket.socket] = []
        c.core.answers = True
        c.core.gate.clear()
        c.send_calls(1)
        c.send(*(line(n, "probe") for n in range(2, 42)))
        until(lambda: len(c.actor.mailbox) == 16 and c.actor.unposted, "a full mailbox")
        c.actor.try_send(
            CloseIfIdle() if how == "close" else TransferWhenIdle(lambda sock, name: handed.append(sock))
        )
        c.core.gate.set()
        assert sorted(id for id, _ in c.read(41)) == list(range(1, 42))
        assert c.gone.wait(10) and len(handed) == (how == "hand-over")
        for sock in handed:
            sock.close()


# Guards against a connection that is ended, or a call without an answer, as too many answers wait.
def test_answers_beyond_the_bound_give_way_to_errors() -> None:
    ids = range(1, 33)
    with connected(body_bytes=1024, answer_bytes=16384) as c:
        c.send_calls(*ids)
        for id in ids:
            c.answer(id)
        until(lambda: not c.actor.open, "all answered")
        assert 0 < c.log.totals["answer-replaced"] < 32 and not c.actor.finished
        answers = [json.loads(text) for text in itertools.islice(c.sock.makefile("rb"), 32)]
        assert [answer["id"] for answer in answers] == list(ids)
        errors = [answer["error"]["code"] for answer in answers if "error" in answer]
        assert errors == [FAILED] * c.log.totals["answer-replaced"]
        c.send_calls(100)


def test_client_that_reads_nothing_for_the_write_time_out_is_lost() -> None:
    with connected(write_ms=100.0) as c:
        c.send_calls(100, 1)
        c.answer(1)
        assert c.gone.wait(10)
        assert c.log.totals == {"client-lost": 1, "calls-dropped": 1}
        assert c.core.calls[100].abandoned and 100 in c.core.withdrawn


# Guards against attempts for calls whose `giveUp` has come but is not handled yet, wherever it waits.
@pytest.mark.parametrize("behind", [0, 30, 300], ids=["in the mailbox", "before it", "unread"])
def test_call_given_up_in_unhandled_bytes_counts_as_withdrawn(behind: int) -> None:
    with connected() as c:
        c.send_calls(1, 2)
        c.core.gate.clear()
        c.send(line(3), *(line(n, "probe") for n in range(4, 4 + behind)), line(1, "giveUp"))
        until(lambda: c.actor.mailbox or c.actor.unposted, "unhandled lines")
        gevent.sleep(0.01)
        first, second = c.core.calls[1], c.core.calls[2]
        assert c.actor.has_withdrawn(first) and first.abandoned
        assert not c.actor.has_withdrawn(second) and not second.abandoned
        leave(c.sock, "closes")
        until(lambda: c.actor.has_withdrawn(second), "the end seen at the first byte")


# Guards against calls that are refused for a delay of the process, though the client's end would be known.
def test_call_is_sent_while_the_client_may_send_more() -> None:
    with connected() as c:
        c.send_calls(1)
        c.core.gate.clear()
        c.send(line(2), *(line(n, "probe") for n in range(3, 200)))
        until(lambda: c.actor.unposted, "a full mailbox")
        gevent.sleep(2 * MAX_UNREAD_MS / 1000)
        assert not c.actor.has_withdrawn(c.core.calls[1])
        c.sock.close()
        until(lambda: c.actor.has_withdrawn(c.core.calls[1]), "the client's end")
        c.core.gate.set()


# Guards against attempts for a client that may have left behind more bytes than its connection takes.
def test_call_is_refused_once_bytes_were_unread_for_too_long() -> None:
    with connected() as c:
        c.send_calls(1)
        c.core.gate.clear()
        c.actor.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # all are more than it takes
        c.send(line(2), *(line(n, "probe") for n in range(3, 200)))
        until(lambda: c.actor.unposted, "a full mailbox")
        call = c.core.calls[1]
        assert not c.actor.has_withdrawn(call)
        gevent.sleep(2 * MAX_UNREAD_MS / 1000)
        assert c.actor.has_withdrawn(call)
        c.core.gate.set()
        until(lambda: 1 in c.core.withdrawn, "withdrawn")
        answers = [json.loads(text) for text in itertools.islice(c.sock.makefile("rb"), 198)]
        assert [a["error"]["code"] for a in answers if a["id"] == 1] == [REFUSED]
