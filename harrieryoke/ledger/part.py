"""The ledger as the service sees it: actor, store, background jobs and collector link."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import gevent

from ..background.runner import JobRunner
from ..background.settings import BackgroundSettings
from ..checks import read_address
from ..core.records import Call, Front
from ..interface import Settings
from ..limits import Limits
from ..log import Log
from ..store.settings import StoreSettings
from .actor import LedgerActor
from .decide.book import BookError
from .decide.entry import Amounts, EntryId
from .decide.export import BatchId
from .decide.periods import PeriodError
from .link import CollectorLink
from .operator_changes import NotDurableError, OperatorChanges
from .reconciler import Turns
from .settings import LedgerSettings

STOP_TIMEOUT_S = 1.5


class LedgerPart:
    """Raises LedgerError or StoreError if it can't be created. `turns` decides when a period may be
    reconciled; None: as soon as it is sealed."""

    def __init__(
        self,
        ledger_settings: LedgerSettings,
        store: StoreSettings | None,
        background: BackgroundSettings,
        instance: str,
        settings: Settings,
        limits: Limits,
        log: Log,
        seed: int,
        is_busy: Callable[[], bool],
        turns: Turns | None = None,
    ) -> None:
        self.actor = LedgerActor(ledger_settings, store, instance, settings, limits.module_mailbox, log)
        self.changes = OperatorChanges(self.actor)
        self.runner = JobRunner(background, log, seed, is_busy)
        self.actor.add_jobs(self.runner)
        self.link: CollectorLink | None = None
        if ledger_settings.collector is not None:
            address = read_address("ledger.collector.address", ledger_settings.collector.address)
            self.link = CollectorLink(ledger_settings.collector, address, self.actor, self.runner, log, turns)

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

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """After the last answer: exports what is left for a limited time and flushes everything to disk."""
        if self.link is not None:
            self.link.finish(timeout_s)
        self.runner.finished = True
        self.runner.message_arrived.set()
        self.actor.stop(timeout_s)

    def answer(self, method: str, path: str, query: Mapping[str, str], timeout_ms: float) -> tuple[int, Any]:
        """Answers the operators' HTTP requests below /ledger."""
        try:
            if path == "/ledger":
                status = self.actor.request_status(timeout_ms)
                return 200, status | {"jobs": self.runner.scheduler.status()}
            if path == "/ledger/reconcile" and self.link is not None:
                if method == "POST":
                    self.link.reconcile(int(query["period"]))
                return 200, {"results": list(self.link.reconciler.results.values())}
            if path == "/ledger/close":
                return 200, {"sealed": self.changes.close_period(int(query["period"]))}
            if path == "/ledger/again":
                found = self.changes.retry_batch(BatchId(int(query["epoch"], 16), int(query["batch"])))
                return (200, {"again": True}) if found else (404, {"error": "no such batch is set aside"})
            if path == "/ledger/correct":
                corrected = Amounts(*(int(query[key]) for key in ("calls", "worth", "took", "held")))
                entry = self.changes.correct(EntryId.parse(query["id"]), corrected, query.get("reason", ""))
                return 200, {"id": str(entry.id), "period": entry.period, "came": entry.original_period}
        except KeyError as error:
            return 400, {"error": f"parameter {error.args[0]!r} is missing"}
        except (ValueError, BookError, PeriodError) as error:
            return 400, {"error": str(error)}
        except NotDurableError as error:
            return 503, {"error": str(error)}
        except gevent.Timeout:
            return 503, {"error": "the ledger did not answer in time"}
        return 404, {"error": "no such path"}
