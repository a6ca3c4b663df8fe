"""The clocks of the process, and a watch over the one that can be set while it runs.

Every span (deadlines, windows, waits) is measured on the monotonic clock. The wall clock names moments for
people, files and other machines; it may be set at any time, so no two readings of it are compared.
"""

from __future__ import annotations

import time

NOTICEABLE_STEP_MS = (
    50.0  # smaller differences are the slewing of the wall clock, or a pause between two readings
)


def now_ms() -> float:
    """Return the monotonic time in milliseconds. It runs on evenly whatever happens to the wall clock. All
    processes of a machine share it; it begins anew when the machine starts."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return the Unix time in milliseconds, as this machine's wall clock has it now."""
    return time.time() * 1000


class WallClockWatch:
    """Notices when the wall clock was set: it then moved by another span than the monotonic clock."""

    def __init__(self) -> None:
        self.offset = self.read_offset()

    @staticmethod
    def read_offset() -> float:
        """Return by how many milliseconds the wall clock is ahead of the monotonic clock."""
        return wall_ms() - now_ms()

    def read_step(self) -> float:
        """Return by how many milliseconds the wall clock was stepped since the last call; 0.0 for no step.
        Negative where it was set back."""
        offset = self.read_offset()
        step = offset - self.offset
        if abs(step) < NOTICEABLE_STEP_MS:
            return 0.0
        self.offset = offset
        return step
