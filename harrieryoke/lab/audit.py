"""Compares what clients and hosts counted with the rules. Pure: lists in, figures out."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Sequence
from typing import Any

from ..net import frames
from .clients import SentCall
from .hosts import EmulatedHost, ReceivedFrame

SLACK_MS = 60.0  # ms: the platform's 50 on sockets, and a little for this machine's scheduling


def answer_counts(calls: Sequence[SentCall]) -> dict[str, int]:
    """Rule one, as the clients saw it."""
    return {
        "taken": len(calls),
        "answered_once": sum(c.answers == 1 for c in calls),
        "unanswered": sum(c.answers == 0 for c in calls),
        "doubled": sum(c.answers > 1 for c in calls),
        "late": sum(c.answers > 0 and c.answered_at > c.sent_at + c.budget + SLACK_MS for c in calls),
    }


def served_share(calls: Sequence[SentCall], predicate: Callable[[SentCall], bool]) -> float:
    selected = [c for c in calls if predicate(c)]
    return sum(c.outcome == "served" for c in selected) / len(selected) if selected else 0.0


def orders_over_budget(
    calls: Sequence[SentCall], arrived: Sequence[ReceivedFrame], window: float, floor: float, share: float
) -> int:
    """Rule five: orders with a count within any window, against the calls of that window. The platform widens
    it by 15 in 100 and one order, for what the network may shift."""
    orders = sorted(a.received_at for a in arrived if a.code == frames.HOLD and a.copies)
    sent = sorted(c.sent_at for c in calls)
    over = 0
    for position, ordered_at in enumerate(orders):
        ordered = position + 1 - bisect_left(orders, ordered_at - window)
        accepted = bisect_right(sent, ordered_at) - bisect_left(sent, ordered_at - window)
        over += ordered > (floor + share * accepted) * 1.15 + 1
    return over


def sends_after_drain(
    arrived: Sequence[ReceivedFrame],
    hosts: Sequence[EmulatedHost],
    grace: float,
    announced_within: float = 0.0,
) -> int:
    """Rule three: calls and orders at a host later than the grace after the bus told that it drains. What the
    bus could not tell counts as told after `told_within` milliseconds."""
    drain_announced_at = {
        h.name: next((at for at, state in h.announcements if state != "active"), float("inf")) for h in hosts
    }
    return sum(
        a.received_at > drain_announced_at[a.host] + announced_within + grace + SLACK_MS
        for a in arrived
        if a.code == frames.REQUEST or (a.code == frames.HOLD and a.copies)
    )


def count_repeats(arrived: Sequence[ReceivedFrame]) -> int:
    """Whole copies of one call beyond the first, over all hosts."""
    copies_by_request: dict[int, int] = {}
    for a in arrived:
        if a.code == frames.REQUEST:
            copies_by_request[a.request_id] = copies_by_request.get(a.request_id, 0) + 1
    return sum(copies - 1 for copies in copies_by_request.values())


def merge_figures(*parts: dict[str, Any]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for part in parts:
        merged |= part
    return merged
