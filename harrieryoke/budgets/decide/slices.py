"""The replicated state of the budget tree and its slices, and the duty holder's logic that grants slices.

The tokens of a slice are held at its node (escrow). A slice ends by its invoker's final report, or by
timeout: then tokens beyond the spend limit are free again, and tokens below it that were not reported as
spent are in doubt. These stay held until a late report, or until the next period starts, which counts them as
spent. No token is returned that may still be spent.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple, Protocol

import msgspec
from msgspec import Struct

from ...council.decide.lease import Fence, Lease
from . import commands as c
from .commands import Rejection
from .messages import HolderReply, SliceDenied, SliceGranted, SliceRequest, SliceUsage, UsageAck, UsageReport
from .sizes import SliceSizing
from .tree import Tree, TreeState
from .turn import start_period

MAX_SLICES = 100_000
MAX_SLICE_DURATION = 3_600_000  # milliseconds
MAX_RATE = 1e6  # tokens per millisecond at one invoker; a higher rate is treated as an error
MAX_REPORT_ROWS = 1000  # per report; the rest is ignored and comes with the next report
MAX_REQUESTERS = 100_000  # pairs of node and invoker with known demand; the least recent is evicted


class Slice(
    Struct,
    rename={
        "request_number": "ask",
        "initial_limit": "opened",
        "duration": "ms",
        "returned": "back",
    },
):
    """`token`: the fencing token under which it was granted. `ended`: only a late report changes it."""

    node: str
    invoker: str
    life: int
    request_number: int
    amount: int
    initial_limit: int
    duration: int
    token: int
    spent: int = 0
    returned: int = 0
    ended: bool = False


class Snapshot(Struct):
    """The stored form of `BudgetState`."""

    tree: TreeState
    token: int
    slices: dict[int, Slice]


class ExpiryTimers(Protocol):
    """The timing wheel, `core.timing_wheel.TimingWheel`."""

    def schedule(self, item: int, at: float) -> None: ...
    def cancel(self, item: int) -> bool: ...
    def expired(self, now: float) -> list[int]: ...


class BudgetState:
    """State machine of the replicated log.

    `apply` is called in log order with the local monotonic time. The request for a slice was made before that
    time, so once the slice's duration, extended by `clock_drift`, has passed here, it has passed at the
    invoker.
    """

    def __init__(
        self, root: str, owners: tuple[str, ...], timers: ExpiryTimers, clock_drift: float = 0.01
    ) -> None:
        self.tree, self.timers, self.clock_drift = Tree(root, owners), timers, clock_drift
        self.slices: dict[int, Slice] = {}
        self.slice_by_request: dict[tuple[str, int, int], int] = {}  # key: invoker, life, request number
        self.timed_out: set[int] = set()  # slices whose end is not committed yet
        self.fence = Fence()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(Snapshot(self.tree.state(), self.fence.token, self.slices))

    def restore(self, data: bytes, now: float) -> None:
        """Replaces the state by a snapshot. Slices' durations restart from now, so they end later than they
        would have, never sooner. Raises msgspec.ValidationError for invalid data."""
        snapshot: Snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        for slice_id in self.slices:
            self.timers.cancel(slice_id)
        self.tree.restore(snapshot.tree)
        self.fence, self.slices, self.timed_out = Fence(snapshot.token), snapshot.slices, set()
        self.slice_by_request = {
            (slice_.invoker, slice_.life, slice_.request_number): slice_id
            for slice_id, slice_ in self.slices.items()
        }
        for slice_id, slice_ in self.slices.items():
            if not slice_.ended:
                self.timers.schedule(slice_id, now + Lease(slice_.duration, self.clock_drift).expiry_bound())

    def apply(self, index: int, entry: c.LogEntry, now: float) -> Rejection | None:
        """Applies a committed entry and returns None, or why it was rejected. The index of a `GrantSlice`
        entry becomes the ID of its slice."""
        if isinstance(entry, c.AdminChange):
            return self.tree.apply(index, entry)
        if not self.fence.admit(entry.token):
            return Rejection(self.tree.root, "fenced", "another member holds the duty now; ask that member")
        if isinstance(entry.operation, c.GrantSlice):
            return self.grant_slice(index, entry.operation, entry.token, now)
        if isinstance(entry.operation, c.SettleSlice):
            return self.settle_slice(entry.operation)
        if isinstance(entry.operation, c.BeginTerm):
            return None
        if entry.operation.number > self.tree.period:
            for slice_id in [slice_id for slice_id, slice_ in self.slices.items() if slice_.ended]:
                self.write_off(slice_id)
        return start_period(self.tree, entry.operation.number)

    def grant_slice(self, index: int, grant: c.GrantSlice, token: int, now: float) -> Rejection | None:
        node = self.tree.nodes.get(grant.node)
        if node is None:
            return Rejection(grant.node[: c.MAX_NAME_CHARS], "unknown", "no such node; check the tree")
        if not (
            0 < grant.initial_limit <= grant.amount
            and 0 < grant.duration <= MAX_SLICE_DURATION
            and len(grant.invoker) <= c.MAX_NAME_CHARS
        ):
            return Rejection(
                node.id, "slice", f"expected 1 <= initial limit <= amount and 1 to {MAX_SLICE_DURATION} ms"
            )
        if (grant.invoker, grant.life, grant.request_number) in self.slice_by_request:
            return Rejection(node.id, "asked", "a slice was already granted for this request")
        if len(self.slices) >= MAX_SLICES:
            ended = next((slice_id for slice_id, slice_ in self.slices.items() if slice_.ended), None)
            if ended is None:
                return Rejection(node.id, "full", f"{MAX_SLICES} slices are outstanding; wait for one to end")
            self.write_off(ended)
        if (rejection := self.tree.hold(node, grant.amount)) is not None:
            return rejection
        granted = Slice(
            grant.node,
            grant.invoker,
            grant.life,
            grant.request_number,
            grant.amount,
            grant.initial_limit,
            grant.duration,
            token,
        )
        self.slices[index] = granted
        self.slice_by_request[grant.invoker, grant.life, grant.request_number] = index
        self.timers.schedule(index, now + Lease(grant.duration, self.clock_drift).expiry_bound())
        return None

    def settle_slice(self, update: c.SettleSlice) -> Rejection | None:
        slice_ = self.slices.get(update.slice_id)
        if slice_ is None:
            return Rejection(
                self.tree.root, "unknown", f"slice {update.slice_id} is already settled; no action is needed"
            )
        if (
            update.spent < slice_.spent
            or update.returned < slice_.returned
            or update.spent + update.returned > slice_.amount
        ):
            return Rejection(
                slice_.node,
                "told",
                f"slice {update.slice_id}: totals must not shrink or exceed its amount; no action needed",
            )
        self.tree.settle(
            self.tree.nodes[slice_.node], update.spent - slice_.spent, update.returned - slice_.returned
        )
        slice_.spent, slice_.returned, slice_.ended = (
            update.spent,
            update.returned,
            slice_.ended or update.ended,
        )
        if slice_.ended:
            self.timers.cancel(update.slice_id)
            self.timed_out.discard(update.slice_id)
        if slice_.spent + slice_.returned == slice_.amount:
            self.remove_slice(update.slice_id)
        return None

    def write_off(self, slice_id: int) -> None:
        """Counts the tokens in doubt as spent and removes the slice."""
        slice_ = self.slices[slice_id]
        self.tree.settle(self.tree.nodes[slice_.node], slice_.amount - slice_.spent - slice_.returned, 0)
        self.remove_slice(slice_id)

    def remove_slice(self, slice_id: int) -> None:
        slice_ = self.slices.pop(slice_id)
        del self.slice_by_request[slice_.invoker, slice_.life, slice_.request_number]
        self.timers.cancel(slice_id)
        self.timed_out.discard(slice_id)

    def expired_slices(self, now: float) -> set[int]:
        """Returns slices that have expired, allowing for clock drift, and whose end is not committed yet."""
        self.timed_out.update(self.timers.expired(now))
        return self.timed_out

    def tokens_in_doubt(self) -> int:
        """Returns the tokens held for ended slices: within the spend limit, and not reported as spent."""
        return sum(
            slice_.amount - slice_.spent - slice_.returned for slice_ in self.slices.values() if slice_.ended
        )


class InvokerDemand(NamedTuple):
    """An invoker's demand for the tokens of one node."""

    rate: float  # tokens per millisecond
    reported_at: float


