"""The experiment `ledger`: invokers under load are killed at random, and the collector fails.

Clients record the answer of each call, the collector records the entries it receives. The report compares
both: an answer without an entry is `missing`, a second entry for one call counts as `duplicates`, and an
entry whose client received no answer, as the invoker was killed in between, is `unheard`.
"""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

import gevent

from ..core.clock import now_ms, wall_ms
from ..ledger.wire.codec import pb
from . import audit, storage
from .clients import SentCall
from .collector import EmulatedCollector
from .world import InvokerTestbed

COLLECTOR_FAULTS = {"lose": 0.08, "drop": 0.08, "twice": 0.05, "slow": 0.1, "refuse": 0.05}
LEDGER_CONFIG = """
[ledger]
period_s = 20
grace_s = 2
hold_ms = 100

[ledger.collector]
address = "{address}"
batch = 50
batch_ms = 100
answer_ms = 1000
"""
STORE_CONFIG = """
[store]
folder = "store"
segment_mb = 0.25
snapshot_every = 500
"""
CASES = ("kills-disk", "kills-memory", "serving-on", "serving-off", "storage")
INVOKERS = 3


def run_case(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    if case == "storage":
        return storage.run_case(seed, folder)
    if case.startswith("serving-"):
        return run_serving(case, seed, seconds, rate, folder)
    return run_kills(case, seed, seconds, rate, folder)


def run_serving(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    """Run one invoker without faults, with or without a ledger."""
    collector = EmulatedCollector(random.Random(seed))
    operator = (
        "" if case.endswith("off") else STORE_CONFIG + LEDGER_CONFIG.format(address=collector.address())
    )
    testbed = InvokerTestbed(folder, seed, rate, operator)
    testbed.run(seconds, 0.0)
    status = testbed.fetch_status("/ledger")
    figures = testbed.figures() | {
        "case": case,
        "exit_code": testbed.close(),
        "p50_ms": testbed.latency(0.5, 4000.0),
        "p99_ms": testbed.latency(0.99, 4000.0),
        "unsure": status.get("counts", {}).get("unsure", 0),
        "store": status.get("store"),
    }
    collector.stop()
    return figures | compare_with_collector(testbed.load.calls, collector)


def run_kills(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    """Kill and restart several invokers at random, while the collector fails, restarts or is restored."""
    rng, with_store = random.Random(seed), case.endswith("disk")
    collector = EmulatedCollector(random.Random(seed + 1), dict(COLLECTOR_FAULTS))
    operator = (STORE_CONFIG if with_store else "") + LEDGER_CONFIG.format(address=collector.address())
    testbeds: list[InvokerTestbed] = []
    for n in range(INVOKERS):
        (folder / f"n{n}").mkdir()
        testbeds.append(
            InvokerTestbed(folder / f"n{n}", seed + n, rate / INVOKERS, operator, 3, name=f"n{n}")
        )
    recovery_times, stop_at = list[float](), now_ms() + seconds * 1000

    def inject_faults() -> None:
        while now_ms() < stop_at - 3000:
            gevent.sleep(rng.uniform(0.1, 0.8))
            recovery_times.append(rng.choice(testbeds).kill())
            if with_store and len(recovery_times) % 13 == 5:
                collector.save_batches()
            elif with_store and len(recovery_times) % 13 == 12:
                collector.restore_saved_batches()
            elif len(recovery_times) % 13 == 8:
                collector.stop()
                gevent.sleep(rng.uniform(0.1, 1.0))
                collector.listen()

    greenlets = [gevent.spawn(testbed.load.run, seconds) for testbed in testbeds]
    greenlets.append(gevent.spawn(inject_faults))
    gevent.joinall(greenlets, raise_error=True)
    collector.faults = {}
    settled = [wait_exported(testbed) for testbed in testbeds]
    exit_codes = [testbed.close() for testbed in testbeds]
    collector.stop()
    calls = [call for testbed in testbeds for call in testbed.load.calls]
    recovery_times.sort()
    figures = audit.merge_figures(
        audit.answer_counts([call for call in calls if not call.connection_lost]),
        {
            "case": case,
            "lost_with_their_invoker": sum(call.connection_lost for call in calls),
            "kills": len(recovery_times),
            "exit_codes": exit_codes,
            "settled": settled,
            "recovery_ms_p50": round(recovery_times[len(recovery_times) // 2], 1),
            "recovery_ms_p99": round(recovery_times[int(0.99 * (len(recovery_times) - 1))], 1),
            "collector": collector.figures(),
        },
        compare_with_collector(calls, collector),
    )
    if not with_store:
        figures["missing_outside_gaps"] = missing_outside_gaps(testbeds, collector)
    return figures


def wait_exported(testbed: InvokerTestbed) -> bool:
    """Wait up to 30 s until all entries are exported. Return whether they were."""
    deadline = now_ms() + 30_000
    while now_ms() < deadline:
        export = testbed.fetch_status("/ledger").get("export")
        if export and not export["not_in_a_batch"] and not export["unsent"]:
            return True
        gevent.sleep(0.1)
    return False


def compare_with_collector(calls: list[SentCall], collector: EmulatedCollector) -> dict[str, Any]:
    """Compare the answers that clients received with the collector's entries, per call and in total."""
    usage = [e for e in collector.entries() if e.kind == pb.USE]
    by_call = Counter(e.call for e in usage)
    answered = {call.request_id: call for call in calls if call.answers}
    expected = Counter((call.tenant, call.outcome) for call in answered.values())
    billed = Counter((e.tenant, e.outcome) for e in usage if e.call in answered)
    return {
        "truth": sum(expected.values()),
        "billed": len(usage),
        "duplicates": sum(n - 1 for n in by_call.values()) + collector.figures()["duplicates"],
        "missing": sum(rid not in by_call for rid in answered),
        "unheard": sum(e.call not in answered for e in usage),
        "totals_equal": expected == billed,
        "repeats": sum(e.repeat for e in usage),
    }


def missing_outside_gaps(testbeds: list[InvokerTestbed], collector: EmulatedCollector) -> int:
    """Count answers without an entry that no known gap covers.

    A gap lasts from the last entry of an epoch at the collector to the start of the instance's next epoch.
    """
    entries = collector.entries()
    known = {e.call for e in entries}
    missing, wall_offset = 0, wall_ms() - now_ms()  # entries and epochs use the wall clock
    for n, testbed in enumerate(testbeds):
        epochs = sorted({(h.epoch, h.started_ms) for h in collector.hellos if h.instance == f"n{n}"})
        last_entry_at: dict[int, int] = {}
        for e in entries:
            if e.instance == f"n{n}":
                last_entry_at[e.epoch] = max(last_entry_at.get(e.epoch, 0), e.at_ms)
        gaps = [
            (last_entry_at.get(epoch, started), epochs[place + 1][1] if place + 1 < len(epochs) else 0)
            for place, (epoch, started) in enumerate(epochs)
        ]
        for call in testbed.load.calls:
            if call.answers and call.request_id not in known:
                missing += not any(begin - 50 <= call.answered_at + wall_offset <= end for begin, end in gaps)
    return missing
