"""The MQTT front: takes triggers from a broker, answers each once, and acknowledges a message only after its
final answer."""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from .. import interface as i
from ..broker_session import BrokerSession, KeptAnswer
from ..core.actor import Actor
from ..core.calls import CallMaker
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.records import Call, CountersRequested
from ..limits import Limits
from ..log import Log
from .connection import BrokerConnection, Connected, Delivered, PingAnswered, PublishAcknowledged
from .deliveries import AnsweredDelivery, DeliveryLog, ReceivedTrigger
from .memory import FinalAnswer, KeyCache
from .settings import MqttSettings
from .triggers import Message, TriggerReader


class Ownership(Enum):
    """Which process of an upgrade has the session at the broker; only its owner connects."""

    AWAITED = "the predecessor has it"
    OWNED = "this process has it"
    RELEASED = "the successor has it"


@dataclass(slots=True)
class PingInFlight:
    """A ping that the broker has not answered, sent after so many acknowledgements."""

    number: int
    acknowledgements: int


@dataclass(slots=True)
class CallAnswered:
    """The module gave a call its final answer."""

    call: Call
    answer: FinalAnswer


@dataclass(slots=True)
class AnswersAdopted:
    """Answers of keys that the predecessor gave."""

    answers: list[KeptAnswer]


@dataclass(slots=True)
class SessionAdopted:
    """The predecessor has left the session."""

    session: BrokerSession


class PredecessorLost:
    """The predecessor has ended; the session is free if it was not handed over before."""


@dataclass(slots=True)
class ReleaseRequested:
    """A successor awaits the session; `reply` gets it."""

    reply: Callable[[BrokerSession], object]


class SuccessorLost:
    """The process that the session was released to has ended, or will not take it."""


class ConnectionLeft:
    """The connection was left; all that it had delivered came before this message."""


class StopRequested:
    """Take no more messages, answer those that were taken, and disconnect."""


