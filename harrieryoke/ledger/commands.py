"""The `harrieryoke ledger totals|periods|verify|close|correct|again|export` commands."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
import typer

from ..checks import ConfigError
from ..ops_client import ask
from ..store.commands import open_reader
from .decide.book import Book, TotalsKey
from .decide.entry import Amounts
from .decide.export import ExportState
from .decide.ledger import LedgerState
from .decide.periods import Periods

ledger = typer.Typer(no_args_is_help=True, help="The ledger of a running invoker or of a store directory.")
Ops = Annotated[
    str | None, typer.Option("--ops", metavar="HOST:PORT", help="operator address of a running invoker")
]
Folder = Annotated[
    str | None, typer.Option("--folder", metavar="FOLDER", help="a store directory, which may be in use")
]
Json = Annotated[bool, typer.Option("--json", help="print JSON")]


def ledger_from_store(folder: str, period_s: int) -> LedgerState:
    """Rebuilds the ledger from the newest snapshot of a store and the records after it."""
    reader = open_reader(folder)
    rebuilt = LedgerState(Book("", 0, Periods(period_s * 1000, 0), 0), ExportState())
    if reader.snapshot is not None:
        rebuilt.load(reader.snapshot[1], 0.0)
    for record in reader.records_from_seq(reader.recovery.snapshot_seq + 1):
        rebuilt.replay(record.kind, record.seq, record.payload, 0.0)
    rebuilt.damaged += [f"{name}: {damage}" for name, damage in reader.recovery.damaged]
    return rebuilt


def load_status(ops: str | None, folder: str | None, period_s: int) -> dict[str, Any]:
    if (ops is None) == (folder is None):
        raise ConfigError("exactly one of --ops and --folder is required")
    if ops is not None:
        answer: dict[str, Any] = ask(ops, "GET", "/ledger")
        return answer
    assert folder is not None
    book = (rebuilt := ledger_from_store(folder, period_s)).book
    return {
        "periods": book.periods.rows(),
        "totals": book.totals.rows(),
        "damaged": rebuilt.damaged,
    }


def print_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(columns, *cells, strict=True)]
    for row in [list(columns), *cells]:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())


Period = Annotated[int, typer.Option(help="configured length of the periods, for --folder")]


@ledger.command()
def totals(
    ops: Ops = None,
    folder: Folder = None,
    period: Annotated[int | None, typer.Option(help="only this period")] = None,
    tenant: Annotated[str | None, typer.Option()] = None,
    period_s: Period = 86_400,
    json: Json = False,
) -> None:
    """Sums by period, tenant, class and outcome."""
    status = load_status(ops, folder, period_s)
    rows = [
        row for row in status["totals"] if period in (None, row["period"]) and tenant in (None, row["tenant"])
    ]
    if json:
        print(msgspec.json.encode(rows).decode())
    else:
        print_table(rows, (*TotalsKey._fields, *Amounts.__struct_fields__))


@ledger.command()
def periods(ops: Ops = None, folder: Folder = None, period_s: Period = 86_400, json: Json = False) -> None:
    """Show which periods are open, which are sealed and with what digest, and which have gaps."""
    rows = load_status(ops, folder, period_s)["periods"]
    if json:
        print(msgspec.json.encode(rows).decode())
    else:
        print_table(rows, ("period", "begin_ms", "entries", "gaps", "sealed"))


@ledger.command()
def verify(folder: Annotated[str, typer.Argument(metavar="FOLDER")], period_s: Period = 86_400) -> None:
    """Rebuild the ledger from its entries and compare it with the seals; exit code 1 if they differ."""
    rebuilt = ledger_from_store(folder, period_s)
    for problem in rebuilt.damaged:
        print(problem)
    sealed = [period for period in rebuilt.book.periods.by_number.values() if period.seal_digest]
    print(f"{len(sealed)} sealed periods, {len(rebuilt.damaged)} faults")
    raise typer.Exit(1 if rebuilt.damaged else 0)


OpsWanted = Annotated[
    str, typer.Option("--ops", metavar="HOST:PORT", help="operator address of a running invoker")
]


@ledger.command("close")
def close_period(period: int, ops: OpsWanted) -> None:
    """Seal a period that is over."""
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
    """Add a correction entry with the amounts that the call should have."""
    query = {"id": id, "calls": calls, "worth": worth, "took": took, "held": held, "reason": reason}
    answer = ask(ops, "POST", "/ledger/correct", **query)
    late_note = f", late for {answer['came']}" if answer["came"] >= 0 else ""
    print(f"{answer['id']} in period {answer['period']}{late_note}")


@ledger.command()
def export(ops: OpsWanted, json: Json = False) -> None:
    """Show what the collector has not acknowledged, and which batches were set aside."""
    report = ask(ops, "GET", "/ledger")["export"]
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        for key, value in report.items():
            print(f"{key.replace('_', ' ')}: {value}")


@ledger.command()
def reconcile(period: int, ops: OpsWanted, json: Json = False) -> None:
    """Compare a period with the collector and send it missing entries. Prints results of earlier runs, so run
    it again for this one's."""
    rows = ask(ops, "POST", "/ledger/reconcile", period=period)["results"]
    if json:
        print(msgspec.json.encode(rows).decode())
    else:
        print_table(rows, ("period", "entries", "sent", "pending", "not_here", "bytes", "all_bytes"))


@ledger.command()
def again(epoch: str, batch: int, ops: OpsWanted) -> None:
    """Retry a batch that was set aside."""
    ask(ops, "POST", "/ledger/again", epoch=epoch, batch=batch)
