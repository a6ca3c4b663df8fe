"""The limit on what is inside: handed to the module and not ended. Adapts to what the hosts carry.

Additive increase while the limit is used and answers come well within their aims; multiplicative decrease,
once an answer's time, when too many come late (Chiu and Jain 1989). Silence of everything is no verdict:
the limit stays, and after it the work that was found before is found again by doubling.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class InsideLimit:
    """`ended` for each call that was inside; `room` for how many more may go in. Times are milliseconds."""

    least: float = 8.0
    most: float = 4096.0
    limit: float = 64.0
    late_at: float = 0.8  # of the aim: an answer that took longer counts as late
    bear: float = 0.15  # share of late answers that is borne
    late: float = 0.0  # share of late answers lately
    took: float = 200.0  # mean time inside
    inside: int = 0
    cut_at: float = -1e18
    last_end: float = -1e18
    back_to: float = 0.0  # after a cut or a stall: up to here it doubles
    stalls: int = 0

    def room(self) -> int:
        return max(0, int(self.limit) - self.inside)

    def enter(self) -> None:
        self.inside += 1

    def ended(self, now: float, took: float, aim: float, tells: bool) -> None:
        """`tells` is False for what was withdrawn or refused unseen: it says nothing of the hosts."""
        used = self.inside + 1 > 0.7 * self.limit
        self.inside = max(0, self.inside - 1)
        if not tells:
            return
        stalled = now - self.last_end > max(1000.0, 4 * self.took)
        self.last_end = now
        if stalled:
            # guards against reading a stall's long answers as too many inside
            self.stalls += 1
            self.cut_at, self.back_to = now, max(self.back_to, self.limit)
            return
        ratio = took / aim
        self.took += 0.05 * (took - self.took)
        self.late += 0.05 * ((ratio > self.late_at) - self.late)
        if self.late > self.bear and now - self.cut_at > max(200.0, self.took):
            self.back_to = max(self.least, 0.9 * self.limit)
            self.limit = max(self.least, 0.85 * self.limit)
            self.cut_at, self.late = now, 0.5 * self.late
        elif used and self.late <= self.bear / 2:
            grows = 1.0 if self.limit < self.back_to else 1.0 / max(1.0, self.limit / 16)
            self.limit = min(self.most, self.limit + grows)
