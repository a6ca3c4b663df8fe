"""Merges the advice of several plug-ins on one call, and resolves it against the list of model hosts.

Rules, in the order in which the plug-ins stand in the operator's file:

1. A refusal wins; no further plug-in is asked.
2. Avoid takes precedence over prefer, whichever plug-in gives it.
3. The first plug-in to set a function, or a label, decides it; a different later value counts as a conflict.
4. The shortest latency target applies.
5. Prewarm requests add up, within each plug-in's limit.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .abi import Advice, Target

AVOID_FACTOR, PREFER_FACTOR = 8.0, 0.5  # the decision module multiplies a host's cost by these


@dataclass(slots=True)
class MergedAdvice:
    """The advice of all plug-ins asked so far on one call."""

    retry_after_ms: float | None = None
    function: str | None = None
    prefer: set[Target] = field(default_factory=set)
    avoid: set[Target] = field(default_factory=set)
    warm: list[tuple[str, str]] = field(default_factory=list)  # plug-in, function
    latency_target_ms: float | None = None
    label: str | None = None
    conflicts: int = 0

    def add(self, plugin: str, advice: Advice) -> None:
        if advice.retry_after_ms is not None:
            self.retry_after_ms = (
                advice.retry_after_ms
                if self.retry_after_ms is None
                else max(self.retry_after_ms, advice.retry_after_ms)
            )
        self.prefer |= set(advice.prefer)
        self.avoid |= set(advice.avoid)
        self.warm += [(plugin, f) for f in advice.warm]
        if advice.latency_target_ms is not None:
            self.latency_target_ms = (
                advice.latency_target_ms
                if self.latency_target_ms is None
                else min(self.latency_target_ms, advice.latency_target_ms)
            )
        for name in ("function", "label"):
            current, offered = getattr(self, name), getattr(advice, name)
            if current is None:
                setattr(self, name, offered)
            elif offered not in (None, current):
                self.conflicts += 1


@dataclass(frozen=True, slots=True)
class Host:
    """One model host, as far as plug-ins may see it."""

    worker: int
    name: str
    zone: str
    kind: str
    state: str  # "active", "leaving" or "left"


class HostList:
    """The model hosts by name, kept up to date from events."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}

    def apply(self, replace: bool, hosts: Iterable[Host]) -> None:
        if replace:
            self.hosts = {}
        for host in hosts:
            if host.state == "left":
                self.hosts.pop(host.name, None)
            else:
                self.hosts[host.name] = host


def resolve_cost_factors(
    merged: MergedAdvice, host_list: HostList, dropped: Counter[str]
) -> dict[int, float]:
    """Cost factors by worker for the decision module: above 1 to avoid a host, below 1 to prefer it.

    Advice on a host that is not in service is dropped and counted by reason; so is advice to avoid all hosts,
    since it does not say where to go.
    """
    active = {h.name: h for h in host_list.hosts.values() if h.state == "active"}
    known = {
        "zone": {h.zone for h in host_list.hosts.values()},
        "kind": {h.kind for h in host_list.hosts.values()},
    }

    def matching_workers(targets: set[Target]) -> set[int]:
        workers: set[int] = set()
        for t in targets:
            if t.scope == "host":
                if t.name in active:
                    workers.add(active[t.name].worker)
                else:
                    dropped["leaving" if t.name in host_list.hosts else "unknown"] += 1
            elif t.name in known[t.scope]:
                workers |= {h.worker for h in active.values() if getattr(h, t.scope) == t.name}
            else:
                dropped["unknown"] += 1
        return workers

    avoid, prefer = matching_workers(merged.avoid), matching_workers(merged.prefer)
    if avoid and len(avoid) == len(active):
        dropped["avoids-all"] += 1
        avoid = set()
    return dict.fromkeys(prefer, PREFER_FACTOR) | dict.fromkeys(avoid, AVOID_FACTOR)


@dataclass(slots=True)
class PrewarmRequests:
    """Functions that plug-ins ask to keep warm.

    Each request expires; until then it is repeated to the decision module at an interval.
    """

    ttl_ms: float = 30_000.0
    interval_ms: float = 2_000.0
    max_requests: int = 64  # of all plug-ins together
    # (plug-in, function) -> (time of expiry, time when it is next due)
    requests: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, plugin: str, function: str, max_of_plugin: int, now: float) -> bool:
        """Add or renew a request; return False if it was dropped.

        A plug-in at its limit keeps the requests that it has.
        """
        self.expire(now)
        key = (plugin, function)
        own = sum(p == plugin for p, _ in self.requests)
        if key not in self.requests and (own >= max_of_plugin or len(self.requests) >= self.max_requests):
            self.counts["dropped"] += 1
            return False
        _, next_due = self.requests.get(key, (0.0, now))
        self.requests[key] = (now + self.ttl_ms, next_due)
        self.counts["kept"] += 1
        return True

    def expire(self, now: float) -> None:
        for key in [k for k, (expires_at, _) in self.requests.items() if expires_at <= now]:
            del self.requests[key]

    def remove_plugin(self, plugin: str) -> None:
        for key in [k for k in self.requests if k[0] == plugin]:
            del self.requests[key]

    def take_due(self, now: float) -> list[str]:
        """The functions to request from the decision module now, without duplicates."""
        self.expire(now)
        due = [k for k, (_, due_at) in self.requests.items() if due_at <= now]
        for key in due:
            self.requests[key] = (self.requests[key][0], now + self.interval_ms)
        return list(dict.fromkeys(f for _, f in due))


def count_by_label(counts: dict[str, Counter[str]], label: str, outcome: str, max_labels: int = 256) -> None:
    """Count an outcome under its label; labels beyond the limit share '(others)'."""
    name = label if label in counts or len(counts) < max_labels else "(others)"
    counts.setdefault(name, Counter())[outcome] += 1


def label_totals(counts: Mapping[str, Counter[str]]) -> dict[str, dict[str, int]]:
    return {name: dict(c) for name, c in counts.items()}
