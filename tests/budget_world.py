"""Simulates invokers, duty holders and a replicated log on one clock, with faults between them.

The checks: no token of a slice that was spent or is reserved has been returned; all such tokens are held or
spent in the committed tree; the tree's own rules hold.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import HolderReply, SliceRequest, UsageReport
from harrieryoke.budgets.decide.sizes import SliceSizing
from harrieryoke.budgets.decide.slices import BudgetState, SliceGranter
from harrieryoke.budgets.decide.spender import Reservation, Spender
from harrieryoke.budgets.decide.tree import Node, Tree
from harrieryoke.core.timing_wheel import TimingWheel


def check_node(tree: Tree, node: Node) -> int:
    """Returns what is reserved at the parent, computed from each node alone, and checks the rules."""
    children = [tree.nodes[child_id] for child_id in tree.children[node.id]]
    reserved = sum(check_node(tree, child) for child in children)
    held, spent = (
        node.own_held + sum(k.held for k in children),
        node.own_spent + sum(k.spent for k in children),
    )
    assert (node.held, node.spent, node.reserved) == (held, spent, reserved), f"sums of {node.id}"
    assert node.children_ceilings == sum(k.ceiling for k in children), f"children of {node.id}"
    assert min(node.ceiling, node.own_held, node.own_spent, node.lent) >= 0, node.id
    assert 0 <= node.reclaiming <= node.held, node.id
    assert node.lent == sum(
        loan.amount for other in tree.nodes.values() for loan in other.loans if loan.lender == node.id
    )
    if not node.terms.soft:
        assert node.ceiling - held - spent >= reserved, f"{node.id} exceeds its ceiling"
    if children and not node.closed:
        assert node.children_ceilings <= max(
            0, node.children_limit()
        ), f"{node.id} delegated more than it has"
    return max(0, min(node.terms.minimum, node.ceiling) - held - spent, reserved)


def check_tree(tree: Tree) -> None:
    root = tree.nodes[tree.root]
    check_node(tree, root)
    inexact = [
        n for n in tree.nodes.values() if n.terms.soft or n.terms.overcommit > c.OVERCOMMIT_UNIT or n.closed
    ]
    if not inexact:  # each token belongs to one node: held, spent and free sum to the ceiling
        own_tokens = [n.ceiling - n.children_ceilings for n in tree.nodes.values()]
        assert sum(own_tokens) == root.ceiling and min(own_tokens) >= 0


@dataclass
class Invoker:
    name: str
    clock_rate: float
    clock_origin: float
    spender: Spender
    life: int = 1
    stalled_until: float = 0.0


@dataclass
class Implementations:
    """The classes under test; tests replace them by faulty ones."""

    spender: type[Spender] = Spender
    granter: type[SliceGranter] = SliceGranter
    budgets: type[BudgetState] = BudgetState


class Simulation:
    """`send` puts a message in transit, and the driver delivers it: `TimedSimulation`, or a test that
    delivers messages in any order, twice or not at all."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        projects: dict[str, int],
        sizing: SliceSizing | None = None,
        implementations: Implementations | None = None,
        drift: float = 0.01,
    ) -> None:
        self.rng, self.implementations, self.sizing = (
            random.Random(seed),
            implementations or Implementations(),
            sizing or SliceSizing(),
        )
        self.now, self.index, self.last_call, self.last_life, self.clock_drift = 0.0, 0, 0, 1, drift
        self.in_transit: list[Callable[[], object]] = []
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.last_event, self.partitioned = 0, set[str]()
        self.log: list[tuple[int, c.LogEntry]] = []
        self.committed = self.new_replica()
        self.replicas = [self.new_replica(), self.new_replica()]
        self.applied = [0, 0]
        self.past_usage = dict.fromkeys(projects, 0)  # held and spent tokens cleared by the start of a period
        self.charged = dict.fromkeys(projects, 0)
        self.not_returned = dict[int, int]()  # tokens by slice
        self.lost_with_invoker = dict.fromkeys(projects, 0)  # tokens reserved by invokers that died
        self.counts = dict.fromkeys(("given", "refused", "taken", "charged", "empty"), 0)
        self.invokers = {n: self.new_invoker(n) for n in names}
        self.granters: list[tuple[int, SliceGranter]] = []
        for name, given in projects.items():
            self.submit(c.DelegateQuota("root", given))
            self.submit(c.OpenNode(name, "root"))
            self.submit(c.DelegateQuota(name, given))
        self.new_holder()

    def new_replica(self) -> BudgetState:
        return self.implementations.budgets("root", ("boss",), TimingWheel[int]())

    def new_invoker(self, name: str) -> Invoker:
        rate, origin = self.rng.uniform(1 - self.clock_drift, 1 + self.clock_drift), self.rng.uniform(0, 1e6)
        spender = self.implementations.spender(name, 1, self.sizing, self.rng.randrange(1 << 30))
        return Invoker(name, rate, origin, spender)

    def local_time(self, invoker: Invoker) -> float:
        return invoker.clock_origin + self.now * invoker.clock_rate

    def submit(self, command: c.AdminCommand) -> c.Rejection | None:
        name = command.parent if isinstance(command, c.OpenNode) else command.node
        version = self.committed.tree.nodes[name].version
        return self.commit(c.AdminChange("boss", 0, "a test", version, command))

    def commit(self, entry: c.LogEntry) -> c.Rejection | None:
        self.index += 1
        self.log.append((self.index, entry))
        before = {project: self.used(project) for project in self.past_usage}
        settlement = (
            entry.operation
            if isinstance(entry, c.HolderEntry) and isinstance(entry.operation, c.SettleSlice)
            else None
        )
        s = self.committed.slices.get(settlement.slice_id) if settlement is not None else None
        rejection = self.committed.apply(self.index, entry, self.now)
        if settlement is not None and s is not None:
            self.not_returned[settlement.slice_id] = s.amount - s.returned
            self.check_slices()
        if isinstance(entry, c.HolderEntry) and isinstance(entry.operation, c.StartPeriod):
            for project, used in before.items():
                self.past_usage[project] += used - self.used(project)
        if isinstance(entry, c.HolderEntry) and isinstance(entry.operation, c.GrantSlice):
            self.counts["given" if rejection is None else "refused"] += 1
            self.not_returned[self.index] = entry.operation.amount if rejection is None else 0
        return rejection

    def used(self, project: str) -> int:
        node = self.committed.tree.nodes.get(project)
        return node.own_held + node.own_spent if node is not None else 0

    def catch_up(self, replica_index: int, limit: int = 1 << 30) -> None:
        """A replica applies committed entries; the holder there sends the slices it granted."""
        replica, at = self.replicas[replica_index], self.applied[replica_index]
        for index, entry in self.log[at : at + limit]:
            rejection = replica.apply(index, entry, self.now)
            self.applied[replica_index] += 1
            _, granter = self.granters[-1] if self.granters else (0, None)
            given = (
                rejection is None
                and isinstance(entry, c.HolderEntry)
                and isinstance(entry.operation, c.GrantSlice)
            )
            if given and granter is not None and granter.budgets is replica and granter.is_active():
                self.send_reply(granter.granted_reply(index))

    def new_holder(self) -> None:
        replica_index = len(self.granters) % 2
        self.index += 1
        # takes the index of the duty's own entry, which has no effect on budgets
        self.log.append((self.index, c.AdminChange("", 0, "", 0, c.CloseNode(""))))
        self.granters.append(
            (
                replica_index,
                self.implementations.granter(self.replicas[replica_index], self.index, self.sizing),
            )
        )

    # --- messages ---

    def send(self, action: Callable[[], object], recipient: str) -> None:
        self.in_transit.append(action)

    def send_reply(self, reply: HolderReply) -> None:
        invoker = self.invokers[reply.invoker]
        self.send(lambda: invoker.spender.handle_reply(reply, self.local_time(invoker)), invoker.name)

    def dispatch(self, out: Iterable[c.HolderEntry | HolderReply]) -> None:
        for item in out:
            if isinstance(item, c.HolderEntry):
                self.send(partial(self.commit, item), "")
            else:
                self.send_reply(item)

    def send_due_messages(self, invoker: Invoker) -> None:
        for message in invoker.spender.run_due(self.local_time(invoker)):
            for _, granter in self.granters[-2:]:  # a stale holder receives it too
                self.send(partial(self.deliver_to_holder, granter, message), invoker.name)

    def deliver_to_holder(self, granter: SliceGranter, message: SliceRequest | UsageReport) -> None:
        self.dispatch(
            granter.handle_request(message, self.now, 1e5)
            if isinstance(message, SliceRequest)
            else granter.handle_report(message, self.now)
        )

    def run_holders(self) -> None:
        for _, granter in self.granters[-2:]:
            self.dispatch(granter.run_due(self.now))

    # --- calls ---

    def reserve(
        self, invoker: Invoker, project: str, function: str = "f", key: str | None = None
    ) -> int | None:
        """Returns the call's number where tokens were reserved."""
        self.last_call += 1
        if not isinstance(
            invoker.spender.reserve(project, function, self.last_call, key, self.local_time(invoker)),
            Reservation,
        ):
            self.counts["empty"] += 1
            return None
        self.counts["taken"] += 1
        return self.last_call

    def settle(self, invoker: Invoker, call: int, tokens: int) -> None:
        reservation = invoker.spender.reservations.get(call)
        charged = invoker.spender.settle(call, tokens, self.local_time(invoker))
        if reservation is not None:
            self.charged[reservation.project] += charged
            self.counts["charged"] += charged

    def kill(self, invoker: Invoker) -> None:
        for reservation in invoker.spender.reservations.values():
            self.lost_with_invoker[reservation.project] += sum(reservation.tokens.values())
        self.last_life += 1
        invoker.life = self.last_life
        invoker.spender = self.implementations.spender(
            invoker.name, invoker.life, self.sizing, self.rng.randrange(1 << 30)
        )

    def check_slices(self) -> None:
        """Checks the slices of live invokers; reservations of dead ones are in `lost_with_invoker`."""
        for invoker in self.invokers.values():
            for slice_id, project in invoker.spender.project_by_slice.items():
                held = invoker.spender.projects[project].slices[slice_id]
                assert (
                    held.spent + held.reserved <= self.not_returned[slice_id]
                ), f"spent tokens of slice {slice_id} were returned"

    def check(self) -> None:
        self.check_slices()
        check_tree(self.committed.tree)
        reserved = dict.fromkeys(self.past_usage, 0)
        for invoker in self.invokers.values():
            for reservation in invoker.spender.reservations.values():
                reserved[reservation.project] += sum(reservation.tokens.values())
        for project in self.past_usage:
            spent = self.charged[project] + self.lost_with_invoker[project] + reserved[project]
            held = self.past_usage[project] + self.used(project)
            assert spent <= held, f"{project}: {spent} tokens were spent, {held} were held for it"


