"""What the processes of an upgrade tell each other of the session at the MQTT broker, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.broker_session import AnsweredMessage, BrokerSession, KeptAnswer, split_answers
from harrieryoke.limits import Limits
from harrieryoke.mqtt.memory import FinalAnswer, KeyCache
from harrieryoke.parts import Parts
from harrieryoke.upgrade.link import Upgrade
from harrieryoke.upgrade.messages import (
    PEER_MESSAGE_DECODER,
    Hello,
    Link,
    LinkLost,
    PeerMessageReceived,
    Serving,
    SessionAnswers,
    SessionReleased,
)

from .test_handover import SilentLog, StubMailbox

SESSION = BrokerSession(
    [KeptAnswer(f"k{n}", "served", bytes(20_000), "", None, 5.0) for n in range(30)],
    [AnsweredMessage(7, "digest")],
    True,
)


class RecordingSocket:
    """Keeps the lines that are sent."""

    def __init__(self) -> None:
        self.sent = b""

    def sendall(self, data: bytes) -> None:
        self.sent += data

    def close(self) -> None: ...

    def messages(self) -> list[Any]:
        return [PEER_MESSAGE_DECODER.decode(line) for line in self.sent.splitlines()]


class StubBroker:
    """Records what the upgrade asks of the broker's front, and releases its session at once."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def release(self, reply: Callable[[BrokerSession], object]) -> None:
        self.asked.append("release")
        reply(SESSION)

    def adopt_answers(self, answers: list[KeptAnswer]) -> None:
        self.asked.append(f"answers {len(answers)}")

    def adopt(self, session: BrokerSession) -> None:
        self.asked.append(f"adopt {session.complete}")

    def predecessor_lost(self) -> None:
        self.asked.append("predecessor lost")

    def successor_lost(self) -> None:
        self.asked.append("successor lost")


class Peer:
    """The upgrade of one process, with a link to the other one."""

    def __init__(self, folder: Path, broker: StubBroker | None) -> None:
        self.socket, self.broker = RecordingSocket(), broker
        front: Any = StubMailbox()
        part: Any = broker
        self.upgrade = Upgrade(folder / "x", front, front, front, Limits(), SilentLog(), Parts(broker=part))
        self.link = Link(self.socket)
        self.upgrade.links.append(self.link)

    def receive(self, *messages: Any) -> None:
        for message in messages:
            self.upgrade.try_send(PeerMessageReceived(self.link, message))
        self.upgrade.process_mailbox()

    def lose_link(self) -> None:
        self.upgrade.try_send(LinkLost(self.link))
        self.upgrade.process_mailbox()


def successor(folder: Path, takes_session: bool = True) -> Peer:
    """Return the old process, whose successor has said hello."""
    peer = Peer(folder, StubBroker())
    peer.link.takes_session = takes_session
    return peer


@pytest.mark.parametrize("stopping", [False, True])
def test_the_session_goes_to_the_process_that_serves(tmp_path: Path, stopping: bool) -> None:
    """Guards against a new process that is not told what the old one answered, also late in its life."""
    peer = successor(tmp_path)
    peer.upgrade.stopping = stopping
    peer.receive(Serving())
    *parts, last = peer.socket.messages()
    assert [a for part in parts for a in part.answers] == SESSION.answers and len(parts) > 1
    assert last == SessionReleased(SESSION.unconfirmed, True) and peer.upgrade.session_sent.is_set()


def test_a_process_without_triggers_or_of_an_older_version_is_left_out(tmp_path: Path) -> None:
    """Guards against a session that is released to a process that does not connect."""
    peer = successor(tmp_path, takes_session=False)
    peer.receive(Serving())
    assert peer.broker is not None and not peer.broker.asked and not peer.socket.sent
    assert PEER_MESSAGE_DECODER.decode(b'{"type":"hello"}') == Hello(takes_session=False)


def test_a_process_that_has_no_session_says_so_at_once(tmp_path: Path) -> None:
    """Guards against a new process that waits for a session that the old one never had."""
    peer = Peer(tmp_path, None)
    peer.link.takes_session = True
    peer.receive(Serving())
    assert peer.socket.messages() == [SessionReleased([], False)]


def test_an_heir_that_ends_gives_the_session_back(tmp_path: Path) -> None:
    """Guards against triggers that nobody takes after the new process has ended."""
    peer = successor(tmp_path)
    peer.receive(Serving())
    peer.lose_link()
    assert peer.broker is not None and peer.broker.asked == ["release", "successor lost"]


def test_the_new_process_adopts_what_it_is_told_and_hears_of_the_end(tmp_path: Path) -> None:
    """Guards against a new process that awaits the session for ever."""
    peer = Peer(tmp_path, broker := StubBroker())
    peer.upgrade.predecessor_link = peer.link
    peer.receive(SessionAnswers(SESSION.answers), SessionReleased(SESSION.unconfirmed, True))
    peer.lose_link()
    assert broker.asked == ["answers 30", "adopt True", "predecessor lost"]


@given(st.lists(st.integers(0, 5000)), st.integers(1000, 8000))
def test_answers_are_split_into_bounded_lines_and_none_is_lost(sizes: list[int], limit: int) -> None:
    answers = [KeptAnswer(f"k{n}", "served", bytes(s), "", None, 0.0) for n, s in enumerate(sizes)]
    parts = list(split_answers(answers, limit))
    assert [a.key for part in parts for a in part] == [a.key for a in answers]
    for part in parts:
        assert len(msgspec.json.encode(SessionAnswers(part))) <= limit
    for answer, kept in zip(answers, (a for part in parts for a in part), strict=True):
        assert kept == (answer if answer.encoded_bytes() <= limit else answer.without_body())


def test_restored_answers_expire_as_if_they_had_been_given_here() -> None:
    old: KeyCache[str] = KeyCache(1000.0, 100, 10)
    for n, key in enumerate("abc"):
        old.begin(key, float(n), "w")
        old.complete(key, 100.0 * n, FinalAnswer("served", key.encode()))
    old.begin("open", 300.0, "w")
    new: KeyCache[str] = KeyCache(1000.0, 100, 10)
    for key, answered_at, answer in old.answers():
        new.restore(key, answered_at, answer)
    assert list(new.records) == ["a", "b", "c"]
    found = new.find("b", 1050.0)
    assert found is not None and found.answer == FinalAnswer("served", b"b") and "a" not in new.records
