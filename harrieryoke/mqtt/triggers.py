"""The triggers of the operator's file, and how an MQTT message becomes a call."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import jsonschema
import msgspec

from ..core.calls import CallMaker, InvalidCallError
from ..core.records import Call

PLACEHOLDER = re.compile(r"\{(\w+)\}")


class Trigger(msgspec.Struct, forbid_unknown_fields=True, rename={"class_": "class"}):
    """One kind of trigger. `{name}` in the topic matches one level; the other texts may refer to it."""

    topic: str
    class_: str
    function: str = ""  # empty: the plug-in's on_request names it
    tenant: str | None = None
    key: str = "digest"  # "digest", "json NAME" or "property NAME"; used in keyed classes
    response: str | None = None  # topic of the outcome if the message names none
    memory_mb: float = 0.0
    lanes: int = 1
    load_ms: float | None = None
    schema: dict[str, Any] | None = None


@dataclass(slots=True)
class Message:
    """One delivery of an MQTT message."""

    topic: str
    payload: bytes
    message_id: int = 0
    qos: int = 0
    dup: bool = False
    retain: bool = False
    response_topic: str | None = None
    correlation_data: bytes | None = None
    expiry_s: int | None = None
    user_properties: dict[str, str] = field(default_factory=dict)
    received_at: float = 0.0

    def digest(self) -> str:
        """Return a digest of topic and payload: the idempotency key of a trigger that names no other."""
        return blake2b(self.topic.encode() + b"\0" + self.payload, digest_size=16).hexdigest()

    def identity(self) -> str:
        """Return a digest of all that a redelivery repeats. Of the expiry the broker sends what is left."""
        properties = (self.response_topic, self.correlation_data, list(self.user_properties.items()))
        fields = (self.topic, self.payload, self.retain, properties)
        return blake2b(msgspec.msgpack.encode(fields), digest_size=16).hexdigest()


class TriggerMatcher:
    """A compiled trigger: its topic filter, topic pattern and payload schema. Raises ValueError; the message
    begins with the name of the invalid field."""

    def __init__(self, trigger: Trigger) -> None:
        self.trigger = trigger
        levels = trigger.topic.split("/")
        if not trigger.topic or any(c in trigger.topic for c in "+#\0"):
            raise ValueError(f"topic: {trigger.topic!r}: each level must be a text or {{name}}")
        if any("{" in n and not PLACEHOLDER.fullmatch(n) for n in levels):
            raise ValueError(f"topic: {trigger.topic!r}: {{name}} must be a whole level")
        self.filter = "/".join("+" if PLACEHOLDER.fullmatch(n) else n for n in levels)
        self.pattern = re.compile(
            "/".join(
                f"(?P<{m[1]}>[^/]+)" if (m := PLACEHOLDER.fullmatch(n)) else re.escape(n) for n in levels
            )
        )
        names = set(PLACEHOLDER.findall(trigger.topic))
        for field_name in ("function", "tenant", "response"):
            if missing := set(PLACEHOLDER.findall(getattr(trigger, field_name) or "")) - names:
                raise ValueError(f"{field_name}: the topic has no {{{missing.pop()}}}")
        key_source, _, self.key_name = trigger.key.partition(" ")
        readers: dict[str, Callable[[Message], str]] = {
            "digest": Message.digest,
            "json": self.key_from_json,
            "property": self.key_from_property,
        }
        if key_source not in readers or (key_source == "digest") == bool(self.key_name):
            raise ValueError(f"key: must be 'digest', 'json NAME' or 'property NAME', not {trigger.key!r}")
        self.read_key = readers[key_source]
        try:
            if trigger.schema is not None:
                jsonschema.Draft7Validator.check_schema(trigger.schema)
        except jsonschema.SchemaError as error:
            raise ValueError(f"schema: {error.message}") from None
        self.validator = None if trigger.schema is None else jsonschema.Draft7Validator(trigger.schema)

    def key_from_json(self, message: Message) -> str:
        """Return the idempotency key from a field of the payload. Raises InvalidCallError."""
        try:
            fields: dict[str, Any] = msgspec.json.decode(message.payload, type=dict[str, Any])
            value = fields[self.key_name]
        except (msgspec.MsgspecError, KeyError):
            raise InvalidCallError(f"payload: no field {self.key_name!r} for the key") from None
        return str(value)

    def key_from_property(self, message: Message) -> str:
        """Return the idempotency key from a user property. Raises InvalidCallError."""
        if self.key_name not in message.user_properties:
            raise InvalidCallError(f"no user property {self.key_name!r} for the key")
        return message.user_properties[self.key_name]

    def substitute(self, text: str, values: dict[str, str]) -> str:
        """Return the text with its placeholders replaced by the topic's levels."""
        return PLACEHOLDER.sub(lambda found: values[found[1]], text)

    def validate_payload(self, message: Message) -> None:
        """Check the payload against the trigger's schema. Raises InvalidCallError."""
        if self.validator is None:
            return
        try:
            payload = msgspec.json.decode(message.payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidCallError(f"payload: {error}") from None
        if (violation := next(self.validator.iter_errors(payload), None)) is not None:
            raise InvalidCallError(f"payload: {violation.message[:200]}")


class TriggerReader:
    """All triggers of the operator's file. Raises ValueError for an invalid one; the message begins with its
    key."""

    def __init__(self, triggers: list[Trigger], maker: CallMaker) -> None:
        self.maker, self.matchers = maker, []
        for n, trigger in enumerate(triggers):
            try:
                if trigger.class_ not in maker.classes:
                    raise ValueError(f"class: no class {trigger.class_!r}")
                self.matchers.append(TriggerMatcher(trigger))
            except ValueError as error:
                raise ValueError(f"mqtt.trigger[{n}].{error}") from None

    def topic_filters(self) -> list[str]:
        """Return the topic filters to subscribe to, each once."""
        return list(dict.fromkeys(m.filter for m in self.matchers))

    def response_topic(self, message: Message) -> str | None:
        """Return the topic of the outcome: the message's response topic, else the one of its trigger."""
        if message.response_topic:
            return message.response_topic
        for matcher in self.matchers:
            if (found := matcher.pattern.fullmatch(message.topic)) and matcher.trigger.response:
                return matcher.substitute(matcher.trigger.response, found.groupdict())
        return None

    def read(self, message: Message) -> Call:
        """Return the call for a message. Raises InvalidCallError."""
        for matcher in self.matchers:
            if found := matcher.pattern.fullmatch(message.topic):
                return self.make_call(matcher, found.groupdict(), message)
        raise InvalidCallError("no trigger has this topic")

    def make_call(self, matcher: TriggerMatcher, values: dict[str, str], message: Message) -> Call:
        """Return the call. Its deadline is that of the class, or the message's expiry if that is sooner."""
        trigger = matcher.trigger
        matcher.validate_payload(message)
        settings = self.maker.settings.classes[self.maker.classes[trigger.class_]]
        budget = (
            settings.deadline
            if message.expiry_s is None
            else min(settings.deadline, message.expiry_s * 1000.0)
        )
        extras = {"memory_mb": trigger.memory_mb, "lanes": float(trigger.lanes)}
        extras |= {} if trigger.load_ms is None else {"load_ms": trigger.load_ms}
        keyed = self.maker.is_keyed(trigger.class_)
        return self.maker.make(
            trigger.class_,
            os.urandom(8).hex(),
            matcher.substitute(trigger.function, values),
            budget,
            message.received_at,
            message.payload,
            matcher.read_key(message) if keyed else None,
            None if trigger.tenant is None else matcher.substitute(trigger.tenant, values),
            extras,
            topic=message.topic,
        )
