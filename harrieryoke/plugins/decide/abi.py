"""The interface between the invoker and plug-ins, version 1, independent of the engine.

Hooks receive plain views (texts, numbers and lists of them). Whatever a hook returns is parsed here, and only
here, into an `Advice`, or raises a `Fault`; nothing else of it reaches the invoker.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

ABI_VERSION = 1
HOOKS = ("on_request", "on_outcome", "on_hosts", "on_timer", "carry")
CAPABILITIES = ("advise", "function", "warm", "body", "hosts", "timer", "outcomes", "state")
MAX_TARGETS = 32  # in each of prefer and avoid
MAX_WARM_FUNCTIONS = 16
MAX_TEXT_CHARS = 128  # of a target or a function
FUNCTION_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
LABEL_PATTERN = re.compile(r"[\w.:/ -]{1,64}\Z", re.ASCII)
TARGET_SCOPES = ("zone", "kind", "host")
FAULT_KINDS = (
    "raised",
    "wrong-answer",
    "not-allowed",
    "timeout",
    "killed",
    "memory",
    "fuel",
    "recursion",
    "host-calls",
    "state-full",
    "too-large",
    "not-text",
    "protocol",
)


class Fault(ValueError):
    """A plug-in failed or broke a rule of the interface; `kind` is one of FAULT_KINDS."""

    def __init__(self, kind: str, text: str = "") -> None:
        super().__init__(text or kind)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Target:
    """A zone, a kind of machine or one model host; `scope` is one of TARGET_SCOPES."""

    scope: str
    name: str


@dataclass(frozen=True, slots=True)
class Advice:
    """One plug-in's advice on one call. The call is refused unless `retry_after_ms` is None."""

    retry_after_ms: float | None = None
    function: str | None = None
    prefer: tuple[Target, ...] = ()
    avoid: tuple[Target, ...] = ()
    warm: tuple[str, ...] = ()
    latency_target_ms: float | None = None
    label: str | None = None


ADMIT = Advice()


def parse_number(name: str, value: Any, minimum: float, maximum: float) -> float:
    """Clamp a number to its bounds, infinities included; NaN is a fault."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise Fault("wrong-answer", f"{name}: must be a number, not {type(value).__name__}")
    return (
        float(min(max(minimum, value), maximum))
        if math.isfinite(value)
        else (maximum if value > 0 else minimum)
    )


def parse_texts(name: str, value: Any, max_entries: int) -> list[str]:
    if not isinstance(value, list | tuple):
        raise Fault("wrong-answer", f"{name}: must be a list of texts, not {type(value).__name__}")
    if len(value) > max_entries:
        raise Fault("too-large", f"{name}: {len(value)} entries, {max_entries} at most")
    for text in value:
        if not isinstance(text, str) or not 0 < len(text) <= MAX_TEXT_CHARS:
            raise Fault("wrong-answer", f"{name}: texts must have 1 to {MAX_TEXT_CHARS} characters")
    return list(value)


def parse_targets(name: str, value: Any) -> tuple[Target, ...]:
    parsed = []
    for text in parse_texts(name, value, MAX_TARGETS):
        scope, _, target_name = text.partition(":")
        if scope not in TARGET_SCOPES or not target_name:
            raise Fault(
                "wrong-answer", f"{name}: must be 'zone:', 'kind:' or 'host:' and a name, not {text[:40]!r}"
            )
        parsed.append(Target(scope, target_name))
    return tuple(dict.fromkeys(parsed))


def parse_function(name: str, value: Any) -> str:
    if not isinstance(value, str) or not FUNCTION_PATTERN.match(value):
        raise Fault("wrong-answer", f"{name}: must be 16 hex digits")
    return value


def require_capability(capabilities: frozenset[str], capability: str, name: str) -> None:
    if capability not in capabilities:
        raise Fault("not-allowed", f"{name}: the capability {capability!r} is not granted")


def parse_request_advice(
    result: Any, capabilities: frozenset[str], may_set_function: bool, max_retry_after_ms: float
) -> Advice:
    """Parse the result of `on_request`. Raises Fault.

    `may_set_function` says whether the plug-in may set this call's function; a refusal's retry advice is
    limited to `max_retry_after_ms`.
    """
    if result is None or result is True or result == "admit":
        return ADMIT
    if result is False or result == "refuse":
        return Advice(retry_after_ms=max_retry_after_ms)
    if not isinstance(result, Mapping):
        raise Fault("wrong-answer", f"on_request returned {type(result).__name__}")
    parsed: dict[str, Any] = {}
    for key, value in result.items():
        if value is None:
            continue
        match key:
            case "refuse_ms":
                parsed["retry_after_ms"] = parse_number(key, value, 0.0, max_retry_after_ms)
            case "function":
                require_capability(capabilities, "function", key)
                if not may_set_function:
                    raise Fault("not-allowed", "function: may be set for calls of a trigger only")
                parsed[key] = parse_function(key, value)
            case "prefer" | "avoid":
                require_capability(capabilities, "advise", key)
                parsed[key] = parse_targets(key, value)
            case "wanted_ms":
                require_capability(capabilities, "advise", key)
                parsed["latency_target_ms"] = parse_number(key, value, 1.0, 1e9)
            case "warm":
                require_capability(capabilities, "warm", key)
                parsed[key] = tuple(
                    parse_function(key, f) for f in parse_texts(key, value, MAX_WARM_FUNCTIONS)
                )
            case "label":
                if not isinstance(value, str) or not LABEL_PATTERN.match(value):
                    raise Fault("wrong-answer", "label: must be 1 to 64 letters, digits or any of '_.:/ -'")
                parsed[key] = value
            case _:
                raise Fault("wrong-answer", f"on_request returned an unknown key {str(key)[:40]!r}")
    return Advice(**parsed)


def parse_watch_result(result: Any, capabilities: frozenset[str]) -> tuple[str, ...]:
    """Parse the result of `on_timer`, `on_hosts` or `on_outcome`: None, or functions to keep warm.

    Raises Fault.
    """
    if result is None:
        return ()
    if not isinstance(result, Mapping) or set(result) - {"warm"}:
        raise Fault("wrong-answer", "must be None or {'warm': [...]}")
    require_capability(capabilities, "warm", "warm")
    return tuple(
        parse_function("warm", f) for f in parse_texts("warm", result.get("warm") or [], MAX_WARM_FUNCTIONS)
    )
