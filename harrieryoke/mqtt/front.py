"""The broker's actor: takes triggers, answers each once, and acknowledges only what has its final answer."""

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
from .memory import Final, KeyMemory
from .triggers import Message, Trigger, TriggerReader


class MqttSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's [mqtt] table."""

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
class Taken:
    """One trigger that was taken. It owes one outcome, and its message one acknowledgement."""

    message: Message
    digest: str
    life: int  # the connection on which it was delivered last
    key: str | None = None
    answered: bool = False
    acked: bool = False


@dataclass(slots=True)
class Connected:
    life: int
    session: bool


@dataclass(slots=True)
class Delivered:
    message: Message
    life: int


@dataclass(slots=True)
class Answered:
    call: Call
    final: Final


@dataclass(slots=True)
class Received:
    number: int


class Stop:
    """Take no more; what was taken is answered."""


class BrokerActor(Actor):
    """The front of one broker. paho is driven by a greenlet of its own, which only posts to the mailbox."""

    def __init__(
        self,
        told: MqttSettings,
        where: tuple[str, int],
        maker: CallMaker,
        core: ModuleActor,
        limits: Limits,
        log: Log,
    ) -> None:
        room = told.receive_maximum
        super().__init__("broker", 2 * room + 64, log, reserve=room + 32)
        self.told, self.where, self.core, self.limits = told, where, core, limits
        self.reader = TriggerReader(told.trigger, maker)
        self.memory: KeyMemory[Taken] = KeyMemory(told.remember_s * 1000, told.remember_bytes, limits.keys)
        self.credits = Semaphore(room)  # backpressure: so many deliveries are in hand, and no more
        self.by_mid: dict[int, Taken] = {}
        self.calls: dict[Call, Taken] = {}
        self.sent: set[int] = set()  # outcomes that the broker has not confirmed
        self.life = 0
        self.lives = 0  # written by the connection's greenlet alone
        self.inherited = False  # this connection's session comes from an earlier life of the process
        self.stopping, self.gone = False, Event()
        self.counts = dict.fromkeys(
            ("taken", "served", "refused", "failed", "malformed", "redelivered", "joined", "retained"), 0
        )
        self.client = self.make_client()

    def make_client(self) -> paho.Client:
        """paho acknowledges nothing by itself: `manual_ack`."""
        v5 = self.told.version == "5"
        made = paho.Client(
            CallbackAPIVersion.VERSION2,
            self.told.client_id,
            clean_session=None if v5 else False,
            protocol=paho.MQTTv5 if v5 else paho.MQTTv311,
            reconnect_on_failure=False,
            manual_ack=True,
        )
        if self.told.username is not None:
            file = self.told.password_file
            made.username_pw_set(self.told.username, Path(file).read_text().strip() if file else None)
        if self.told.ca_file is not None:
            made.tls_set_context(ssl.create_default_context(cafile=self.told.ca_file))
        made.max_queued_messages_set(0)
        made.max_inflight_messages_set(self.told.receive_maximum)
        made.on_connect, made.on_message, made.on_publish = self.on_connect, self.on_message, self.on_publish
        return made

    # --- the core's side ---

    def served(self, call: Call, body: bytes) -> None:
        self.try_send(Answered(call, Final("served", body)))

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.try_send(Answered(call, Final("refused", retry_after=retry_after)))

    def failed(self, call: Call, reason: str) -> None:
        self.try_send(Answered(call, Final("failed", reason=reason)))

    # --- the connection: paho's greenlet ---

    def start(self) -> None:
        super().start()
        spawn(self.log, "broker connection", self.follow, self.gone.set)

    def follow(self) -> None:
        """Connects over and over, with growing pauses, until the actor stops."""
        pause = self.limits.bus_backoff_ms
        while not self.finished:
            self.lives += 1
            try:
                self.connect()
                while self.client.loop(0.2) == paho.MQTT_ERR_SUCCESS and not self.finished:
                    pause = self.limits.bus_backoff_ms
                reason = "lost"
            except Exception as error:  # paho raises of many kinds on what a broker should not send
                reason = f"{type(error).__name__}: {error}"
            if not self.finished:
                self.log("broker-lost", f"{self.where[0]}:{self.where[1]}: {reason}")
                gevent.sleep(pause / 1000)
                pause = min(2 * pause, 5 * self.limits.bus_backoff_most_ms)

    def connect(self) -> None:
        """A session that outlives connections; the broker keeps to the receive maximum."""
        if self.told.version != "5":
            self.client.connect(*self.where, keepalive=self.told.keepalive_s)
            return
        properties = Properties(PacketTypes.CONNECT)  # type: ignore[no-untyped-call]
        properties.SessionExpiryInterval = self.told.session_expiry_s
        properties.ReceiveMaximum = self.told.receive_maximum
        self.client.connect(
            *self.where, keepalive=self.told.keepalive_s, clean_start=False, properties=properties
        )

    def on_connect(self, client: paho.Client, data: Any, flags: Any, code: Any, properties: Any) -> None:
        if code.is_failure:
            return self.log("broker-refused", str(code))
        self.blocking_send(Connected(self.lives, bool(flags.session_present)))
        if self.told.version == "5":
            options = SubscribeOptions(qos=1, retainHandling=SubscribeOptions.RETAIN_DO_NOT_SEND)
            client.subscribe([(f, options) for f in self.reader.filters()])
        else:
            client.subscribe([(f, 1) for f in self.reader.filters()])

    def on_publish(self, client: paho.Client, data: Any, mid: int, code: Any, properties: Any) -> None:
        self.blocking_send(Received(mid))

    def on_message(self, client: paho.Client, data: Any, m: paho.MQTTMessage) -> None:
        """Waits for a credit: while the table is full nothing more is read, and the broker keeps it."""
        self.credits.acquire()
        told = m.properties
        named = dict(getattr(told, "UserProperty", []))
        message = Message(
            m.topic,
            bytes(m.payload),
            m.mid,
            m.qos,
            m.dup,
            m.retain,
            getattr(told, "ResponseTopic", None),
            getattr(told, "CorrelationData", None),
            getattr(told, "MessageExpiryInterval", None),
            named,
            now_ms(),
        )
        self.blocking_send(Delivered(message, self.lives))

    # --- the actor ---

    def receive(self, message: Any) -> None:
        match message:
            case Connected(life, session):
                self.connected(life, session)
            case Delivered(m, life):
                self.delivered(m, life)
            case Answered(call, final):
                self.answered(call, final)
            case Received(number):
                self.sent.discard(number)
            case CountersRequested(tell):
                tell(self.counts | {"open": len(self.calls)})
            case Stop():
                self.stopping = True
        # guards against a reset that takes the last outcomes with it: a close with receipts unread is one
        if self.stopping and not self.calls and not self.sent and not self.mailbox:
            self.leave()

    def connected(self, life: int, session: bool) -> None:
        kind = "kept" if session else "new"
        self.log("broker-connected", f"{self.where[0]}:{self.where[1]}, {kind} session")
        self.inherited = session and self.life == 0
        self.life = life
        if not session:
            # the broker knows nothing of what it delivered before: its numbers start anew
            self.by_mid.clear()

    def delivered(self, m: Message, life: int) -> None:
        """One delivery. It returns its credit at once unless a new call waits for its answer."""
        digest = m.digest()
        before = self.by_mid.get(m.mid) if m.qos else None
        if self.stopping:
            self.credits.release()  # not taken and not acknowledged: the broker gives it to the next session
        elif m.retain:
            # guards against a call for an old message at every new subscription
            self.counts["retained"] += 1
            self.acknowledge(Taken(m, digest, life))
            self.credits.release()
        elif m.dup and before is not None and before.digest == digest:
            # guards against a second answer to what the broker delivers again after a lost connection
            self.counts["redelivered"] += 1
            before.life, before.acked = life, False
            if before.answered:
                self.acknowledge(before)
            self.credits.release()
        else:
            self.take_trigger(Taken(m, digest, life))

    def take_trigger(self, taken: Taken) -> None:
        m = taken.message
        self.counts["taken"] += 1
        if m.qos:
            self.by_mid[m.mid] = taken
        try:
            call = self.reader.read(m)
        except Exception as error:
            # beside BadCall, guards the actor against what a schema or a payload may raise in its libraries
            self.counts["malformed"] += 1
            self.log("bad-trigger", f"{m.topic[:80]}: {type(error).__name__}: {str(error)[:200]}")
            return self.finish_trigger(taken, Final("failed", reason=str(error)))
        if call.key is not None and self.known_key(taken, call):
            return
        if call.key is not None:
            taken.key = self.key_of(call)
            self.memory.begin(taken.key, now_ms(), taken)
        self.calls[call] = taken
        kind = self.reader.maker.settings.classes[call.class_index]
        if m.dup and self.inherited and kind.effect is not i.Effect.SAFE:
            # guards against a second effect: an earlier life of this process may have called it, and by now
            # the rack's window may have passed
            return self.answered(call, Final("failed", reason="delivered before this start: it may have run"))
        self.core.offer(call, self)

    def key_of(self, call: Call) -> str:
        """Under the class's name: a class that was changed is still the gateway's same class."""
        return f"{self.reader.maker.settings.classes[call.class_index].name} {call.key}"

    def known_key(self, taken: Taken, call: Call) -> bool:
        """A key that was called joins its call or gets its answer; after a plain refusal it may be called."""
        known = self.memory.find(self.key_of(call), now_ms())
        if known is None:
            return False
        if known.final is None:
            self.counts["joined"] += 1
            known.waiting.append(taken)
            return True
        if known.final.outcome == "refused" and not taken.message.dup:
            return False
        self.counts["joined"] += 1
        self.finish_trigger(taken, known.final)
        return True

    def answered(self, call: Call, final: Final) -> None:
        taken = self.calls.pop(call)
        for each in [taken] if taken.key is None else self.memory.end(taken.key, now_ms(), final):
            self.finish_trigger(each, final)

    def finish_trigger(self, taken: Taken, final: Final) -> None:
        """The one final answer of a taken trigger: told first, acknowledged then."""
        self.counts[final.outcome] += 1
        taken.answered = True
        self.publish(taken.message, final)
        self.acknowledge(taken)
        self.credits.release()

    def publish(self, m: Message, final: Final) -> None:
        topic = self.reader.response_topic(m)
        if topic is None:
            return
        told: dict[str, Any] = {"outcome": final.outcome, "topic": m.topic}
        if final.outcome == "served":
            told["body"] = base64.b64encode(final.body).decode()
        if final.reason:
            told["reason"] = final.reason
        if final.retry_after:
            told["retry_after_ms"] = round(final.retry_after)
        properties = None
        if self.told.version == "5":
            properties = Properties(PacketTypes.PUBLISH)  # type: ignore[no-untyped-call]
            if m.correlation is not None:
                properties.CorrelationData = m.correlation
        try:
            self.sent.add(self.client.publish(topic, msgspec.json.encode(told), 1, properties=properties).mid)
        except ValueError as error:
            self.log("bad-response-topic", f"{topic[:80]}: {error}")

    def acknowledge(self, taken: Taken) -> None:
        """On the connection that delivered it; else the broker delivers it again and is answered then."""
        if taken.message.qos and taken.life == self.lives and not taken.acked:
            taken.acked = True
            self.client.ack(taken.message.mid, taken.message.qos)

    # --- the end ---

    def request_stop(self) -> None:
        """Takes nothing more, answers what was taken, and leaves the broker in order; `gone` tells."""
        self.blocking_send(Stop())

    def leave(self) -> None:
        """Lets what paho still holds go out before the connection ends."""
        until = now_ms() + self.limits.write_ms
        while self.client.want_write() and now_ms() < until:
            gevent.sleep(0.01)
        self.finished = True
        self.client.disconnect()
