"""The experiment `fleet`: five real invokers with a council, under load, with faults from a seed."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

import gevent
import msgspec

from ..council.actor import boot_ms
from . import audit
from . import fleet_checks as c
from .collector import EmulatedCollector
from .fleet_faults import Faults
from .fleet_world import DUTIES, LEASE, Fleet, Traffic
from .ledger import compared

CASES = {"three-voters": 3, "five-voters": 5}
MEMBERS = 5
QUIET_S = 4.0  # how long an idle and a loaded council are looked at
GRAIN = 100.0  # ms between two acts that are none: a hand asks every 10 ms, of a busy machine
ZERO = (
    "two_holders",
    "stale_acts_taken",
    "agreed_lost",
    "two_leaders",
    "others",
    "unanswered",
    "answered_twice",
)
TOLD = ("handover_p50_ms", "handover_p99_ms", "handover_in_order_p99_ms", "duty_unheld_share")


class FencedCollector(EmulatedCollector):
    """Keeps which periods were reconciled with it, what came under a token, and whether it took it."""

    def __init__(self, rng: random.Random) -> None:
        self.came: list[c.Came] = []
        self.asked: set[tuple[str, int]] = set()
        super().__init__(rng)

    def newer(self, instance: str, period: int, token: int) -> int:
        newer = super().newer(instance, period, token)
        self.asked.add((instance, period))
        if token:
            self.came.append(c.Came(instance, f"{instance}/{period}", token, not newer))
        return newer


def play(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    collector = FencedCollector(random.Random(seed + 1))
    fleet = Fleet(folder, seed, CASES[case], MEMBERS, rate / MEMBERS, collector)
    well = fleet.wait_well()
    members = list(fleet.members.values())
    idle = looked(fleet)
    fleet.agree(True)
    loads = [gevent.spawn(m.load.run, seconds) for m in members]
    loaded = looked(fleet)
    faults, begin = Faults(fleet, seed), boot_ms()
    faults.run(seconds - QUIET_S)
    end = boot_ms()
    gevent.joinall(loads, raise_error=True)
    well = well and fleet.wait_well()
    fleet.agree(False)
    until = boot_ms() + 10 * LEASE
    while c.at_the_end(fleet.watch.applied, fleet.names) and boot_ms() < until:
        gevent.sleep(0.5)
    acts, came = list(fleet.watch.acts), fleet.watch.came + collector.came
    applied = [one for one in fleet.watch.applied if isinstance(one, c.Applied)]
    loaded_states = [one for one in fleet.watch.applied if isinstance(one, c.Loaded)]
    codes = fleet.close()
    collector.down()
    calls = [call for m in members for call in m.load.calls]
    kept = [call for call in calls if not call.lost]
    answers = audit.answers(kept)
    copies = list(fleet.watch.copies)
    found = {
        "two_holders": c.two_holders(acts) + c.two_holders(said(fleet)),
        "stale_acts_taken": c.stale_taken(came),
        "agreed_lost": c.agreed_lost(applied, copies, loaded_states)
        + c.at_the_end(fleet.watch.applied, fleet.names),
        "two_leaders": c.two_leaders(leading(fleet)),
        "others": fleet.found,
    }
    failed = c.by_failure(acts, fleet.faults, LEASE)
    alone = [f for f in failed if f.alone and f.took is not None]
    ordered = c.in_order(acts, fleet.faults, LEASE)
    gaps = [p.gap for p in ordered]
    calm = between(begin, end, [f for f in fleet.faults if f.kind == "all"])
    figures: dict[str, Any] = {
        "case": case,
        "lease_ms": LEASE,
        "well_at_the_end": well,
        "exit_codes": codes,
        **{name: len(lines) for name, lines in found.items()},
        "unanswered": answers["unanswered"],
        "answered_twice": answers["doubled"],
        "taken": len(calls),
        "lost_with_their_invoker": sum(call.lost for call in calls),
        "handovers_by_failure": len(failed),
        "handovers_by_failure_alone": len(alone),
        "handovers_that_never_came": sum(f.took is None for f in failed),
        "handover_p50_ms": c.at_share([f.took for f in alone if f.took is not None], 0.5),
        "handover_p99_ms": c.at_share([f.took for f in alone if f.took is not None], 0.99),
        "handover_p99_ms_two_faults": c.at_share(
            [f.took for f in failed if not f.alone and f.took is not None and f.fault.kind != "all"], 0.99
        ),
        "handover_after_all_are_up_p99_ms": c.at_share(
            [f.took + f.fault.at - f.fault.until for f in failed if f.took and f.fault.kind == "all"], 0.99
        ),
        "handover_by_kind_ms": by_kind(alone),
        "handovers_in_order": len(ordered),
        "handover_in_order_p50_ms": c.at_share(gaps, 0.5),
        "handover_in_order_p99_ms": c.at_share(gaps, 0.99),
        "duty_unheld_share": unheld_share(acts, [(begin, end)]),
        "duty_unheld_share_while_any_is_up": unheld_share(acts, calm),
        "faults": dict(Counter(f.kind for f in fleet.faults)),
        "rounds": faults.rounds,
        "acts_seen": len(acts),
        "acts_agreed": len({(a.duty, a.place) for a in applied}),
        "acts_applied": len(applied),
        "snapshots_loaded": len({(one.member, one.chain) for one in loaded_states if one.chain}),
        "copies_compared": len(copies) - len({copy.place for copy in copies}),
        "stale_acts_refused": sum(not one.taken for one in came),
        "reconciles": {
            "asked": len(collector.asked),
            "failed": fleet.logged["reconcile-failed"],
            "sealed": fleet.logged["period-sealed"],
            "under_a_token": len(collector.came),
        },
        "idle": idle,
        "loaded": loaded,
        "collector": collector.figures(),
        "ledger": compared(kept, collector),
        "found": {name: lines[:10] for name, lines in found.items() if lines},
        "took": [[f.fault.kind, f.fault.member, round(f.fault.at), f.duty, f.took, f.alone] for f in failed],
        "slow_in_order": [p for p in sorted(ordered, key=lambda p: -p.gap)[:5] if p.gap > 100.0],
    }
    (folder / "seen").write_bytes(msgspec.msgpack.encode([acts, came, applied, fleet.faults]))
    return figures


def looked(fleet: Fleet) -> dict[str, float]:
    """Messages and bytes a second between the members, over a while in which nothing is broken."""
    one: Traffic = fleet.traffic()
    gevent.sleep(QUIET_S)
    two = fleet.traffic()
    seconds = (two.at - one.at) / 1000
    return {
        "messages_per_s": round((two.messages - one.messages) / seconds, 1),
        "bytes_per_s": round((two.bytes - one.bytes) / seconds),
    }


def between(begin: float, end: float, faults: list[c.Struck]) -> list[tuple[float, float]]:
    """The time beside these faults, and beside what a new start of all takes after them."""
    spans = []
    for at, until in sorted({(f.at, f.until + 2 * LEASE) for f in faults}):
        spans.append((begin, max(begin, at)))
        begin = max(begin, until)
    return [*spans, (begin, max(begin, end))]


def unheld_share(acts: list[c.Act], spans: list[tuple[float, float]]) -> float:
    whole = sum(end - begin for begin, end in spans) * len(DUTIES)
    return round(sum(c.unheld(acts, DUTIES, begin, end, GRAIN) for begin, end in spans) / max(1.0, whole), 5)


def by_kind(alone: list[c.Failover]) -> dict[str, list[Any]]:
    """Count, median and most."""
    out: dict[str, list[Any]] = {}
    for kind in sorted({f.fault.kind for f in alone}):
        took = [f.took for f in alone if f.fault.kind == kind and f.took is not None]
        out[kind] = [len(took), c.at_share(took, 0.5), c.at_share(took, 1.0)]
    return out


def leading(fleet: Fleet) -> list[c.Leads]:
    return [
        c.Leads(name, t.status["term"])
        for name, m in fleet.members.items()
        for t in m.told
        if t.status["role"] == "leader"
    ]


def said(fleet: Fleet) -> list[c.Act]:
    """What members told of their acting, within the time in which they were asked."""
    return [
        c.Act(name, 0, duty, of["acting"], t.begin, t.end)
        for name, m in fleet.members.items()
        for t in m.told
        for duty, of in t.status["duties"].items()
        if of["acting"]
    ]
