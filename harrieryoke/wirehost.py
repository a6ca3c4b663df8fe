"""Adapter for the simulator's line protocol: parses batches, runs a Router per instance, writes replies."""

from __future__ import annotations

import base64
import binascii
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import TextIO

import msgspec

from .interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    CancelAttempt,
    CopyLookup,
    DropCopies,
    Event,
    Fail,
    FollowList,
    ListScope,
    LoadReport,
    LogLine,
    OrderCopies,
    OrderEnded,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestDropped,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerStatus,
)
from .router import Router
from .settings import LOAD_REPORT_FIELDS, load_report_names, read_settings

OUTCOMES = {
    "Ok": Outcome.OK,
    "Failed": Outcome.ERROR,
    "QueueFull": Outcome.FULL,
    "TimedOut": Outcome.TIMEOUT,
    "ConnectError": Outcome.NO_CONNECTION,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.NOT_SENT,
    "Miss": Outcome.MISS,
}
SCOPES = {
    "Partial": ListScope.CHANGES,
    "Complete": ListScope.WHOLE,
    "Persisted": ListScope.REMEMBERED,
    "Error": ListScope.FAILED,
}
WORKER_STATUSES = {"on": WorkerStatus.UP, "fading": WorkerStatus.DRAINING, "off": WorkerStatus.GONE}
COPY_LOOKUPS = {1: CopyLookup.LOADED, 2: CopyLookup.STARTED_LOAD, 3: CopyLookup.WAITED_FOR_LOAD}


class WireError(Exception):
    """The input violates the line protocol."""


def read_info(text: str) -> tuple[Settings, tuple[str, ...]]:
    """Parses the settings of an INIT line, and the names of the values of a load report."""
    info = msgspec.json.decode(text)
    if not isinstance(info, dict):
        raise WireError("settings are not an object")
    return read_settings(info), load_report_names(info)


def number_or_none(text: str) -> float | None:
    """Parses a number; '-' stands for an absent one."""
    return None if text == "-" else float(text)


def read_report(text: str, names: tuple[str, ...]) -> LoadReport | None:
    """Parses a load report, whose values are in the order of the settings."""
    if text == "-":
        return None
    values = {
        LOAD_REPORT_FIELDS[name]: number_or_none(value)
        for name, value in zip(names, text.split(","), strict=False)
        if name in LOAD_REPORT_FIELDS
    }
    return LoadReport(**values)


def read_entry(line: str) -> WorkerEntry:
    """Parses an M line of a SHEET."""
    parts = line.split(" ")
    if parts[0] != "M":
        raise WireError(f"worker entry expected: {line!r}")
    _, worker, zone, kind, cell, mode, size, started = parts
    started_at = number_or_none(started)
    return WorkerEntry(
        int(worker),
        int(zone),
        int(kind),
        int(cell),
        WORKER_STATUSES[mode],
        1.0 if size == "-" else float(size),
        started_at or None,
    )


