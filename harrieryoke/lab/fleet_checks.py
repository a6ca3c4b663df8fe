"""Checks the observed behaviour of council members against the safety rules, and computes failover times.

Pure functions: observations in, violations (one line each) and figures out. Times are milliseconds of one
monotonic clock, as all members run on one machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple, TypeVar

import xxhash

RECENT_ACT_MS = 150.0  # a member whose last act is that recent held the duty at the fault


class Act(NamedTuple):
    """The council allowed the member to act on the duty, at some time from `begin` to `end`."""

    member: str
    incarnation: int
    duty: str
    token: int
    begin: float
    end: float


class FencedWrite(NamedTuple):
    """A write that reached a fenced target; writes are kept in the order of arrival."""

    member: str
    duty: str
    token: int
    admitted: bool


class Applied(NamedTuple):
    """A committed log entry as one member applied it. `chain_hash` covers the duty's entries up to it."""

    member: str
    duty: str
    log_index: int
    token: int
    body: str
    chain_hash: str


class SnapshotLoaded(NamedTuple):
    """A member loaded the state of a duty from a snapshot. An empty `chain_hash` is the empty state."""

    member: str
    duty: str
    chain_hash: str


Observation = TypeVar("Observation", Act, Applied)


class StateCopy(NamedTuple):
    """The digest of a member's replicated state at a log index, as it reported it."""

    member: str
    log_index: int
    digest: str


class Leadership(NamedTuple):
    """A member reported itself as leader of the term."""

    member: str
    term: int


class InjectedFault(NamedTuple):
    """A fault as it was injected.

    `stops_member`: duties of the member must move to another member, or to its next process.
    """

    kind: str
    member: str
    began_at: float
    ended_at: float
    stops_member: bool


class Tenure(NamedTuple):
    """The first and last act under one token."""

    duty: str
    token: int
    member: str
    first_act: float
    last_act: float


def next_chain_hash(chain: str, index: int, token: int, body: str) -> str:
    """Extend the hash chain of a duty by one log entry."""
    return xxhash.xxh3_64_hexdigest(f"{chain}\0{index}\0{token}\0{body}".encode())


# --- safety checks ---


def two_holders(acts: Sequence[Act]) -> list[str]:
    """Find acts under a token that another process also used, and acts after one under a higher token.

    Tokens only grow. An act counts as later only if the other had ended before it began, so that there are no
    false positives.
    """
    violations: dict[tuple[str, int], str] = {}
    for duty, duty_acts in group_by_duty(acts).items():
        ended, ended_count = sorted(duty_acts, key=lambda a: a.end), 0
        newest, owners = duty_acts[0], dict[int, Act]()
        newest = newest._replace(token=0)
        for act in sorted(duty_acts, key=lambda a: a.begin):
            while ended[ended_count].end < act.begin:
                newest = max(newest, ended[ended_count], key=lambda a: a.token)
                ended_count += 1
            owner = owners.setdefault(act.token, act)
            if (owner.member, owner.incarnation) != (act.member, act.incarnation):
                violations[duty, act.token] = f"two holders of one token: {act} and {owner}"
            elif newest.token > act.token:
                violations[duty, act.token] = f"{act} after {newest}"
    return list(violations.values())


def stale_writes_admitted(writes: Iterable[FencedWrite]) -> list[str]:
    """Find writes that a target admitted after a write with a higher token."""
    violations, highest = list[str](), dict[str, FencedWrite]()
    for write in writes:
        newest = highest.setdefault(write.duty, write)
        if write.token < newest.token and write.admitted:
            violations.append(f"{write} was admitted after {newest}")
        elif write.token > newest.token:
            highest[write.duty] = write
    return violations


def lost_commits(
    applied: Sequence[Applied], copies: Iterable[StateCopy] = (), snapshots: Iterable[SnapshotLoaded] = ()
) -> list[str]:
    """Find committed entries and states that are missing or different at another member."""
    violations, first_copies = list[str](), dict[int, StateCopy]()
    known_states = {(act.duty, act.chain_hash) for act in applied}
    violations += [
        f"no member has applied this state: {act}"
        for act in snapshots
        if act.chain_hash and (act.duty, act.chain_hash) not in known_states
    ]
    for copy in copies:
        reference = first_copies.setdefault(copy.log_index, copy)
        if reference.digest != copy.digest:
            violations.append(f"the states are not the same: {copy} and {reference}")
    for duty_acts in group_by_duty(applied).values():
        first_by_index: dict[int, Applied] = {}
        for act in duty_acts:
            other = first_by_index.setdefault(act.log_index, act)
            if other[2:] != act[2:]:
                violations.append(f"not the same: {act} and {other}")
        previous = None
        for _, act in sorted(first_by_index.items()):
            if previous is not None:
                if act.chain_hash != next_chain_hash(previous.chain_hash, act.log_index, act.token, act.body):
                    violations.append(f"lost: {previous}, or an entry after it, does not precede {act}")
                if act.token < previous.token:
                    violations.append(f"applied under an older token: {act} after {previous}")
            previous = act
    return violations


