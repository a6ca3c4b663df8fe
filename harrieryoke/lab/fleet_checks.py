"""What the members of a council were seen to do, against what may not happen.

Pure: observations in, findings (a line each) and figures out. Times are milliseconds of one monotonic clock,
since all is one machine."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple, TypeVar

import xxhash

FRESH = 150.0  # ms: who acted so shortly before a fault held the duty when it came


class Act(NamedTuple):
    """At some moment from `begin` to `end` the member was told that it may act on the duty."""

    member: str
    life: int
    duty: str
    token: int
    begin: float
    end: float


class Came(NamedTuple):
    """What came to a fenced target, in the order in which it came."""

    member: str
    duty: str
    token: int
    taken: bool


class Applied(NamedTuple):
    """An act in the agreed log, as one member applied it. `chain` stands for all of the duty's up to it."""

    member: str
    duty: str
    place: int
    token: int
    body: str
    chain: str


class Loaded(NamedTuple):
    """A member took a duty's state from a snapshot. An empty chain stands for nothing."""

    member: str
    duty: str
    chain: str


Seen = TypeVar("Seen", Act, Applied)


class Copy(NamedTuple):
    """A member's copy of the agreed state, as it told it."""

    member: str
    place: int
    digest: str


class Leads(NamedTuple):
    member: str
    term: int


class Struck(NamedTuple):
    """A fault as it happened. `until` is when it was over. `halts`: what its member held must go to another,
    or to its next life."""

    kind: str
    member: str
    at: float
    until: float
    halts: bool


class Tenure(NamedTuple):
    """All acts under one token."""

    duty: str
    token: int
    member: str
    first: float
    last: float


def link(chain: str, index: int, token: int, body: str) -> str:
    return xxhash.xxh3_64_hexdigest(f"{chain}\0{index}\0{token}\0{body}".encode())


# --- what may not happen ---


def two_holders(acts: Sequence[Act]) -> list[str]:
    """Tokens only grow: who acts under one after another acted under a higher one acts beside it. Only what
    was over before the other began counts, so that nothing is found that did not happen."""
    found: dict[tuple[str, int], str] = {}
    for duty, seen in by_duty(acts).items():
        ended, upto, newest, owners = sorted(seen, key=lambda a: a.end), 0, seen[0], dict[int, Act]()
        newest = newest._replace(token=0)
        for act in sorted(seen, key=lambda a: a.begin):
            while ended[upto].end < act.begin:
                newest = max(newest, ended[upto], key=lambda a: a.token)
                upto += 1
            owner = owners.setdefault(act.token, act)
            if (owner.member, owner.life) != (act.member, act.life):
                found[duty, act.token] = f"one token of two: {act} and {owner}"
            elif newest.token > act.token:
                found[duty, act.token] = f"{act} after {newest}"
    return list(found.values())


def stale_taken(came: Iterable[Came]) -> list[str]:
    """What a target took though a higher token had come before."""
    found, highest = list[str](), dict[str, Came]()
    for one in came:
        before = highest.setdefault(one.duty, one)
        if one.token < before.token and one.taken:
            found.append(f"{one} was taken after {before}")
        elif one.token > before.token:
            highest[one.duty] = one
    return found


def agreed_lost(
    applied: Sequence[Applied], copies: Iterable[Copy] = (), loaded: Iterable[Loaded] = ()
) -> list[str]:
    """What one member applied and another has otherwise, or has no more."""
    found, said = list[str](), dict[int, Copy]()
    known = {(one.duty, one.chain) for one in applied}
    found += [
        f"a state that nobody applied: {one}"
        for one in loaded
        if one.chain and (one.duty, one.chain) not in known
    ]
    for copy in copies:
        before = said.setdefault(copy.place, copy)
        if before.digest != copy.digest:
            found.append(f"the state is not the same: {copy} and {before}")
    for seen in by_duty(applied).values():
        first: dict[int, Applied] = {}
        for one in seen:
            other = first.setdefault(one.place, one)
            if other[2:] != one[2:]:
                found.append(f"not the same: {one} and {other}")
        before_it = None
        for _, one in sorted(first.items()):
            if before_it is not None:
                if one.chain != link(before_it.chain, one.place, one.token, one.body):
                    found.append(f"gone: {before_it}, or one behind it, is not before {one}")
                if one.token < before_it.token:
                    found.append(f"applied under an older token: {one} after {before_it}")
            before_it = one
    return found


