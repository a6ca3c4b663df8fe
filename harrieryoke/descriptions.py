"""AsyncAPI documents of the triggers, read and written, and the OpenAPI document of the operators' HTTP
interface."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .mqtt.triggers import PLACEHOLDER, Trigger
from .ops import ROUTES

EXTENSION = "x-harrieryoke"
MAX_REF_DEPTH = 32
OUTCOME_SCHEMA = {
    "type": "object",
    "required": ["outcome", "topic"],
    "additionalProperties": False,
    "properties": {
        "outcome": {"enum": ["served", "refused", "failed"]},
        "topic": {"type": "string"},
        "body": {"type": "string", "contentEncoding": "base64"},
        "reason": {"type": "string"},
        "retry_after_ms": {"type": "integer", "minimum": 0},
    },
}


class DescriptionError(ValueError):
    """An invalid document; the message names the place."""


def resolve(document: Any, node: Any, depth: int = 0) -> Any:
    """Return the node with its `$ref`s replaced, also inside schemas. Raises DescriptionError."""
    if depth > MAX_REF_DEPTH:
        raise DescriptionError("$ref: nested too deep, or in a circle")
    if isinstance(node, dict):
        if (ref := node.get("$ref")) is not None:
            target = document
            for name in str(ref).removeprefix("#/").split("/"):
                name = name.replace("~1", "/").replace("~0", "~")
                if not str(ref).startswith("#/") or not isinstance(target, dict) or name not in target:
                    raise DescriptionError(f"$ref: {ref!r} is not in this document")
                target = target[name]
            return resolve(document, target, depth + 1)
        return {k: resolve(document, v, depth + 1) for k, v in node.items()}
    return [resolve(document, v, depth + 1) for v in node] if isinstance(node, list) else node


def read_asyncapi(path: str) -> list[Trigger]:
    """Return a trigger for each operation that receives from a channel with an `x-harrieryoke` extension.
    Raises DescriptionError."""
    try:
        document = msgspec.yaml.decode(Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise DescriptionError(f"{path}: {error}") from None
    if not isinstance(document, dict) or not str(document.get("asyncapi", "")).startswith("3."):
        raise DescriptionError(f"{path}: asyncapi: must be a document of version 3")
    triggers = []
    for name, operation in (document.get("operations") or {}).items():
        where = f"{path}: operations.{name}"
        try:
            operation = resolve(document, operation)
            if operation.get("action") != "receive" or EXTENSION not in operation["channel"]:
                continue
            triggers.append(read_operation(operation))
        except (DescriptionError, KeyError, AttributeError, TypeError, ValueError) as error:
            raise DescriptionError(f"{where}: {type(error).__name__}: {error}") from None
    return triggers


def read_operation(operation: dict[str, Any]) -> Trigger:
    """Return the trigger of one operation without references."""
    channel = operation["channel"]
    messages = operation.get("messages") or list(channel.get("messages", {}).values())
    schemas = [m["payload"] for m in messages if m.get("payload") is not None]
    fields = dict(channel[EXTENSION]) | {"topic": channel["address"]}
    if schemas:
        fields["schema"] = schemas[0] if len(schemas) == 1 else {"anyOf": schemas}
    reply = (operation.get("reply") or {}).get("channel") or {}
    if reply.get("address"):
        fields["response"] = reply["address"]
    return msgspec.convert(fields, Trigger)


def asyncapi(triggers: list[Trigger]) -> dict[str, Any]:
    """Return the document of the messages that the MQTT front takes and publishes."""
    channels: dict[str, Any] = {}
    operations: dict[str, Any] = {}
    for n, trigger in enumerate(triggers):
        extension = {
            k: v
            for k, v in msgspec.to_builtins(trigger).items()
            if k not in ("topic", "schema", "response") and v is not None
        }
        channels[f"trigger{n}"] = {
            "address": trigger.topic,
            "parameters": {name: {} for name in PLACEHOLDER.findall(trigger.topic)},
            "messages": {"reading": {} if trigger.schema is None else {"payload": trigger.schema}},
            EXTENSION: extension,
        }
        channels[f"outcome{n}"] = {
            "address": trigger.response,
            "messages": {"outcome": {"payload": OUTCOME_SCHEMA}},
        }
        reply: dict[str, Any] = {"channel": {"$ref": f"#/channels/outcome{n}"}}
        if trigger.response is None:
            reply["address"] = {"location": "$message.header#/responseTopic"}
        source = {"$ref": f"#/channels/trigger{n}"}
        operations[f"take{n}"] = {"action": "receive", "channel": source, "reply": reply}
    return {
        "asyncapi": "3.0.0",
        "info": {"title": "harrieryoke triggers", "version": "1"},
        "channels": channels,
        "operations": operations,
    }


def openapi() -> dict[str, Any]:
    """Return the document of the operators' HTTP interface, from the table that serves it."""
    paths = {}
    for path, route in ROUTES.items():
        content = {"application/json": {"schema": route.schema}}
        responses = {str(s): {"description": route.summary, "content": content} for s in route.statuses}
        paths[path] = {route.method.lower(): {"summary": route.summary, "responses": responses}}
    return {"openapi": "3.1.0", "info": {"title": "harrieryoke operations", "version": "1"}, "paths": paths}
