"""The door's actor: takes calls from the fronts, hands them to the decision module in fair order, and refuses
those that would wait too long."""

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
from .decide.calendar import ReservationBook, ServiceRate
from .decide.fair import FairQueue, QueuedCall
from .decide.limit import ConcurrencyLimit
from .settings import DoorSettings

NO_TENANT = "\0none"
DEFAULT_TENANT_WEIGHT = 1.0  # of a tenant without an allowance
STOP_MARGIN_MS = 300.0  # calls that still wait are refused this long before the process ends
MAX_SLEEP_MS = 1000.0
INITIAL_COST_DIVISOR = 4  # of the latency target: a class's cost before any of its calls has ended
COST_SMOOTHING = 0.02  # weight of the newest call in a class's mean duration


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call in the queue."""

    call: Call
    front: Front
    entry: QueuedCall


@dataclass(slots=True)
class InFlightCall:
    """A call that was handed on and has not ended."""

    started_at: float
    cost: float


class DoorActor(Actor):
    """Owns the queue, the calls in flight and the reservations. Each call leaves the door once: handed on,
    refused or withdrawn. The decision module answers a call that was handed on."""

    def __init__(
        self,
        door_settings: DoorSettings,
        settings: i.Settings,
        core: ModuleActor,
        limits: Limits,
        log: Log,
        seed: int,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        # The reserve is for reports of ended calls: if one is lost, its call counts as in flight for good.
        super().__init__("door", limits.module_mailbox + limits.open_calls, log, reserve=limits.open_calls)
        self.door_settings, self.settings = door_settings, settings
        self.core, self.limits, self.clock = core, limits, clock
        weights = {t.name: t.allowance_per_s or DEFAULT_TENANT_WEIGHT for t in settings.tenants}
        self.queue = FairQueue(weights, door_settings.queue, seed)
        self.concurrency_limit = ConcurrencyLimit(
            float(door_settings.inside_least),
            float(door_settings.inside_most),
            float(door_settings.inside_first),
        )
        self.reservations = ReservationBook(max_clients=door_settings.promises)
        self.costs: dict[int, float] = {}  # mean duration of each class's calls
        self.service_rate = ServiceRate(work_per_ms=float(door_settings.inside_first))
        self.waiting: dict[Call, WaitingCall] = {}
        self.in_flight: dict[Call, InFlightCall] = {}
        self.queue_deadlines: TimingWheel[Call] = TimingWheel(clock())
        self.refuse_all_at = float("inf")
        self.counts: Counter[str] = Counter()

    # --- called by the fronts and the module ---

    def offer(self, call: Call, front: Front) -> bool:
        """Queue a call. If this actor has ended, the call goes straight to the module."""
        return self.blocking_send(CallReceived(call, front)) or self.core.pass_door(call, front)

    def withdraw(self, call: Call) -> bool:
        """Withdraw a call, whether it waits here or was handed on."""
        return self.blocking_send(CallWithdrawn(call)) or self.core.withdraw_past_door(call)

    def call_ended(self, call: Call, how: str) -> None:
        """Report the end of a call. Calls that were not handed on by the door are ignored."""
        if call.watched_by_door and not self.try_send(CallEnded(call, how)):
            self.log("door-behind", "mailbox full; the end of a call was not reported to the door")

    # --- the loop ---

    def run(self) -> None:
        """Run the actor's greenlet."""
        while not self.finished:
            self.wait_for_message(min(self.queue_deadlines.next_time() - self.clock(), MAX_SLEEP_MS))
            self.process_mailbox()
            self.refuse_expired(self.clock())
            self.dispatch(self.clock())

    def finish(self) -> None:
        """Hand the waiting calls to the module, so that a fault of this actor loses none."""
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
        """Handle one message, and dispatch calls once the mailbox is empty."""
        now = self.clock()
        match message:
            case CallReceived(call, front):
                self.accept(call, front, now)
            case CallEnded(call, how):
                self.record_end(call, how, now)
            case CallWithdrawn(call):
                if self.remove(call) is None:
                    self.core.withdraw_past_door(call)
                else:
                    self.counts["withdrawn"] += 1
                    self.core.table.notify_observers(call, "withdrawn")
            case Stopping(by):
                self.refuse_all_at = by - STOP_MARGIN_MS
                for call in self.waiting:
                    self.queue_deadlines.schedule(call, self.queue_deadline(call))
            case SettingsChanged(settings):
                self.settings, self.reserve = settings, self.limits.open_calls
                self.capacity = self.limits.module_mailbox + self.reserve
                self.queue.set_weights(
                    {t.name: t.allowance_per_s or DEFAULT_TENANT_WEIGHT for t in settings.tenants}
                )
            case StatusRequested(reply):
                reply(self.status())
        if not self.mailbox:
            self.dispatch(now)

    # --- arrivals and dispatch ---

    def tenant_name(self, call: Call) -> str:
        """Return the name of the call's tenant, or NO_TENANT."""
        return NO_TENANT if call.tenant is None else self.settings.tenants[call.tenant].name

    def client_name(self, call: Call) -> str:
        """Return the id under which the call is queued: a plug-in's label, the client, or the topic."""
        return call.label or call.client or call.topic

    def queue_deadline(self, call: Call) -> float:
        """Return when a waiting call is refused: before half of its time limit, so that the client can retry,
        and before this process ends."""
        return min(
            call.received_at + self.door_settings.wait_share * (call.deadline - call.received_at),
            self.refuse_all_at,
        )

    def accept(self, call: Call, front: Front, now: float) -> None:
        """Queue a call, or refuse it at once if it would wait too long."""
        self.counts["came"] += 1
        tenant, client = self.tenant_name(call), self.client_name(call)
        settings = self.settings.classes[call.class_index]
        reserved = self.reservations.redeem((tenant, client), now)
        cost = self.costs.setdefault(call.class_index, settings.latency_target / INITIAL_COST_DIVISOR)
        entry = QueuedCall(call, tenant, client, cost, settings.worth / cost, call.deadline, reserved)
        arrival = WaitingCall(call, front, entry)
        # An early client must not displace waiting calls: it is refused unless a call can be handed on now.
        early = self.reservations.is_early((tenant, client), now)
        hopeless = early or now + self.estimated_wait(tenant) > self.queue_deadline(call)
        hopeless = hopeless and not reserved and not self.concurrency_limit.available()
        if hopeless or self.queue_deadline(call) <= now:
            self.counts["hopeless"] += 1
            return self.refuse(arrival, now)
        self.waiting[call] = arrival
        self.queue_deadlines.schedule(call, self.queue_deadline(call))
        victim = self.queue.add(entry, now)
        if victim is not None:
            self.counts["pushed-out"] += 1
            evicted = self.waiting.pop(victim.key)  # type: ignore[call-overload]
            self.queue_deadlines.cancel(evicted.call)
            self.refuse(evicted, now)

    def dispatch(self, now: float) -> None:
        """Hand on as many calls as the concurrency limit allows."""
        while self.concurrency_limit.available() and (entry := self.queue.pop()) is not None:
            each = self.waiting.pop(entry.key)  # type: ignore[call-overload]
            self.queue_deadlines.cancel(each.call)
            self.concurrency_limit.begin()
            self.counts["handed"] += 1
            each.call.watched_by_door = True
            self.in_flight[each.call] = InFlightCall(now, entry.cost)
            self.core.pass_door(each.call, each.front)

    # --- departures ---

    def record_end(self, call: Call, how: str, now: float) -> None:
        """Count the end of a call in flight and learn from its duration."""
        if (ended := self.in_flight.pop(call, None)) is None:
            return
        duration, settings = now - ended.started_at, self.settings.classes[call.class_index]
        # A load's duration (cold hosts, a slow store) says nothing about the number of calls in flight.
        self.concurrency_limit.end(
            now, duration, settings.latency_target, how in ("served", "failed") and not call.waited_for_load
        )
        self.service_rate.record(now, ended.cost, bool(len(self.queue)))
        if how == "served" and not call.waited_for_load:
            self.costs[call.class_index] += COST_SMOOTHING * (
                max(1.0, duration) - self.costs[call.class_index]
            )

    def remove(self, call: Call) -> WaitingCall | None:
        """Take a waiting call out of the queue; None if it does not wait here."""
        each = self.waiting.pop(call, None)
        if each is not None:
            self.queue.remove(call)
            self.queue_deadlines.cancel(call)
        return each

    def refuse_expired(self, now: float) -> None:
        """Refuse the calls whose time in the queue is over."""
        for call in self.queue_deadlines.expired(now):
            if (each := self.remove(call)) is not None:
                self.counts["waited-out"] += 1
                self.refuse(each, now)

    # --- refusals ---

    def estimated_wait(self, tenant: str) -> float:
        """Return how many ms a new call of the tenant would wait."""
        return self.queue.work_ahead(tenant) / max(self.service_rate.work_per_ms, 1e-6)

    def refuse(self, each: WaitingCall, now: float) -> None:
        """Refuse a call, with advice on when to retry if the settings ask for it."""
        call, tenant = each.call, each.entry.tenant
        self.counts["refused"] += 1
        advice = None
        if self.settings.sends_retry_after:
            weights = {n: t.weight for n, t in self.queue.tenants.items() if t.waiting or n == tenant}
            share = (
                self.service_rate.work_per_ms
                * weights.get(tenant, self.queue.default_weight)
                / max(sum(weights.values()), 1e-9)
            )
            retry_after = self.reservations.reserve(
                (tenant, each.entry.client), tenant, each.entry.cost, self.estimated_wait(tenant), share, now
            )
            advice = min(retry_after, self.settings.max_retry_after)
            self.counts["hint-cut"] += retry_after > advice
        each.front.refused(call, advice or None)
        self.core.table.notify_observers(call, "refused")

    # --- for the operators ---

    def request_stop(self, by: float) -> None:
        """Tell the actor when the process will end at the latest."""
        self.blocking_send(Stopping(by))

    def ask_status(self, timeout_ms: float) -> dict[str, Any]:
        """Return the status as the actor sees it. Called by other greenlets."""
        reply: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(reply.set))
        return wait_for_reply(reply, timeout_ms)

    def status(self) -> dict[str, Any]:
        """Return the body of GET /door."""
        waiting = {name: t.waiting for name, t in self.queue.tenants.items() if name != NO_TENANT}
        return {
            "waiting": waiting,
            "inside": len(self.in_flight),
            "limit": round(self.concurrency_limit.limit, 1),
            "late": round(self.concurrency_limit.late_share, 3),
            "stalls": self.concurrency_limit.stalls,
            "counts": dict(self.counts),
            "promises": dict(self.reservations.counts),
            "open_promises": len(self.reservations.by_client),
            "work_per_ms": round(self.service_rate.work_per_ms, 3),
        }
