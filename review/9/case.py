"""The same correction of the billing ledger is asked for twice at once, and is applied twice."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from ledger2 import OPERATOR, ask, start_collector
from world2 import NotRunError, World, play

CORRECTIONS = 10
DAY_S = 86_400


async def case(world: World) -> list[str]:
    for n in range(4):
        await world.add_host(f"s-{n}", cell=n // 2, holds_all=True)
    world.bus.tell(*(host.entry() for host in world.hosts), full=True)
    stored, ops = world.tmp / "collector.json", await world.free_address()
    collector = start_collector(world, stored)
    operator = OPERATOR.format(ops=ops, folder=world.tmp / "ledger", period_s=DAY_S, collector=collector)
    await world.start_invoker(operator=operator)
    await world.wait_healthy()
    client = await world.client()
    functions = [f"{random.getrandbits(64):016x}" for _ in range(10)]
    await world.traffic(client, "weight-read", functions, 40, 3.0)
    billed = [e["id"] for e in json.loads(stored.read_text())["entries"] if e["outcome"] == "served"]
    if len(billed) < CORRECTIONS:
        raise NotRunError("too few calls were exported")
    for id in billed[:CORRECTIONS]:
        path = f"/ledger/correct?id={id}&calls=0&worth=0&took=0&held=0&reason=wrong+hive"
        if world.trouble:
            await asyncio.gather(ask(world, ops, path), ask(world, ops, path))
        else:
            await ask(world, ops, path)
            await ask(world, ops, path)
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)  # a batch is cut after 1 s
    entries = json.loads(stored.read_text())["entries"]
    breaks = []
    for id in billed[:CORRECTIONS]:
        calls = sum(entry["calls"] for entry in entries if id in (entry["id"], entry["corrects"]))
        if calls:
            breaks.append(f"the call of {id} was corrected to 0 calls, and comes to {calls}")
    served = sum(call.outcome() == "served" for call in world.calls)
    total = sum(entry["calls"] for entry in entries if entry["outcome"] == "served")
    print(f"{served} served, {CORRECTIONS} of them corrected to 0, exported {total}")
    world.record(f"{served} served, {CORRECTIONS} of them corrected to 0, exported {total}")
    return breaks


if __name__ == "__main__":
    play(case, __file__)
