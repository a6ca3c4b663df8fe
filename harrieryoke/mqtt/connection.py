"""The connection to the MQTT broker: a greenlet that drives paho, and posts what arrives to the actor."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import Semaphore
from paho.mqtt import client as paho
from paho.mqtt.enums import CallbackAPIVersion, MQTTErrorCode
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties
from paho.mqtt.subscribeoptions import SubscribeOptions

from ..core.actor import spawn
from ..core.clock import now_ms
from ..limits import Limits
from ..log import Log
from .settings import MQTT_5, MqttSettings
from .triggers import Message

AT_LEAST_ONCE = 1  # QoS
LOOP_TIMEOUT_S = 0.2
MAX_BACKOFF_FACTOR = 5  # the longest back-off for a broker, as a multiple of that for the event bus
FLUSH_POLL_S = 0.01


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
class PublishAcknowledged:
    """The broker confirmed the receipt of an outcome."""

    message_id: int


@dataclass(slots=True)
class PingAnswered:
    """The broker answered a ping, and so has all that was sent before it."""

    ping: int  # its number on this connection, from 1
    connection: int


class PingCountingClient(paho.Client):
    """Numbers the pings of a connection, which the broker answers in order; paho sends some by itself."""

    pings_sent = 0
    pings_answered = 0

    def restart_count(self) -> None:
        """Count from the start: a new connection begins."""
        self.pings_sent = self.pings_answered = 0

    def ping(self) -> int:
        """Send a ping and return its number."""
        self._send_pingreq()
        return self.pings_sent

    def on_ping_answered(self, number: int) -> None:
        """Called for each answer."""

    def _send_pingreq(self) -> MQTTErrorCode:
        self.pings_sent += 1
        return super()._send_pingreq()

    def _handle_pingresp(self) -> MQTTErrorCode:
        code = super()._handle_pingresp()
        self.pings_answered += 1
        self.on_ping_answered(self.pings_answered)
        return code


def make_client(mqtt_settings: MqttSettings) -> PingCountingClient:
    """Return a client that acknowledges nothing by itself (`manual_ack`)."""
    v5 = mqtt_settings.version == MQTT_5
    client = PingCountingClient(
        CallbackAPIVersion.VERSION2,
        mqtt_settings.client_id,
        clean_session=None if v5 else False,
        protocol=paho.MQTTv5 if v5 else paho.MQTTv311,
        reconnect_on_failure=False,
        manual_ack=True,
    )
    if mqtt_settings.username is not None:
        file = mqtt_settings.password_file
        client.username_pw_set(mqtt_settings.username, Path(file).read_text().strip() if file else None)
    if mqtt_settings.ca_file is not None:
        client.tls_set_context(ssl.create_default_context(cafile=mqtt_settings.ca_file))
    client.max_queued_messages_set(0)
    client.max_inflight_messages_set(mqtt_settings.receive_maximum)
    return client


class BrokerConnection:
    """Keeps a connection to one broker while `allowed`. `gone` is set when it has ended for good."""

    def __init__(
        self,
        mqtt_settings: MqttSettings,
        address: tuple[str, int],
        topic_filters: list[str],
        limits: Limits,
        log: Log,
        post: Callable[[Any], object],
    ) -> None:
        """`post` queues a message for the actor and may block."""
        self.mqtt_settings, self.address, self.topic_filters = mqtt_settings, address, topic_filters
        self.limits, self.log, self.post = limits, log, post
        # backpressure: bounds the unanswered deliveries
        self.delivery_credits = Semaphore(mqtt_settings.receive_maximum)
        self.number = 0  # of the latest connection; written by the connection's greenlet alone
        self.allowed, self.idle = Event(), Event()  # idle: not connected, and no attempt under way
        self.ended, self.gone = False, Event()
        self.client = make_client(mqtt_settings)
        self.client.on_connect = self.on_connect
        self.client.on_message = self.on_message
        self.client.on_publish = self.on_publish
        self.client.on_ping_answered = self.on_ping_answered  # type: ignore[method-assign]

    # --- called by the actor ---

    def start(self) -> None:
        """Start the greenlet, which connects once it is allowed to."""
        spawn(self.log, "broker connection", self.run, self.gone.set)

    def publish(self, topic: str, payload: bytes, correlation_data: bytes | None) -> int:
        """Publish an outcome and return its message id. Raises ValueError for an invalid topic."""
        properties = None
        if self.mqtt_settings.version == MQTT_5:
            properties = Properties(PacketTypes.PUBLISH)  # type: ignore[no-untyped-call]
            if correlation_data is not None:
                properties.CorrelationData = correlation_data
        return self.client.publish(topic, payload, AT_LEAST_ONCE, properties=properties).mid

    def acknowledge(self, message_id: int) -> None:
        """Acknowledge a message on the connection that is open."""
        self.client.ack(message_id, AT_LEAST_ONCE)

    def ping(self) -> int:
        """Send a ping on the connection that is open; return its number, which `PingAnswered` repeats."""
        return self.client.ping()

    def drop(self) -> None:
        """End the connection, so that a new one brings all unacknowledged messages again."""
        self.client.disconnect()

    def flush(self) -> None:
        """Wait until paho has sent what it still holds, for `write_ms` at most."""
        deadline = now_ms() + self.limits.write_ms
        while self.client.want_write() and now_ms() < deadline:
            gevent.sleep(FLUSH_POLL_S)

    def leave(self) -> None:
        """End the connection. The next one begins when it is allowed again."""
        self.flush()
        self.allowed.clear()
        self.client.disconnect()
        self.idle.wait()  # a connection attempt may be under way

    def end(self) -> None:
        """End the greenlet, after the connection was left."""
        self.ended = True
        self.allowed.set()  # the greenlet waits for it

    # --- the greenlet ---

    def is_wanted(self) -> bool:
        return self.allowed.is_set() and not self.ended

    def run(self) -> None:
        """Keep a connection while it is allowed, with exponential back-off between attempts."""
        backoff = self.limits.bus_backoff_ms
        while True:
            self.idle.set()
            self.allowed.wait()
            if self.ended:
                return
            if not self.allowed.is_set():
                continue  # it was left again before this greenlet ran
            self.idle.clear()
            self.number += 1
            self.client.restart_count()
            try:
                self.connect()
                while self.client.loop(LOOP_TIMEOUT_S) == paho.MQTT_ERR_SUCCESS and self.is_wanted():
                    backoff = self.limits.bus_backoff_ms
                reason = "lost"
            except Exception as error:  # paho raises many kinds of errors on malformed packets
                reason = f"{type(error).__name__}: {error}"
            if not self.is_wanted():
                self.client.disconnect()  # the attempt may have succeeded after the connection was left
                continue
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
        self.post(Connected(self.number, bool(flags.session_present)))
        if self.mqtt_settings.version == MQTT_5:
            options = SubscribeOptions(qos=AT_LEAST_ONCE, retainHandling=SubscribeOptions.RETAIN_DO_NOT_SEND)
            client.subscribe([(f, options) for f in self.topic_filters])
        else:
            client.subscribe([(f, AT_LEAST_ONCE) for f in self.topic_filters])

    def on_publish(self, client: paho.Client, data: Any, mid: int, code: Any, properties: Any) -> None:
        """Report a confirmed outcome. Called by paho."""
        self.post(PublishAcknowledged(mid))

    def on_ping_answered(self, number: int) -> None:
        """Report an answered ping. Called by paho."""
        self.post(PingAnswered(number, self.number))

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
        self.post(Delivered(message, self.number))
