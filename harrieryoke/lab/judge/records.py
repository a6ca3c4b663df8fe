"""What the clients of a play report to its judge."""

from __future__ import annotations

from dataclasses import dataclass, field, fields

CROSSING_MS = 50.0  # a call sent so shortly before the end of an idle connection is sent again
EARNING_MS = 50.0  # after its time an answer earns nothing
LOST_AFTER_MS = 500.0  # after its time a call without an answer is lost
HANG_MS = 4000.0  # the judge waits so long for what is still open


@dataclass(slots=True)
class ClientRecord:
    """The ends of the calls of some clients, and how their connections ended."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0  # answers that earn nothing
    overdue: int = 0  # answers so late that the call counts as lost
    doubled: int = 0
    connections: int = 0
    ended: int = 0  # connections that the invoker ended
    lost_ages_ms: list[float] = field(default_factory=list)  # of each call at the end of its connection
    crossing: int = 0  # calls that crossed the end of their connection
    unanswered: int = 0  # calls without an answer on a connection that did not end
    latencies_ms: list[float] = field(default_factory=list)  # of the served ones

    def add_end(self, open_since: list[float], now: float) -> None:
        """Record the end of a connection by the invoker, with the times at which its open calls were sent."""
        self.ended += 1
        ages = [now - sent_at for sent_at in open_since]
        if any(age > CROSSING_MS for age in ages):
            self.lost_ages_ms += ages
        else:
            self.crossing += len(ages)

    def add(self, other: ClientRecord) -> None:
        """Add what other clients report."""
        for each in fields(self):
            setattr(self, each.name, getattr(self, each.name) + getattr(other, each.name))

    def latency(self, share: float) -> float:
        """Return a quantile of the latencies, in milliseconds; 0 without any."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0
