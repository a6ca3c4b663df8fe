"""The MQTT front: takes triggers from a broker, answers each once, and acknowledges a message only after its
final answer."""

from __future__ import annotations

import base64
import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import Semaphore
from paho.mqtt import client as paho
from paho.mqtt.enums import CallbackAPIVersion
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties
from paho.mqtt.subscribeoptions import SubscribeOptions

from .. import interface as i
from ..core.actor import Actor, spawn
from ..core.calls import CallMaker
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.records import Call, CountersRequested
from ..limits import Limits
from ..log import Log
from .memory import FinalAnswer, KeyCache
from .triggers import Message, Trigger, TriggerReader

MQTT_5 = "5"
AT_LEAST_ONCE = 1  # QoS
LOOP_TIMEOUT_S = 0.2
MAX_BACKOFF_FACTOR = 5  # the longest back-off for a broker, as a multiple of that for the event bus
FLUSH_POLL_S = 0.01


class MqttSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The [mqtt] table of the operator's file."""

    broker: str
    client_id: str = "harrieryoke"
    version: str = "5"  # or "3.1.1"
    username: str | None = None
    password_file: str | None = None
    ca_file: str | None = None
    keepalive_s: int = 30
    session_expiry_s: int = 3600
    receive_maximum: int = 64
    remember_s: float = 600.0
    remember_bytes: int = 8 * 1024 * 1024
    trigger: list[Trigger] = []


@dataclass(slots=True, eq=False)
class ReceivedTrigger:
    """A message that was taken: it is owed one outcome and one acknowledgement."""

    message: Message
    digest: str
    connection: int  # number of the connection that delivered it last
    key: str | None = None
    answered: bool = False
    acknowledged: bool = False


@dataclass(slots=True)
class Connected:
    """The broker accepted a connection."""

    connection: int
    session_present: bool


@dataclass(slots=True)
class Delivered:
    """The broker delivered a message."""

    message: Message
    connection: int


@dataclass(slots=True)
class CallAnswered:
    """The module gave a call its final answer."""

    call: Call
    answer: FinalAnswer


