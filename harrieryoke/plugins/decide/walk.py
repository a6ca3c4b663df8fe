"""One call's way past its plug-ins: which is asked next, and what holds in the end."""

from __future__ import annotations

from dataclasses import dataclass, field

from .abi import ADMIT, Said
from .merge import Merged

DEFAULTS = ("admit", "refuse")


@dataclass(frozen=True, slots=True)
class Stop:
    """A plug-in that this call passes, with the version that it keeps until its outcome."""

    plugin: str
    version: int
    on_failure: str = "admit"


@dataclass(slots=True)
class Walk:
    """`next` is the plug-in to ask, or None at the end. It is told of each answer, once; a late or second
    one says False and changes nothing."""

    stops: list[Stop]
    most_refuse: float
    at: int = 0
    merged: Merged = field(default_factory=Merged)
    withdrawn: bool = False
    passed: bool = False  # it has gone on to the module, or was refused here
    defaulted: int = 0

    def next(self) -> Stop | None:
        over = self.withdrawn or self.merged.refuse is not None
        return None if over or self.at >= len(self.stops) else self.stops[self.at]

    def heard(self, stop: Stop, said: Said | None) -> bool:
        """`None` stands for no usable answer: the stated default holds."""
        if self.next() is not stop:
            return False
        self.at += 1
        if said is None:
            self.defaulted += 1
            said = ADMIT if stop.on_failure == "admit" else Said(refuse=self.most_refuse)
        self.merged.add(stop.plugin, said)
        return True

    def seen_by(self) -> list[Stop]:
        """The plug-ins that were asked; each of them hears the outcome."""
        return self.stops[: self.at]


def time_for(
    now: float, taken: float, due: float, call_ms: float, all_ms: float, share: float = 0.2
) -> tuple[float, float]:
    """How long one plug-in, and all of them, may keep a call: (one's, all's) end. Neither may take more than
    a share of the time that the client gave, however long the budgets are."""
    everything = min(taken + all_ms, taken + share * (due - taken))
    return min(now + call_ms, everything), everything
