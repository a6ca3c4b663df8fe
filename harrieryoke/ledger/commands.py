"""`harrieryoke ledger totals|periods|verify|close|correct|again|export`."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
import typer

from ..checks import ConfigError
from ..ops_client import ask
from ..store.commands import open_reader
from .decide.book import Book, Line
from .decide.entry import Amounts
from .decide.export import ExportState
from .decide.ledger import Ledger
from .decide.periods import Periods

ledger = typer.Typer(no_args_is_help=True, help="The ledger of a running invoker, or of a store's folder.")
Ops = Annotated[str | None, typer.Option("--ops", metavar="HOST:PORT", help="a running invoker's HTTP")]
Folder = Annotated[
    str | None, typer.Option("--folder", metavar="FOLDER", help="a store, also beside its writer")
]
Json = Annotated[bool, typer.Option("--json", help="for machines")]


def derived(folder: str, period_s: int) -> Ledger:
    """The ledger that the folder's records and its newest snapshot give."""
    reader = open_reader(folder)
    made = Ledger(Book("", 0, Periods(period_s * 1000, 0), 0), ExportState())
    if reader.snapshot is not None:
        made.load(reader.snapshot[1], 0.0)
    for record in reader.records_from_seq(reader.recovery.snapshot_seq + 1):
        made.replay(record.kind, record.seq, record.payload, 0.0)
    made.damaged += [f"{name}: {fence}" for name, fence in reader.recovery.damaged]
    return made


def status(ops: str | None, folder: str | None, period_s: int) -> dict[str, Any]:
    if (ops is None) == (folder is None):
        raise ConfigError("one of --ops and --folder is wanted")
    if ops is not None:
        told: dict[str, Any] = ask(ops, "GET", "/ledger")
        return told
    assert folder is not None
    book = (made := derived(folder, period_s)).book
    return {
        "periods": book.periods.rows(),
        "totals": book.totals.rows(),
        "damaged": made.damaged,
    }


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    texts = [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(columns, *texts, strict=True)]
    for row in [list(columns), *texts]:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())


Period = Annotated[int, typer.Option(help="the periods' length in the settings, for --folder")]


@ledger.command()
def totals(
    ops: Ops = None,
    folder: Folder = None,
    period: Annotated[int | None, typer.Option(help="only this one")] = None,
    tenant: Annotated[str | None, typer.Option()] = None,
    period_s: Period = 86_400,
    json: Json = False,
) -> None:
    """Sums by period, tenant, class and outcome."""
    told = status(ops, folder, period_s)
    rows = [r for r in told["totals"] if period in (None, r["period"]) and tenant in (None, r["tenant"])]
    if json:
        print(msgspec.json.encode(rows).decode())
    else:
        table(rows, (*Line._fields, *Amounts.__struct_fields__))


@ledger.command()
def periods(ops: Ops = None, folder: Folder = None, period_s: Period = 86_400, json: Json = False) -> None:
    """Which periods are open, which are sealed and with what, and which have gaps."""
    told = status(ops, folder, period_s)["periods"]
    if json:
        print(msgspec.json.encode(told).decode())
    else:
        table(told, ("period", "begin_ms", "entries", "gaps", "sealed"))


@ledger.command()
def verify(folder: Annotated[str, typer.Argument(metavar="FOLDER")], period_s: Period = 86_400) -> None:
    """Derive all again from the entries and compare with the seals; exit code 1 where they differ."""
    made = derived(folder, period_s)
    for words in made.damaged:
        print(words)
    sealed = [p for p in made.book.periods.known.values() if p.sealed]
    print(f"{len(sealed)} sealed periods, {len(made.damaged)} faults")
    raise typer.Exit(1 if made.damaged else 0)


OpsWanted = Annotated[str, typer.Option("--ops", metavar="HOST:PORT", help="a running invoker's HTTP")]


@ledger.command("close")
def close_period(period: int, ops: OpsWanted) -> None:
    """Close and seal a period that is over."""
    print(ask(ops, "POST", "/ledger/close", period=period)["sealed"])


@ledger.command()
def correct(
    id: Annotated[str, typer.Argument(help="INSTANCE/EPOCH/NUMBER of an entry or of a correction")],
    ops: OpsWanted,
    reason: Annotated[str, typer.Option()],
    calls: int = 0,
    worth: Annotated[int, typer.Option(help="thousandths")] = 0,
    took: Annotated[int, typer.Option(help="milliseconds")] = 0,
    held: Annotated[int, typer.Option(help="megabyte-milliseconds")] = 0,
) -> None:
    """Enter what the call should have come to, as a new entry."""
    query = {"id": id, "calls": calls, "worth": worth, "took": took, "held": held, "reason": reason}
    told = ask(ops, "POST", "/ledger/correct", **query)
    late = f", late for {told['came']}" if told["came"] >= 0 else ""
    print(f"{told['id']} in period {told['period']}{late}")


@ledger.command()
def export(ops: OpsWanted, json: Json = False) -> None:
    """What the collector has not acknowledged, and what was set aside."""
    told = ask(ops, "GET", "/ledger")["export"]
    if json:
        print(msgspec.json.encode(told).decode())
    else:
        for key, value in told.items():
            print(f"{key.replace('_', ' ')}: {value}")


@ledger.command()
def reconcile(period: int, ops: OpsWanted, json: Json = False) -> None:
    """Compare a period with the collector and send it what it lacks; prints what came of the last ones, so
    call it again for this one's."""
    rows = ask(ops, "POST", "/ledger/reconcile", period=period)["results"]
    if json:
        print(msgspec.json.encode(rows).decode())
    else:
        table(rows, ("period", "entries", "sent", "not_here", "bytes", "all_bytes"))


@ledger.command()
def again(epoch: str, batch: int, ops: OpsWanted) -> None:
    """Try a batch that was set aside once more."""
    ask(ops, "POST", "/ledger/again", epoch=epoch, batch=batch)
