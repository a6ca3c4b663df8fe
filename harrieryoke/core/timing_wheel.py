"""A hierarchical timing wheel: scheduling, cancelling and expiring an item each cost O(1).

After Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987), scheme 7. Each level has 64 slots,
and a slot of a level covers all 64 of the one below; a bitmap for each level finds the next slot in use
without scanning empty ones. No I/O and no clock: times are milliseconds and come from the caller.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

T = TypeVar("T", bound=Hashable)
BITS, SLOTS, LEVELS = 6, 64, 4
SPAN_TICKS = 1 << (BITS * LEVELS)  # ticks of one millisecond: 4.6 hours
MASK = SLOTS - 1


class TimingWheel(Generic[T]):
    """Timers by item, at most one for each.

    Items beyond the span are kept in an overflow map until the span reaches them. A clock that steps back
    costs one pass over all items; a clock that steps ahead expires everything that is due.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.tick = int(now)
        self.slots: list[list[dict[T, float]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.used = [0] * LEVELS  # bitmap of the slots that are not empty
        self.overflow: dict[T, float] = {}
        self.places: dict[T, tuple[int, int]] = {}  # level and slot; level LEVELS is `overflow`

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, item: T) -> bool:
        return item in self.places

    def schedule(self, item: T, at: float) -> None:
        """Set the item's time, replacing an earlier one. A time in the past is due immediately."""
        self.cancel(item)
        self.place(item, at)

    def place(self, item: T, at: float) -> None:
        """Put an item that is not scheduled into the slot of its time, or into the overflow map."""
        due = max(self.tick, int(min(at, 1e15)))
        level = 0
        while level < LEVELS and due >> (BITS * (level + 1)) != self.tick >> (BITS * (level + 1)):
            level += 1
        if level == LEVELS:
            self.overflow[item] = at
            self.places[item] = (LEVELS, 0)
            return
        slot = (due >> (BITS * level)) & MASK
        self.slots[level][slot][item] = at
        self.used[level] |= 1 << slot
        self.places[item] = (level, slot)

    def cancel(self, item: T) -> bool:
        """Remove the item; return whether it was scheduled."""
        if (place := self.places.pop(item, None)) is None:
            return False
        level, slot = place
        if level == LEVELS:
            del self.overflow[item]
            return True
        items = self.slots[level][slot]
        del items[item]
        if not items:
            self.used[level] &= ~(1 << slot)
        return True

    def earliest_slot(self) -> tuple[int, int, int] | None:
        """Return level, slot and first tick of the earliest slot in use, or None."""
        for level in range(LEVELS):
            here = (self.tick >> (BITS * level)) & MASK
            if ahead := self.used[level] >> here:
                slot = here + (ahead & -ahead).bit_length() - 1
                block = self.tick >> (BITS * (level + 1)) << (BITS * (level + 1))
                return level, slot, block + (slot << (BITS * level))
        return None

    def next_time(self) -> float:
        """Return when to call `expired` next: exact within 64 ms, else no later than the earliest time."""
        if (found := self.earliest_slot()) is None:
            return float((self.tick // SPAN_TICKS + 1) * SPAN_TICKS) if self.overflow else float("inf")
        level, slot, start = found
        return min(self.slots[level][slot].values()) if level == 0 else float(start)

    def expired(self, now: float) -> list[T]:
        """Remove and return all items due at `now`, earliest first."""
        target, due = int(now), list[tuple[float, T]]()
        if target < self.tick:
            self.rewind(target)
        while True:
            found = self.earliest_slot()
            if found is None or found[2] > target:
                if self.overflow and target // SPAN_TICKS > self.tick // SPAN_TICKS:
                    self.advance_span(target)
                    continue
                break
            level, slot, start = found
            items = self.slots[level][slot]
            if level == 0:
                due_here = [item for item, at in items.items() if at <= now]
                due += [(items[item], item) for item in due_here]
                for item in due_here:
                    self.cancel(item)
                if items:  # of the same millisecond, but later than now
                    break
                self.tick = max(self.tick, start)
                continue
            # the wheel reaches a slot of a higher level: its items move to the lower levels
            self.tick = max(self.tick, start)
            self.slots[level][slot] = {}
            self.used[level] &= ~(1 << slot)
            for item, at in items.items():
                self.place(item, at)
        if found is None or found[2] > target:
            self.tick = max(self.tick, target)
        due.sort(key=lambda each: each[0])
        return [item for _, item in due]

    def rewind(self, target: int) -> None:
        """Place all items again after the clock stepped back, so that none is late by the step."""
        waiting = dict(self.overflow)
        for level in self.slots:
            for slot in level:
                waiting |= slot
                slot.clear()
        self.tick, self.used, self.overflow = target, [0] * LEVELS, {}
        for item, at in waiting.items():
            self.place(item, at)

    def advance_span(self, target: int) -> None:
        """Advance the span and place the overflow again. The old span must be empty."""
        self.tick = target // SPAN_TICKS * SPAN_TICKS
        waiting, self.overflow = self.overflow, {}
        for item, at in waiting.items():
            self.place(item, at)
