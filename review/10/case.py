"""The invoker is killed after it has confirmed a correction of the billing ledger: the correction is gone."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from ledger2 import OPERATOR, ask, start_collector
from world2 import NotRunError, World, play

TRIALS = 30
DAY_S = 86_400


async def case(world: World) -> list[str]:
    for n in range(4):
        await world.add_host(f"s-{n}", cell=n // 2, holds_all=True)
    world.bus.tell(*(host.entry() for host in world.hosts), full=True)
    stored, ops = world.tmp / "collector.json", await world.free_address()
    collector = start_collector(world, stored)
    operator = OPERATOR.format(ops=ops, folder=world.tmp / "ledger", period_s=DAY_S, collector=collector)
    process = await world.start_invoker(operator=operator)
    await world.wait_healthy()
    client = await world.client()
    functions = [f"{random.getrandbits(64):016x}" for _ in range(10)]
    await world.traffic(client, "weight-read", functions, 120, 3.0)
    billed = [e["id"] for e in json.loads(stored.read_text())["entries"] if e["outcome"] == "served"]
    if len(billed) < TRIALS:
        raise NotRunError("too few calls were exported")
    confirmed: list[str] = []
    for id in billed[:TRIALS]:
        load = world.spawn(world.traffic(client, "weight-read", functions, 120, 5.0))
        await asyncio.sleep(random.uniform(0.3, 0.6))
        path = f"/ledger/correct?id={id}&calls=0&worth=0&took=0&held=0&reason=wrong+hive"
        answer = await ask(world, ops, path)
        if world.trouble:
            process.kill()
            process.wait()
            world.record("the invoker was killed")
        load.cancel()
        if not answer.startswith("200"):
            raise NotRunError(f"no correction: {answer}")
        confirmed.append(json.loads(answer.partition(" ")[2])["id"])
        if world.trouble:
            process = await world.start_invoker(operator=operator)
            await world.wait_healthy()
            client = await world.client()
    await asyncio.sleep(4.0)  # what was left is exported at the start; a batch is cut after 1 s
    there = {entry["id"] for entry in json.loads(stored.read_text())["entries"]}
    lost = [id for id in confirmed if id not in there]
    world.record(f"confirmed {confirmed}, at the collector {[id for id in confirmed if id in there]}")
    print(f"{len(confirmed)} corrections confirmed, {len(lost)} lost")
    return [
        f"the correction {id} was confirmed, and neither the ledger nor the collector has it" for id in lost
    ]


if __name__ == "__main__":
    play(case, __file__)
