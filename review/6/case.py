"""A model host's machine vanishes under keyed requests, and a new host is listed at its address."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from world2 import NotRunError, World, play, unix_ms

HOSTS = {"s-a1": 1, "s-a2": 0, "s-a3": 0, "s-a4": 1, "s-a5": 0}  # id -> cell


async def case(world: World) -> list[str]:
    for id, cell in HOSTS.items():
        await world.add_host(id, cell=cell, holds_all=True)
    world.bus.tell(*(host.entry() for host in world.hosts), full=True)
    await world.start_invoker()
    await world.wait_healthy()
    client = await world.client()
    functions = [f"{random.getrandbits(64):016x}" for _ in range(40)]
    await world.traffic(client, "harvest-log", functions, 60, 5.0)
    old = world.hosts[0]
    for _ in range(100):  # some of its requests are under way, as at most moments
        if old.inflight >= 2:
            break
        await world.traffic(client, "harvest-log", functions, 60, 0.02)
    if world.trouble:
        old.silent = True
        world.record(f"{old.id}: its machine vanishes; its open connections stay open and silent")
    await world.traffic(client, "harvest-log", functions, 60, 1.0)
    if world.trouble:
        new = await world.add_host(
            "s-b1", cell=old.cell, address=old.address, holds_all=True, started_ms=unix_ms()
        )
        world.bus.tell(new.entry())
    await world.traffic(client, "harvest-log", functions, 60, 1.0)
    if world.trouble:
        world.bus.tell(old.entry("left"))
    await world.traffic(client, "harvest-log", functions, 60, 1.0)
    await asyncio.sleep(3.3)
    if not any(call.outcome() == "served" for call in world.calls):
        raise NotRunError("no call was served")
    print(dict(Counter(call.outcome() for call in world.calls)))
    return [each for call in world.calls if (each := across_cells(world, call.rid, call.key))]


def across_cells(world: World, rid: str, key: str | None) -> str:
    """Return how a keyed request went on to another cell after an attempt that may have run, or ''."""
    first, *later = world.runs_of(rid) or [None]
    outside = [run for run in later if first is not None and run.host.cell != first.host.cell]
    if first is None or not outside:
        return ""
    where = ", ".join(f"{r.host.id} (cell {r.host.cell}) {r.at - first.at:.3f} s later" for r in outside)
    return f"{rid}, key {key}: arrived whole at {first.host.id} (cell {first.host.cell}), then at {where}"


if __name__ == "__main__":
    play(case, __file__)