class SliceGranter:
    """The logic of the duty's holder, for as long as it has `token`.

    Returned `HolderEntry` values are proposed to the log, where they may get lost; replies are sent to their
    invokers. It sends nothing before its `BeginTerm` is applied, nor after that of a newer holder.
    """

    def __init__(self, budgets: BudgetState, token: int, sizing: SliceSizing) -> None:
        self.budgets, self.token, self.sizing = budgets, token, sizing
        self.demand: dict[tuple[str, str], InvokerDemand] = {}  # key: node, invoker
        self.requesters: dict[str, set[str]] = {}  # by node
        self.spend_limits: dict[int, int] = {}  # as far as they were reported to this holder
        self.reported_spent: dict[int, int] = {}
        self.proposed: dict[Hashable, float] = {}  # proposals that may not be committed yet: proposed at

    def is_active(self) -> bool:
        """Returns whether this holder has begun its term and no newer holder has."""
        return self.budgets.fence.token == self.token

    def propose(
        self, key: Hashable, operation: c.BeginTerm | c.GrantSlice | c.SettleSlice, now: float
    ) -> list[c.HolderEntry]:
        """Returns the entry to propose, or nothing while an earlier proposal may still be committed."""
        if now - self.proposed.get(key, float("-inf")) < self.sizing.retry_interval:
            return []
        self.proposed[key] = now
        return [c.HolderEntry(self.token, operation)]

    def handle_request(
        self, request: SliceRequest, now: float, refill_after: float = 0.0
    ) -> list[c.HolderEntry | HolderReply]:
        """Returns the entry to propose, or the reply. `refill_after`: ms until the next period, 0 if none."""
        if not self.is_active():
            return []
        slice_id = self.budgets.slice_by_request.get((request.invoker, request.life, request.number))
        if slice_id is not None:
            return [self.granted_reply(slice_id)]
        tree = self.budgets.tree
        node = tree.nodes.get(request.node)
        if node is None:
            return [self.denial(request, request.node, "unknown", self.sizing.max_duration)]
        if (rejection := tree.grant_rejection(node)) is not None:
            return [self.denial(request, rejection.node, rejection.code, self.sizing.max_duration)]
        rate = request.rate if 0 <= request.rate < MAX_RATE else 0.0  # also rejects NaN
        total_rate = self.record_demand(request, rate, now)
        free, limiting_node = tree.available(node)
        min_amount = max(1, request.min_amount)
        amount, initial_limit, duration = self.sizing.size_slice(free, rate, total_rate, min_amount)
        if not amount:
            retry_after = self.sizing.min_duration if limiting_node.held or not refill_after else refill_after
            refill = refill_after if limiting_node.terms.refill else 0.0
            return [self.denial(request, limiting_node.id, "empty", retry_after, refill)]
        grant = c.GrantSlice(
            request.node, request.invoker, request.life, request.number, amount, initial_limit, duration
        )
        return [*self.propose((request.invoker, request.life, request.number), grant, now)]

    def denial(
        self,
        request: SliceRequest,
        blocking_node: str,
        code: str,
        retry_after: float,
        refill_after: float = 0.0,
    ) -> SliceDenied:
        return SliceDenied(
            request.invoker,
            request.life,
            self.token,
            request.node,
            request.number,
            blocking_node,
            code,
            retry_after,
            refill_after,
        )

    def granted_reply(self, slice_id: int) -> SliceGranted:
        """Sent once the slice is applied, and again for each retried request. An invoker that has the slice
        ignores it: only `UsageAck` raises a spend limit."""
        slice_ = self.budgets.slices[slice_id]
        return SliceGranted(
            slice_.invoker,
            slice_.life,
            self.token,
            slice_id,
            slice_.node,
            slice_.request_number,
            slice_.amount,
            self.spend_limit(slice_id, slice_),
            slice_.duration,
        )

    def record_demand(self, request: SliceRequest, rate: float, now: float) -> float:
        """Returns the total rate of all recent requesters of the node, including this one."""
        key = (request.node, request.invoker)
        self.demand.pop(key, None)
        self.demand[key] = InvokerDemand(rate, now)
        self.requesters.setdefault(request.node, set()).add(request.invoker)
        while len(self.demand) > MAX_REQUESTERS:
            self.remove_requester(next(iter(self.demand)))
        oldest = now - 2 * self.sizing.max_duration
        for invoker in [
            i for i in self.requesters[request.node] if self.demand[request.node, i].reported_at < oldest
        ]:
            self.remove_requester((request.node, invoker))
        return sum(self.demand[request.node, invoker].rate for invoker in self.requesters[request.node])

    def remove_requester(self, key: tuple[str, str]) -> None:
        del self.demand[key]
        self.requesters[key[0]].discard(key[1])
        if not self.requesters[key[0]]:
            del self.requesters[key[0]]

    def spend_limit(self, slice_id: int, slice_: Slice) -> int:
        """Returns the limit beyond which nothing of the slice can have been taken. An earlier holder may have
        raised the limit further than the log shows: its slices count as fully spendable until their invoker
        reports to this holder."""
        return self.spend_limits.get(
            slice_id, slice_.initial_limit if slice_.token == self.token else slice_.amount
        )

    def handle_report(self, report: UsageReport, now: float) -> list[c.HolderEntry | HolderReply]:
        out: list[c.HolderEntry | HolderReply] = []
        if report.token != self.token or not self.is_active():
            return out
        for usage in report.usages[:MAX_REPORT_ROWS]:
            slice_ = self.budgets.slices.get(usage.slice_id)
            if slice_ is None or (slice_.invoker, slice_.life) != (report.invoker, report.life):
                out.append(UsageAck(report.invoker, report.life, usage.slice_id, 0, settled=True))
            elif usage.final:
                update = c.SettleSlice(usage.slice_id, usage.spent, slice_.amount - usage.spent, ended=True)
                out += self.propose((usage.slice_id, "done"), update, now)
            elif not slice_.ended and usage.slice_id not in self.budgets.timed_out:
                out.append(self.raise_spend_limit(usage, slice_, report))
        return out

    def raise_spend_limit(self, usage: SliceUsage, slice_: Slice, report: UsageReport) -> UsageAck:
        initial_limit = slice_.initial_limit if slice_.token == self.token else 0
        spend_limit = min(
            slice_.amount, max(usage.spend_limit, self.spend_limits.get(usage.slice_id, initial_limit))
        )
        self.spend_limits[usage.slice_id] = spend_limit
        self.reported_spent[usage.slice_id] = max(
            min(usage.spent, spend_limit), self.reported_spent.get(usage.slice_id, 0)
        )
        return UsageAck(report.invoker, report.life, usage.slice_id, spend_limit)

    def run_due(self, now: float) -> list[c.HolderEntry]:
        """Proposes to end expired slices. Called at least once in each `retry_interval`."""
        if not self.is_active():
            newer = self.budgets.fence.token > self.token
            return [] if newer else self.propose("begin", c.BeginTerm(), now)
        out: list[c.HolderEntry] = []
        for slice_id in sorted(self.budgets.expired_slices(now)):
            slice_ = self.budgets.slices[slice_id]
            spent = max(slice_.spent, self.reported_spent.get(slice_id, 0))
            update = c.SettleSlice(
                slice_id,
                spent,
                max(slice_.returned, slice_.amount - max(spent, self.spend_limit(slice_id, slice_))),
                ended=True,
            )
            out += self.propose((slice_id, "over"), update, now)
        for by_slice in (self.spend_limits, self.reported_spent):
            for slice_id in [slice_id for slice_id in by_slice if slice_id not in self.budgets.slices]:
                del by_slice[slice_id]
        oldest = now - 2 * self.sizing.retry_interval
        self.proposed = {key: at for key, at in self.proposed.items() if at > oldest}
        return out
