"""The memory of this process, as the kernel counts it."""

from __future__ import annotations

import os

STATM = "/proc/self/statm"


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the kernel does not tell."""
    try:
        with open(STATM) as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
