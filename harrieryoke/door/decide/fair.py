"""Hierarchical start-time fair queueing: tenants by their weights, then clients, then calls by worth and
deadline.

Goyal, Vin and Cheng, "Start-time fair queuing" (1996): each flow has a finish tag; its next call starts at
the later of that tag and the virtual time, which is the start tag of the call in service; the least start
tag goes first. An idle flow saves up no credit, and a backlogged one is at most one largest call per flow
behind an ideal fluid server. By the same rule the shares of idle tenants go to the waiting ones in
proportion to their weights.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from .sketch import FinishTagSketch, RecentIds

# Ids not seen before share one flow, so that a client gains nothing by changing its id.
UNKNOWN_CLIENTS = "\0newcomers"
MIN_WEIGHT = 1e-6
COMPACTION_THRESHOLD = 32  # heap size above which entries that were removed are cleared out


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A waiting call. `cost` is its expected work; calls of one client are ordered by `worth_per_work`."""

    key: Hashable
    tenant: str
    client: str
    cost: float
    worth_per_work: float
    deadline: float
    reserved: bool = False  # it returned at its reserved time and goes ahead of its tenant's other calls
    removed: bool = False
    flow: str = ""  # the client, or UNKNOWN_CLIENTS


@dataclass(slots=True, eq=False)
class Flow:
    """A client with waiting calls."""

    name: str
    start_tag: float
    calls: list[tuple[float, float, int, QueuedCall]] = field(default_factory=list)  # heap


@dataclass(slots=True, eq=False)
class TenantQueue:
    """The waiting calls of one tenant."""

    weight: float
    finish_tag: float = 0.0
    virtual_time: float = 0.0  # among its clients
    waiting: int = 0
    backlog: float = 0.0  # work
    flows: dict[str, Flow] = field(default_factory=dict)
    flow_heap: list[tuple[float, int, Flow]] = field(default_factory=list)  # by start tag
    reserved_calls: list[tuple[float, int, QueuedCall]] = field(default_factory=list)  # heap by deadline


