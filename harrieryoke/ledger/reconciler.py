"""Reconciles a period with the collector, one step per slice of background work.

    gather our ids -> request strata -> request a table -> resolve: send what it lacks, report what we lack
                                              ^    |
                                              +----+ table too small: twice the size

`Turns` decides when a period may be reconciled. A run whose turn has ended stops before its next message.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..background.runner import SliceOutcome
from ..core.clock import now_ms
from ..log import Log
from .actor import LedgerActor
from .decide.reconcile import ReconcileSession
from .period_entries import PeriodEntries
from .wire.codec import pb

MAX_RESULTS = 64
MAX_AWAITED = 64  # beyond these, what is not exported is only held back
MAX_REPAIR_BYTES = 1 << 20  # per message


class Turns(Protocol):
    """Decides when periods are reconciled. No method blocks."""

    given: Callable[[], object]  # callback to be set: called when `next` may return a period

    def want(self, period: int) -> None: ...

    def some(self) -> bool:
        """Whether any period is requested."""
        ...

    def next(self) -> tuple[int, int] | None:
        """Takes the next period to reconcile: its number and its fencing token (0: none needed), or None.
        Called only when a run could start."""
        ...

    def holds(self, period: int, token: int) -> bool:
        """Whether the turn is still held."""
        ...

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        """The run is complete. `foreign`: entries that only the collector has; None: unknown. `size`:
        bytes transferred."""
        ...

    def lost(self) -> None:
        """Nothing can be reconciled until the next call of `next`; the current period is requested again."""
        ...


class LocalTurns:
    """Turns without a council: periods in the order of their requests, one after the other."""

    def __init__(self) -> None:
        self.given: Callable[[], object] = lambda: None
        self.queue: deque[int] = deque()
        self.current: int | None = None

    def want(self, period: int) -> None:
        if period not in self.queue:
            self.queue.append(period)

    def some(self) -> bool:
        return bool(self.queue)

    def next(self) -> tuple[int, int] | None:
        if not self.queue:
            return None
        self.current = self.queue.popleft()
        return self.current, 0

    def holds(self, period: int, token: int) -> bool:
        return True

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        self.current = None

    def lost(self) -> None:
        interrupted, self.current = self.current, None
        if interrupted is not None:
            self.want(interrupted)


@dataclass(slots=True)
class ReconcileRun:
    """The reconciliation of one period."""

    period: int
    token: int
    session: ReconcileSession
    entries: PeriodEntries
    requested_at: float
    reply: pb.Sketch | None = None
    all_bytes: int = 0
    settled: bool = False


@dataclass(slots=True)
class Reconciler:
    """Reconciles one period at a time. If the connection ends or an answer does not come, the period starts
    over."""

    ledger: LedgerActor
    send: Callable[[pb.Frame], int]
    is_connected: Callable[[], bool]
    log: Log
    answer_timeout_ms: float
    turns: Turns = field(default_factory=LocalTurns)
    run: ReconcileRun | None = None
    lost_connections: int = 0
    stopped_count: int = 0  # runs whose turn ended before they were done
    # by period that is wanted: the last record then; the next run waits until all before it is exported
    awaited_seqs: dict[int, int] = field(default_factory=dict)
    results: OrderedDict[int, dict[str, Any]] = field(default_factory=OrderedDict)

    def request(self, period: int) -> None:
        """Has a period reconciled."""
        self.await_export(period)
        self.turns.want(period)

    def await_export(self, period: int) -> None:
        """Has the next run wait until all entries up to now are exported."""
        if len(self.awaited_seqs) < MAX_AWAITED:
            self.awaited_seqs.setdefault(period, self.ledger.last_seq())

    def handle_sketch(self, sketch: pb.Sketch) -> bool:
        """Whether the sketch answers the current request."""
        run = self.run
        if run is None or run.period != sketch.period or run.settled:
            return False
        # Rejects answers to an earlier turn; a collector without fencing tokens sends 0.
        if sketch.token not in (0, run.token):
            return False
        run.reply = sketch
        return True

    def connection_lost(self) -> None:
        """The connection ended: what the collector said on it may be outdated."""
        if self.run is not None:
            self.await_export(self.run.period)
        self.run, self.lost_connections = None, self.lost_connections + 1
        self.turns.lost()

    def stop_if_turn_ended(self, run: ReconcileRun) -> bool:
        """Stops the run if its turn has ended. Checked before each message."""
        if self.turns.holds(run.period, run.token) and (run.reply is None or not run.reply.newer):
            return False
        self.run, self.stopped_count = None, self.stopped_count + 1
        return True

    def run_slice(self) -> SliceOutcome:
        run = self.run
        if run is not None and self.stop_if_turn_ended(run):
            run = None
        if run is not None and run.reply is None:
            if self.is_connected() and now_ms() - run.requested_at <= 4 * self.answer_timeout_ms:
                return SliceOutcome()
            self.connection_lost()
        if self.run is not None:
            return self.continue_run(self.run)
        may_start = self.turns.some() and self.is_connected() and self.ledger.run_in_actor(self.is_exported)
        turn = self.turns.next() if may_start else None
        return self.start_run(*turn) if turn is not None else SliceOutcome()

    def is_exported(self) -> bool:
        """Whether all entries from before the requests are exported: else a run would hold them back."""
        self.awaited_seqs = {
            period: seq
            for period, seq in self.awaited_seqs.items()
            if not self.ledger.ledger.is_exported_up_to(seq)
        }
        return not self.awaited_seqs

    def start_run(self, period: int, token: int) -> SliceOutcome:
        lost_before = self.lost_connections
        entries = self.ledger.read_period(period)
        if self.lost_connections != lost_before:  # the collector may have gone back; the period starts over
            self.await_export(period)
            return SliceOutcome()
        session = ReconcileSession(entries.delivered, secrets.randbits(32))
        all_bytes = sum(map(len, entries.delivered.values()))
        self.run = run = ReconcileRun(period, token, session, entries, now_ms(), None, all_bytes)
        # Reading the entries in the store's thread may have taken long.
        return SliceOutcome() if self.stop_if_turn_ended(run) else self.request_sketch(run, 0)

    def request_sketch(self, run: ReconcileRun, cells: int) -> SliceOutcome:
        run.reply, run.requested_at = None, now_ms()
        request = pb.Reconcile(period=run.period, seed=run.session.seed, cells=cells, token=run.token)
        return SliceOutcome(moved_bytes=self.send(pb.Frame(reconcile=request)))

    def continue_run(self, run: ReconcileRun) -> SliceOutcome:
        reply, run.reply = run.reply, None
        assert reply is not None
        if not reply.cells:
            return self.request_sketch(run, run.session.cells_needed(reply.data))
        difference = run.session.resolve(reply.data)
        if difference is None and run.session.cells:
            return self.request_sketch(run, run.session.cells)
        # Beyond the largest table all entries are sent; the collector keeps those it lacks.
        missing_ids = list(run.entries.delivered) if difference is None else sorted(difference.only_here)
        sent_bytes, message_entries, message_bytes = 0, list[bytes](), 0
        for entry_id in missing_ids:
            message_entries.append(run.entries.delivered[entry_id])
            message_bytes += len(message_entries[-1])
            if message_bytes >= MAX_REPAIR_BYTES:
                sent_bytes += self.send_repair(run, message_entries)
                message_entries, message_bytes = [], 0
                # Sending may have blocked until the collector read. On another connection the collector may
                # have gone back to an older copy, and batches deliver these entries again.
                if self.run is not run or self.stop_if_turn_ended(run):
                    return SliceOutcome(moved_bytes=sent_bytes)
        sent_bytes += self.send_repair(run, message_entries) if message_entries else 0
        foreign = None if difference is None else self.count_foreign(run, difference.only_there)
        if self.run is not run:  # the connection was lost meanwhile
            return SliceOutcome(moved_bytes=sent_bytes)
        self.finish_run(run, len(missing_ids), foreign, sent_bytes)
        return SliceOutcome(has_more=self.turns.some(), moved_bytes=sent_bytes)

    def count_foreign(self, run: ReconcileRun, only_there: set[int]) -> int:
        """Counts entries that only the collector has. Some may have been delivered during the run."""
        foreign = only_there - run.entries.held_back.keys()
        if not foreign:
            return 0
        now_here = self.ledger.read_period(run.period)
        return len(foreign - now_here.delivered.keys() - now_here.held_back.keys())

    def send_repair(self, run: ReconcileRun, entries: list[bytes]) -> int:
        return self.send(pb.Frame(repair=pb.Repair(period=run.period, entries=entries, token=run.token)))

    def finish_run(self, run: ReconcileRun, sent: int, foreign: int | None, sent_bytes: int) -> None:
        run.settled, self.run = True, None
        transferred_bytes = run.session.transferred_bytes + sent_bytes
        self.turns.done(run.period, run.token, len(run.entries.delivered), sent, foreign, transferred_bytes)
        result = {
            "period": run.period,
            "entries": len(run.entries.delivered),
            "sent": sent,  # entries that the collector lacked
            "pending": len(run.entries.held_back),  # entries that a batch is still to deliver
            "not_here": foreign,  # entries that only the collector has; None: unknown
            "bytes": transferred_bytes,
            "all_bytes": run.all_bytes,
        }
        self.results[run.period] = result
        self.results.move_to_end(run.period)
        while len(self.results) > MAX_RESULTS:
            self.results.popitem(last=False)
        if sent or foreign:
            summary = (
                f"period {run.period}: the collector lacked {sent} entries and has {foreign} unknown here"
            )
            self.log("reconciled", summary, period=run.period)
