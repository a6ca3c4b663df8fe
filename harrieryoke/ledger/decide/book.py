"""The book of one instance: creates entries and derives totals from entries alone."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from decimal import Decimal
from typing import NamedTuple

import msgspec

from .entry import CORRECTION, GAP, USAGE, ZERO_AMOUNTS, Amounts, Entry, EntryId, SetDigest, digest_key
from .periods import Period, PeriodError, Periods

OTHER_TENANTS = "(others)"


class BookError(ValueError):
    """An entry that can't be created or applied; the message gives the reason."""


class TotalsKey(NamedTuple):
    """The key by which amounts are summed."""

    period: int
    tenant: str
    klass: str
    outcome: str
    over: bool


@dataclass(frozen=True, slots=True)
class CallUsage:
    """A call with its final answer, as the invoker observed it. Times are milliseconds."""

    time_ms: int
    tenant: str
    class_name: str
    outcome: str
    worth_thousandths: int  # of a served call of the class
    duration_ms: int
    memory_mb: int
    over_share: bool = False
    function: str = ""
    label: str = ""
    idempotency_key: str | None = None
    call_id: str = ""


@dataclass(slots=True)
class Totals:
    """Sums of amounts by TotalsKey. Beyond `max_lines` lines, new tenants are summed under OTHER_TENANTS and
    counted in `lumped_count`, so that all sums stay correct."""

    max_lines: int = 100_000
    lines: dict[TotalsKey, Amounts] = field(default_factory=dict)
    lumped_count: int = 0

    def add(self, entry: Entry) -> None:
        key = TotalsKey(entry.period, entry.tenant, entry.class_name, entry.outcome, entry.over_share)
        if key not in self.lines and len(self.lines) >= self.max_lines:
            key = key._replace(tenant=OTHER_TENANTS)
            self.lumped_count += 1
        self.lines[key] = self.lines.get(key, ZERO_AMOUNTS) + entry.amounts

    def select(self, period: int | None = None, tenant: str | None = None) -> dict[TotalsKey, Amounts]:
        return {
            key: amounts
            for key, amounts in sorted(self.lines.items())
            if period in (None, key.period) and tenant in (None, key.tenant)
        }

    def rows(self) -> list[dict[str, object]]:
        return [
            {**key._asdict(), **msgspec.structs.asdict(amounts)} for key, amounts in self.select().items()
        ]


class Price(msgspec.Struct, forbid_unknown_fields=True):
    """Price of a class, as decimal strings. Only served calls are billed."""

    call: str = "0"
    gb_second: str = "0"

    def cost(self, amounts: Amounts) -> Decimal:
        """Exact: a megabyte-millisecond is a millionth of a gigabyte-second."""
        return Decimal(self.call) * amounts.calls + Decimal(self.gb_second) * amounts.held / 1_000_000


def bill_by_tenant(
    lines: dict[TotalsKey, Amounts], prices: dict[str, Price]
) -> dict[tuple[int, str], Decimal]:
    """Money by period and tenant."""
    sums: dict[tuple[int, str], Decimal] = {}
    for key, amounts in lines.items():
        if key.outcome == "served":
            period_and_tenant = (key.period, key.tenant)
            sums[period_and_tenant] = sums.get(period_and_tenant, Decimal(0)) + prices.get(
                key.klass, Price()
            ).cost(amounts)
    return sums


