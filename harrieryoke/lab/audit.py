"""Checks the records of clients and hosts against the rules of the platform. Pure functions."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Sequence
from typing import Any

from ..net import frames
from .clients import SentCall
from .hosts import EmulatedHost, ReceivedFrame

SLACK_MS = 60.0  # the 50 ms that the platform allows on sockets, plus scheduling delay of this machine


def answer_counts(calls: Sequence[SentCall]) -> dict[str, int]:
    """Count the answers of each call, as its client received them (rule one)."""
    return {
        "taken": len(calls),
        "answered_once": sum(c.answers == 1 for c in calls),
        "unanswered": sum(c.answers == 0 for c in calls),
        "doubled": sum(c.answers > 1 for c in calls),
        "late": sum(c.answers > 0 and c.answered_at > c.sent_at + c.budget + SLACK_MS for c in calls),
    }


def served_share(calls: Sequence[SentCall], predicate: Callable[[SentCall], bool]) -> float:
    """Return the share of the calls matching the predicate that were served; 0 if none matches."""
    selected = [c for c in calls if predicate(c)]
    return sum(c.outcome == "served" for c in selected) / len(selected) if selected else 0.0


def orders_over_budget(
    calls: Sequence[SentCall], received: Sequence[ReceivedFrame], window: float, floor: float, share: float
) -> int:
    """Count the orders that exceed the budget of the window ending at them (rule five).

    The budget grows with the calls sent in the window. Like the platform, this adds 15 % and one order, since
    the network may shift orders from one window to the next.
    """
    orders = sorted(a.received_at for a in received if a.code == frames.HOLD and a.copies)
    sent = sorted(c.sent_at for c in calls)
    over = 0
    for position, ordered_at in enumerate(orders):
        ordered = position + 1 - bisect_left(orders, ordered_at - window)
        accepted = bisect_right(sent, ordered_at) - bisect_left(sent, ordered_at - window)
        over += ordered > (floor + share * accepted) * 1.15 + 1
    return over


def sends_after_drain(
    received: Sequence[ReceivedFrame],
    hosts: Sequence[EmulatedHost],
    grace: float,
    announced_within: float = 0.0,
) -> int:
    """Count calls and orders that reach a host after its drain grace period (rule three).

    The grace period starts when the bus announces the drain, or `announced_within` milliseconds later if the
    bus was out of reach.
    """
    drain_announced_at = {
        h.name: next((at for at, state in h.announcements if state != "active"), float("inf")) for h in hosts
    }
    return sum(
        a.received_at > drain_announced_at[a.host] + announced_within + grace + SLACK_MS
        for a in received
        if a.code == frames.REQUEST or (a.code == frames.HOLD and a.copies)
    )


def count_repeats(received: Sequence[ReceivedFrame]) -> int:
    """Count the requests received beyond the first of each call, over all hosts."""
    copies_by_request: dict[int, int] = {}
    for a in received:
        if a.code == frames.REQUEST:
            copies_by_request[a.request_id] = copies_by_request.get(a.request_id, 0) + 1
    return sum(copies - 1 for copies in copies_by_request.values())


def merge_figures(*parts: dict[str, Any]) -> dict[str, Any]:
    """Merge the parts of a report; later parts override earlier ones."""
    merged: dict[str, Any] = {}
    for part in parts:
        merged |= part
    return merged
