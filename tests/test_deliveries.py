"""Which deliveries repeat a message: brokers that reuse identifiers, connections that lose packets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from harrieryoke.mqtt.deliveries import AnsweredDelivery, DeliveryLog, ReceivedTrigger
from harrieryoke.mqtt.triggers import Message

PAYLOAD = b"41"  # the same in all messages


@dataclass
class Subscriber:
    """What the front does with deliveries, in order, on connections that may lose their last packets."""

    log: DeliveryLog = field(default_factory=DeliveryLog)
    connection: int = 1
    in_hand: list[ReceivedTrigger] = field(default_factory=list)
    taken: int = 0

    def deliver(self, message_id: int, dup: bool, correlation: bytes | None = None) -> bool:
        """Take a delivery; return whether it is to be acknowledged at once."""
        message = Message("t", PAYLOAD, message_id, 1, dup, correlation_data=correlation)
        earlier = self.log.find_redelivered(message, message.identity(), self.connection)
        if earlier is None:
            trigger = ReceivedTrigger(message, message.identity(), self.connection)
            self.log.take(trigger)
            self.in_hand.append(trigger)
            self.taken += 1
        elif isinstance(earlier, AnsweredDelivery):
            self.log.record_acknowledgement(message_id)
            return True
        return False

    def answer(self) -> int | None:
        """Answer the first trigger in hand; return its identifier if it is acknowledged."""
        trigger = self.in_hand.pop(0)
        self.log.record_answer(trigger)
        if trigger.connection != self.connection:
            return None
        self.log.record_acknowledgement(trigger.message.message_id)
        return trigger.message.message_id


class LowestIdBroker:
    """Gives each message the lowest free identifier; what it sends and gets may be lost with a connection."""

    def __init__(self, subscriber: Subscriber) -> None:
        self.subscriber, self.unacked, self.sent = subscriber, set[int](), 0

    def send(self, arrives: bool) -> None:
        message_id = next(n for n in range(1, 100) if n not in self.unacked)
        self.unacked.add(message_id)
        self.sent += 1
        if arrives:
            self.subscriber.deliver(message_id, dup=False)
        else:
            self.reconnect()

    def answer(self, ack_arrives: bool) -> None:
        acknowledged = self.subscriber.answer()
        if acknowledged is not None and ack_arrives:
            self.unacked.discard(acknowledged)
        if not ack_arrives:
            self.reconnect()
        self.ping()

    def ping(self) -> None:
        self.subscriber.log.confirm(self.subscriber.connection, self.subscriber.log.acknowledgements)

    def reconnect(self) -> None:
        self.subscriber.connection += 1
        for message_id in sorted(self.unacked):
            if self.subscriber.deliver(message_id, dup=True):
                self.unacked.discard(message_id)
        self.ping()


@pytest.mark.parametrize("seed", range(50))
def test_each_of_many_equal_messages_is_taken_exactly_once(seed: int) -> None:
    """Guards against triggers dropped or called twice where identifiers are reused and connections break."""
    rng, subscriber = random.Random(seed), Subscriber()
    broker = LowestIdBroker(subscriber)
    for _ in range(300):
        if subscriber.in_hand and rng.random() < 0.5:
            broker.answer(ack_arrives=rng.random() < 0.8)
        elif len(broker.unacked) < 20:
            broker.send(arrives=rng.random() < 0.8)
    while subscriber.in_hand:
        broker.answer(ack_arrives=True)
    broker.reconnect()
    assert subscriber.taken == broker.sent and not broker.unacked and not subscriber.log.answered


def test_an_acknowledgement_is_confirmed_only_by_a_later_ping_on_its_connection() -> None:
    subscriber = Subscriber()
    subscriber.deliver(1, dup=False)
    before = subscriber.log.acknowledgements
    subscriber.answer()
    subscriber.log.confirm(1, before)
    assert subscriber.log.answered
    assert subscriber.deliver(1, dup=True)  # it is acknowledged again
    subscriber.log.confirm(1, subscriber.log.acknowledgements)
    assert not subscriber.log.answered


def test_before_the_confirmation_a_message_with_another_correlation_is_a_new_one() -> None:
    """Guards against dropped triggers in the moment in which an acknowledgement is not confirmed."""
    subscriber = Subscriber()
    subscriber.deliver(1, dup=False, correlation=b"one")
    subscriber.answer()
    subscriber.connection = 2
    assert not subscriber.deliver(1, dup=True, correlation=b"two") and subscriber.taken == 2


def test_the_identity_covers_what_a_redelivery_repeats_and_leaves_out_the_rest_of_the_expiry() -> None:
    base = Message("t", b"p", 1, 1, False, False, "r", b"c", 60, {"a": "b"}, 5.0)
    again = Message("t", b"p", 9, 1, True, False, "r", b"c", 12, {"a": "b"}, 9000.0)
    others = [
        Message("u", b"p", 1, 1, False, False, "r", b"c", 60, {"a": "b"}),
        Message("t", b"q", 1, 1, False, False, "r", b"c", 60, {"a": "b"}),
        Message("t", b"p", 1, 1, False, False, "s", b"c", 60, {"a": "b"}),
        Message("t", b"p", 1, 1, False, False, "r", b"d", 60, {"a": "b"}),
        Message("t", b"p", 1, 1, False, False, "r", b"c", 60, {"a": "c"}),
    ]
    assert again.identity() == base.identity()
    assert all(other.identity() != base.identity() for other in others)


def test_a_front_keeps_nothing_of_a_confirmed_message() -> None:
    """Guards against memory that grows with each answered message."""
    subscriber = Subscriber()
    broker = LowestIdBroker(subscriber)
    for _ in range(1000):
        broker.send(arrives=True)
        broker.answer(ack_arrives=True)
    assert not subscriber.log.open and not subscriber.log.answered


def redelivery(message_id: int) -> Message:
    return Message("t", PAYLOAD, message_id, 1, dup=True)


def test_redeliveries_may_be_an_earlier_process_s_until_the_broker_has_answered_a_ping() -> None:
    """Guards against keys that run twice after a restart whose first connections break off."""
    log = DeliveryLog()
    assert log.needs_ping() and not log.is_complete()
    assert log.may_predate(redelivery(1), 1) and log.may_predate(redelivery(1), 3)
    log.confirm(3, 0)
    assert log.may_predate(redelivery(1), 3) and not log.may_predate(redelivery(1), 4)
    assert not log.may_predate(Message("t", PAYLOAD, 1, 1, dup=False), 3) and log.is_complete()


def test_a_successor_is_told_if_a_message_of_an_earlier_process_was_left_to_it() -> None:
    log = DeliveryLog()
    log.confirm(1, 0)
    log.leave(redelivery(1), 1)
    assert not log.is_complete()
    log.resume()
    assert log.may_predate(redelivery(1), 2)


@pytest.mark.parametrize("complete", [True, False])
def test_after_a_handover_only_what_the_predecessor_did_not_know_may_predate(complete: bool) -> None:
    log = DeliveryLog()
    log.adopt_session([], complete)
    assert log.may_predate(redelivery(1), 1) != complete
    log.leave_session()
    assert log.may_predate(redelivery(1), 2)
    log.begin_session()
    assert not log.may_predate(redelivery(1), 2)
