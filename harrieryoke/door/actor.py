"""The door's actor: takes calls from the fronts, hands them to the module in fair order, and refuses in
time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import AsyncResult

from .. import interface as i
from ..core.actor import Actor, wait_for_reply
from ..core.clock import now_ms
from ..core.module import ModuleActor
from ..core.records import (
    Call,
    CallEnded,
    CallReceived,
    CallWithdrawn,
    Front,
    SettingsChanged,
    StatusRequested,
    Stopping,
)
from ..core.timing_wheel import TimingWheel
from ..limits import Limits
from ..log import Log
from .decide.calendar import Calendar, Rate
from .decide.fair import FairQueue, Item
from .decide.limit import InsideLimit
from .settings import DoorSettings

NO_TENANT = "\0none"
STOP_MS = 300.0  # before the end: what still waits is refused then


@dataclass(slots=True, eq=False)
class Waiting:
    """A call that has its place in the queue."""

    call: Call
    front: Front
    item: Item


@dataclass(slots=True)
class Inside:
    """A call that was handed on."""

    since: float
    cost: float


class DoorActor(Actor):
    """Owns what waits, what is inside, and the promises. Each call that comes leaves it once: handed on,
    refused or withdrawn; a call that was handed on is the module's to answer."""

    def __init__(
        self,
        told: DoorSettings,
        settings: i.Settings,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        seed: int,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        # the reserve is for the ends of what is inside: they must find room, or the limit would leak
        super().__init__("door", limits.module_mailbox + limits.open_calls, log, reserve=limits.open_calls)
        self.told, self.settings, self.core, self.limits, self.clock = told, settings, core, limits, clock
        self.queue = FairQueue({t.name: t.allowance_per_s or 1.0 for t in settings.tenants}, told.queue, seed)
        self.limit = InsideLimit(float(told.inside_least), float(told.inside_most), float(told.inside_first))
        self.calendar = Calendar(most=told.promises)
        self.costs: dict[int, float] = {}  # mean time inside of each class, learned
        self.rate = Rate(per_ms=float(told.inside_first))
        self.waiting: dict[Call, Waiting] = {}
        self.inside: dict[Call, Inside] = {}
        self.times: TimingWheel[Call] = TimingWheel(clock())
        self.stop_at = float("inf")
        self.counts: Counter[str] = Counter()

    # --- the fronts' and the module's side ---

    def offer(self, call: Call, front: Front) -> bool:
        # guards the call against a door that has ended: it goes straight on
        return self.blocking_send(CallReceived(call, front)) or self.core.pass_door(call, front)

    def withdraw(self, call: Call) -> bool:
        return self.blocking_send(CallWithdrawn(call)) or self.core.withdraw_past_door(call)

    def call_ended(self, call: Call, how: str) -> None:
        """What was never handed on here is passed over."""
        if call.watched_by_door and not self.try_send(CallEnded(call, how)):
            self.log("door-behind", "an end could not be told to the door")

    # --- the loop ---

    def run(self) -> None:
        while not self.finished:
            self.wait_for_message(min(self.times.next_time() - self.clock(), 1000.0))
            self.process_mailbox()
            self.expire(self.clock())
            self.pump(self.clock())

    def finish(self) -> None:
        """Guards what waits against a fault of this actor: it goes on to the module."""
        waiting, self.finished = list(self.waiting.values()), True
        super().finish()
        for each in waiting:
            self.core.pass_door(each.call, each.front)
        for message in list(self.mailbox):
            if isinstance(message, CallReceived):
                self.core.pass_door(message.call, message.front)
            elif isinstance(message, CallWithdrawn):
                self.core.withdraw_past_door(message.call)

    def receive(self, message: Any) -> None:
        now = self.clock()
        match message:
            case CallReceived(call, front):
                self.enter(call, front, now)
            case CallEnded(call, how):
                self.out(call, how, now)
            case CallWithdrawn(call):
                if self.remove(call) is None:
                    self.core.withdraw_past_door(call)
                else:
                    self.counts["withdrawn"] += 1
                    self.core.table.notify_observers(call, "withdrawn")
            case Stopping(by):
                self.stop_at = by - STOP_MS
                for call in self.waiting:
                    self.times.schedule(call, self.leaves_at(call))
            case SettingsChanged(settings):
                self.settings, self.reserve = settings, self.limits.open_calls
                self.capacity = self.limits.module_mailbox + self.reserve
                self.queue.reweigh({t.name: t.allowance_per_s or 1.0 for t in settings.tenants})
            case StatusRequested(tell):
                tell(self.status())
        if not self.mailbox:
            self.pump(now)

    # --- in ---

    def tenant(self, call: Call) -> str:
        return NO_TENANT if call.tenant is None else self.settings.tenants[call.tenant].name

    def client(self, call: Call) -> str:
        return call.label or call.client or call.topic

    def leaves_at(self, call: Call) -> float:
        """When a call that still waits is refused: before half of its time, so that it can be asked again."""
        return min(call.received_at + self.told.wait_share * (call.deadline - call.received_at), self.stop_at)

    def enter(self, call: Call, front: Front, now: float) -> None:
        self.counts["came"] += 1
        tenant, client, kind = self.tenant(call), self.client(call), self.settings.classes[call.class_index]
        first = self.calendar.returns((tenant, client), now)
        cost = self.costs.setdefault(call.class_index, kind.latency_target / 4)
        item = Item(call, tenant, client, cost, kind.worth / cost, call.deadline, first)
        each = Waiting(call, front, item)
        # who was told to come later and comes now takes no place from those that wait
        early = self.calendar.waits((tenant, client), now)
        late = early or now + self.wait_for(tenant) > self.leaves_at(call)
        late = late and not first and not self.limit.room()
        if late or self.leaves_at(call) <= now:
            # it can't make its time: it leaves at once
            self.counts["hopeless"] += 1
            return self.refuse(each, now)
        self.waiting[call] = each
        self.times.schedule(call, self.leaves_at(call))
        victim = self.queue.add(item, now)
        if victim is not None:
            self.counts["pushed-out"] += 1
            out = self.waiting.pop(victim.key)  # type: ignore[call-overload]
            self.times.cancel(out.call)
            self.refuse(out, now)

    def pump(self, now: float) -> None:
        """Hands on as many as there is room for."""
        while self.limit.room() and (item := self.queue.take()) is not None:
            each = self.waiting.pop(item.key)  # type: ignore[call-overload]
            self.times.cancel(each.call)
            self.limit.enter()
            self.counts["handed"] += 1
            each.call.watched_by_door = True
            self.inside[each.call] = Inside(now, item.cost)
            self.core.pass_door(each.call, each.front)

    # --- out ---

    def out(self, call: Call, how: str, now: float) -> None:
        if (was := self.inside.pop(call, None)) is None:
            return
        took, kind = now - was.since, self.settings.classes[call.class_index]
        # guards the limit against cold hosts and a slow store: a load's time is no sign of too many inside
        self.limit.ended(
            now, took, kind.latency_target, how in ("served", "failed") and not call.waited_for_load
        )
        self.rate.ended(now, was.cost, bool(len(self.queue)))
        if how == "served" and not call.waited_for_load:
            self.costs[call.class_index] += 0.02 * (max(1.0, took) - self.costs[call.class_index])

    def remove(self, call: Call) -> Waiting | None:
        each = self.waiting.pop(call, None)
        if each is not None:
            self.queue.drop(call)
            self.times.cancel(call)
        return each

    def expire(self, now: float) -> None:
        for call in self.times.expired(now):
            if (each := self.remove(call)) is not None:
                self.counts["waited-out"] += 1
                self.refuse(each, now)

    # --- refusals ---

    def wait_for(self, tenant: str) -> float:
        """How long a newcomer of the tenant would wait, in ms."""
        return self.queue.ahead(tenant) / max(self.rate.per_ms, 1e-6)

    def refuse(self, each: Waiting, now: float) -> None:
        call, tenant = each.call, each.item.tenant
        self.counts["refused"] += 1
        hint = None
        if self.settings.sends_retry_after:
            weights = {n: t.weight for n, t in self.queue.tenants.items() if t.waiting or n == tenant}
            share = (
                self.rate.per_ms * weights.get(tenant, self.queue.usual) / max(sum(weights.values()), 1e-9)
            )
            true = self.calendar.promise(
                (tenant, each.item.client), tenant, each.item.cost, self.wait_for(tenant), share, now
            )
            hint = min(true, self.settings.max_retry_after)
            self.counts["hint-cut"] += true > hint  # the truth is longer than may be told
        each.front.refused(call, hint or None)
        self.core.table.notify_observers(call, "refused")

    # --- for the operators ---

    def request_stop(self, by: float) -> None:
        self.blocking_send(Stopping(by))

    def ask_status(self, timeout_ms: float) -> dict[str, Any]:
        told: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(told.set))
        return wait_for_reply(told, timeout_ms)

    def status(self) -> dict[str, Any]:
        waiting = {name: t.waiting for name, t in self.queue.tenants.items() if name != NO_TENANT}
        return {
            "waiting": waiting,
            "inside": len(self.inside),
            "limit": round(self.limit.limit, 1),
            "late": round(self.limit.late, 3),
            "stalls": self.limit.stalls,
            "counts": dict(self.counts),
            "promises": dict(self.calendar.counts),
            "open_promises": len(self.calendar.promises),
            "work_per_ms": round(self.rate.per_ms, 3),
        }