class FairQueue:
    """`add`, `pop` and `remove` are O(log n) in the calls that wait for one tenant; tenants are few.

    At `max_calls` an addition evicts a call of least worth of the tenant with the most work for its weight.
    The evicted call may be the one just added.
    """

    def __init__(
        self, weights: dict[str, float], max_calls: int, seed: int, default_weight: float = 0.01
    ) -> None:
        self.max_calls, self.default_weight, self.seed = max_calls, default_weight, seed
        self.tenants: dict[str, TenantQueue] = {}
        self.set_weights(weights)
        self.virtual_time, self.sequence = 0.0, 0
        self.calls: dict[Hashable, QueuedCall] = {}
        self.finish_tags: dict[str, FinishTagSketch] = {}
        self.recent_clients: dict[str, RecentIds] = {}

    def __len__(self) -> int:
        return len(self.calls)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights for calls taken from now on; waiting calls keep their place."""
        for name, weight in weights.items():
            self.tenant_queue(name).weight = max(weight, MIN_WEIGHT)

    def tenant_queue(self, name: str) -> TenantQueue:
        """Return the tenant's queue, created on first use."""
        return self.tenants.setdefault(name, TenantQueue(self.default_weight))

    def finish_tag_sketch(self, name: str) -> FinishTagSketch:
        """Return the tenant's sketch, created on first use. The settings bound the number of tenants."""
        if name not in self.finish_tags:
            self.finish_tags[name] = FinishTagSketch(self.seed)
        return self.finish_tags[name]

    def flow_name(self, call: QueuedCall, now: float) -> str:
        """Return the flow of a new call, and remember its client."""
        if call.tenant not in self.recent_clients:
            self.recent_clients[call.tenant] = RecentIds(self.seed)
        return call.client if self.recent_clients[call.tenant].add(call.client, now) else UNKNOWN_CLIENTS

    def add(self, call: QueuedCall, now: float) -> QueuedCall | None:
        """Queue the call. Return the evicted call if the queue was full: this one or another."""
        call.flow = self.flow_name(call, now)
        victim = None
        if len(self.calls) >= self.max_calls:
            victim = self.choose_victim(call)
            if victim is call:
                return call
            self.remove(victim.key)
        tenant = self.tenant_queue(call.tenant)
        self.sequence += 1
        self.calls[call.key] = call
        if not tenant.waiting:
            tenant.finish_tag = max(tenant.finish_tag, self.virtual_time)
        tenant.waiting += 1
        tenant.backlog += call.cost
        if call.reserved:
            heappush(tenant.reserved_calls, (call.deadline, self.sequence, call))
            return victim
        flow = tenant.flows.get(call.flow)
        if flow is None:
            start_tag = max(tenant.virtual_time, self.finish_tag_sketch(call.tenant).get(call.flow))
            flow = tenant.flows[call.flow] = Flow(call.flow, start_tag)
            heappush(tenant.flow_heap, (start_tag, self.sequence, flow))
        heappush(flow.calls, (-call.worth_per_work, call.deadline, self.sequence, call))
        return victim

    def choose_victim(self, newcomer: QueuedCall) -> QueuedCall:
        """Choose the call to evict: of the tenant with the most work for its weight, of that tenant's busiest
        client, so that a client that floods evicts its own calls."""
        loads = {name: t.backlog / t.weight for name, t in self.tenants.items() if t.waiting}
        own = self.tenant_queue(newcomer.tenant)
        loads[newcomer.tenant] = (own.backlog + newcomer.cost) / own.weight
        busiest = max(loads, key=loads.__getitem__)
        candidates = [c for c in self.calls.values() if c.tenant == busiest and not c.reserved]
        if busiest == newcomer.tenant:
            candidates.insert(0, newcomer)  # among equals the newcomer is evicted, not a call that has waited
        counts: dict[str, int] = {}
        for candidate in candidates:
            counts[candidate.flow] = counts.get(candidate.flow, 0) + 1
        return min(
            candidates or [newcomer], key=lambda c: (-counts.get(c.flow, 0), c.worth_per_work, -c.deadline)
        )

    def remove(self, key: Hashable) -> QueuedCall | None:
        """Take a call out of the queue. Its heap entry is marked and skipped later."""
        if (call := self.calls.pop(key, None)) is None:
            return None
        tenant = self.tenants[call.tenant]
        call.removed = True
        tenant.waiting -= 1
        tenant.backlog = tenant.backlog - call.cost if tenant.waiting else 0.0
        flow = tenant.flows.get(call.flow)
        if (
            flow is not None
            and not call.reserved
            and len(flow.calls) > COMPACTION_THRESHOLD
            and flow.calls[0][3].removed
        ):
            flow.calls = [c for c in flow.calls if not c[3].removed]
            heapify(flow.calls)
        return call

    def pop(self) -> QueuedCall | None:
        """Take out the call that is served next."""
        if not self.calls:
            return None
        backlogged = [(max(t.finish_tag, 0.0), name) for name, t in self.tenants.items() if t.waiting]
        start_tag, name = min(backlogged)
        tenant = self.tenants[name]
        call = self.pop_reserved(tenant) or self.pop_from_flows(name, tenant)
        self.virtual_time = max(self.virtual_time, start_tag)
        tenant.finish_tag = start_tag + call.cost / tenant.weight
        self.remove(call.key)
        return call

    def pop_reserved(self, tenant: TenantQueue) -> QueuedCall | None:
        """Take the call with the earliest deadline among those that returned at their reserved time."""
        while tenant.reserved_calls:
            call = heappop(tenant.reserved_calls)[2]
            if not call.removed:
                return call
        return None

    def pop_from_flows(self, name: str, tenant: TenantQueue) -> QueuedCall:
        """Take the call of most worth from the client with the least start tag."""
        while True:
            start_tag, _, flow = heappop(tenant.flow_heap)
            while flow.calls and flow.calls[0][3].removed:
                heappop(flow.calls)
            if not flow.calls:
                del tenant.flows[flow.name]
                continue
            call = heappop(flow.calls)[3]
            tenant.virtual_time = max(tenant.virtual_time, start_tag)
            flow.start_tag = start_tag + call.cost
            self.finish_tag_sketch(name).raise_to(flow.name, flow.start_tag)
            self.sequence += 1
            if flow.calls:
                heappush(tenant.flow_heap, (flow.start_tag, self.sequence, flow))
            else:
                del tenant.flows[flow.name]
            return call

    def work_ahead(self, name: str) -> float:
        """Work served before a new call of the tenant, at its share among the waiting tenants."""
        tenant = self.tenant_queue(name)
        weights = sum(other.weight for n, other in self.tenants.items() if other.waiting or n == name)
        return tenant.backlog * weights / tenant.weight
