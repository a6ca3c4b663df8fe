"""Reconciles a period with the collector, a step a slice of background work.

    gather our ids -> ask for strata -> ask for a table -> settle: send what it lacks, report what we lack
                                             ^    |
                                             +----+ too small: twice the size

When a period may be done `Turns` says. A turn that has ended stops it before its next message.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..background.runner import Slice
from ..core.clock import now_ms
from ..log import Log
from .actor import LedgerActor
from .decide.reconcile import ReconcileSession
from .wire.codec import pb

MOST_RESULTS = 64
REPAIR_BYTES = 1 << 20  # entries of one message


class Turns(Protocol):
    """Gives periods their turns. Nothing of it waits."""

    given: Callable[[], object]  # to be set: called when there may be something for `next`

    def want(self, period: int) -> None: ...

    def some(self) -> bool:
        """Whether any period is wanted."""
        ...

    def next(self) -> tuple[int, int] | None:
        """Called when a period could be done now: which, and under which token (0: none is needed)."""
        ...

    def holds(self, period: int, token: int) -> bool:
        """Whether it still has that turn."""
        ...

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        """`foreign`: entries that only the collector has; None: not found out. `size`: bytes."""
        ...

    def lost(self) -> None:
        """Nothing can be done until `next` is called again; what was begun is wanted anew."""
        ...


class Alone:
    """Without a council: each period when it comes, one after the other."""

    def __init__(self) -> None:
        self.given: Callable[[], object] = lambda: None
        self.queue: deque[int] = deque()
        self.begun: int | None = None

    def want(self, period: int) -> None:
        if period not in self.queue:
            self.queue.append(period)

    def some(self) -> bool:
        return bool(self.queue)

    def next(self) -> tuple[int, int] | None:
        if not self.queue:
            return None
        self.begun = self.queue.popleft()
        return self.begun, 0

    def holds(self, period: int, token: int) -> bool:
        return True

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        self.begun = None

    def lost(self) -> None:
        begun, self.begun = self.begun, None
        if begun is not None:
            self.want(begun)


@dataclass(slots=True)
class Running:
    period: int
    token: int
    session: ReconcileSession
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
    turns: Turns = field(default_factory=Alone)
    running: Running | None = None
    stopped: int = 0  # whose turn ended before they were done
    results: OrderedDict[int, dict[str, Any]] = field(default_factory=OrderedDict)

    def want(self, period: int) -> None:
        self.turns.want(period)

    def heard(self, sketch: pb.Sketch) -> bool:
        """Whether it is what was asked for."""
        run = self.running
        if run is None or run.period != sketch.period or run.settled:
            return False
        # guards against what answers an earlier turn; a collector that knows no tokens says 0
        if sketch.token not in (0, run.token):
            return False
        run.reply = sketch
        return True

    def lost(self) -> None:
        """The connection has ended: what the collector said on it may be true no more."""
        self.running = None
        self.turns.lost()

    def over(self, run: Running) -> bool:
        """Whether its turn has ended: then it is stopped. To be asked before each message."""
        if self.turns.holds(run.period, run.token) and (run.reply is None or not run.reply.newer):
            return False
        self.running, self.stopped = None, self.stopped + 1
        return True

    def slice(self) -> Slice:
        run = self.running
        if run is not None and self.over(run):
            run = None
        if run is not None and run.reply is None:
            if self.ready() and now_ms() - run.asked <= 4 * self.answer_ms:
                return Slice()
            self.lost()
        if self.running is not None:
            return self.go_on(self.running)
        # guards against sending in a repair what a batch is about to bring
        calm = self.turns.some() and self.ready() and self.ledger.ask(self.ledger.all_sent)
        turn = self.turns.next() if calm else None
        return self.begin(*turn) if turn is not None else Slice()

    def begin(self, period: int, token: int) -> Slice:
        entries = self.ledger.period_bytes(period)
        session = ReconcileSession(entries, secrets.randbits(32))
        all_bytes = sum(map(len, entries.values()))
        self.running = run = Running(period, token, session, entries, now_ms(), None, all_bytes)
        # the entries were read beside the loop, which may have taken long
        return Slice() if self.over(run) else self.ask(run, 0)

    def ask(self, run: Running, cells: int) -> Slice:
        run.reply, run.asked = None, now_ms()
        asked = pb.Reconcile(period=run.period, seed=run.session.seed, cells=cells, token=run.token)
        return Slice(size=self.send(pb.Frame(reconcile=asked)))

    def go_on(self, run: Running) -> Slice:
        reply, run.reply = run.reply, None
        assert reply is not None
        if not reply.cells:
            return self.ask(run, run.session.cells_needed(reply.data))
        found = run.session.resolve(reply.data)
        if found is None and run.session.cells:
            return self.ask(run, run.session.cells)
        # past the largest table all is sent: the collector keeps what it lacks
        lacking = list(run.entries) if found is None else sorted(found.only_here)
        size, part, held = 0, list[bytes](), 0
        for id in lacking:
            part.append(run.entries[id])
            held += len(part[-1])
            if held >= REPAIR_BYTES:
                size += self.repair(run, part)
                part, held = [], 0
                if self.over(run):  # a message may wait for the collector to read
                    return Slice(size=size)
        size += self.repair(run, part) if part else 0
        self.finish(run, len(lacking), None if found is None else len(found.only_there), size)
        return Slice(more=self.turns.some(), size=size)

    def repair(self, run: Running, entries: list[bytes]) -> int:
        return self.send(pb.Frame(repair=pb.Repair(period=run.period, entries=entries, token=run.token)))

    def finish(self, run: Running, sent: int, foreign: int | None, size: int) -> None:
        run.settled, self.running = True, None
        moved = run.session.transferred_bytes + size
        self.turns.done(run.period, run.token, len(run.entries), sent, foreign, moved)
        result = {
            "period": run.period,
            "entries": len(run.entries),
            "sent": sent,  # entries that the collector had not
            "not_here": foreign,  # entries that only the collector has; None: not found out
            "bytes": moved,
            "all_bytes": run.all_bytes,
        }
        self.results[run.period] = result
        self.results.move_to_end(run.period)
        while len(self.results) > MOST_RESULTS:
            self.results.popitem(last=False)
        if sent or foreign:
            words = f"period {run.period}: {sent} entries were not there, {foreign} are only there"
            self.log("reconciled", words, period=run.period)