class TimedSimulation(Simulation):
    """Drives the simulation by a schedule with loss, duplicates, delays, partitions, deaths, stalls and
    changes of holder."""

    loss_rate, duplicate_rate, delay_scale = 0.05, 0.05, 300.0

    def run(self, duration: float, calls_per_s: float, faults: bool) -> None:
        """`calls_per_s` is the rate at each invoker."""
        end = self.now + duration
        for invoker in self.invokers.values():
            self.schedule(self.rng.uniform(0, 100), partial(self.run_invoker, invoker, end))
            self.schedule(
                self.rng.uniform(0, 1000 / calls_per_s), partial(self.start_call, invoker, calls_per_s, end)
            )
        self.schedule(0, lambda: self.run_duty(end))
        if faults:
            self.schedule(self.rng.uniform(0, 2000), lambda: self.inject_fault(end))
        steps = 0
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heappop(self.events)
            action()
            steps += 1
            if steps % 50 == 0:
                self.check()
        self.now = end
        self.check()

    def schedule(self, after: float, action: Callable[[], object]) -> None:
        self.last_event += 1
        heappush(self.events, (self.now + after, self.last_event, action))

    def send(self, action: Callable[[], object], recipient: str) -> None:
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            if self.rng.random() >= self.loss_rate:
                self.schedule(
                    self.rng.expovariate(20 / self.delay_scale), lambda: self.deliver(action, recipient)
                )

    def deliver(self, action: Callable[[], object], recipient: str) -> None:
        invoker = self.invokers.get(recipient)
        if recipient not in self.partitioned and (invoker is None or invoker.stalled_until <= self.now):
            action()
        elif invoker is not None and invoker.stalled_until > self.now:
            self.schedule(
                invoker.stalled_until - self.now + self.rng.random(), lambda: self.deliver(action, recipient)
            )

    def run_invoker(self, invoker: Invoker, end: float) -> None:
        if invoker.stalled_until <= self.now:
            if invoker.name not in self.partitioned:
                invoker.spender.follow_holder(self.granters[-1][1].token)
            self.send_due_messages(invoker)
        if self.now < end:
            self.schedule(100, lambda: self.run_invoker(invoker, end))

    def run_duty(self, end: float) -> None:
        for replica_index in range(2):
            self.catch_up(replica_index, self.rng.choice((5, 1000)))
        self.run_holders()
        if self.now < end:
            self.schedule(20, lambda: self.run_duty(end))

    def start_call(self, invoker: Invoker, calls_per_s: float, end: float) -> None:
        if invoker.stalled_until <= self.now:
            project = self.rng.choice(list(self.past_usage))
            key = f"k{self.rng.randrange(50)}" if self.rng.random() < 0.3 else None
            call, life = self.reserve(invoker, project, f"f{self.rng.randrange(3)}", key), invoker.life
            if call is not None:
                tokens = int(self.rng.expovariate(1 / 40)) + 1
                self.schedule(tokens, lambda: self.finish_call(invoker, life, call, tokens))
        if self.now < end:
            self.schedule(
                self.rng.expovariate(calls_per_s / 1000), lambda: self.start_call(invoker, calls_per_s, end)
            )

    def finish_call(self, invoker: Invoker, life: int, call: int, tokens: int) -> None:
        if invoker.stalled_until > self.now:
            self.schedule(
                invoker.stalled_until - self.now + 1, lambda: self.finish_call(invoker, life, call, tokens)
            )
        elif invoker.life == life:
            self.settle(invoker, call, tokens)
            if self.rng.random() < 0.1:
                self.settle(invoker, call, tokens)

    def inject_fault(self, end: float) -> None:
        invoker = self.rng.choice(list(self.invokers.values()))
        fault = self.rng.randrange(5)
        duration = self.rng.choice((500.0, 8000.0, 20000.0))
        if fault == 0:
            self.kill(invoker)
        elif fault == 1:
            invoker.stalled_until = self.now + duration
        elif fault == 2:
            self.new_holder()
        elif fault == 3:
            self.commit(
                c.HolderEntry(self.granters[-1][1].token, c.StartPeriod(self.committed.tree.period + 1))
            )
        else:
            self.partitioned.add(invoker.name)
            self.schedule(duration, lambda: self.partitioned.discard(invoker.name))
        if self.now < end:
            self.schedule(self.rng.uniform(0, 4000), lambda: self.inject_fault(end))
