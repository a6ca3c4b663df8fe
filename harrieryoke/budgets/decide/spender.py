"""The invoker's side of budgets: reserves tokens for calls out of slices and charges calls at their final
answer.

It takes no more of a slice than the holder has acknowledged as spendable, and nothing once the slice has
expired, counted from before its request. Tokens that a call uses beyond its estimate come out of the
spendable rest; what that cannot cover becomes a debt, paid by the project's next slice. So no token is spent
that is not held here, whatever messages are lost.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp
from random import Random
from typing import NamedTuple

from .estimates import CostEstimator
from .messages import HolderReply, SliceDenied, SliceRequest, SliceUsage, UsageAck, UsageReport
from .sizes import SliceSizing

MAX_PROJECTS = 10_000  # at the bound, an idle project is evicted for a new one
MAX_KEYS = 50_000  # idempotency keys of charged calls; beyond, a repeat of the oldest is charged again
RATE_WINDOW = 10_000.0  # milliseconds over which a project's demand is averaged
INITIAL_ROUND_TRIP = 200.0  # milliseconds from a request to its reply, until one was measured


@dataclass(slots=True)
class HeldSlice:
    """A slice held by this invoker. `expires_at` is on the local clock; `reserved` is for calls in flight."""

    amount: int
    expires_at: float
    spend_limit: int  # acknowledged
    requested_limit: int  # the highest limit that was requested or granted
    reserved: int = 0
    spent: int = 0
    reported_at: float = float("-inf")
    final: bool = False  # its final report was sent: nothing more is taken from it or charged to it

    def available(self) -> int:
        """Returns the tokens that can be reserved or charged now."""
        return 0 if self.final else max(0, self.spend_limit - self.reserved - self.spent)


class PendingRequest(NamedTuple):
    """A slice request without a reply yet."""

    number: int
    first_sent: float
    last_sent: float


@dataclass(slots=True)
class Project:
    """An invoker's budget for one project."""

    slices: dict[int, HeldSlice] = field(default_factory=dict)
    pending: PendingRequest | None = None
    min_amount: int = 1
    debt: int = 0
    in_flight: int = 0  # calls
    rate: float = 0.0  # demand in tokens per millisecond
    last_call: float = 0.0
    denial: SliceDenied | None = None
    retry_at: float = float("-inf")
    refill_at: float = float("-inf")  # a time in the past is never reported

    def is_idle(self) -> bool:
        return not (self.slices or self.in_flight or self.debt)


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for a call in flight, by slice."""

    project: str
    function: str
    key: Hashable | None
    tokens: dict[int, int]


@dataclass(frozen=True, slots=True)
class BudgetExhausted:
    """The call is to be rejected: `node` on the path has no tokens, or blocks the grant for the reason in
    `code`. A retry makes no sense within `backoff` ms, the time until the refill; 0 where none is
    expected."""

    node: str
    code: str
    backoff: float


@dataclass(frozen=True, slots=True)
class BudgetPending:
    """There is no slice yet and no reply of the holder: try again after its reply, or after the next
    `run_due`."""


class Spender:
    """Budget client of one invoker.

    `reserve` is called before a call goes to the module, `settle` at its final answer, and `run_due` at least
    once in each `retry_interval`; the messages it returns are sent to the duty's holder. Times are those of
    the local monotonic clock.
    """

    def __init__(
        self,
        invoker: str,
        life: int,
        sizing: SliceSizing,
        seed: int,
        key_ttl: float = 600_000.0,
        max_backoff: float = 60_000.0,
    ) -> None:
        self.invoker, self.life, self.sizing, self.rng = invoker, life, sizing, Random(seed)
        self.key_ttl, self.max_backoff = key_ttl, max_backoff
        self.estimator = CostEstimator()
        self.projects: dict[str, Project] = {}
        self.project_by_slice: dict[int, str] = {}
        self.reservations: dict[Hashable, Reservation] = {}
        # by project and idempotency key: tokens charged, tokens reserved, updated at
        self.charges_by_key: OrderedDict[tuple[str, Hashable], tuple[int, int, float]] = OrderedDict()
        self.last_request = 0
        self.holder_token = 0  # reports go to this holder
        self.round_trip = INITIAL_ROUND_TRIP
        self.unrequested: set[int] = set()  # slices that no pending request matches; they are returned

    # --- calls ---

    def reserve(
        self, project_name: str, function: str, call: Hashable, key: Hashable | None, now: float
    ) -> Reservation | BudgetExhausted | BudgetPending:
        """Reserves the estimated tokens for a new `call`. A repeat of a keyed call reserves only what is not
        covered by the key's charges and reservations yet."""
        project = self.find_project(project_name)
        if project is None:
            return BudgetExhausted(project_name, "full", 0.0)
        tokens = self.estimator.estimate(function)
        project.min_amount = max(tokens, project.min_amount - project.min_amount // 16)
        if key is not None:
            tokens = max(0, tokens - sum(self.charged_and_reserved(project_name, key, now)))
        project.rate = (
            project.rate * exp(-max(0.0, now - project.last_call) / RATE_WINDOW) + tokens / RATE_WINDOW
        )
        project.last_call = now
        parts = self.allocate(project, tokens, now)
        if parts is None:
            return self.refusal(project, now)
        for slice_id, amount in parts.items():
            project.slices[slice_id].reserved += amount
        if key is not None:
            charged, reserved = self.charged_and_reserved(project_name, key, now)
            self.store_charge(project_name, key, charged, reserved + tokens, now)
        project.in_flight += 1
        self.reservations[call] = Reservation(project_name, function, key, parts)
        return self.reservations[call]

    def find_project(self, name: str) -> Project | None:
        """Returns the project, created where it is new, or None where all projects are in use."""
        if name not in self.projects:
            if len(self.projects) >= MAX_PROJECTS:
                idle = next((n for n, project in self.projects.items() if project.is_idle()), None)
                if idle is None:
                    return None
                del self.projects[idle]
            self.projects[name] = Project()
        return self.projects[name]

    def charged_and_reserved(self, project_name: str, key: Hashable, now: float) -> tuple[int, int]:
        """Returns what was charged for the key, and what is reserved for its tries in flight. In total a key
        is charged the tokens of its most expensive try."""
        while self.charges_by_key and now - next(iter(self.charges_by_key.values()))[2] > self.key_ttl:
            self.charges_by_key.popitem(last=False)
        return self.charges_by_key.get((project_name, key), (0, 0, 0.0))[:2]

    def store_charge(self, project_name: str, key: Hashable, charged: int, reserved: int, now: float) -> None:
        self.charges_by_key.pop((project_name, key), None)
        self.charges_by_key[project_name, key] = charged, max(0, reserved), now
        if len(self.charges_by_key) > MAX_KEYS:
            self.charges_by_key.popitem(last=False)

    def allocate(self, project: Project, tokens: int, now: float) -> dict[int, int] | None:
        """Takes the tokens from the slices that expire first; None where they do not hold that much."""
        parts = dict[int, int]()
        for slice_id, held in sorted(project.slices.items(), key=lambda item: item[1].expires_at):
            if tokens and now < held.expires_at and (part := min(tokens, held.available())) > 0:
                parts[slice_id] = part
                tokens -= part
        return None if tokens else parts

    def refusal(self, project: Project, now: float) -> BudgetExhausted | BudgetPending:
        """Returns why no tokens can be reserved. The back-off gets a random jitter of up to a tenth, so that
        clients do not all return right after a refill."""
        if project.denial is None or (project.denial.refill_after and now >= project.refill_at):
            return BudgetPending()
        backoff = max(0.0, project.refill_at - now) * (1 + 0.1 * self.rng.random())
        return BudgetExhausted(
            project.denial.blocking_node, project.denial.code, min(backoff, self.max_backoff)
        )

    def settle(self, call: Hashable, tokens: int, now: float) -> int:
        """Returns the tokens charged. A call that is unknown or already settled is charged nothing."""
        reservation = self.reservations.pop(call, None)
        if reservation is None:
            return 0
        project = self.projects[reservation.project]
        project.in_flight -= 1
        if tokens > 0:
            self.estimator.record(reservation.function, tokens)
        due = tokens
        if reservation.key is not None:
            earlier, reserved = self.charged_and_reserved(reservation.project, reservation.key, now)
            due = max(0, tokens - earlier)
            self.store_charge(
                reservation.project,
                reservation.key,
                earlier + due,
                reserved - sum(reservation.tokens.values()),
                now,
            )
        charged = 0
        for slice_id, amount in reservation.tokens.items():
            part = min(amount, due - charged)
            project.slices[slice_id].reserved -= amount
            project.slices[slice_id].spent += part
            charged += part
        project.debt += due - charged
        return charged + self.pay_debt(project)

    def pay_debt(self, project: Project) -> int:
        """Pays the debt out of spendable tokens. An expired slice still serves for this until its final
        report."""
        paid = 0
        for held in project.slices.values():
            part = min(project.debt, held.available())
            held.spent, project.debt, paid = held.spent + part, project.debt - part, paid + part
        return paid

    # --- replies of the holder ---

    def follow_holder(self, token: int) -> None:
        """Sends reports to the holder of `token` from now on, unless a newer holder is known."""
        self.holder_token = max(self.holder_token, token)

    def handle_reply(self, reply: HolderReply, now: float) -> None:
        if (reply.invoker, reply.life) != (self.invoker, self.life):
            return
        if isinstance(reply, UsageAck):
            self.handle_ack(reply)
            return
        self.follow_holder(reply.token)
        project = self.projects.get(reply.node)
        matches = (
            project is not None
            and project.pending is not None
            and project.pending.number == reply.request_number
        )
        if isinstance(reply, SliceDenied):
            if project is not None and matches:
                project.pending, project.denial = None, reply
                project.retry_at = now + reply.retry_after + self.sizing.min_duration * self.rng.random()
                project.refill_at = now + reply.refill_after if reply.refill_after else float("-inf")
            return
        if reply.slice_id in self.project_by_slice:
            return  # ignores the limit of a holder that never got a report on this slice
        if project is None or project.pending is None or not matches:
            self.unrequested.add(reply.slice_id)
            return
        self.round_trip += 0.2 * (now - project.pending.last_sent - self.round_trip)
        self.project_by_slice[reply.slice_id] = reply.node
        project.slices[reply.slice_id] = HeldSlice(
            reply.amount, project.pending.first_sent + reply.duration, reply.spend_limit, reply.spend_limit
        )
        project.pending = project.denial = None
        self.pay_debt(project)

    def handle_ack(self, ack: UsageAck) -> None:
        if ack.settled:
            self.unrequested.discard(ack.slice_id)
        name = self.project_by_slice.get(ack.slice_id)
        if name is None:
            return
        held = self.projects[name].slices[ack.slice_id]
        if not ack.settled:
            held.spend_limit = max(held.spend_limit, min(ack.spend_limit, held.requested_limit))
        elif not held.reserved:
            del self.projects[name].slices[ack.slice_id], self.project_by_slice[ack.slice_id]
        else:
            held.final, held.expires_at = True, float("-inf")

    # --- messages to the holder ---

    def run_due(self, now: float) -> list[SliceRequest | UsageReport]:
        """Returns the messages to send now. Requests go to whoever holds the duty, reports to the holder of
        their token."""
        out: list[SliceRequest | UsageReport] = []
        usages = [SliceUsage(slice_id, 0, 0, final=True) for slice_id in sorted(self.unrequested)]
        idle_since = now - 10 * RATE_WINDOW
        for name in [n for n, p in self.projects.items() if p.last_call < idle_since and p.is_idle()]:
            del self.projects[name]
        for name, project in self.projects.items():
            if (request := self.due_request(name, project, now)) is not None:
                out.append(request)
            usages += [
                usage
                for slice_id, held in project.slices.items()
                if (usage := self.due_usage(slice_id, held, project, now)) is not None
            ]
        if usages:
            out.append(UsageReport(self.invoker, self.life, self.holder_token, tuple(usages)))
        return out

    def due_request(self, name: str, project: Project, now: float) -> SliceRequest | None:
        """Returns a request for the next slice before the remaining tokens run out or expire."""
        if project.pending is not None and now - project.pending.first_sent > self.sizing.min_duration:
            project.pending = None  # a slice granted for it now would expire too soon
        if project.pending is None:
            rate = project.rate * exp(-max(0.0, now - project.last_call) / RATE_WINDOW)
            horizon = now + 2 * self.round_trip
            remaining = sum(
                h.amount - h.reserved - h.spent for h in project.slices.values() if h.expires_at > horizon
            )
            needed = rate * RATE_WINDOW >= 1 or project.debt > 0
            if (
                not needed
                or now < project.retry_at
                or remaining - project.debt
                > self.sizing.reorder_point(rate, self.round_trip, project.min_amount)
            ):
                return None
            self.last_request += 1
            project.pending = PendingRequest(self.last_request, now, now)
        elif now - project.pending.last_sent < self.sizing.retry_interval:
            return None
        project.pending = PendingRequest(project.pending.number, project.pending.first_sent, now)
        return SliceRequest(
            name,
            self.invoker,
            self.life,
            project.pending.number,
            project.rate,
            project.min_amount + project.debt,
        )

    def due_usage(self, slice_id: int, held: HeldSlice, project: Project, now: float) -> SliceUsage | None:
        """Reports a slice once in each `report_interval`, and sooner when its limit has to rise or it is
        finished."""
        final = not held.reserved and (held.final or now >= held.expires_at or held.spent == held.amount)
        held.final = held.final or final
        used = held.reserved + held.spent
        headroom = self.sizing.headroom(project.rate, project.min_amount)
        if now < held.expires_at and used + headroom > held.requested_limit:
            held.requested_limit = min(held.amount, max(held.requested_limit, used + headroom))
        urgent = final or (held.requested_limit > held.spend_limit and 2 * held.available() < headroom)
        if now - held.reported_at < (self.sizing.retry_interval if urgent else self.sizing.report_interval):
            return None
        held.reported_at = now
        return SliceUsage(slice_id, held.spent, held.requested_limit, final)
