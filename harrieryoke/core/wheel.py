"""A hierarchical timing wheel: to schedule, to cancel and to expire each cost O(1), however many are
waiting.

After Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987), scheme 7. Each level has 64 slots,
and a slot of a level covers all 64 of the one below; a bitmap for each level finds the next slot in use
without looking at the empty ones. No I/O, no clock: times are milliseconds and come from the caller.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

T = TypeVar("T", bound=Hashable)
BITS, SLOTS, LEVELS = 6, 64, 4
SPAN = 1 << (BITS * LEVELS)  # ticks of one millisecond: 4.6 hours
MASK = SLOTS - 1


class Wheel(Generic[T]):
    """Each item waits for one time. Items beyond the span wait apart until it reaches them. A clock that
    steps back costs one pass over all; one that steps ahead fires all that is due."""

    def __init__(self, now: float = 0.0) -> None:
        self.tick = int(now)
        self.slots: list[list[dict[T, float]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.used = [0] * LEVELS  # a bit for each slot that is not empty
        self.far: dict[T, float] = {}
        self.places: dict[T, tuple[int, int]] = {}  # level and slot; level LEVELS is `far`

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, item: T) -> bool:
        return item in self.places

    def schedule(self, item: T, at: float) -> None:
        """Anew, if it waits already. A time that has passed is due at once."""
        self.cancel(item)
        self.place(item, at)

    def place(self, item: T, at: float) -> None:
        due = max(self.tick, int(min(at, 1e15)))
        level = 0
        while level < LEVELS and due >> (BITS * (level + 1)) != self.tick >> (BITS * (level + 1)):
            level += 1
        if level == LEVELS:
            self.far[item] = at
            self.places[item] = (LEVELS, 0)
            return
        slot = (due >> (BITS * level)) & MASK
        self.slots[level][slot][item] = at
        self.used[level] |= 1 << slot
        self.places[item] = (level, slot)

    def cancel(self, item: T) -> bool:
        """Whether it was waiting."""
        if (place := self.places.pop(item, None)) is None:
            return False
        level, slot = place
        if level == LEVELS:
            del self.far[item]
            return True
        held = self.slots[level][slot]
        del held[item]
        if not held:
            self.used[level] &= ~(1 << slot)
        return True

    def first(self) -> tuple[int, int, int] | None:
        """Level, slot and first tick of the earliest slot in use."""
        for level in range(LEVELS):
            here = (self.tick >> (BITS * level)) & MASK
            if ahead := self.used[level] >> here:
                slot = here + (ahead & -ahead).bit_length() - 1
                block = self.tick >> (BITS * (level + 1)) << (BITS * (level + 1))
                return level, slot, block + (slot << (BITS * level))
        return None

    def next_time(self) -> float:
        """When to look again: exact for what is due within 64 ms, else no later than the earliest time."""
        if (found := self.first()) is None:
            return float((self.tick // SPAN + 1) * SPAN) if self.far else float("inf")
        level, slot, start = found
        return min(self.slots[level][slot].values()) if level == 0 else float(start)

    def expired(self, now: float) -> list[T]:
        """All that is due at `now`, taken out, earliest first."""
        target, due = int(now), list[tuple[float, T]]()
        if target < self.tick:
            self.rewind(target)
        while True:
            found = self.first()
            if found is None or found[2] > target:
                if self.far and target // SPAN > self.tick // SPAN:
                    self.reach(target)
                    continue
                break
            level, slot, start = found
            held = self.slots[level][slot]
            if level == 0:
                ripe = [item for item, at in held.items() if at <= now]
                due += [(held[item], item) for item in ripe]
                for item in ripe:
                    self.cancel(item)
                if held:  # of the same millisecond, but later than now
                    break
                self.tick = max(self.tick, start)
                continue
            # the wheel comes to a slot of a higher level: its items go down to where they belong
            self.tick = max(self.tick, start)
            self.slots[level][slot] = {}
            self.used[level] &= ~(1 << slot)
            for item, at in held.items():
                self.place(item, at)
        if found is None or found[2] > target:
            self.tick = max(self.tick, target)
        due.sort(key=lambda each: each[0])
        return [item for _, item in due]

    def rewind(self, target: int) -> None:
        """The clock stepped back: all is placed anew, so that what comes now is not late by the step."""
        waiting = dict(self.far)
        for level in self.slots:
            for slot in level:
                waiting |= slot
                slot.clear()
        self.tick, self.used, self.far = target, [0] * LEVELS, {}
        for item, at in waiting.items():
            self.place(item, at)

    def reach(self, target: int) -> None:
        """The span moves on: what waits beyond it is placed anew. All within the old span has been taken
        out."""
        self.tick = target // SPAN * SPAN
        waiting, self.far = self.far, {}
        for item, at in waiting.items():
            self.place(item, at)
