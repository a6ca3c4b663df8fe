"""The book of one instance: makes entries of what happened, and derives totals from entries alone."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from decimal import Decimal
from typing import NamedTuple

import msgspec

from .entry import CORRECTION, GAP, NOTHING, USE, Amounts, Entry, Id, Sum, key_of
from .periods import Period, PeriodError, Periods

OTHERS = "(others)"


class BookError(ValueError):
    """What can't be written; the message says why."""


class Line(NamedTuple):
    """Where amounts are summed up."""

    period: int
    tenant: str
    klass: str
    outcome: str
    over: bool


@dataclass(frozen=True, slots=True)
class Use:
    """A final answer, as the invoker saw it. Times are milliseconds."""

    at: int
    tenant: str
    klass: str
    outcome: str
    worth: int  # thousandths, of a served call of the class
    took: int
    memory_mb: int
    over: bool = False
    function: str = ""
    label: str = ""
    key: str | None = None
    call: str = ""


@dataclass(slots=True)
class Totals:
    """Sums of amounts by line. Bounded by `most` lines: beyond it a tenant that is new counts as OTHERS,
    which keeps all sums right and is counted."""

    most: int = 100_000
    lines: dict[Line, Amounts] = field(default_factory=dict)
    lumped: int = 0

    def add(self, entry: Entry) -> None:
        line = Line(entry.period, entry.tenant, entry.klass, entry.outcome, entry.over)
        if line not in self.lines and len(self.lines) >= self.most:
            line = line._replace(tenant=OTHERS)
            self.lumped += 1
        self.lines[line] = self.lines.get(line, NOTHING) + entry.amounts

    def of(self, period: int | None = None, tenant: str | None = None) -> dict[Line, Amounts]:
        return {
            line: amounts
            for line, amounts in sorted(self.lines.items())
            if period in (None, line.period) and tenant in (None, line.tenant)
        }

    def rows(self) -> list[dict[str, object]]:
        """For operators."""
        return [{**line._asdict(), **msgspec.structs.asdict(a)} for line, a in self.of().items()]


class Price(msgspec.Struct, forbid_unknown_fields=True):
    """What a class costs: decimals, as texts. Only served calls are billed."""

    call: str = "0"
    gb_second: str = "0"

    def of(self, amounts: Amounts) -> Decimal:
        """Exact: a megabyte-millisecond is a millionth of a gigabyte-second."""
        return Decimal(self.call) * amounts.calls + Decimal(self.gb_second) * amounts.held / 1_000_000


def billed(lines: dict[Line, Amounts], prices: dict[str, Price]) -> dict[tuple[int, str], Decimal]:
    """Money by period and tenant."""
    sums: dict[tuple[int, str], Decimal] = {}
    for line, amounts in lines.items():
        if line.outcome == "served":
            at = (line.period, line.tenant)
            sums[at] = sums.get(at, Decimal(0)) + prices.get(line.klass, Price()).of(amounts)
    return sums


