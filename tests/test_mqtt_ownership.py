"""The front of the MQTT broker without sockets: who has the session, and what crosses its handover."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from gevent.event import Event

from harrieryoke.broker_session import AnsweredMessage, BrokerSession
from harrieryoke.core.calls import CallMaker
from harrieryoke.core.records import Call
from harrieryoke.limits import Limits
from harrieryoke.mqtt.connection import Connected, Delivered, PingAnswered
from harrieryoke.mqtt.front import BrokerActor
from harrieryoke.mqtt.settings import MqttSettings
from harrieryoke.mqtt.triggers import Message, Trigger

from .rig import SETTINGS
from .test_handover import SilentLog

CLASS = SETTINGS.classes[0].name
FUNCTION = "7f3a9c21e0b4d655"


class StubConnection:
    """The connection as the actor sees it; nothing is sent, and `on_leave` runs while it is left."""

    def __init__(self) -> None:
        self.number, self.allowed, self.gone = 1, Event(), Event()
        self.delivery_credits, self.address = self, ("127.0.0.1", 1)
        self.acknowledged: list[int] = []
        self.pings = self.drops = 0
        self.on_leave: Callable[[], object] = lambda: None

    def release(self) -> None: ...

    def start(self) -> None: ...

    def publish(self, topic: str, payload: bytes, correlation_data: bytes | None) -> int:
        return len(self.acknowledged) + 1

    def acknowledge(self, message_id: int) -> None:
        self.acknowledged.append(message_id)

    def ping(self) -> int:
        self.pings += 1
        return self.pings

    def drop(self) -> None:
        self.drops += 1

    def leave(self) -> None:
        self.allowed.clear()
        self.on_leave()

    def end(self) -> None:
        self.gone.set()


class StubModule:
    """Keeps the calls that it is offered."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    def offer(self, call: Call, front: object) -> bool:
        self.calls.append(call)
        return True


class Front:
    """A front whose mailbox is handled after each message."""

    def __init__(self, awaits_session: bool = False) -> None:
        mqtt_settings = MqttSettings("127.0.0.1:1", trigger=[Trigger("t/{f}", CLASS, "{f}")])
        self.module: Any = StubModule()
        self.connection: Any = StubConnection()
        limits = Limits()
        maker = CallMaker(SETTINGS, limits)
        self.actor = BrokerActor(mqtt_settings, ("127.0.0.1", 1), maker, self.module, limits, SilentLog())
        self.actor.connection, self.actor.gone = self.connection, self.connection.gone
        self.released: list[BrokerSession] = []
        if awaits_session:
            self.actor.await_session()
        else:
            self.connection.allowed.set()
            self.handle(Connected(1, False), PingAnswered(1, 1))

    def handle(self, *messages: Any) -> None:
        for message in messages:
            assert self.actor.try_send(message)
            self.actor.process_mailbox()

    def deliver(self, message_id: int, dup: bool = False) -> Delivered:
        return Delivered(Message(f"t/{FUNCTION}", b"41", message_id, 1, dup), self.connection.number)

    def release(self) -> None:
        self.actor.release(self.released.append)
        self.actor.process_mailbox()

    def stop(self) -> None:
        self.actor.request_stop()
        self.actor.process_mailbox()

    def lose_successor(self) -> None:
        self.actor.successor_lost()
        self.actor.process_mailbox()


def test_a_message_that_arrives_while_the_connection_is_left_is_not_taken() -> None:
    """Guards against a trigger that the old process calls after the new one has the session."""
    front = Front()
    front.connection.on_leave = lambda: front.actor.try_send(front.deliver(7))
    front.release()
    assert len(front.released) == 1 and not front.module.calls and front.released[0].complete
    front.handle(front.deliver(8))
    assert not front.module.calls and not front.connection.acknowledged


def test_the_successor_hears_of_an_earlier_process_s_message_that_arrives_while_the_connection_is_left() -> (
    None
):
    """Guards against a key that runs twice, as the last message of a killed process is taken for new."""
    front = Front(awaits_session=True)
    front.actor.predecessor_lost()
    front.actor.process_mailbox()
    front.handle(Connected(1, True), PingAnswered(1, 1))
    assert front.actor.deliveries.is_complete()
    front.connection.on_leave = lambda: front.actor.try_send(front.deliver(7, dup=True))
    front.release()
    assert len(front.released) == 1 and not front.released[0].complete


def test_a_process_that_stops_after_it_has_released_the_session_ends() -> None:
    """Guards against an old process that waits for a connection that it has left."""
    front = Front()
    front.release()
    front.stop()
    assert front.actor.finished and front.connection.gone.is_set() and len(front.released) == 1


def test_a_process_that_is_told_to_stop_while_it_leaves_ends_and_tells_its_successor() -> None:
    front = Front()
    front.connection.on_leave = front.actor.request_stop
    front.release()
    assert front.actor.finished and front.connection.gone.is_set() and len(front.released) == 1


def test_a_process_that_stopped_before_a_successor_asked_tells_it_what_it_knows() -> None:
    """Guards against keyed triggers that fail, as the old process ended before the new one asked."""
    front = Front()
    front.stop()
    assert front.actor.finished
    front.release()
    assert [session.complete for session in front.released] == [True]


@pytest.mark.parametrize("ends", ["release", "stop"])
def test_a_session_that_was_adopted_and_never_connected_is_passed_on(ends: str) -> None:
    """Guards against a process that waits for confirmations on a connection that it never opened."""
    front = Front(awaits_session=True)
    front.release()
    assert not front.released
    if ends == "stop":
        front.stop()
    else:
        front.actor.adopt(BrokerSession([], [AnsweredMessage(3, "x")], True))
        front.actor.process_mailbox()
        assert front.released == [BrokerSession([], [AnsweredMessage(3, "x")], True)]
    assert len(front.released) == 1 and not front.connection.allowed.is_set()


def test_a_successor_that_ends_while_the_connection_is_left_gives_it_back() -> None:
    """Guards against a process that neither serves triggers nor knows who does."""
    front = Front()
    front.connection.on_leave = front.actor.successor_lost
    front.release()
    assert front.connection.allowed.is_set() and not front.released
    front.connection.number = 2
    front.handle(Connected(2, True), front.deliver(9, dup=True))
    assert len(front.module.calls) == 1


def test_a_successor_that_ends_before_the_session_is_released_has_all_delivered_again() -> None:
    front = Front()
    front.handle(front.deliver(1))
    front.release()
    front.handle(front.deliver(2))
    front.lose_successor()
    assert front.connection.drops == 1 and not front.released and len(front.module.calls) == 1
