"""The bench's wire: parses batches, hosts one Router per instance and writes replies. Decides nothing."""

from __future__ import annotations

import base64
import binascii
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import TextIO

import msgspec

from . import interface as i
from .router import Router
from .settings import REPORT_NAMES, read_settings, report_names

OUTCOMES = {
    "Ok": i.Outcome.OK,
    "Failed": i.Outcome.ERROR,
    "QueueFull": i.Outcome.FULL,
    "TimedOut": i.Outcome.TIMEOUT,
    "ConnectError": i.Outcome.NO_CONNECTION,
    "ResetByPeer": i.Outcome.RESET,
    "Canceled": i.Outcome.CANCELLED,
    "Ignored": i.Outcome.NOT_SENT,
    "Miss": i.Outcome.MISS,
}
SCOPES = {
    "Partial": i.ListScope.CHANGES,
    "Complete": i.ListScope.WHOLE,
    "Persisted": i.ListScope.REMEMBERED,
    "Error": i.ListScope.FAILED,
}
DRAINS = {"on": i.WorkerStatus.UP, "fading": i.WorkerStatus.DRAINING, "off": i.WorkerStatus.GONE}
FOUND = {1: i.CopyLookup.LOADED, 2: i.CopyLookup.STARTED_LOAD, 3: i.CopyLookup.WAITED_FOR_LOAD}


class WireError(Exception):
    """The input is not what the wire allows."""


def read_info(text: str) -> tuple[i.Settings, tuple[str, ...]]:
    """The settings of an INIT line, and the names of the load report's values."""
    info = msgspec.json.decode(text)
    if not isinstance(info, dict):
        raise WireError("settings are not an object")
    return read_settings(info), report_names(info)


def number_or_none(text: str) -> float | None:
    """A wire number; '-' stands for an absent one."""
    return None if text == "-" else float(text)


def read_report(text: str, names: tuple[str, ...]) -> i.LoadReport | None:
    """A load report, values in the order of the settings."""
    if text == "-":
        return None
    values = {
        REPORT_NAMES[n]: number_or_none(v)
        for n, v in zip(names, text.split(","), strict=False)
        if n in REPORT_NAMES
    }
    return i.LoadReport(**values)


def read_entry(line: str) -> i.WorkerEntry:
    """One M line of a SHEET."""
    parts = line.split(" ")
    if parts[0] != "M":
        raise WireError(f"worker entry expected: {line!r}")
    _, worker, zone, kind, cell, mode, size, started = parts
    at = number_or_none(started)
    return i.WorkerEntry(
        int(worker),
        int(zone),
        int(kind),
        int(cell),
        DRAINS[mode],
        1.0 if size == "-" else float(size),
        at or None,
    )


def read_request(p: list[str], names: tuple[str, ...]) -> i.Event:
    """REQUEST, without its tag and instance."""
    request, kind, tenant, function, due, hint, memory, lanes, load_time, flags = p
    bits = 0 if flags == "-" else int(flags)
    hinted = number_or_none(hint) if bits & 1 else None
    return i.RequestArrived(
        int(request),
        int(kind),
        function,
        float(due),
        None if tenant == "-" else int(tenant),
        hinted,
        number_or_none(memory) or 0.0,
        int(number_or_none(lanes) or 1),
        number_or_none(load_time),
        bool(bits & 2),
    )


def read_settled(p: list[str], names: tuple[str, ...]) -> i.Event:
    """SETTLED, without its tag and instance."""
    request, complete, reason, took, info, worker, attempt, report = p
    bits = 0 if info == "-" else int(info)
    outcome = OUTCOMES[reason]
    return i.AttemptEnded(
        int(request),
        int(worker),
        int(attempt),
        outcome,
        float(took),
        complete == "1",
        FOUND.get(bits & 7) if outcome is i.Outcome.OK else None,
        bits & 7 == 4,
        bits >> 3,
        read_report(report, names),
    )


def read_sampled(p: list[str], names: tuple[str, ...]) -> i.Event:
    """SAMPLED, without its tag and instance."""
    worker, reason, took, report = p
    return i.ProbeEnded(int(worker), OUTCOMES[reason], float(took), read_report(report, names))


def read_loaded(p: list[str], names: tuple[str, ...]) -> i.Event:
    """LOADED, without its tag and instance."""
    took, copies, reason, worker, function = p
    return i.OrderEnded(int(worker), function, OUTCOMES[reason], int(copies), float(took))


def read_accepted(p: list[str], names: tuple[str, ...]) -> i.Event:
    """ACCEPTED, without its tag and instance."""
    request, worker, attempt, _ = p
    return i.AnswerStarted(int(request), int(worker), int(attempt))


