"""The experiment `ledger`: invokers under load, killed at random, and a collector that fails.

Clients count what they were answered, call by call; the collector counts what it was sent. The report
compares both: an answer without an entry is `missing`, two entries for one call are `duplicates`. An entry
whose client heard nothing, since the invoker was killed between the two, is `unheard`.
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
from .clients import Sent
from .collector import EmulatedCollector
from .world import World

FAULTS = {"lose": 0.08, "drop": 0.08, "twice": 0.05, "slow": 0.1, "refuse": 0.05}
LEDGER = """
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
STORE = """
[store]
folder = "store"
segment_mb = 0.25
snapshot_every = 500
"""
CASES = ("kills-disk", "kills-memory", "serving-on", "serving-off", "storage")
INVOKERS = 3


def play(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    if case == "storage":
        return storage.play(seed, folder)
    if case.startswith("serving-"):
        return serving(case, seed, seconds, rate, folder)
    return kills(case, seed, seconds, rate, folder)


def serving(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    """One invoker without troubles, with and without its ledger."""
    collector = EmulatedCollector(random.Random(seed))
    operator = "" if case.endswith("off") else STORE + LEDGER.format(address=collector.address())
    world = World(folder, seed, rate, operator)
    world.run(seconds, 0.0)
    status = world.status("/ledger")
    figures = world.figures() | {
        "case": case,
        "exit_code": world.close(),
        "p50_ms": world.latency(0.5, 4000.0),
        "p99_ms": world.latency(0.99, 4000.0),
        "unsure": status.get("counts", {}).get("unsure", 0),
        "store": status.get("store"),
    }
    collector.down()
    return figures | compared(world.load.calls, collector)


def kills(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    rng, disk = random.Random(seed), case.endswith("disk")
    collector = EmulatedCollector(random.Random(seed + 1), dict(FAULTS))
    operator = (STORE if disk else "") + LEDGER.format(address=collector.address())
    worlds: list[World] = []
    for n in range(INVOKERS):
        (folder / f"n{n}").mkdir()
        worlds.append(World(folder / f"n{n}", seed + n, rate / INVOKERS, operator, 3, name=f"n{n}"))
    recovery, stop = list[float](), now_ms() + seconds * 1000

    def trouble() -> None:
        while now_ms() < stop - 3000:
            gevent.sleep(rng.uniform(0.1, 0.8))
            recovery.append(rng.choice(worlds).kill())
            if disk and len(recovery) % 13 == 5:
                collector.save()
            elif disk and len(recovery) % 13 == 12:
                collector.back()
            elif len(recovery) % 13 == 8:
                collector.down()
                gevent.sleep(rng.uniform(0.1, 1.0))
                collector.listen()

    greenlets = [gevent.spawn(world.load.run, seconds) for world in worlds]
    greenlets.append(gevent.spawn(trouble))
    gevent.joinall(greenlets, raise_error=True)
    collector.faults = {}
    settled = [settle(world) for world in worlds]
    codes = [world.close() for world in worlds]
    collector.down()
    calls = [call for world in worlds for call in world.load.calls]
    recovery.sort()
    figures = audit.merged(
        audit.answers([c for c in calls if not c.lost]),
        {
            "case": case,
            "lost_with_their_invoker": sum(c.lost for c in calls),
            "kills": len(recovery),
            "exit_codes": codes,
            "settled": settled,
            "recovery_ms_p50": round(recovery[len(recovery) // 2], 1),
            "recovery_ms_p99": round(recovery[int(0.99 * (len(recovery) - 1))], 1),
            "collector": collector.figures(),
        },
        compared(calls, collector),
    )
    if not disk:
        figures["missing_outside_gaps"] = outside_gaps(worlds, collector)
    return figures


def settle(world: World) -> bool:
    """Whether all that the invoker has is at the collector, within 30 s."""
    until = now_ms() + 30_000
    while now_ms() < until:
        export = world.status("/ledger").get("export")
        if export and not export["not_in_a_batch"] and not export["unsent"]:
            return True
        gevent.sleep(0.1)
    return False


def compared(calls: list[Sent], collector: EmulatedCollector) -> dict[str, Any]:
    """The clients' truth against the collector's entries, call by call and in sums by tenant and outcome."""
    uses = [e for e in collector.entries() if e.kind == pb.USE]
    by_call = Counter(e.call for e in uses)
    heard = {c.rid: c for c in calls if c.answers}
    truth = Counter((c.tenant, c.how) for c in heard.values())
    billed = Counter((e.tenant, e.outcome) for e in uses if e.call in heard)
    return {
        "truth": sum(truth.values()),
        "billed": len(uses),
        "duplicates": sum(n - 1 for n in by_call.values()) + collector.figures()["duplicates"],
        "missing": sum(rid not in by_call for rid in heard),
        "unheard": sum(e.call not in heard for e in uses),
        "totals_equal": truth == billed,
        "repeats": sum(e.repeat for e in uses),
    }


def outside_gaps(worlds: list[World], collector: EmulatedCollector) -> int:
    """Answers that are missing though no gap that the collector can name covers them: from the last entry
    that it has of an epoch to the begin of the instance's next one."""
    entries = collector.entries()
    known = {e.call for e in entries}
    outside, wall_ahead = 0, wall_ms() - now_ms()  # entries and epochs are on the wall clock
    for n, world in enumerate(worlds):
        began = sorted({(h.epoch, h.started_ms) for h in collector.hellos if h.instance == f"n{n}"})
        last: dict[int, int] = {}
        for e in entries:
            if e.instance == f"n{n}":
                last[e.epoch] = max(last.get(e.epoch, 0), e.at_ms)
        gaps = [
            (last.get(epoch, started), began[place + 1][1] if place + 1 < len(began) else 0)
            for place, (epoch, started) in enumerate(began)
        ]
        for call in world.load.calls:
            if call.answers and call.rid not in known:
                outside += not any(begin - 50 <= call.answered + wall_ahead <= end for begin, end in gaps)
    return outside
