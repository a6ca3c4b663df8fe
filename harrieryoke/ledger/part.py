"""The ledger as the service sees it: actor, store, background work and the link, put together."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import gevent

from .. import interface as i
from ..background.runner import Runner
from ..background.settings import BackgroundSettings
from ..checks import read_address
from ..core.records import Call, Front
from ..limits import Limits
from ..log import Log
from ..store.settings import StoreSettings
from .actor import LedgerActor
from .decide.book import BookError
from .decide.entry import Amounts, EntryId
from .decide.export import BatchId
from .decide.periods import PeriodError
from .link import CollectorLink
from .reconciler import Turns
from .settings import LedgerSettings

STOP_S = 1.5


class LedgerPart:
    """Raises LedgerError or StoreError where it can't be made. `turns`: who says when a period may be
    reconciled; None: each when it is sealed."""

    def __init__(
        self,
        told: LedgerSettings,
        store: StoreSettings | None,
        background: BackgroundSettings,
        instance: str,
        settings: i.Settings,
        limits: Limits,
        log: Log,
        seed: int,
        busy: Callable[[], bool],
        turns: Turns | None = None,
    ) -> None:
        self.actor = LedgerActor(told, store, instance, settings, limits.module_mailbox, log)
        self.runner = Runner(background, log, seed, busy)
        self.actor.add_jobs(self.runner)
        self.link: CollectorLink | None = None
        if told.collector is not None:
            where = read_address("ledger.collector.address", told.collector.address)
            self.link = CollectorLink(told.collector, where, self.actor, self.runner, log, turns)

    def call_ended(self, call: Call, how: str) -> None:
        self.actor.call_ended(call, how)

    def front_for(self, front: Front) -> Front:
        return self.actor.front_for(front)

    def blocking_send(self, message: Any) -> bool:
        return self.actor.blocking_send(message)

    def start(self) -> None:
        self.actor.start()
        self.runner.start()
        if self.link is not None:
            self.link.start()

    def reload(self) -> None:
        if self.link is not None:
            self.link.reload()

    def stop(self, timeout_s: float = STOP_S) -> None:
        """After the last answer: what is left is exported for a while, and all is brought to the disk."""
        if self.link is not None:
            self.link.finish(timeout_s)
        self.runner.finished = True
        self.runner.message_arrived.set()
        self.actor.stop(timeout_s)

    def answer(self, method: str, path: str, query: Mapping[str, str], timeout_ms: float) -> tuple[int, Any]:
        """The operators' HTTP below /ledger."""
        try:
            if path == "/ledger":
                status = self.actor.ask_status(timeout_ms)
                return 200, status | {"jobs": self.runner.schedule.status()}
            if path == "/ledger/reconcile" and self.link is not None:
                if method == "POST":
                    self.link.reconcile(int(query["period"]))
                return 200, {"results": list(self.link.reconciler.results.values())}
            if path == "/ledger/close":
                return 200, {"sealed": self.actor.close_period(int(query["period"]))}
            if path == "/ledger/again":
                done = self.actor.try_again(BatchId(int(query["epoch"], 16), int(query["batch"])))
                return (200, {"again": True}) if done else (404, {"error": "no such batch is set aside"})
            if path == "/ledger/correct":
                to = Amounts(*(int(query[key]) for key in ("calls", "worth", "took", "held")))
                entry = self.actor.correct(EntryId.parse(query["id"]), to, query.get("reason", ""))
                return 200, {"id": str(entry.id), "period": entry.period, "came": entry.original_period}
        except KeyError as error:
            return 400, {"error": f"?{error.args[0]}= is wanted"}
        except (ValueError, BookError, PeriodError) as error:
            return 400, {"error": str(error)}
        except gevent.Timeout:
            return 503, {"error": "the ledger did not answer in time"}
        return 404, {"error": "no such path"}
