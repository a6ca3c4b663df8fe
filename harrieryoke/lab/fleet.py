"""The experiment `fleet`: five real invokers with a council, under load and seeded fault injection."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

import gevent
import msgspec

from ..council.actor import boot_ms
from . import audit
from . import fleet_checks as checks
from .collector import EmulatedCollector
from .fleet_faults import FaultInjector
from .fleet_world import DUTIES, LEASE_MS, Fleet, Traffic
from .ledger import compare_with_collector

CASES = {"three-voters": 3, "five-voters": 5}
MEMBERS = 5
OBSERVATION_S = 4.0  # how long the traffic of an idle and of a loaded council is measured
# shorter gaps between acts are polling delay: agents poll every 10 ms, less often on a busy machine
MIN_GAP_MS = 100.0
MUST_BE_ZERO = (
    "two_holders",
    "stale_acts_taken",
    "agreed_lost",
    "two_leaders",
    "others",
    "unanswered",
    "answered_twice",
)
SUMMARY_KEYS = ("handover_p50_ms", "handover_p99_ms", "handover_in_order_p99_ms", "duty_unheld_share")


class FencedCollector(EmulatedCollector):
    """Records which periods were reconciled, and each write under a token with the decision of the fence."""

    def __init__(self, rng: random.Random) -> None:
        self.writes: list[checks.FencedWrite] = []
        self.reconciled_periods: set[tuple[str, int]] = set()
        super().__init__(rng)

    def newer_token(self, instance: str, period: int, token: int) -> int:
        newer = super().newer_token(instance, period, token)
        self.reconciled_periods.add((instance, period))
        if token:
            self.writes.append(checks.FencedWrite(instance, f"{instance}/{period}", token, not newer))
        return newer


def run_case(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    collector = FencedCollector(random.Random(seed + 1))
    fleet = Fleet(folder, seed, CASES[case], MEMBERS, rate / MEMBERS, collector)
    healthy = fleet.wait_healthy()
    members = list(fleet.members.values())
    idle = measure_traffic(fleet)
    fleet.enable_proposals(True)
    load_greenlets = [gevent.spawn(m.load.run, seconds) for m in members]
    loaded = measure_traffic(fleet)
    faults, begin = FaultInjector(fleet, seed), boot_ms()
    faults.run(seconds - OBSERVATION_S)
    end = boot_ms()
    gevent.joinall(load_greenlets, raise_error=True)
    healthy = healthy and fleet.wait_healthy()
    fleet.enable_proposals(False)
    deadline = boot_ms() + 10 * LEASE_MS
    while checks.incomplete_members(fleet.observer.applied, fleet.names) and boot_ms() < deadline:
        gevent.sleep(0.5)
    acts, writes = list(fleet.observer.acts), fleet.observer.writes + collector.writes
    applied = [event for event in fleet.observer.applied if isinstance(event, checks.Applied)]
    loaded_states = [event for event in fleet.observer.applied if isinstance(event, checks.SnapshotLoaded)]
    exit_codes = fleet.close()
    collector.stop()
    calls = [call for m in members for call in m.load.calls]
    answered_calls = [call for call in calls if not call.connection_lost]
    answers = audit.answer_counts(answered_calls)
    copies = list(fleet.observer.state_copies)
    findings = {
        "two_holders": checks.two_holders(acts) + checks.two_holders(reported_acts(fleet)),
        "stale_acts_taken": checks.stale_writes_admitted(writes),
        "agreed_lost": checks.lost_commits(applied, copies, loaded_states)
        + checks.incomplete_members(fleet.observer.applied, fleet.names),
        "two_leaders": checks.two_leaders(reported_leaders(fleet)),
        "others": fleet.findings,
    }
    all_failovers = checks.failovers(acts, fleet.faults, LEASE_MS)
    isolated_failovers = [f for f in all_failovers if f.isolated and f.duration is not None]
    handovers = checks.planned_handovers(acts, fleet.faults, LEASE_MS)
    gaps = [p.gap for p in handovers]
    spans_with_members = spans_outside(begin, end, [f for f in fleet.faults if f.kind == "all"])
    figures: dict[str, Any] = {
        "case": case,
        "lease_ms": LEASE_MS,
        "well_at_the_end": healthy,
        "exit_codes": exit_codes,
        **{name: len(lines) for name, lines in findings.items()},
        "unanswered": answers["unanswered"],
        "answered_twice": answers["doubled"],
        "taken": len(calls),
        "lost_with_their_invoker": sum(call.connection_lost for call in calls),
        "handovers_by_failure": len(all_failovers),
        "handovers_by_failure_alone": len(isolated_failovers),
        "handovers_that_never_came": sum(f.duration is None for f in all_failovers),
        "handover_p50_ms": checks.quantile(
            [f.duration for f in isolated_failovers if f.duration is not None], 0.5
        ),
        "handover_p99_ms": checks.quantile(
            [f.duration for f in isolated_failovers if f.duration is not None], 0.99
        ),
        "handover_p99_ms_two_faults": checks.quantile(
            [
                f.duration
                for f in all_failovers
                if not f.isolated and f.duration is not None and f.fault.kind != "all"
            ],
            0.99,
        ),
        "handover_after_all_are_up_p99_ms": checks.quantile(
            [
                f.duration + f.fault.began_at - f.fault.ended_at
                for f in all_failovers
                if f.duration and f.fault.kind == "all"
            ],
            0.99,
        ),
        "handover_by_kind_ms": failovers_by_kind(isolated_failovers),
        "handovers_in_order": len(handovers),
        "handover_in_order_p50_ms": checks.quantile(gaps, 0.5),
        "handover_in_order_p99_ms": checks.quantile(gaps, 0.99),
        "duty_unheld_share": unheld_share(acts, [(begin, end)]),
        "duty_unheld_share_while_any_is_up": unheld_share(acts, spans_with_members),
        "faults": dict(Counter(f.kind for f in fleet.faults)),
        "rounds": faults.rounds,
        "acts_seen": len(acts),
        "acts_agreed": len({(a.duty, a.log_index) for a in applied}),
        "acts_applied": len(applied),
        "snapshots_loaded": len(
            {(event.member, event.chain_hash) for event in loaded_states if event.chain_hash}
        ),
        "copies_compared": len(copies) - len({copy.log_index for copy in copies}),
        "stale_acts_refused": sum(not event.admitted for event in writes),
        "reconciles": {
            "asked": len(collector.reconciled_periods),
            "failed": fleet.log_counts["reconcile-failed"],
            "sealed": fleet.log_counts["period-sealed"],
            "under_a_token": len(collector.writes),
        },
        "idle": idle,
        "loaded": loaded,
        "collector": collector.figures(),
        "ledger": compare_with_collector(answered_calls, collector),
        "found": {name: lines[:10] for name, lines in findings.items() if lines},
        "took": [
            [f.fault.kind, f.fault.member, round(f.fault.began_at), f.duty, f.duration, f.isolated]
            for f in all_failovers
        ],
        "slow_in_order": [p for p in sorted(handovers, key=lambda p: -p.gap)[:5] if p.gap > 100.0],
    }
    (folder / "seen").write_bytes(msgspec.msgpack.encode([acts, writes, applied, fleet.faults]))
    return figures


def measure_traffic(fleet: Fleet) -> dict[str, float]:
    """Measure messages and bytes per second between the members while no fault is active."""
    before: Traffic = fleet.traffic()
    gevent.sleep(OBSERVATION_S)
    after = fleet.traffic()
    seconds = (after.at - before.at) / 1000
    return {
        "messages_per_s": round((after.messages - before.messages) / seconds, 1),
        "bytes_per_s": round((after.bytes - before.bytes) / seconds),
    }


def spans_outside(begin: float, end: float, faults: list[checks.InjectedFault]) -> list[tuple[float, float]]:
    """Return the spans outside the faults and outside two leases after each, the time of a full restart."""
    spans = []
    for at, until in sorted({(f.began_at, f.ended_at + 2 * LEASE_MS) for f in faults}):
        spans.append((begin, max(begin, at)))
        begin = max(begin, until)
    return [*spans, (begin, max(begin, end))]


def unheld_share(acts: list[checks.Act], spans: list[tuple[float, float]]) -> float:
    total = sum(end - begin for begin, end in spans) * len(DUTIES)
    return round(
        sum(checks.unheld_ms(acts, DUTIES, begin, end, MIN_GAP_MS) for begin, end in spans) / max(1.0, total),
        5,
    )


def failovers_by_kind(isolated_failovers: list[checks.Failover]) -> dict[str, list[Any]]:
    """Return count, median and maximum of the durations, by kind of fault."""
    by_kind: dict[str, list[Any]] = {}
    for kind in sorted({f.fault.kind for f in isolated_failovers}):
        durations = [
            f.duration for f in isolated_failovers if f.fault.kind == kind and f.duration is not None
        ]
        by_kind[kind] = [len(durations), checks.quantile(durations, 0.5), checks.quantile(durations, 1.0)]
    return by_kind


def reported_leaders(fleet: Fleet) -> list[checks.Leadership]:
    return [
        checks.Leadership(name, report.status["term"])
        for name, member in fleet.members.items()
        for report in member.reports
        if report.status["role"] == "leader"
    ]


def reported_acts(fleet: Fleet) -> list[checks.Act]:
    """Return the duties that members reported as acting, each within the time of the status request."""
    return [
        checks.Act(name, 0, duty, duty_status["acting"], report.begin, report.end)
        for name, member in fleet.members.items()
        for report in member.reports
        for duty, duty_status in report.status["duties"].items()
        if duty_status["acting"]
    ]