@dataclass(slots=True)
class PublishAcknowledged:
    """The broker confirmed the receipt of an outcome."""

    message_id: int


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
        self.mqtt_settings, self.address, self.core, self.limits = mqtt_settings, address, core, limits
        self.reader = TriggerReader(mqtt_settings.trigger, maker)
        self.key_cache: KeyCache[ReceivedTrigger] = KeyCache(
            mqtt_settings.remember_s * 1000, mqtt_settings.remember_bytes, limits.keys
        )
        self.delivery_credits = Semaphore(receive_maximum)  # backpressure: bounds the unanswered deliveries
        self.by_message_id: dict[int, ReceivedTrigger] = {}
        self.calls: dict[Call, ReceivedTrigger] = {}
        self.unconfirmed_outcomes: set[int] = set()  # message ids
        self.connection = 0
        self.latest_connection = 0  # written by the connection's greenlet alone
        self.session_predates_process = False  # the broker kept it from an earlier process
        self.stopping, self.gone = False, Event()
        self.counts = dict.fromkeys(
            ("taken", "served", "refused", "failed", "malformed", "redelivered", "joined", "retained"), 0
        )
        self.client = self.make_client()

    def make_client(self) -> paho.Client:
        """`manual_ack`: paho acknowledges nothing by itself."""
        v5 = self.mqtt_settings.version == MQTT_5
        client = paho.Client(
            CallbackAPIVersion.VERSION2,
            self.mqtt_settings.client_id,
            clean_session=None if v5 else False,
            protocol=paho.MQTTv5 if v5 else paho.MQTTv311,
            reconnect_on_failure=False,
            manual_ack=True,
        )
        if self.mqtt_settings.username is not None:
            file = self.mqtt_settings.password_file
            client.username_pw_set(
                self.mqtt_settings.username, Path(file).read_text().strip() if file else None
            )
        if self.mqtt_settings.ca_file is not None:
            client.tls_set_context(ssl.create_default_context(cafile=self.mqtt_settings.ca_file))
        client.max_queued_messages_set(0)
        client.max_inflight_messages_set(self.mqtt_settings.receive_maximum)
        client.on_connect, client.on_message, client.on_publish = (
            self.on_connect,
            self.on_message,
            self.on_publish,
        )
        return client

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

    # --- the connection: paho's greenlet ---

    def start(self) -> None:
        """Start the actor and the greenlet of the connection."""
        super().start()
        spawn(self.log, "broker connection", self.run_connection, self.gone.set)

    def run_connection(self) -> None:
        """Keep a connection, with exponential back-off between attempts, until the actor stops."""
        backoff = self.limits.bus_backoff_ms
        while not self.finished:
            self.latest_connection += 1
            try:
                self.connect()
                while self.client.loop(LOOP_TIMEOUT_S) == paho.MQTT_ERR_SUCCESS and not self.finished:
                    backoff = self.limits.bus_backoff_ms
                reason = "lost"
            except Exception as error:  # paho raises many kinds of errors on malformed packets
                reason = f"{type(error).__name__}: {error}"
            if not self.finished:
                self.log("broker-lost", f"{self.address[0]}:{self.address[1]}: {reason}")
                gevent.sleep(backoff / 1000)
                backoff = min(2 * backoff, MAX_BACKOFF_FACTOR * self.limits.bus_backoff_most_ms)

    def connect(self) -> None:
        """Connect with a session that outlives the connection, and a receive maximum for the broker."""
        if self.mqtt_settings.version != MQTT_5:
            self.client.connect(*self.address, keepalive=self.mqtt_settings.keepalive_s)
            return
        properties = Properties(PacketTypes.CONNECT)  # type: ignore[no-untyped-call]
        properties.SessionExpiryInterval = self.mqtt_settings.session_expiry_s
        properties.ReceiveMaximum = self.mqtt_settings.receive_maximum
        self.client.connect(
            *self.address, keepalive=self.mqtt_settings.keepalive_s, clean_start=False, properties=properties
        )

    def on_connect(self, client: paho.Client, data: Any, flags: Any, code: Any, properties: Any) -> None:
        """Subscribe to the triggers' topics. Called by paho."""
        if code.is_failure:
            return self.log("broker-refused", str(code))
        self.blocking_send(Connected(self.latest_connection, bool(flags.session_present)))
        if self.mqtt_settings.version == MQTT_5:
            options = SubscribeOptions(qos=AT_LEAST_ONCE, retainHandling=SubscribeOptions.RETAIN_DO_NOT_SEND)
            client.subscribe([(f, options) for f in self.reader.topic_filters()])
        else:
            client.subscribe([(f, AT_LEAST_ONCE) for f in self.reader.topic_filters()])

    def on_publish(self, client: paho.Client, data: Any, mid: int, code: Any, properties: Any) -> None:
        """Report a confirmed outcome. Called by paho."""
        self.blocking_send(PublishAcknowledged(mid))

    def on_message(self, client: paho.Client, data: Any, m: paho.MQTTMessage) -> None:
        """Wait for a credit: without one nothing more is read, and the messages stay with the broker."""
        self.delivery_credits.acquire()
        properties = m.properties
        user_properties = dict(getattr(properties, "UserProperty", []))
        message = Message(
            m.topic,
            bytes(m.payload),
            m.mid,
            m.qos,
            m.dup,
            m.retain,
            getattr(properties, "ResponseTopic", None),
            getattr(properties, "CorrelationData", None),
            getattr(properties, "MessageExpiryInterval", None),
            user_properties,
            now_ms(),
        )
        self.blocking_send(Delivered(message, self.latest_connection))

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
            case CountersRequested(reply):
                reply(self.counts | {"open": len(self.calls)})
            case StopRequested():
                self.stopping = True
        # Closing with unread confirmations would reset the connection, and the last outcomes could be lost.
        if self.stopping and not self.calls and not self.unconfirmed_outcomes and not self.mailbox:
            self.disconnect()

    def handle_connected(self, connection: int, session_present: bool) -> None:
        """Begin a connection."""
        kind = "kept" if session_present else "new"
        self.log("broker-connected", f"{self.address[0]}:{self.address[1]}, {kind} session")
        self.session_predates_process = session_present and self.connection == 0
        self.connection = connection
        if not session_present:
            # A new session numbers its messages from the start.
            self.by_message_id.clear()

    def handle_delivered(self, message: Message, connection: int) -> None:
        """Take one delivery. Its credit returns at once unless a new call waits for its answer."""
        digest = message.digest()
        earlier = self.by_message_id.get(message.message_id) if message.qos else None
        if self.stopping:
            self.delivery_credits.release()  # unacknowledged: the broker delivers it in the next session
        elif message.retain:
            # A retained message would cause a call at every new subscription.
            self.counts["retained"] += 1
            self.acknowledge(ReceivedTrigger(message, digest, connection))
            self.delivery_credits.release()
        elif message.dup and earlier is not None and earlier.digest == digest:
            # Redelivered after a lost connection: it must not be answered a second time.
            self.counts["redelivered"] += 1
            earlier.connection, earlier.acknowledged = connection, False
            if earlier.answered:
                self.acknowledge(earlier)
            self.delivery_credits.release()
        else:
            self.accept_trigger(ReceivedTrigger(message, digest, connection))

    def accept_trigger(self, trigger: ReceivedTrigger) -> None:
        """Turn a new message into a call, or answer it from the cache or with an error."""
        message = trigger.message
        self.counts["taken"] += 1
        if message.qos:
            self.by_message_id[message.message_id] = trigger
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
        if message.dup and self.session_predates_process and settings.effect is not i.Effect.SAFE:
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
        trigger.answered = True
        self.publish_outcome(trigger.message, answer)
        self.acknowledge(trigger)
        self.delivery_credits.release()

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
        properties = None
        if self.mqtt_settings.version == MQTT_5:
            properties = Properties(PacketTypes.PUBLISH)  # type: ignore[no-untyped-call]
            if message.correlation_data is not None:
                properties.CorrelationData = message.correlation_data
        try:
            self.unconfirmed_outcomes.add(
                self.client.publish(
                    topic, msgspec.json.encode(outcome), AT_LEAST_ONCE, properties=properties
                ).mid
            )
        except ValueError as error:
            self.log("bad-response-topic", f"{topic[:80]}: {error}")

    def acknowledge(self, trigger: ReceivedTrigger) -> None:
        """Acknowledge on the connection that delivered the message. If that is lost, the broker delivers it
        again, and the redelivery is acknowledged."""
        if trigger.message.qos and trigger.connection == self.latest_connection and not trigger.acknowledged:
            trigger.acknowledged = True
            self.client.ack(trigger.message.message_id, trigger.message.qos)

    # --- shutdown ---

    def request_stop(self) -> None:
        """Take no more messages, answer those that were taken, and disconnect; `gone` is set at the end."""
        self.blocking_send(StopRequested())

    def disconnect(self) -> None:
        """Wait until paho has sent what it still holds, then end the connection."""
        deadline = now_ms() + self.limits.write_ms
        while self.client.want_write() and now_ms() < deadline:
            gevent.sleep(FLUSH_POLL_S)
        self.finished = True
        self.client.disconnect()