def incomplete_members(events: Sequence[Applied | SnapshotLoaded], members: Iterable[str]) -> list[str]:
    """Find members that lack the last applied entry of a duty, once faults and proposals have ended.

    `events` are in the order of observation.
    """
    newest, last_events = dict[str, Applied](), dict[tuple[str, str], Applied | SnapshotLoaded]()
    for event in events:
        last_events[event.member, event.duty] = event
        if isinstance(event, Applied) and (
            event.duty not in newest or newest[event.duty].log_index < event.log_index
        ):
            newest[event.duty] = event
    return [
        f"{member} lacks {newest_act}: its last entry is {last_event}"
        for duty, newest_act in newest.items()
        for member in members
        if (last_event := last_events.get((member, duty))) is None
        or last_event.chain_hash != newest_act.chain_hash
    ]


def two_leaders(leads: Iterable[Leadership]) -> list[str]:
    """Find terms with more than one leader."""
    first_leaders: dict[int, str] = {}
    return [
        f"{leadership} beside {first_leaders[leadership.term]}"
        for leadership in leads
        if first_leaders.setdefault(leadership.term, leadership.member) != leadership.member
    ]


# --- failover times ---


def tenures(acts: Sequence[Act]) -> dict[str, list[Tenure]]:
    """Return the tenures of each duty, in the order of their tokens."""
    spans: dict[tuple[str, int], Tenure] = {}
    for act in acts:
        tenure = spans.get((act.duty, act.token)) or Tenure(
            act.duty, act.token, act.member, act.begin, act.end
        )
        spans[act.duty, act.token] = tenure._replace(
            first_act=min(tenure.first_act, act.begin), last_act=max(tenure.last_act, act.end)
        )
    by_duty: dict[str, list[Tenure]] = defaultdict(list)
    for _, tenure in sorted(spans.items()):
        by_duty[tenure.duty].append(tenure)
    return by_duty


class Failover(NamedTuple):
    """The time from a fault at a holder to the next act on the duty.

    `duration` is None if no member acted after the fault. `isolated`: no other fault overlapped.
    """

    fault: InjectedFault
    duty: str
    duration: float | None
    isolated: bool


def failovers(acts: Sequence[Act], faults: Sequence[InjectedFault], lease: float) -> list[Failover]:
    """Return the failovers caused by faults at holders.

    A failover ends with the next act on the duty by another member, or by the next process of the same one. A
    fault that need not stop its member counts only if the duty moved during the fault or a lease after it.
    """
    found = []
    for duty_tenures in tenures(acts).values():
        for fault in faults:
            position = sum(tenure.first_act <= fault.began_at for tenure in duty_tenures) - 1
            recent_until = (
                duty_tenures[position].last_act + RECENT_ACT_MS
                if position >= 0 and duty_tenures[position].member == fault.member
                else 0.0
            )
            if recent_until < fault.began_at or fault.kind == "term":
                continue
            next_tenure = next(
                (tenure for tenure in duty_tenures[position + 1 :] if tenure.first_act > fault.began_at), None
            )
            if not fault.stops_member and (
                next_tenure is None
                or next_tenure.first_act > fault.ended_at + lease
                or next_tenure.first_act - duty_tenures[position].last_act < RECENT_ACT_MS
            ):
                continue  # the duty stayed, or was handed over as planned
            end = fault.ended_at if next_tenure is None else next_tenure.first_act
            isolated = not any(
                other.began_at < end and other.ended_at > fault.began_at - lease
                for other in faults
                if other is not fault
            )
            duration = None if next_tenure is None else next_tenure.first_act - fault.began_at
            found.append(Failover(fault, duty_tenures[position].duty, duration, isolated))
    return found


class Handover(NamedTuple):
    """A planned handover; `gap` is the time without an act."""

    old: Tenure
    new: Tenure
    gap: float


def planned_handovers(acts: Sequence[Act], faults: Sequence[InjectedFault], lease: float) -> list[Handover]:
    """Return the handovers without a fault: the holder was terminated, or a preferred member took over."""
    found = []
    for duty_tenures in tenures(acts).values():
        for old, new in pairwise(duty_tenures):
            begin, end = old.last_act - lease, new.first_act
            overlapping = [fault for fault in faults if fault.began_at < end and fault.ended_at > begin]
            if all(fault.kind == "term" and fault.member == old.member for fault in overlapping):
                found.append(Handover(old, new, max(0.0, new.first_act - old.last_act)))
    return found


def unheld_ms(acts: Sequence[Act], duties: Sequence[str], begin: float, end: float, min_gap: float) -> float:
    """Return the time in which no member acted, summed over the duties. Gaps below `min_gap` are ignored."""
    unheld, acts_by_duty = 0.0, group_by_duty(acts)
    for duty in duties:
        covered_until = begin
        for act in sorted(acts_by_duty.get(duty, ()), key=lambda a: a.begin):
            if begin <= act.begin <= end:
                unheld += act.begin - covered_until if act.begin - covered_until > min_gap else 0.0
                covered_until = max(covered_until, act.end)
        unheld += end - covered_until if end - covered_until > min_gap else 0.0
    return unheld


def quantile(values: Iterable[float], share: float) -> float | None:
    """Return the value at that share of the sorted values, or None if there are none."""
    ordered = sorted(values)
    return round(ordered[round(share * (len(ordered) - 1))], 1) if ordered else None


def group_by_duty(observations: Sequence[Observation]) -> dict[str, list[Observation]]:
    by_duty: dict[str, list[Observation]] = defaultdict(list)
    for observation in observations:
        by_duty[observation.duty].append(observation)
    return by_duty
