"""The monotonic clock, the wall clock, and the detection of steps of the wall clock.

Every duration (deadlines, windows, waits) is measured with the monotonic clock. The wall clock gives
timestamps for people, files and other machines. It may be set at any time, so its readings are not compared.
"""

from __future__ import annotations

import time
from collections.abc import Callable

NOTICEABLE_STEP_MS = 50.0  # a smaller difference is attributed to slewing of the wall clock
SAME_MOMENT_MS = 10.0  # readings further apart are not comparable: the process was suspended between them


def now_ms() -> float:
    """Return the monotonic time in milliseconds.

    Setting the wall clock does not affect it. All processes of a machine share it until a reboot.
    """
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return the Unix time of the wall clock in milliseconds."""
    return time.time() * 1000


class WallClockWatch:
    """Detects that the wall clock was set, by comparing its progress with the monotonic clock."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall: Callable[[], float] = wall_ms) -> None:
        self.clock, self.wall = clock, wall
        self.offset_ms = wall() - clock()  # wall clock minus monotonic clock

    def read_step(self) -> float:
        """Return the step of the wall clock since the last call in milliseconds, or 0.0.

        The step is negative if the clock was set back.
        """
        before, wall = self.clock(), self.wall()
        if self.clock() - before > SAME_MOMENT_MS:
            return 0.0
        step, self.offset_ms = wall - before - self.offset_ms, wall - before
        return step if abs(step) >= NOTICEABLE_STEP_MS else 0.0