class Book:
    """`use`, `correct` and `gap` make the next entry and apply it; `apply` takes one from the store. The same
    entries give the same book, in whatever way they came into it."""

    def __init__(
        self, instance: str, epoch: int, periods: Periods, key_window: int, most_keys: int = 50_000
    ) -> None:
        self.instance, self.epoch, self.periods = instance, epoch, periods
        self.number = 0  # of the newest entry of this epoch
        self.totals = Totals()
        self.key_window, self.most_keys = key_window, most_keys
        self.keys: OrderedDict[int, int] = OrderedDict()  # billed keys, by their time
        self.repeats = self.late = 0

    # --- new entries ---

    def use(self, use: Use) -> Entry:
        key = 0 if use.key is None or use.outcome != "served" else key_of(use.tenant, use.klass, use.key)
        repeat = bool(key) and self.billed_before(key, use.at)
        amounts = Amounts(
            0 if repeat else 1,
            use.worth if use.outcome == "served" and not repeat else 0,
            0 if repeat else use.took,
            0 if repeat else use.took * use.memory_mb,
        )
        return self.enter(
            USE,
            use.at,
            tenant=use.tenant,
            klass=use.klass,
            outcome=use.outcome,
            amounts=amounts,
            over=use.over,
            function=use.function,
            label=use.label,
            repeat=repeat,
            key=key,
            call=use.call,
        )

    def correct(self, old: Entry, earlier: Amounts, to: Amounts, reason: str, at: int) -> Entry:
        """An entry that brings what `old` and all corrections of it amount to from `earlier` to `to`. A
        correction may itself be corrected. Raises BookError."""
        if not reason.strip():
            raise BookError("a correction needs a reason")
        if old.kind == GAP:
            raise BookError(f"{old.id} tells of a gap: there is nothing to correct")
        if to == earlier:
            raise BookError(f"{old.id} amounts to that already")
        return self.enter(
            CORRECTION,
            at,
            tenant=old.tenant,
            klass=old.klass,
            outcome=old.outcome,
            amounts=to - earlier,
            over=old.over,
            function=old.function,
            label=old.label,
            corrects=old.id,
            reason=reason,
            home=old.period,
            call=old.call,
        )

    def gap(self, at: int, first: int, last: int, reason: str) -> Entry:
        """Says that entries are missing, from one time to another: totals of the period are no longer
        whole."""
        said = f"{reason} ({first} to {last})"
        return self.enter(GAP, at, tenant="", klass="", outcome="", amounts=NOTHING, reason=said)

    def enter(
        self,
        kind: int,
        at: int,
        *,
        tenant: str,
        klass: str,
        outcome: str,
        amounts: Amounts,
        over: bool = False,
        function: str = "",
        label: str = "",
        repeat: bool = False,
        key: int = 0,
        corrects: Id | None = None,
        reason: str = "",
        home: int | None = None,
        call: str = "",
    ) -> Entry:
        wanted = self.periods.of(at) if home is None else home
        period = self.periods.open_for(at if home is None else self.periods.begin(home))
        came = -1 if period == wanted else wanted
        number = self.number + 1
        id = Id(self.instance, self.epoch, number)
        entry = Entry(
            id,
            kind,
            at,
            period,
            tenant,
            klass,
            outcome,
            amounts,
            over,
            function,
            label,
            repeat,
            key,
            came,
            corrects,
            reason,
            call,
        )
        self.apply(entry)
        return entry

    def billed_before(self, key: int, at: int) -> bool:
        """A key that was served within its window is billed once, whoever sent it again."""
        while self.keys and (
            len(self.keys) > self.most_keys or at - next(iter(self.keys.values())) > self.key_window
        ):
            self.keys.popitem(last=False)
        return key in self.keys

    # --- entries that were made before ---

    def apply(self, entry: Entry) -> None:
        """Raises PeriodError for an entry of a sealed period, BookError for one that was applied before."""
        if entry.id.epoch == self.epoch and entry.id.number != self.number + 1:
            raise BookError(f"{entry.id} does not follow number {self.number}")
        self.periods.add(entry, entry.kind == GAP)
        if entry.id.epoch == self.epoch:
            self.number = entry.id.number
        if entry.key and not entry.repeat:
            self.keys[entry.key] = entry.at
        self.repeats += entry.repeat
        self.late += entry.came >= 0
        if entry.kind != GAP:
            self.totals.add(entry)

    def seal(self, number: int, now: int) -> Period:
        return self.periods.seal(number, now)

    # --- snapshots ---

    def dump(self) -> bytes:
        """All of it."""
        p = self.periods
        return msgspec.msgpack.encode(
            {
                "version": 1,
                "epoch": self.epoch,
                "number": self.number,
                "floor": p.floor,
                "length": p.length,
                "periods": [
                    [x.number, x.sum.count, x.sum.hex(), x.sealed, x.sealed_at, x.gaps]
                    for x in p.known.values()
                ],
                "lines": [[*line, amounts] for line, amounts in self.totals.lines.items()],
                "keys": [[key, at] for key, at in self.keys.items()],
                "counts": [self.repeats, self.late, self.totals.lumped],
            }
        )

    def load(self, data: bytes) -> None:
        """Takes over what another epoch's book held. Raises BookError for what is none."""
        try:
            told = msgspec.msgpack.decode(data)
            if told["version"] != 1:
                raise BookError(f"a snapshot of version {told['version']}")
            if told["length"] != self.periods.length:
                raise BookError("ledger.period_s: the folder was written with another length of the periods")
            self.periods.floor = told["floor"]
            for number, count, digest, sealed, sealed_at, gaps in told["periods"]:
                held = Sum(count, int(digest.partition(":")[2], 16))
                self.periods.known[number] = Period(number, held, sealed, sealed_at, gaps)
            for *line, amounts in told["lines"]:
                self.totals.lines[Line(*line)] = Amounts(*amounts)
            self.keys.update((key, at) for key, at in told["keys"])
            self.repeats, self.late, self.totals.lumped = told["counts"]
            if told["epoch"] == self.epoch:
                self.number = told["number"]
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise BookError(str(error)) from None


__all__ = ["Book", "BookError", "Line", "Period", "PeriodError", "Price", "Totals", "Use", "billed"]
