"""The `harrieryoke store check|dump|repair` commands."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict
from typing import Annotated, Any

import msgspec
import typer

from .decide.segment import FormatError, Record
from .files import DiskDirectory
from .settings import StoreError, StoreSettings
from .store import Store, StoreReader

store = typer.Typer(no_args_is_help=True, help="Inspect and repair a store directory.")
Folder = Annotated[str, typer.Argument(metavar="FOLDER")]
Json = Annotated[bool, typer.Option("--json", help="print JSON")]


def open_reader(folder: str) -> StoreReader:
    """Opens a store for reading. Raises StoreError if the directory is missing or not a store."""
    import os

    if not os.path.isdir(folder):
        raise StoreError(f"{folder}: no such directory")
    try:
        return StoreReader(DiskDirectory(folder))
    except (OSError, FormatError) as error:
        raise StoreError(f"{folder}: {error}") from None


def recovery_report(reader: StoreReader) -> dict[str, Any]:
    recovery = reader.recovery
    return {
        "records": recovery.records,
        "segments": recovery.segments,
        "last": recovery.last_seq,
        "snapshot": recovery.snapshot_seq,
        "tail_bytes": recovery.truncated_bytes,
        "tail_has_a_records_length": recovery.tail_is_record_sized,
        "closed_in_order": recovery.closed_cleanly,
        "damaged": [
            {"file": name, **asdict(damage), "lost": damage.lost_count()} for name, damage in recovery.damaged
        ],
        "bad_snapshots": recovery.bad_snapshots,
    }


@store.command()
def check(folder: Folder, json: Json = False) -> None:
    """Read every record, also next to a running writer; exit code 1 if anything is unreadable."""
    report = recovery_report(open_reader(folder))
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        for key, value in report.items():
            print(f"{key.replace('_', ' ')}: {value}")
    raise typer.Exit(1 if report["damaged"] or report["bad_snapshots"] else 0)


@store.command()
def dump(
    folder: Folder,
    from_seq: Annotated[int, typer.Option("--from", help="first sequence number")] = 1,
    since: Annotated[int | None, typer.Option(help="Unix time in milliseconds")] = None,
    key: Annotated[str | None, typer.Option(help="only records with this key")] = None,
    most: Annotated[int, typer.Option(help="maximum number of records")] = 1000,
) -> None:
    """Print records, one JSON object per line."""
    reader = open_reader(folder)
    if key is not None:
        records: Iterator[Record] = reader.records_with_key(key.encode())
    elif since is not None:
        records = reader.records_from_time(since)
    else:
        records = reader.records_from_seq(from_seq)
    for _, record in zip(range(most), records, strict=False):
        print(
            msgspec.json.encode(
                {
                    "seq": record.seq,
                    "at": record.time_ms,
                    "kind": record.kind,
                    "key": record.key.decode(errors="replace"),
                    "payload": decode_payload(record.payload),
                }
            ).decode()
        )


def decode_payload(payload: bytes) -> Any:
    try:
        return msgspec.msgpack.decode(payload)
    except msgspec.MsgspecError:
        return payload.hex()


@store.command()
def repair(folder: Folder) -> None:
    """Truncate the torn tail that the last writer left, as the daemon does at start. Damaged ranges elsewhere
    stay as they are."""
    open_reader(folder)
    opened = Store(DiskDirectory(folder), StoreSettings(folder), 0.0)
    report = recovery_report(opened)
    opened.directory.unlock()
    print(msgspec.json.encode(report).decode())