def read_dropped(p: list[str], names: tuple[str, ...]) -> i.Event:
    """DROPPED, without its tag and instance."""
    (request,) = p
    return i.RequestDropped(int(request))


def read_wake(p: list[str], names: tuple[str, ...]) -> i.Event:
    """WAKE, without its tag and instance."""
    (name,) = p
    return i.TimerFired(name)


def read_message(p: list[str], names: tuple[str, ...]) -> i.Event:
    """MESSAGE, without its tag and instance."""
    peer, raw = p
    return i.PeerMessage(int(peer), b"" if raw == "-" else base64.b64decode(raw, validate=True))


READERS: dict[str, Callable[[list[str], tuple[str, ...]], i.Event]] = {
    "REQUEST": read_request,
    "SETTLED": read_settled,
    "SAMPLED": read_sampled,
    "LOADED": read_loaded,
    "ACCEPTED": read_accepted,
    "DROPPED": read_dropped,
    "WAKE": read_wake,
    "MESSAGE": read_message,
}


def write_action(who: int, action: i.Action) -> str:
    """One action as a wire line."""
    match action:
        case i.StartAttempt(request, worker, stop_at):
            return f"SUBMIT_TO {who} {request} {worker} {'-' if stop_at is None else repr(float(stop_at))}"
        case i.CancelAttempt(request, attempt):
            return f"RETRACT {who} {request} {attempt}"
        case i.Refuse(request, retry_after):
            return f"NOT_NOW {who} {request} {'-' if retry_after is None else repr(float(retry_after))}"
        case i.Fail(request):
            return f"LOSE {who} {request}"
        case i.OrderCopies(worker, function, copies):
            return f"START_COPY {who} {worker} {function} {copies}"
        case i.DropCopies(worker, function):
            return f"FREE_UP {who} {worker} {function}"
        case i.Probe(worker):
            return f"SOUND_OUT {who} {worker}"
        case i.SetTimer(name, at):
            return f"AFTER {who} {name} {float(at)!r}"
        case i.FollowList():
            return f"LISTEN {who} 1"
        case i.LogLine(text):
            return f"REMARK {who} {text}"


class Host:
    """All instances of one process; they share nothing but the numbered lists of the wire."""

    def __init__(self) -> None:
        self.routers: dict[int, tuple[Router, tuple[str, ...]]] = {}
        self.sheets: dict[int, tuple[i.WorkerEntry, ...]] = {}

    def batch(self, now: float, lines: Iterator[str]) -> list[str]:
        """Reads one batch up to its end and returns the lines of the reply."""
        pending: dict[int, list[i.Event]] = {}
        for line in lines:
            if line == "EOF_BATCH":
                return self.reply(now, pending)
            self.read_line(line, lines, pending)
        raise WireError("input ended inside a batch")

    def read_line(self, line: str, lines: Iterator[str], pending: dict[int, list[i.Event]]) -> None:
        """One message of a batch."""
        tag, _, rest = line.partition(" ")
        if tag == "SHEET":
            slot, count = rest.split(" ")
            self.sheets[int(slot)] = tuple(read_entry(next(lines, "")) for _ in range(int(count)))
            return
        first, _, rest = rest.partition(" ")
        who = int(first)
        if tag == "INIT":
            seed, _, info = rest.partition(" ")
            settings, names = read_info(info)
            self.routers[who] = (Router(settings, int(seed)), names)
            pending[who] = []
            return
        if who not in self.routers:
            raise WireError(f"{tag} for an instance that was not started: {who}")
        if tag == "TEARDOWN":
            del self.routers[who]
            pending.pop(who, None)
        elif tag == "FLEET":
            scope, _, slot = rest.split(" ")
            kind = SCOPES[scope]
            entries = () if kind is i.ListScope.FAILED else self.sheets[int(slot)]
            pending.setdefault(who, []).append(i.WorkersListed(kind, entries))
        elif tag in READERS:
            pending.setdefault(who, []).append(READERS[tag](rest.split(" "), self.routers[who][1]))
        else:
            raise WireError(f"unknown message: {tag!r}")

    def reply(self, now: float, pending: dict[int, list[i.Event]]) -> list[str]:
        """Lets every instance with events decide."""
        out: list[str] = []
        for who, events in pending.items():
            try:
                out.extend(write_action(who, a) for a in self.routers[who][0].handle(now, events))
            except Exception as error:  # a bug in the decisions is the day's end, told in plain words
                out.append(f"INTERNAL_ERROR {who} {type(error).__name__}: {error}".replace("\n", " "))
        out.append("DONE")
        return out


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        if not line:
            continue
        tag, _, clock = line.partition(" ")
        if tag != "BEGIN_BATCH":
            raise WireError(f"batch expected: {line[:80]!r}")
        sink.write("\n".join(host.batch(float(clock), lines)) + "\n")
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
