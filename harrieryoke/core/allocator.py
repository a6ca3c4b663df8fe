"""The C library's allocator: has it give freed memory back to the system.

Python's objects are in arenas of their own; what is longer than 512 bytes (lines, bodies, answers) comes from
`malloc`. Buffers of many clients that grow side by side tear its heap, and freed ones between others that
live stay resident.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable
from contextlib import suppress

# parameters of mallopt(3)
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD, M_ARENA_MAX = -1, -3, -8
MAPPED_FROM_BYTES = 20 * 1024  # a larger block has pages of its own, which return with it; a read is smaller
TRIM_FROM_BYTES = 128 * 1024  # free at the end of the heap


class Allocator:
    """`mallopt` and `malloc_trim` of the C library; without effect where it has none."""

    def __init__(self) -> None:
        self.mallopt: Callable[[int, int], int] | None = None
        self.malloc_trim: Callable[[int], int] | None = None
        with suppress(OSError, AttributeError):
            library = ctypes.CDLL(None)
            self.mallopt, self.malloc_trim = library.mallopt, library.malloc_trim

    def configure(self) -> None:
        """Keep large blocks out of the heap; to be called before threads start."""
        if self.mallopt is not None:
            self.mallopt(M_ARENA_MAX, 1)
            self.mallopt(M_MMAP_THRESHOLD, MAPPED_FROM_BYTES)
            self.mallopt(M_TRIM_THRESHOLD, TRIM_FROM_BYTES)

    def trim(self) -> None:
        """Return the free pages of the heap; takes up to some milliseconds."""
        if self.malloc_trim is not None:
            self.malloc_trim(0)
