"""The clocks of the process, and a watch over the one that can be set while it runs.

Every span (deadlines, windows, waits) is measured on the monotonic clock. The wall clock names moments for
people, files and other machines; it may be set at any time, so no two readings of it are compared.
"""

from __future__ import annotations

import time
from collections.abc import Callable

NOTICEABLE_STEP_MS = 50.0  # a smaller difference is the slewing of the wall clock
SAME_MOMENT_MS = 10.0  # readings that lie further apart don't compare: the process stood still between them


def now_ms() -> float:
    """Return the monotonic time in milliseconds. It runs on evenly whatever happens to the wall clock. All
    processes of a machine share it; it begins anew when the machine starts."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return the Unix time in milliseconds, as this machine's wall clock has it now."""
    return time.time() * 1000


class WallClockWatch:
    """Notices when the wall clock was set: it then moved by another span than the monotonic clock."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall: Callable[[], float] = wall_ms) -> None:
        self.clock, self.wall = clock, wall
        self.offset_ms = wall() - clock()  # of the monotonic clock, in milliseconds

    def read_step(self) -> float:
        """Return by how many milliseconds the wall clock was stepped since the last call; 0.0 for no step.
        Negative where it was set back."""
        before, wall = self.clock(), self.wall()
        if self.clock() - before > SAME_MOMENT_MS:
            return 0.0
        step, self.offset_ms = wall - before - self.offset_ms, wall - before
        return step if abs(step) >= NOTICEABLE_STEP_MS else 0.0
