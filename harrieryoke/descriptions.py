"""AsyncAPI for the triggers, in and out, and OpenAPI for the operators' HTTP."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .mqtt.triggers import PLACE, Trigger
from .ops import ROUTES

EXTENSION = "x-harrieryoke"
OUTCOME = {
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
    """The document can't be used; the message names the place."""


def resolve(document: Any, node: Any, depth: int = 0) -> Any:
    """Follows `$ref`s within the document, also inside schemas; none may lead in a circle."""
    if depth > 32:
        raise DescriptionError("$ref: too deep, or in a circle")
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
    """A trigger for each operation that receives from a channel with an `x-harrieryoke` part."""
    try:
        document = msgspec.yaml.decode(Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise DescriptionError(f"{path}: {error}") from None
    if not isinstance(document, dict) or not str(document.get("asyncapi", "")).startswith("3."):
        raise DescriptionError(f"{path}: asyncapi: a document of version 3 is wanted")
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
    channel = operation["channel"]
    messages = operation.get("messages") or list(channel.get("messages", {}).values())
    schemas = [m["payload"] for m in messages if m.get("payload") is not None]
    told = dict(channel[EXTENSION]) | {"topic": channel["address"]}
    if schemas:
        told["schema"] = schemas[0] if len(schemas) == 1 else {"anyOf": schemas}
    reply = (operation.get("reply") or {}).get("channel") or {}
    if reply.get("address"):
        told["response"] = reply["address"]
    return msgspec.convert(told, Trigger)


def asyncapi(triggers: list[Trigger]) -> dict[str, Any]:
    """What the MQTT front takes and answers."""
    channels: dict[str, Any] = {}
    operations: dict[str, Any] = {}
    for n, t in enumerate(triggers):
        extension = {
            k: v
            for k, v in msgspec.to_builtins(t).items()
            if k not in ("topic", "schema", "response") and v is not None
        }
        channels[f"trigger{n}"] = {
            "address": t.topic,
            "parameters": {name: {} for name in PLACE.findall(t.topic)},
            "messages": {"reading": {} if t.schema is None else {"payload": t.schema}},
            EXTENSION: extension,
        }
        channels[f"outcome{n}"] = {"address": t.response, "messages": {"outcome": {"payload": OUTCOME}}}
        reply: dict[str, Any] = {"channel": {"$ref": f"#/channels/outcome{n}"}}
        if t.response is None:
            reply["address"] = {"location": "$message.header#/responseTopic"}
        taken = {"$ref": f"#/channels/trigger{n}"}
        operations[f"take{n}"] = {"action": "receive", "channel": taken, "reply": reply}
    return {
        "asyncapi": "3.0.0",
        "info": {"title": "harrieryoke triggers", "version": "1"},
        "channels": channels,
        "operations": operations,
    }


def openapi() -> dict[str, Any]:
    """The operators' HTTP, from the table that serves it."""
    paths = {}
    for path, (method, summary, statuses, schema) in ROUTES.items():
        content = {"application/json": {"schema": schema}}
        answers = {str(s): {"description": summary, "content": content} for s in statuses}
        paths[path] = {method.lower(): {"summary": summary, "responses": answers}}
    return {"openapi": "3.1.0", "info": {"title": "harrieryoke operations", "version": "1"}, "paths": paths}
