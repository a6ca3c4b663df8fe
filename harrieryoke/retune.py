"""Other settings for an invoker that serves: what of a new file may come into force, and how."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from .interface import Settings

OPTIONAL = ("known", "seed", "aim-stretch")  # may be left out of any file
KEYED_ONLY = ("dedup-scope", "repeat-window")  # mean nothing in a class of another effect
EFFECT, KEYED = "repeat", "by_key"


def merge(old: Settings, new: Settings, most: int) -> Settings:
    """`new`, with all that open requests, copies and hosts may still have of `old`: no class, tenant, zone
    or kind moves, and no class changes. A class that is new or told otherwise gets a place of its own at the
    end; what the new settings leave out is retired. A tenant's figures are replaced where they stand.

    Raises ValueError beyond `most` places of classes.
    """
    classes = list(dict.fromkeys(old.classes + new.classes))
    if len(classes) > most:
        raise ValueError(f"classes: {most} definitions since the start are the most; a restart is needed")
    now = {t.name: t for t in new.tenants}
    tenants = {t.name: t for t in old.tenants} | now
    kinds = joined(old.kinds, new.kinds)
    memory = dict(zip(old.kinds, old.memory_by_kind, strict=False)) | dict(
        zip(new.kinds, new.memory_by_kind, strict=False)
    )
    return replace(
        new,
        classes=tuple(classes),
        retired=frozenset(n for n, c in enumerate(classes) if c not in new.classes),
        tenants=tuple(tenants.values()),
        retired_tenants=frozenset(n for n, name in enumerate(tenants) if name not in now),
        zones=joined(old.zones, new.zones),
        kinds=kinds,
        memory_by_kind=tuple(memory.get(k, float("inf")) for k in kinds) if kinds else new.memory_by_kind,
        list_on_request=old.list_on_request,  # the list is followed from the start on, or not at all
    )


def joined(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """The old names where they stand, then those that are new."""
    return tuple(dict.fromkeys((*old, *new)))


def changes(old: Settings, new: Settings) -> str:
    """What differs between the settings before and after, for the log; empty where nothing does."""
    was, now = old.live(), new.live()
    told = [
        ("added", [c for c in now if c not in was]),
        ("changed", [c for c in now if c in was and now[c] != was[c]]),
        ("dropped", [c for c in was if c not in now]),
    ]
    words = [f"classes {how}: {', '.join(names)}" for how, names in told if names]
    if old.max_attempts != new.max_attempts:
        words.append(f"attempts: {old.max_attempts} -> {new.max_attempts}")
    same = {"classes": old.classes, "retired": old.retired, "max_attempts": old.max_attempts}
    return "; ".join(words + (["other settings"] if replace(new, **same) != old else []))  # type: ignore[arg-type]


def lost(force: Sequence[Any], new: Any, where: str = "") -> str | None:
    """The first key that a file can't be without, and why, or None. `force` is what stands at this place of
    the file in force; where the place lies in a list, for each element of that list.

    What is absent has a default, for the files of other deployments. Where the file in force has a key, its
    absence is no wish for the default but a fault of whoever wrote the new file: half a file would otherwise
    be taken for a whole one. In a list an element needs what the one of its name has in force, a new one what
    all of them share. A value of another type than in force is such a fault too. Null is as absent.
    """
    if isinstance(new, list):
        inner = [e for old in force if isinstance(old, list) for e in old]
        found = (lost(alike(inner, e), e, f"{where}[{n}]") for n, e in enumerate(new))
        return next(filter(None, found), None)
    if not isinstance(new, dict) or not force or not all(isinstance(old, dict) for old in force):
        return None
    for key in shared(force):
        if key in OPTIONAL or (key in KEYED_ONLY and new.get(EFFECT) != KEYED):
            continue
        place, inner = f"{where}.{key}" if where else key, [old[key] for old in force]
        if new.get(key) is None:
            return f"{place}: it is missing"
        if kind_of(new[key]) not in map(kind_of, inner):
            return f"{place}: {kind_of(inner[0])} is expected, as in the file in force"
        if (found_below := lost(inner, new[key], place)) is not None:
            return found_below
    return None


def shared(force: Iterable[dict[str, Any]]) -> list[str]:
    """The keys that all of them have."""
    first, *others = force
    return [k for k in first if all(old.get(k) is not None for old in (first, *others))]


def alike(force: Sequence[Any], new: Any) -> Sequence[Any]:
    """Of the elements in force those of a new one's name, or all where none is."""
    if not isinstance(new, dict):
        return force
    return [old for old in force if isinstance(old, dict) and old.get("name") == new.get("name")] or force


def kind_of(value: Any) -> str:
    """The JSON type in words."""
    if isinstance(value, bool):
        return "true or false"
    names = {dict: "an object", list: "a list", str: "text", int: "a number", float: "a number"}
    return names.get(type(value), "null")