class Book:
    """`add_usage`, `add_correction` and `add_gap` create the next entry and apply it; `apply` applies one
    read from the store. The same entries always give the same book."""

    def __init__(
        self, instance: str, epoch: int, periods: Periods, key_window_ms: int, max_keys: int = 50_000
    ) -> None:
        self.instance, self.epoch, self.periods = instance, epoch, periods
        self.last_number = 0  # of the newest entry of this epoch
        self.totals = Totals()
        self.key_window_ms, self.max_keys = key_window_ms, max_keys
        self.billed_keys: OrderedDict[int, int] = OrderedDict()  # time of billing by key digest, oldest first
        self.repeat_count = self.late_count = 0

    # --- new entries ---

    def add_usage(self, usage: CallUsage) -> Entry:
        key_digest = (
            0
            if usage.idempotency_key is None or usage.outcome != "served"
            else digest_key(usage.tenant, usage.class_name, usage.idempotency_key)
        )
        is_repeat = bool(key_digest) and self.was_billed(key_digest, usage.time_ms)
        amounts = Amounts(
            0 if is_repeat else 1,
            usage.worth_thousandths if usage.outcome == "served" and not is_repeat else 0,
            0 if is_repeat else usage.duration_ms,
            0 if is_repeat else usage.duration_ms * usage.memory_mb,
        )
        return self.add_entry(
            USAGE,
            usage.time_ms,
            tenant=usage.tenant,
            class_name=usage.class_name,
            outcome=usage.outcome,
            amounts=amounts,
            over_share=usage.over_share,
            function=usage.function,
            label=usage.label,
            is_repeat=is_repeat,
            key_digest=key_digest,
            call_id=usage.call_id,
        )

    def add_correction(
        self, old: Entry, earlier: Amounts, corrected: Amounts, reason: str, time_ms: int
    ) -> Entry:
        """Adds an entry that changes the sum of `old` and all its corrections from `earlier` to
        `corrected`. A correction may itself be corrected. Raises BookError."""
        if not reason.strip():
            raise BookError("a correction needs a reason")
        if old.kind == GAP:
            raise BookError(f"{old.id} records a gap: there is nothing to correct")
        if corrected == earlier:
            raise BookError(f"{old.id} already has these amounts")
        return self.add_entry(
            CORRECTION,
            time_ms,
            tenant=old.tenant,
            class_name=old.class_name,
            outcome=old.outcome,
            amounts=corrected - earlier,
            over_share=old.over_share,
            function=old.function,
            label=old.label,
            corrects=old.id,
            reason=reason,
            corrected_period=old.period,
            call_id=old.call_id,
        )

    def add_gap(self, time_ms: int, first_ms: int, last_ms: int, reason: str) -> Entry:
        """Records that entries between two times are missing: the totals of the period are incomplete."""
        description = f"{reason} ({first_ms} to {last_ms})"
        return self.add_entry(
            GAP, time_ms, tenant="", class_name="", outcome="", amounts=ZERO_AMOUNTS, reason=description
        )

    def add_entry(
        self,
        kind: int,
        time_ms: int,
        *,
        tenant: str,
        class_name: str,
        outcome: str,
        amounts: Amounts,
        over_share: bool = False,
        function: str = "",
        label: str = "",
        is_repeat: bool = False,
        key_digest: int = 0,
        corrects: EntryId | None = None,
        reason: str = "",
        corrected_period: int | None = None,
        call_id: str = "",
    ) -> Entry:
        own_period = self.periods.period_at(time_ms) if corrected_period is None else corrected_period
        period = self.periods.open_period_for(
            time_ms if corrected_period is None else self.periods.start_of(corrected_period)
        )
        original_period = -1 if period == own_period else own_period
        number = self.last_number + 1
        entry_id = EntryId(self.instance, self.epoch, number)
        entry = Entry(
            entry_id,
            kind,
            time_ms,
            period,
            tenant,
            class_name,
            outcome,
            amounts,
            over_share,
            function,
            label,
            is_repeat,
            key_digest,
            original_period,
            corrects,
            reason,
            call_id,
        )
        self.apply(entry)
        return entry

    def was_billed(self, key_digest: int, time_ms: int) -> bool:
        """Whether this key was billed within its window. A key that is served several times in its window is
        billed once."""
        while self.billed_keys and (
            len(self.billed_keys) > self.max_keys
            or time_ms - next(iter(self.billed_keys.values())) > self.key_window_ms
        ):
            self.billed_keys.popitem(last=False)
        return key_digest in self.billed_keys

    # --- entries that were made before ---

    def apply(self, entry: Entry) -> None:
        """Raises PeriodError for an entry of a sealed period, BookError for one of this epoch that is out of
        order."""
        if entry.id.epoch == self.epoch and entry.id.number != self.last_number + 1:
            raise BookError(f"{entry.id} does not follow number {self.last_number}")
        self.periods.add(entry, entry.kind == GAP)
        if entry.id.epoch == self.epoch:
            self.last_number = entry.id.number
        if entry.key_digest and not entry.is_repeat:
            self.billed_keys[entry.key_digest] = entry.time_ms
        self.repeat_count += entry.is_repeat
        self.late_count += entry.original_period >= 0
        if entry.kind != GAP:
            self.totals.add(entry)

    def seal(self, number: int, now: int) -> Period:
        return self.periods.seal(number, now)

    # --- snapshots ---

    def dump(self) -> bytes:
        """Encodes the book for a snapshot."""
        periods = self.periods
        return msgspec.msgpack.encode(
            {
                "version": 1,
                "epoch": self.epoch,
                "number": self.last_number,
                "floor": periods.sealed_up_to,
                "length": periods.length_ms,
                "periods": [
                    [
                        period.number,
                        period.entry_set.count,
                        period.entry_set.to_text(),
                        period.seal_digest,
                        period.sealed_at_ms,
                        period.gap_count,
                    ]
                    for period in periods.by_number.values()
                ],
                "lines": [[*line, amounts] for line, amounts in self.totals.lines.items()],
                "keys": [[key, billed_ms] for key, billed_ms in self.billed_keys.items()],
                "counts": [self.repeat_count, self.late_count, self.totals.lumped_count],
            }
        )

    def load(self, data: bytes) -> None:
        """Restores the book from a snapshot, usually of an earlier epoch. Raises BookError if invalid."""
        try:
            snapshot = msgspec.msgpack.decode(data)
            if snapshot["version"] != 1:
                raise BookError(f"unsupported snapshot version {snapshot['version']}")
            if snapshot["length"] != self.periods.length_ms:
                raise BookError("ledger.period_s: the folder was written with another length of the periods")
            self.periods.sealed_up_to = snapshot["floor"]
            for number, count, digest, seal_digest, sealed_at_ms, gap_count in snapshot["periods"]:
                entry_set = SetDigest(count, int(digest.partition(":")[2], 16))
                self.periods.by_number[number] = Period(
                    number, entry_set, seal_digest, sealed_at_ms, gap_count
                )
            for *line, amounts in snapshot["lines"]:
                self.totals.lines[TotalsKey(*line)] = Amounts(*amounts)
            self.billed_keys.update((key, billed_ms) for key, billed_ms in snapshot["keys"])
            self.repeat_count, self.late_count, self.totals.lumped_count = snapshot["counts"]
            if snapshot["epoch"] == self.epoch:
                self.last_number = snapshot["number"]
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise BookError(str(error)) from None


__all__ = [
    "Book",
    "BookError",
    "CallUsage",
    "Period",
    "PeriodError",
    "Price",
    "Totals",
    "TotalsKey",
    "bill_by_tenant",
]