class BrokerActor(Actor):
    """The front of one broker. A greenlet of its own drives paho and only posts to the mailbox."""

    def __init__(
        self,
        mqtt_settings: MqttSettings,
        address: tuple[str, int],
        maker: CallMaker,
        core: ModuleActor,
        limits: Limits,
        log: Log,
    ) -> None:
        receive_maximum = mqtt_settings.receive_maximum
        super().__init__("broker", 2 * receive_maximum + 64, log, reserve=receive_maximum + 32)
        self.core = core
        self.reader = TriggerReader(mqtt_settings.trigger, maker)
        self.connection = BrokerConnection(
            mqtt_settings, address, self.reader.topic_filters(), limits, log, self.blocking_send
        )
        self.gone = self.connection.gone
        self.key_cache: KeyCache[ReceivedTrigger] = KeyCache(
            mqtt_settings.remember_s * 1000, mqtt_settings.remember_bytes, limits.keys
        )
        self.deliveries = DeliveryLog()
        self.connected = 0  # number of the connection that the broker accepted last
        self.ping: PingInFlight | None = None  # on that connection
        self.calls: dict[Call, ReceivedTrigger] = {}
        self.unconfirmed_outcomes: set[int] = set()  # message ids
        self.ownership = Ownership.OWNED
        self.release_reply: Callable[[BrokerSession], object] | None = None
        self.has_left = False  # the connection was left, and `ConnectionLeft` is still to come
        self.stopping = False
        self.counts = dict.fromkeys(
            ("taken", "served", "refused", "failed", "malformed", "redelivered", "joined", "retained"), 0
        )

    # --- called by the module ---

    def served(self, call: Call, body: bytes) -> None:
        """Answer a call with the body of its result."""
        self.try_send(CallAnswered(call, FinalAnswer("served", body)))

    def refused(self, call: Call, retry_after: float | None) -> None:
        """Answer a refused call, with the ms after which to retry if known."""
        self.try_send(CallAnswered(call, FinalAnswer("refused", retry_after=retry_after)))

    def failed(self, call: Call, reason: str) -> None:
        """Answer a failed call."""
        self.try_send(CallAnswered(call, FinalAnswer("failed", reason=reason)))

    # --- called by the service and the upgrade ---

    def start(self) -> None:
        """Start the actor and the greenlet of the connection."""
        super().start()
        self.connection.start()
        if self.ownership is Ownership.OWNED:
            self.connection.allowed.set()
        else:
            self.log("broker-awaited", "the process that has served so far has the session at the broker")

    def await_session(self) -> None:
        """Do not connect before the predecessor has left the session. Must precede `start`."""
        self.ownership = Ownership.AWAITED

    def adopt_answers(self, answers: list[KeptAnswer]) -> None:
        """Take over answers of keys from the predecessor, before `adopt`."""
        self.blocking_send(AnswersAdopted(answers))

    def adopt(self, session: BrokerSession) -> None:
        """Connect: the predecessor has left the session."""
        self.blocking_send(SessionAdopted(session))

    def predecessor_lost(self) -> None:
        """Connect, unless the session was adopted before: the predecessor has ended."""
        self.blocking_send(PredecessorLost())

    def release(self, reply: Callable[[BrokerSession], object]) -> None:
        """Take no more messages, answer those that were taken, disconnect, and call `reply`."""
        if not self.blocking_send(ReleaseRequested(reply)):
            reply(self.export_session())  # this process has stopped, and left the session

    def successor_lost(self) -> None:
        """Serve the session again: the successor has ended."""
        self.blocking_send(SuccessorLost())

    def request_stop(self) -> None:
        """Take no more messages, answer those that were taken, and disconnect; `gone` is set at the end."""
        self.blocking_send(StopRequested())

    # --- the actor ---

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Connected(connection, session_present):
                self.handle_connected(connection, session_present)
            case Delivered(delivered, connection):
                self.handle_delivered(delivered, connection)
            case CallAnswered(call, answer):
                self.handle_answer(call, answer)
            case PublishAcknowledged(message_id):
                self.unconfirmed_outcomes.discard(message_id)
            case PingAnswered(ping, connection):
                self.handle_ping_answered(ping, connection)
            case CountersRequested(reply):
                reply(self.counts | {"open": len(self.calls)})
            case _:
                self.change_ownership(message)
        self.confirm_acknowledgements()
        if self.is_draining() and self.is_drained() and not self.has_left:
            self.leave_connection()

    def handle_connected(self, connection: int, session_present: bool) -> None:
        """Begin a connection, unless it was left before this was handled."""
        if self.ownership is not Ownership.OWNED:
            return
        kind = "kept" if session_present else "new"
        host, port = self.connection.address
        self.log("broker-connected", f"{host}:{port}, {kind} session")
        if not session_present:
            self.deliveries.begin_session()
        self.connected, self.ping = connection, None

    def confirm_acknowledgements(self) -> None:
        """Ping the broker if it may lack an acknowledgement, or have more to deliver again; one at a time."""
        is_open = self.connection.allowed.is_set() and self.connected == self.connection.number
        if self.deliveries.needs_ping() and self.ping is None and is_open and not self.mailbox:
            self.ping = PingInFlight(self.connection.ping(), self.deliveries.acknowledgements)

    def handle_ping_answered(self, number: int, connection: int) -> None:
        """Note what the broker must have, if the ping is one of this actor's."""
        if self.ping is not None and connection == self.connected and number >= self.ping.number:
            self.deliveries.confirm(connection, self.ping.acknowledgements)
            self.ping = None

    def handle_delivered(self, message: Message, connection: int) -> None:
        """Take one delivery. Its credit returns at once unless a new call waits for its answer."""
        identity = message.identity()
        earlier = self.deliveries.find_redelivered(message, identity, connection)
        if earlier is not None:
            # Redelivered after a lost connection: it must not be answered a second time.
            self.counts["redelivered"] += 1
            if isinstance(earlier, AnsweredDelivery):
                self.acknowledge(message, connection)
            self.connection.delivery_credits.release()
        elif self.is_draining() or self.ownership is not Ownership.OWNED:
            # unacknowledged: the broker delivers it in the next connection
            self.deliveries.leave(message, connection)
            self.connection.delivery_credits.release()
        elif message.retain:
            # A retained message would cause a call at every new subscription.
            self.counts["retained"] += 1
            self.acknowledge(message, connection)
            self.connection.delivery_credits.release()
        else:
            self.accept_trigger(ReceivedTrigger(message, identity, connection))

    def accept_trigger(self, trigger: ReceivedTrigger) -> None:
        """Turn a new message into a call, or answer it from the cache or with an error."""
        message = trigger.message
        self.counts["taken"] += 1
        self.deliveries.take(trigger)
        try:
            call = self.reader.read(message)
        except Exception as error:
            # Not InvalidCallError alone: libraries may raise other errors on a schema or a payload.
            self.counts["malformed"] += 1
            self.log("bad-trigger", f"{message.topic[:80]}: {type(error).__name__}: {str(error)[:200]}")
            return self.finish_trigger(trigger, FinalAnswer("failed", reason=str(error)))
        if call.key is not None and self.answer_from_cache(trigger, call):
            return
        if call.key is not None:
            trigger.key = self.cache_key(call)
            self.key_cache.begin(trigger.key, now_ms(), trigger)
        self.calls[call] = trigger
        settings = self.reader.maker.settings.classes[call.class_index]
        predates = self.deliveries.may_predate(message, trigger.connection)
        if predates and settings.effect is not i.Effect.SAFE:
            # An earlier process may have made this call, and the rack's deduplication window may have passed.
            return self.handle_answer(
                call, FinalAnswer("failed", reason="delivered before this start: it may have run")
            )
        self.core.offer(call, self)

    def cache_key(self, call: Call) -> str:
        """Prefix the key with the class's name, which stays the same when the class's settings change."""
        return f"{self.reader.maker.settings.classes[call.class_index].name} {call.key}"

    def answer_from_cache(self, trigger: ReceivedTrigger, call: Call) -> bool:
        """Join the open call of the same key, or send the key's cached answer; return whether either
        existed. A key that was refused may be called again, except by a redelivery."""
        record = self.key_cache.find(self.cache_key(call), now_ms())
        if record is None:
            return False
        if record.answer is None:
            self.counts["joined"] += 1
            record.waiters.append(trigger)
            return True
        if record.answer.outcome == "refused" and not trigger.message.dup:
            return False
        self.counts["joined"] += 1
        self.finish_trigger(trigger, record.answer)
        return True

    def handle_answer(self, call: Call, answer: FinalAnswer) -> None:
        """Finish the call's trigger and those that joined it."""
        trigger = self.calls.pop(call)
        for each in (
            [trigger] if trigger.key is None else self.key_cache.complete(trigger.key, now_ms(), answer)
        ):
            self.finish_trigger(each, answer)

    def finish_trigger(self, trigger: ReceivedTrigger, answer: FinalAnswer) -> None:
        """Publish the trigger's final answer, then acknowledge its message."""
        self.counts[answer.outcome] += 1
        self.publish_outcome(trigger.message, answer)
        self.deliveries.record_answer(trigger)
        self.acknowledge(trigger.message, trigger.connection)
        self.connection.delivery_credits.release()

    def publish_outcome(self, message: Message, answer: FinalAnswer) -> None:
        """Publish the answer on the response topic, if there is one."""
        topic = self.reader.response_topic(message)
        if topic is None:
            return
        outcome: dict[str, Any] = {"outcome": answer.outcome, "topic": message.topic}
        if answer.outcome == "served":
            outcome["body"] = base64.b64encode(answer.body).decode()
        if answer.reason:
            outcome["reason"] = answer.reason
        if answer.retry_after:
            outcome["retry_after_ms"] = round(answer.retry_after)
        payload = msgspec.json.encode(outcome)
        try:
            self.unconfirmed_outcomes.add(self.connection.publish(topic, payload, message.correlation_data))
        except ValueError as error:
            self.log("bad-response-topic", f"{topic[:80]}: {error}")

    def acknowledge(self, message: Message, connection: int) -> None:
        """Acknowledge on the connection that delivered the message. If that is lost, the broker delivers it
        again, and the redelivery is acknowledged."""
        if message.qos and connection == self.connection.number:
            self.connection.acknowledge(message.message_id)
            self.deliveries.record_acknowledgement(message.message_id)

    # --- who has the session ---

    def is_draining(self) -> bool:
        """Return whether no new trigger is taken, since this process stops or a successor waits."""
        return self.stopping or self.release_reply is not None

    def is_drained(self) -> bool:
        """Return whether all that was taken is answered. A process that awaits the session still has to adopt
        it, unless it stops.

        Closing with unread confirmations would reset the connection, and the last outcomes could be lost.
        """
        if self.ownership is Ownership.AWAITED and not self.stopping:
            return False
        unconfirmed = self.unconfirmed_outcomes or self.deliveries.answered
        is_confirmed = not unconfirmed or not self.connection.allowed.is_set()
        return is_confirmed and not self.calls and not self.mailbox

    def change_ownership(self, message: Any) -> None:
        """Handle a message about the session's owner, or the request to stop."""
        match message:
            case AnswersAdopted(answers):
                self.adopt_kept_answers(answers)
            case SessionAdopted(session) if self.ownership is Ownership.AWAITED:
                self.deliveries.adopt_session(session.unconfirmed, session.complete)
                self.own_session()
            case PredecessorLost() if self.ownership is Ownership.AWAITED:
                self.own_session()
            case ReleaseRequested(reply):
                self.release_reply = reply
            case SuccessorLost() if self.release_reply is not None:
                self.release_reply = None
                self.deliveries.resume()
                self.connect_again()
            case SuccessorLost() if self.ownership is Ownership.RELEASED:
                self.own_session()
            case StopRequested():
                self.stopping = True
            case ConnectionLeft() if self.has_left:
                self.leave_session()

    def own_session(self) -> None:
        """Connect, unless a successor already waits for the session."""
        self.ownership = Ownership.OWNED
        if not self.is_draining():
            self.connection.allowed.set()

    def connect_again(self) -> None:
        """Have the messages that were left to a successor delivered again."""
        if self.stopping:
            return
        if self.has_left:
            self.has_left = False
            self.connection.allowed.set()
        else:
            self.connection.drop()

    def adopt_kept_answers(self, answers: list[KeptAnswer]) -> None:
        """Remember the answers that the predecessor gave."""
        now = now_ms()
        for kept in answers:
            answer = FinalAnswer(kept.outcome, kept.body, kept.reason, kept.retry_after)
            self.key_cache.restore(kept.key, now - kept.age_ms, answer)

    def export_session(self) -> BrokerSession:
        """Return what a successor has to know."""
        now = now_ms()
        answers = [
            KeptAnswer(key, kept.outcome, kept.body, kept.reason, kept.retry_after, now - updated_at)
            for key, updated_at, kept in self.key_cache.answers()
        ]
        unconfirmed, complete = self.deliveries.export_unconfirmed(), self.deliveries.is_complete()
        return BrokerSession(answers, unconfirmed, complete)

    def leave_connection(self) -> None:
        """Disconnect. What was delivered until then is in the mailbox ahead of `ConnectionLeft`."""
        self.has_left = True
        self.connection.leave()
        self.try_send(ConnectionLeft())

    def leave_session(self) -> None:
        """Pass the session to the successor if one waits for it, after the connection was left."""
        self.has_left = False
        if self.stopping:
            self.finished = True
            self.connection.end()
        reply, self.release_reply = self.release_reply, None
        if reply is None:
            return
        session = self.export_session()
        self.log("broker-released", "the session at the broker goes to the process that has taken over")
        self.ownership = Ownership.RELEASED
        self.deliveries.leave_session()
        reply(session)
