"""The interface between the invoker and plug-ins, version 1, independent of any engine.

What goes in are plain views (texts, numbers, lists of them); what comes out is read here, and only here, into
a `Said`, or is a `Fault`. Whatever a plug-in returns, nothing else of it gets any further.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

VERSION = 1
HOOKS = ("on_request", "on_outcome", "on_hosts", "on_timer", "carry")
CAPABILITIES = ("advise", "function", "warm", "body", "hosts", "timer", "outcomes", "state")
MOST_TARGETS = 32  # in prefer, and in avoid
MOST_WARM = 16
MOST_TEXT = 128  # characters of a target, a function or a label
HEX16 = re.compile(r"[0-9a-f]{16}\Z")
LABEL = re.compile(r"[\w.:/ -]{1,64}\Z", re.ASCII)
TARGETS = ("zone", "kind", "host")
FAULTS = (
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
    """What a plug-in did that it may not; `kind` is one of FAULTS."""

    def __init__(self, kind: str, text: str = "") -> None:
        super().__init__(text or kind)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Target:
    """A zone, a kind of machine or one model host, by its name."""

    what: str
    name: str


@dataclass(frozen=True, slots=True)
class Said:
    """What one plug-in says of one call. `refuse` is None to go on, else the advice in milliseconds."""

    refuse: float | None = None
    function: str | None = None
    prefer: tuple[Target, ...] = ()
    avoid: tuple[Target, ...] = ()
    warm: tuple[str, ...] = ()
    wanted: float | None = None
    label: str | None = None


ADMIT = Said()


def number(name: str, value: Any, least: float, most: float) -> float:
    """A finite number within its bounds; what lies outside is brought to the nearer one, NaN is a fault."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise Fault("wrong-answer", f"{name}: a number is wanted, not {type(value).__name__}")
    return float(min(max(least, value), most)) if math.isfinite(value) else (most if value > 0 else least)


def texts(name: str, value: Any, most: int) -> list[str]:
    if not isinstance(value, list | tuple):
        raise Fault("wrong-answer", f"{name}: a list of texts is wanted, not {type(value).__name__}")
    if len(value) > most:
        raise Fault("too-large", f"{name}: {len(value)} entries, {most} at most")
    for each in value:
        if not isinstance(each, str) or not 0 < len(each) <= MOST_TEXT:
            raise Fault("wrong-answer", f"{name}: texts of 1 to {MOST_TEXT} characters are wanted")
    return list(value)


def targets(name: str, value: Any) -> tuple[Target, ...]:
    read = []
    for text in texts(name, value, MOST_TARGETS):
        what, _, of = text.partition(":")
        if what not in TARGETS or not of:
            raise Fault("wrong-answer", f"{name}: 'zone:', 'kind:' or 'host:' and a name, not {text[:40]!r}")
        read.append(Target(what, of))
    return tuple(dict.fromkeys(read))


def function(name: str, value: Any) -> str:
    if not isinstance(value, str) or not HEX16.match(value):
        raise Fault("wrong-answer", f"{name}: 16 hex digits are wanted")
    return value


def needs(capabilities: frozenset[str], which: str, name: str) -> None:
    if which not in capabilities:
        raise Fault("not-allowed", f"{name}: the capability {which!r} is not granted")


def read_request(said: Any, capabilities: frozenset[str], names_function: bool, most_refuse: float) -> Said:
    """What `on_request` returned. `names_function` is whether this call's function may be named; a refusal's
    advice goes up to `most_refuse` milliseconds. Raises Fault."""
    if said is None or said is True or said == "admit":
        return ADMIT
    if said is False or said == "refuse":
        return Said(refuse=most_refuse)
    if not isinstance(said, Mapping):
        raise Fault("wrong-answer", f"on_request returned {type(said).__name__}")
    read: dict[str, Any] = {}
    for key, value in said.items():
        if value is None:
            continue
        match key:
            case "refuse_ms":
                read["refuse"] = number(key, value, 0.0, most_refuse)
            case "function":
                needs(capabilities, "function", key)
                if not names_function:
                    raise Fault("not-allowed", "function: only a trigger's function may be named")
                read[key] = function(key, value)
            case "prefer" | "avoid":
                needs(capabilities, "advise", key)
                read[key] = targets(key, value)
            case "wanted_ms":
                needs(capabilities, "advise", key)
                read["wanted"] = number(key, value, 1.0, 1e9)
            case "warm":
                needs(capabilities, "warm", key)
                read[key] = tuple(function(key, f) for f in texts(key, value, MOST_WARM))
            case "label":
                if not isinstance(value, str) or not LABEL.match(value):
                    raise Fault("wrong-answer", "label: 1 to 64 letters, digits or any of '_.:/ -'")
                read[key] = value
            case _:
                raise Fault("wrong-answer", f"on_request returned a key {str(key)[:40]!r}")
    return Said(**read)


def read_watch(said: Any, capabilities: frozenset[str]) -> tuple[str, ...]:
    """What `on_timer`, `on_hosts` or `on_outcome` returned: nothing, or functions to warm. Raises Fault."""
    if said is None:
        return ()
    if not isinstance(said, Mapping) or set(said) - {"warm"}:
        raise Fault("wrong-answer", "nothing, or {'warm': [...]}, is wanted")
    needs(capabilities, "warm", "warm")
    return tuple(function("warm", f) for f in texts("warm", said.get("warm") or [], MOST_WARM))
