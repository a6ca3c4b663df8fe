"""What several plug-ins say of one call, made into one, and settled against the list of model hosts.

The rules, in the order in which the plug-ins stand in the operator's file:

1. A refusal wins, and ends the asking.
2. Avoid goes before prefer, whoever says it.
3. The first that names a function, or a label, has it; a different one later is a conflict, which is counted.
4. The shortest wanted time holds.
5. Warm wishes add up, within each plug-in's bound.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .abi import Said, Target

AVOID, PREFER = 8.0, 0.5  # how a host's cost counts in the module: times this


@dataclass(slots=True)
class Merged:
    """One call's advice of all plug-ins so far."""

    refuse: float | None = None
    function: str | None = None
    prefer: set[Target] = field(default_factory=set)
    avoid: set[Target] = field(default_factory=set)
    warm: list[tuple[str, str]] = field(default_factory=list)  # plug-in, function
    wanted: float | None = None
    label: str | None = None
    conflicts: int = 0

    def add(self, plugin: str, said: Said) -> None:
        if said.refuse is not None:
            self.refuse = said.refuse if self.refuse is None else max(self.refuse, said.refuse)
        self.prefer |= set(said.prefer)
        self.avoid |= set(said.avoid)
        self.warm += [(plugin, f) for f in said.warm]
        if said.wanted is not None:
            self.wanted = said.wanted if self.wanted is None else min(self.wanted, said.wanted)
        for name in ("function", "label"):
            mine, theirs = getattr(self, name), getattr(said, name)
            if mine is None:
                setattr(self, name, theirs)
            elif theirs not in (None, mine):
                self.conflicts += 1


@dataclass(frozen=True, slots=True)
class Host:
    """One model host as plug-ins may know it."""

    worker: int
    name: str
    zone: str
    kind: str
    state: str  # "active", "leaving" or "left"


class Fleet:
    """The model hosts by name, kept from the list's changes."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}

    def apply(self, whole: bool, hosts: Iterable[Host]) -> None:
        if whole:
            self.hosts = {}
        for host in hosts:
            if host.state == "left":
                self.hosts.pop(host.name, None)
            else:
                self.hosts[host.name] = host


def settle(merged: Merged, fleet: Fleet, dropped: Counter[str]) -> dict[int, float]:
    """The one ordered preference that the module gets: a factor for each host that is advised on, above 1 to
    avoid it, below 1 to prefer it. What names no host in service is dropped and counted by its reason; so is
    advice to avoid all of them, which says nothing about where to go."""
    up = {h.name: h for h in fleet.hosts.values() if h.state == "active"}
    known = {"zone": {h.zone for h in fleet.hosts.values()}, "kind": {h.kind for h in fleet.hosts.values()}}

    def meant(targets: set[Target]) -> set[int]:
        found: set[int] = set()
        for t in targets:
            if t.what == "host":
                if t.name in up:
                    found.add(up[t.name].worker)
                else:
                    dropped["leaving" if t.name in fleet.hosts else "unknown"] += 1
            elif t.name in known[t.what]:
                found |= {h.worker for h in up.values() if getattr(h, t.what) == t.name}
            else:
                dropped["unknown"] += 1
        return found

    avoid, prefer = meant(merged.avoid), meant(merged.prefer)
    if avoid and len(avoid) == len(up):
        dropped["avoids-all"] += 1
        avoid = set()
    return dict.fromkeys(prefer, PREFER) | dict.fromkeys(avoid, AVOID)


@dataclass(slots=True)
class WishBook:
    """Functions that plug-ins wish to have warm: each plug-in a few, each for a while, told now and then."""

    last: float = 30_000.0  # ms that a wish holds
    every: float = 2_000.0  # ms between two tellings
    most: int = 64  # of all plug-ins together
    wishes: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)  # until, next telling
    counts: Counter[str] = field(default_factory=Counter)

    def wish(self, plugin: str, function: str, bound: int, now: float) -> bool:
        """Whether it is kept. A plug-in at its bound keeps the wishes that it has."""
        self.fade(now)
        key = (plugin, function)
        own = sum(p == plugin for p, _ in self.wishes)
        if key not in self.wishes and (own >= bound or len(self.wishes) >= self.most):
            self.counts["dropped"] += 1
            return False
        _, told = self.wishes.get(key, (0.0, now))
        self.wishes[key] = (now + self.last, told)
        self.counts["kept"] += 1
        return True

    def fade(self, now: float) -> None:
        for key in [k for k, (until, _) in self.wishes.items() if until <= now]:
            del self.wishes[key]

    def forget(self, plugin: str) -> None:
        for key in [k for k in self.wishes if k[0] == plugin]:
            del self.wishes[key]

    def due(self, now: float) -> list[str]:
        """The functions to tell the module of now, each once."""
        self.fade(now)
        told = [k for k, (_, at) in self.wishes.items() if at <= now]
        for key in told:
            self.wishes[key] = (self.wishes[key][0], now + self.every)
        return list(dict.fromkeys(f for _, f in told))


def by_label(counts: dict[str, Counter[str]], label: str, how: str, most: int = 256) -> None:
    """Counts an outcome under its label; labels beyond the bound go together under '(others)'."""
    name = label if label in counts or len(counts) < most else "(others)"
    counts.setdefault(name, Counter())[how] += 1


def totals(counts: Mapping[str, Counter[str]]) -> dict[str, dict[str, int]]:
    return {name: dict(c) for name, c in counts.items()}