def read_request(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a REQUEST line after its tag and instance."""
    request, class_index, tenant, function, deadline, hint, memory, slots, load_time, flags = parts
    bits = 0 if flags == "-" else int(flags)
    hinted = number_or_none(hint) if bits & 1 else None
    return RequestArrived(
        int(request),
        int(class_index),
        function,
        float(deadline),
        None if tenant == "-" else int(tenant),
        hinted,
        number_or_none(memory) or 0.0,
        int(number_or_none(slots) or 1),
        number_or_none(load_time),
        bool(bits & 2),
    )


def read_settled(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a SETTLED line after its tag and instance."""
    request, complete, reason, duration, info, worker, attempt, report = parts
    bits = 0 if info == "-" else int(info)
    outcome = OUTCOMES[reason]
    return AttemptEnded(
        int(request),
        int(worker),
        int(attempt),
        outcome,
        float(duration),
        complete == "1",
        COPY_LOOKUPS.get(bits & 7) if outcome is Outcome.OK else None,
        bits & 7 == 4,
        bits >> 3,
        read_report(report, names),
    )


def read_sampled(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a SAMPLED line after its tag and instance."""
    worker, reason, duration, report = parts
    return ProbeEnded(int(worker), OUTCOMES[reason], float(duration), read_report(report, names))


def read_loaded(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a LOADED line after its tag and instance."""
    duration, copies, reason, worker, function = parts
    return OrderEnded(int(worker), function, OUTCOMES[reason], int(copies), float(duration))


def read_accepted(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of an ACCEPTED line after its tag and instance."""
    request, worker, attempt, _ = parts
    return AnswerStarted(int(request), int(worker), int(attempt))


def read_dropped(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a DROPPED line after its tag and instance."""
    (request,) = parts
    return RequestDropped(int(request))


def read_wake(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a WAKE line after its tag and instance."""
    (name,) = parts
    return TimerFired(name)


def read_message(parts: list[str], names: tuple[str, ...]) -> Event:
    """Parses the fields of a MESSAGE line after its tag and instance."""
    peer, raw = parts
    return PeerMessage(int(peer), b"" if raw == "-" else base64.b64decode(raw, validate=True))


READERS: dict[str, Callable[[list[str], tuple[str, ...]], Event]] = {
    "REQUEST": read_request,
    "SETTLED": read_settled,
    "SAMPLED": read_sampled,
    "LOADED": read_loaded,
    "ACCEPTED": read_accepted,
    "DROPPED": read_dropped,
    "WAKE": read_wake,
    "MESSAGE": read_message,
}


def write_action(instance: int, action: Action) -> str:
    """Formats an action as a line."""
    match action:
        case StartAttempt(request, worker, stop_at):
            stop = "-" if stop_at is None else repr(float(stop_at))
            return f"SUBMIT_TO {instance} {request} {worker} {stop}"
        case CancelAttempt(request, attempt):
            return f"RETRACT {instance} {request} {attempt}"
        case Refuse(request, retry_after):
            delay = "-" if retry_after is None else repr(float(retry_after))
            return f"NOT_NOW {instance} {request} {delay}"
        case Fail(request):
            return f"LOSE {instance} {request}"
        case OrderCopies(worker, function, copies):
            return f"START_COPY {instance} {worker} {function} {copies}"
        case DropCopies(worker, function):
            return f"FREE_UP {instance} {worker} {function}"
        case Probe(worker):
            return f"SOUND_OUT {instance} {worker}"
        case SetTimer(name, at):
            return f"AFTER {instance} {name} {float(at)!r}"
        case FollowList():
            return f"LISTEN {instance} 1"
        case LogLine(text):
            return f"REMARK {instance} {text}"


class InstanceHost:
    """All router instances of the process; they share only the numbered worker lists."""

    def __init__(self) -> None:
        self.routers: dict[int, tuple[Router, tuple[str, ...]]] = {}
        self.worker_lists: dict[int, tuple[WorkerEntry, ...]] = {}

    def process_batch(self, now: float, lines: Iterator[str]) -> list[str]:
        """Reads a batch up to its end and returns the lines of the reply."""
        pending: dict[int, list[Event]] = {}
        for line in lines:
            if line == "EOF_BATCH":
                return self.reply(now, pending)
            self.read_line(line, lines, pending)
        raise WireError("input ended inside a batch")

    def read_line(self, line: str, lines: Iterator[str], pending: dict[int, list[Event]]) -> None:
        """Parses a line of a batch and queues its event."""
        tag, _, rest = line.partition(" ")
        if tag == "SHEET":
            slot, count = rest.split(" ")
            self.worker_lists[int(slot)] = tuple(read_entry(next(lines, "")) for _ in range(int(count)))
            return
        first, _, rest = rest.partition(" ")
        instance = int(first)
        if tag == "INIT":
            seed, _, info = rest.partition(" ")
            settings, names = read_info(info)
            self.routers[instance] = (Router(settings, int(seed)), names)
            pending[instance] = []
            return
        if instance not in self.routers:
            raise WireError(f"{tag} for an instance that was not started: {instance}")
        if tag == "TEARDOWN":
            del self.routers[instance]
            pending.pop(instance, None)
        elif tag == "FLEET":
            scope, _, slot = rest.split(" ")
            list_scope = SCOPES[scope]
            entries = () if list_scope is ListScope.FAILED else self.worker_lists[int(slot)]
            pending.setdefault(instance, []).append(WorkersListed(list_scope, entries))
        elif tag in READERS:
            pending.setdefault(instance, []).append(READERS[tag](rest.split(" "), self.routers[instance][1]))
        else:
            raise WireError(f"unknown message: {tag!r}")

    def reply(self, now: float, pending: dict[int, list[Event]]) -> list[str]:
        """Runs every instance that has events and returns its actions as lines."""
        reply: list[str] = []
        for instance, events in pending.items():
            try:
                actions = self.routers[instance][0].handle(now, events)
                reply.extend(write_action(instance, action) for action in actions)
            except Exception as error:  # reported to the simulator, which ends the run
                line = f"INTERNAL_ERROR {instance} {type(error).__name__}: {error}"
                reply.append(line.replace("\n", " "))
        reply.append("DONE")
        return reply


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends."""
    host = InstanceHost()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        if not line:
            continue
        tag, _, clock = line.partition(" ")
        if tag != "BEGIN_BATCH":
            raise WireError(f"batch expected: {line[:80]!r}")
        sink.write("\n".join(host.process_batch(float(clock), lines)) + "\n")
        sink.flush()


def main() -> int:
    """Runs the adapter on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", errors="strict", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, ValueError, KeyError, TypeError, AttributeError, binascii.Error) as error:
        print(f"harrieryoke: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
