"""What an operator says of triggers, and how a message becomes a call."""

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

PLACE = re.compile(r"\{(\w+)\}")


class Trigger(msgspec.Struct, forbid_unknown_fields=True, rename={"class_": "class"}):
    """One kind of trigger. `{name}` in the topic stands for one level; the other texts may use it."""

    topic: str
    class_: str
    function: str = ""  # empty: the plug-in's on_request names it
    tenant: str | None = None
    key: str = "digest"  # "digest", "json NAME" or "property NAME"; used in keyed classes
    response: str | None = None  # where the outcome goes if the message does not say
    memory_mb: float = 0.0
    lanes: int = 1
    load_ms: float | None = None
    schema: dict[str, Any] | None = None


@dataclass(slots=True)
class Message:
    """One delivery, as far as the front needs it."""

    topic: str
    payload: bytes
    mid: int = 0
    qos: int = 0
    dup: bool = False
    retain: bool = False
    response: str | None = None
    correlation: bytes | None = None
    expiry_s: int | None = None
    properties: dict[str, str] = field(default_factory=dict)
    taken: float = 0.0

    def digest(self) -> str:
        return blake2b(self.topic.encode() + b"\0" + self.payload, digest_size=16).hexdigest()


class Matcher:
    """A trigger made ready: its topic filter, its pattern and its schema."""

    def __init__(self, trigger: Trigger) -> None:
        self.trigger = trigger
        levels = trigger.topic.split("/")
        if not trigger.topic or any(c in trigger.topic for c in "+#\0"):
            raise ValueError(f"topic: {trigger.topic!r}: levels are texts or {{name}}")
        if any("{" in n and not PLACE.fullmatch(n) for n in levels):
            raise ValueError(f"topic: {trigger.topic!r}: {{name}} stands for a whole level")
        self.filter = "/".join("+" if PLACE.fullmatch(n) else n for n in levels)
        self.pattern = re.compile(
            "/".join(f"(?P<{m[1]}>[^/]+)" if (m := PLACE.fullmatch(n)) else re.escape(n) for n in levels)
        )
        known = set(PLACE.findall(trigger.topic))
        for key in ("function", "tenant", "response"):
            if missing := set(PLACE.findall(getattr(trigger, key) or "")) - known:
                raise ValueError(f"{key}: the topic has no {{{missing.pop()}}}")
        how, _, self.key_name = trigger.key.partition(" ")
        readers: dict[str, Callable[[Message], str]] = {
            "digest": Message.digest,
            "json": self.json_key,
            "property": self.property_key,
        }
        if how not in readers or (how == "digest") == bool(self.key_name):
            raise ValueError(f"key: {trigger.key!r}: 'digest', 'json NAME' or 'property NAME' is wanted")
        self.key = readers[how]
        try:
            if trigger.schema is not None:
                jsonschema.Draft7Validator.check_schema(trigger.schema)
        except jsonschema.SchemaError as error:
            raise ValueError(f"schema: {error.message}") from None
        self.validator = None if trigger.schema is None else jsonschema.Draft7Validator(trigger.schema)

    def json_key(self, m: Message) -> str:
        try:
            fields: dict[str, Any] = msgspec.json.decode(m.payload, type=dict[str, Any])
            value = fields[self.key_name]
        except (msgspec.MsgspecError, KeyError):
            raise InvalidCallError(f"payload: no field {self.key_name!r} for the key") from None
        return str(value)

    def property_key(self, m: Message) -> str:
        if self.key_name not in m.properties:
            raise InvalidCallError(f"no user property {self.key_name!r} for the key")
        return m.properties[self.key_name]

    def fill(self, text: str, places: dict[str, str]) -> str:
        return PLACE.sub(lambda found: places[found[1]], text)

    def check(self, m: Message) -> None:
        if self.validator is None:
            return
        try:
            payload = msgspec.json.decode(m.payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise InvalidCallError(f"payload: {error}") from None
        if (wrong := next(self.validator.iter_errors(payload), None)) is not None:
            raise InvalidCallError(f"payload: {wrong.message[:200]}")


class TriggerReader:
    """All triggers of the operator's file."""

    def __init__(self, triggers: list[Trigger], maker: CallMaker) -> None:
        self.maker, self.matchers = maker, []
        for n, trigger in enumerate(triggers):
            try:
                if trigger.class_ not in maker.classes:
                    raise ValueError(f"class: no class {trigger.class_!r}")
                self.matchers.append(Matcher(trigger))
            except ValueError as error:
                raise ValueError(f"mqtt.trigger[{n}].{error}") from None

    def filters(self) -> list[str]:
        return list(dict.fromkeys(m.filter for m in self.matchers))

    def response_topic(self, m: Message) -> str | None:
        """Where the outcome goes: as the message says, else as its trigger says."""
        if m.response:
            return m.response
        for matcher in self.matchers:
            if (found := matcher.pattern.fullmatch(m.topic)) and matcher.trigger.response:
                return matcher.fill(matcher.trigger.response, found.groupdict())
        return None

    def read(self, m: Message) -> Call:
        """The call that a message asks for; its deadline is its class's or its own expiry, if sooner."""
        for matcher in self.matchers:
            if found := matcher.pattern.fullmatch(m.topic):
                return self.make(matcher, found.groupdict(), m)
        raise InvalidCallError("no trigger has this topic")

    def make(self, matcher: Matcher, places: dict[str, str], m: Message) -> Call:
        t = matcher.trigger
        matcher.check(m)
        kind = self.maker.settings.classes[self.maker.classes[t.class_]]
        budget = kind.deadline if m.expiry_s is None else min(kind.deadline, m.expiry_s * 1000.0)
        extras = {"memory_mb": t.memory_mb, "lanes": float(t.lanes)}
        extras |= {} if t.load_ms is None else {"load_ms": t.load_ms}
        keyed = self.maker.is_keyed(t.class_)
        return self.maker.make(
            t.class_,
            os.urandom(8).hex(),
            matcher.fill(t.function, places),
            budget,
            m.taken,
            m.payload,
            matcher.key(m) if keyed else None,
            None if t.tenant is None else matcher.fill(t.tenant, places),
            extras,
            topic=m.topic,
        )
