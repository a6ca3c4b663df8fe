"""Configuration reload: merges new settings into those of a running invoker."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from .interface import Settings

OPTIONAL = ("known", "seed", "aim-stretch")  # may be absent from any file
KEYED_ONLY = ("dedup-scope", "repeat-window")  # required only in a class whose effect is `keyed`
EFFECT, KEYED = "repeat", "by_key"


def merge(old: Settings, new: Settings, max_classes: int) -> Settings:
    """Return `new`, extended by all of `old` that open requests, copies and hosts may still refer to.

    Indices of classes, tenants, zones and kinds stay valid, and no class definition changes in place: a new
    or changed class is appended, and what the new settings leave out is retired. A tenant's values are
    replaced in place. Raises ValueError beyond `max_classes` class definitions.
    """
    classes = list(dict.fromkeys(old.classes + new.classes))
    if len(classes) > max_classes:
        raise ValueError(
            f"classes: {max_classes} definitions since the start are the most; a restart is needed"
        )
    current = {t.name: t for t in new.tenants}
    tenants = {t.name: t for t in old.tenants} | current
    kinds = merge_names(old.kinds, new.kinds)
    memory = dict(zip(old.kinds, old.memory_by_kind, strict=False)) | dict(
        zip(new.kinds, new.memory_by_kind, strict=False)
    )
    return replace(
        new,
        classes=tuple(classes),
        retired=frozenset(n for n, c in enumerate(classes) if c not in new.classes),
        tenants=tuple(tenants.values()),
        retired_tenants=frozenset(n for n, name in enumerate(tenants) if name not in current),
        zones=merge_names(old.zones, new.zones),
        kinds=kinds,
        memory_by_kind=tuple(memory.get(k, float("inf")) for k in kinds) if kinds else new.memory_by_kind,
        list_on_request=old.list_on_request,  # discovery is subscribed to at the start or not at all
    )


def merge_names(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """Return the old names at their indices, followed by the new ones."""
    return tuple(dict.fromkeys((*old, *new)))


def describe_changes(old: Settings, new: Settings) -> str:
    """Describe the differences between two settings for the log; empty if there are none."""
    before, after = old.active_classes(), new.active_classes()
    classes = {
        "added": [c for c in after if c not in before],
        "changed": [c for c in after if c in before and after[c] != before[c]],
        "dropped": [c for c in before if c not in after],
    }
    changes = [f"classes {change}: {', '.join(names)}" for change, names in classes.items() if names]
    if old.max_attempts != new.max_attempts:
        changes.append(f"attempts: {old.max_attempts} -> {new.max_attempts}")
    described = {"classes": old.classes, "retired": old.retired, "max_attempts": old.max_attempts}
    if replace(new, **described) != old:  # type: ignore[arg-type]
        changes.append("other settings")
    return "; ".join(changes)


def find_missing_key(current: Sequence[Any], new: Any, path: str = "") -> str | None:
    """Return the first missing or mistyped key of the new file with the reason, or None.

    `current` has the values at `path` in the current file: one, or, below a list, one for each element.
    Keys have defaults for other deployments, but if the new file lacks a key of the current one, it is
    considered truncated. An element of a list needs the keys of the current element with its name, a new one
    the keys that all elements share. A value of another type is an error, too; null counts as absent.
    """
    if isinstance(new, list):
        elements = [e for old in current if isinstance(old, list) for e in old]
        found = (find_missing_key(namesakes(elements, e), e, f"{path}[{n}]") for n, e in enumerate(new))
        return next(filter(None, found), None)
    if not isinstance(new, dict) or not current or not all(isinstance(old, dict) for old in current):
        return None
    for key in shared_keys(current):
        if key in OPTIONAL or (key in KEYED_ONLY and new.get(EFFECT) != KEYED):
            continue
        key_path = f"{path}.{key}" if path else key
        values = [old[key] for old in current]
        if new.get(key) is None:
            return f"{key_path}: it is missing"
        if json_type(new[key]) not in map(json_type, values):
            return f"{key_path}: {json_type(values[0])} is expected, as in the file in force"
        if (missing_below := find_missing_key(values, new[key], key_path)) is not None:
            return missing_below
    return None


def shared_keys(objects: Iterable[dict[str, Any]]) -> list[str]:
    """Return the keys that all of the objects have."""
    first, *others = objects
    return [k for k in first if all(old.get(k) is not None for old in (first, *others))]


def namesakes(current: Sequence[Any], new: Any) -> Sequence[Any]:
    """Return the current elements with the name of the new one, or all if none has it."""
    if not isinstance(new, dict):
        return current
    return [old for old in current if isinstance(old, dict) and old.get("name") == new.get("name")] or current


def json_type(value: Any) -> str:
    """Return the name of the JSON type of a value."""
    if isinstance(value, bool):
        return "true or false"
    names = {dict: "an object", list: "a list", str: "text", int: "a number", float: "a number"}
    return names.get(type(value), "null")
