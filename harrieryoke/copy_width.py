"""Over how many places of its order a function's copies are spread."""

from __future__ import annotations

from .state import Function


def adapt_copy_width(function: Function, share: float, most: int) -> None:
    """More places for a function whose copies hold more than their lanes, fewer for one that has room.
    `share` is what they hold as a part of their lanes, `most` the number of workers."""
    if share > 1:
        function.copy_width = min(most, max(function.copy_width, len(function.copies)) * min(2.0, share))
    function.copy_width = max(1.0, function.copy_width * (0.97 if share < 0.5 else 1.0))
