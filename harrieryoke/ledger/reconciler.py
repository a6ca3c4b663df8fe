"""Reconciles a period with the collector, a step a slice of background work.

    gather our ids -> ask for strata -> ask for a table -> settle: send what it lacks, report what we lack
                                             ^    |
                                             +----+ too small: twice the size
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..background.runner import Slice
from ..core.actor import now_ms
from ..log import Log
from .actor import LedgerActor
from .decide.reconcile import Session
from .wire.codec import pb

MOST_RESULTS = 64
REPAIR_BYTES = 1 << 20  # entries of one message


@dataclass(slots=True)
class Running:
    period: int
    session: Session
    entries: dict[int, bytes]  # ours, by id, as they go over the wire
    asked: float
    reply: pb.Sketch | None = None
    all_bytes: int = 0
    settled: bool = False


@dataclass(slots=True)
class Reconciler:
    """One period at a time. A connection that ends, or an answer that does not come, begins the period
    anew."""

    ledger: LedgerActor
    send: Callable[[pb.Frame], int]
    ready: Callable[[], bool]
    log: Log
    answer_ms: float
    queue: deque[int] = field(default_factory=deque)
    running: Running | None = None
    results: OrderedDict[int, dict[str, Any]] = field(default_factory=OrderedDict)

    def want(self, period: int) -> None:
        if period not in self.queue:
            self.queue.append(period)

    def heard(self, sketch: pb.Sketch) -> bool:
        """Whether it is what was asked for."""
        run = self.running
        if run is None or run.period != sketch.period or run.settled:
            return False
        run.reply = sketch
        return True

    def lost(self) -> None:
        """The connection has ended: what the collector said on it may be true no more."""
        run, self.running = self.running, None
        if run is not None:
            self.want(run.period)

    def slice(self) -> Slice:
        run = self.running
        if run is not None and run.reply is None:
            if self.ready() and now_ms() - run.asked <= 4 * self.answer_ms:
                return Slice()
            self.lost()
        if self.running is None:
            # guards against sending in a repair what a batch is about to bring
            calm = self.queue and self.ready() and self.ledger.ask(self.ledger.all_sent)
            return self.begin() if calm else Slice()
        return self.go_on(self.running)

    def begin(self) -> Slice:
        period = self.queue.popleft()
        entries = self.ledger.period_bytes(period)
        session = Session(entries, secrets.randbits(32))
        self.running = Running(period, session, entries, now_ms(), None, sum(map(len, entries.values())))
        return self.ask(self.running, 0)

    def ask(self, run: Running, cells: int) -> Slice:
        run.reply, run.asked = None, now_ms()
        asked = pb.Reconcile(period=run.period, seed=run.session.seed, cells=cells)
        return Slice(size=self.send(pb.Frame(reconcile=asked)))

    def go_on(self, run: Running) -> Slice:
        reply, run.reply = run.reply, None
        assert reply is not None
        if not reply.cells:
            return self.ask(run, run.session.wanted(reply.data))
        found = run.session.settle(reply.data)
        if found is None and run.session.cells:
            return self.ask(run, run.session.cells)
        # past the largest table all is sent: the collector keeps what it lacks
        lacking = list(run.entries) if found is None else sorted(found.ours)
        size, part, held = 0, list[bytes](), 0
        for id in lacking:
            part.append(run.entries[id])
            held += len(part[-1])
            if held >= REPAIR_BYTES:
                size += self.repair(run.period, part)
                part, held = [], 0
        size += self.repair(run.period, part) if part else 0
        self.finish(run, len(lacking), None if found is None else len(found.theirs), size)
        return Slice(more=bool(self.queue), size=size)

    def repair(self, period: int, entries: list[bytes]) -> int:
        return self.send(pb.Frame(repair=pb.Repair(period=period, entries=entries)))

    def finish(self, run: Running, sent: int, foreign: int | None, size: int) -> None:
        run.settled, self.running = True, None
        result = {
            "period": run.period,
            "entries": len(run.entries),
            "sent": sent,  # entries that the collector had not
            "not_here": foreign,  # entries that only the collector has; None: not found out
            "bytes": run.session.sent + size,
            "all_bytes": run.all_bytes,
        }
        self.results[run.period] = result
        self.results.move_to_end(run.period)
        while len(self.results) > MOST_RESULTS:
            self.results.popitem(last=False)
        if sent or foreign:
            words = f"period {run.period}: {sent} entries were not there, {foreign} are only there"
            self.log("reconciled", words, period=run.period)
