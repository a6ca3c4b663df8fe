"""The one place where client connections end: counts them by reason, and logs those that owe an answer."""

from __future__ import annotations

from collections.abc import Collection

from gevent import socket

from ..core.metrics import Metrics
from ..log import Log
from .connection_state import MAY_OWE, EndReason

MAX_LOGGED_IDS = 8
FAULT_KIND = "end-fault"  # of log lines


class ConnectionEnds:
    """Records the ends of client connections, and closes their sockets."""

    def __init__(self, log: Log, metrics: Metrics) -> None:
        self.log, self.metrics = log, metrics
        for reason in EndReason:
            metrics.connection_ends.setdefault(reason.value, 0)
            metrics.calls_owed.setdefault(reason.value, 0)

    def record(self, client: str, reason: EndReason, owed: Collection[str], detail: str) -> None:
        """Record the end of a connection; `owed` names the calls that have no answer."""
        self.metrics.connection_ends[reason.value] += 1
        self.metrics.calls_owed[reason.value] += len(owed)
        if owed and not MAY_OWE[reason]:
            self.report_fault(client, reason, owed, detail)
        elif owed and reason is not EndReason.CLIENT_LEFT:
            self.log("calls-dropped", f"{client}: {reason.value}: {describe_owed(owed)}: {detail}")

    def report_fault(self, client: str, reason: EndReason, owed: Collection[str], detail: str) -> None:
        """Report a connection that ended, or was to end, though it owes answers that it may not owe."""
        self.metrics.end_faults += 1
        self.log(FAULT_KIND, f"{client}: {reason.value}: {describe_owed(owed)}: {detail}")

    def close(self, sock: socket.socket) -> None:
        """Close the socket of a connection whose end was recorded."""
        sock.close()


def describe_owed(owed: Collection[str]) -> str:
    """Return how many calls have no answer, and the first of their ids."""
    first = ", ".join(sorted(owed)[:MAX_LOGGED_IDS])
    return f"{len(owed)} open calls ({first})"
