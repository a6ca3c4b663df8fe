"""`harrieryoke store check|dump|repair`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict
from typing import Annotated, Any

import msgspec
import typer

from .decide.segment import FormatError, Record
from .files import RealFiles
from .settings import StoreError, StoreSettings
from .store import Reader, Store

store = typer.Typer(no_args_is_help=True, help="The folder of a store.")
Folder = Annotated[str, typer.Argument(metavar="FOLDER")]
Json = Annotated[bool, typer.Option("--json", help="for machines")]


def opened(folder: str) -> Reader:
    """Raises StoreError for what is no store."""
    import os

    if not os.path.isdir(folder):
        raise StoreError(f"{folder}: there is no such folder")
    try:
        return Reader(RealFiles(folder))
    except (OSError, FormatError) as error:
        raise StoreError(f"{folder}: {error}") from None


def told(reader: Reader) -> dict[str, Any]:
    r = reader.recovery
    return {
        "records": r.records,
        "segments": r.segments,
        "last": r.last,
        "snapshot": r.snapshot,
        "tail_bytes": r.cut,
        "tail_has_a_records_length": r.suspect,
        "closed_in_order": r.clean,
        "damaged": [{"file": name, **asdict(fence), "lost": fence.lost()} for name, fence in r.damaged],
        "bad_snapshots": r.snapshots_bad,
    }


@store.command()
def check(folder: Folder, json: Json = False) -> None:
    """Read all of it, also beside a running writer; exit code 1 where something can't be read."""
    figures = told(opened(folder))
    if json:
        print(msgspec.json.encode(figures).decode())
    else:
        for key, value in figures.items():
            print(f"{key.replace('_', ' ')}: {value}")
    raise typer.Exit(1 if figures["damaged"] or figures["bad_snapshots"] else 0)


@store.command()
def dump(
    folder: Folder,
    from_seq: Annotated[int, typer.Option("--from", help="the first record's number")] = 1,
    since: Annotated[int | None, typer.Option(help="milliseconds of the Unix clock")] = None,
    key: Annotated[str | None, typer.Option(help="only records under this key")] = None,
    most: Annotated[int, typer.Option(help="records at the most")] = 1000,
) -> None:
    """Print records, one JSON object a line."""
    reader = opened(folder)
    if key is not None:
        found: Iterator[Record] = reader.of_key(key.encode())
    elif since is not None:
        found = reader.from_time(since)
    else:
        found = reader.from_seq(from_seq)
    for _, record in zip(range(most), found, strict=False):
        print(
            msgspec.json.encode(
                {
                    "seq": record.seq,
                    "at": record.at,
                    "kind": record.kind,
                    "key": record.key.decode(errors="replace"),
                    "payload": readable(record.payload),
                }
            ).decode()
        )


def readable(payload: bytes) -> Any:
    try:
        return msgspec.msgpack.decode(payload)
    except msgspec.MsgspecError:
        return payload.hex()


@store.command()
def repair(folder: Folder) -> None:
    """Cut what a last writer left unfinished, as the daemon does at its start. Damaged stretches stay as they
    are: nothing in them is thrown away."""
    opened(folder)
    made = Store(RealFiles(folder), StoreSettings(folder), 0.0)
    figures = told(made)
    made.files.unlock()
    print(msgspec.json.encode(figures).decode())
