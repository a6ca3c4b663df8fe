"""Decoding of a model host's answer from the fields of its frame."""

from __future__ import annotations

from .. import interface as i
from ..settings import LOAD_REPORT_FIELDS
from . import frames

OUTCOMES = {
    frames.OK: i.Outcome.OK,
    frames.MISS: i.Outcome.MISS,
    frames.FULL: i.Outcome.FULL,
    frames.ERROR: i.Outcome.ERROR,
    frames.OVER: i.Outcome.NOT_SENT,
    frames.HEALTHY: i.Outcome.OK,
    frames.SICK: i.Outcome.ERROR,
}
COPY_LOOKUPS = {"w": i.CopyLookup.LOADED, "c": i.CopyLookup.STARTED_LOAD, "j": i.CopyLookup.WAITED_FOR_LOAD}


def parse_count(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdecimal() else None


def parse_load_report(text: str | None) -> i.LoadReport | None:
    """Parse the load report of an answer; an invalid value is treated as absent."""
    values: dict[str, float] = {}
    for pair in text.split(";") if text else []:
        name, _, value = pair.partition(":")
        try:
            if name in LOAD_REPORT_FIELDS:
                values[LOAD_REPORT_FIELDS[name]] = float(value)
        except ValueError:
            continue
    return i.LoadReport(**values) if values else None