def at_the_end(seen: Sequence[Applied | Loaded], members: Iterable[str]) -> list[str]:
    """When all is well again and nothing more comes, each member has all that anybody applied. `seen` in its
    order."""
    newest, last = dict[str, Applied](), dict[tuple[str, str], Applied | Loaded]()
    for one in seen:
        last[one.member, one.duty] = one
        if isinstance(one, Applied) and (one.duty not in newest or newest[one.duty].place < one.place):
            newest[one.duty] = one
    return [
        f"{member} lacks {most}: its last is {its}"
        for duty, most in newest.items()
        for member in members
        if (its := last.get((member, duty))) is None or its.chain != most.chain
    ]


def two_leaders(leads: Iterable[Leads]) -> list[str]:
    first: dict[int, str] = {}
    return [
        f"{one} beside {first[one.term]}"
        for one in leads
        if first.setdefault(one.term, one.member) != one.member
    ]


# --- how long it took ---


def tenures(acts: Sequence[Act]) -> dict[str, list[Tenure]]:
    """By duty, in the order of their tokens."""
    spans: dict[tuple[str, int], Tenure] = {}
    for a in acts:
        t = spans.get((a.duty, a.token)) or Tenure(a.duty, a.token, a.member, a.begin, a.end)
        spans[a.duty, a.token] = t._replace(first=min(t.first, a.begin), last=max(t.last, a.end))
    out: dict[str, list[Tenure]] = defaultdict(list)
    for _, tenure in sorted(spans.items()):
        out[tenure.duty].append(tenure)
    return out


class Failover(NamedTuple):
    """`took` is None where nobody acted after it. `alone`: no other fault came into it."""

    fault: Struck
    duty: str
    took: float | None
    alone: bool


def by_failure(acts: Sequence[Act], faults: Sequence[Struck], lease: float) -> list[Failover]:
    """From a fault at a holder to the next act on the duty by another, or by its next life. A fault that need
    not halt its member counts where the duty did go to another while it lasted, or a lease after that."""
    out = []
    for held in tenures(acts).values():
        for fault in faults:
            at = sum(t.first <= fault.at for t in held) - 1
            last = held[at].last + FRESH if at >= 0 and held[at].member == fault.member else 0.0
            if last < fault.at or fault.kind == "term":
                continue
            after = next((t for t in held[at + 1 :] if t.first > fault.at), None)
            if not fault.halts and (
                after is None or after.first > fault.until + lease or after.first - held[at].last < FRESH
            ):
                continue  # it stayed, or went in order
            end = fault.until if after is None else after.first
            alone = not any(f.at < end and f.until > fault.at - lease for f in faults if f is not fault)
            took = None if after is None else after.first - fault.at
            out.append(Failover(fault, held[at].duty, took, alone))
    return out


class Passing(NamedTuple):
    old: Tenure
    new: Tenure
    gap: float


def in_order(acts: Sequence[Act], faults: Sequence[Struck], lease: float) -> list[Passing]:
    """From one holder to the next where nobody was struck: the first was told to end, or a better one is
    there."""
    out = []
    for held in tenures(acts).values():
        for old, new in pairwise(held):
            begin, end = old.last - lease, new.first
            struck = [f for f in faults if f.at < end and f.until > begin]
            if all(f.kind == "term" and f.member == old.member for f in struck):
                out.append(Passing(old, new, max(0.0, new.first - old.last)))
    return out


def unheld(acts: Sequence[Act], duties: Sequence[str], begin: float, end: float, grain: float) -> float:
    """Of the duties' time, the ms in which nobody acted. Less than `grain` between two acts is nothing."""
    lost, seen = 0.0, by_duty(acts)
    for duty in duties:
        at = begin
        for act in sorted(seen.get(duty, ()), key=lambda a: a.begin):
            if begin <= act.begin <= end:
                lost += act.begin - at if act.begin - at > grain else 0.0
                at = max(at, act.end)
        lost += end - at if end - at > grain else 0.0
    return lost


def at_share(values: Iterable[float], share: float) -> float | None:
    """None for none."""
    ordered = sorted(values)
    return round(ordered[round(share * (len(ordered) - 1))], 1) if ordered else None


def by_duty(seen: Sequence[Seen]) -> dict[str, list[Seen]]:
    out: dict[str, list[Seen]] = defaultdict(list)
    for one in seen:
        out[one.duty].append(one)
    return out
