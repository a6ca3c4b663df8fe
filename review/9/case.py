"""An operator closes a billing period that is over, under load: what is not exported yet is billed twice."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from ledger2 import OPERATOR, ask, start_collector
from world2 import NotRunError, World, play, unix_ms

PERIOD_S, PERIODS = 10, 3


async def case(world: World) -> list[str]:
    for n in range(4):
        await world.add_host(f"s-{n}", cell=n // 2, holds_all=True)
    world.bus.tell(*(host.entry() for host in world.hosts), full=True)
    stored, ops = world.tmp / "collector.json", await world.free_address()
    operator = OPERATOR.format(
        ops=ops,
        folder=world.tmp / "ledger",
        period_s=PERIOD_S,
        collector=start_collector(world, stored),
    )
    await world.start_invoker(operator=operator)
    await world.wait_healthy()
    functions = [f"{random.getrandbits(64):016x}" for _ in range(10)]
    left_s = PERIOD_S - unix_ms() / 1000 % PERIOD_S
    await asyncio.sleep(left_s + 0.1)  # begin with a period
    client = await world.client()
    for _ in range(PERIODS):
        period = int(unix_ms() / 1000) // PERIOD_S
        left_s = PERIOD_S - unix_ms() / 1000 % PERIOD_S
        await world.traffic(client, "weight-read", functions, 40, left_s + 0.1)
        if world.trouble:
            closed = asyncio.ensure_future(ask(world, ops, f"/ledger/close?period={period}"))
            await world.traffic(client, "weight-read", functions, 40, 0.2)
            if not (await closed).startswith("200"):
                raise NotRunError("the period was not closed")
    await world.traffic(client, "weight-read", functions, 40, 4.0)
    await asyncio.sleep(4.0)  # the last batch is cut after 1 s, and acknowledged
    return check(world, json.loads(stored.read_text()))


def check(world: World, stored: dict[str, Any]) -> list[str]:
    """Hold what the collector has against what the clients were answered."""
    answered = Counter(call.outcome() for call in world.calls)
    times = Counter(entry["id"] for entry in stored["entries"])
    billed = Counter[str]()
    for entry in stored["entries"]:
        billed[entry["outcome"]] += entry["calls"]
    twice = sorted(id for id, count in times.items() if count > 1)
    called = {entry["call"] for entry in stored["entries"]}
    missing = [call.rid for call in world.calls if call.answers and call.rid not in called]
    world.record(f"collector: {stored['figures']}")
    world.record(f"answered {dict(answered)}, exported {dict(billed)}, entries twice {twice}")
    print(f"answered {dict(answered)}, exported {dict(billed)}, twice {len(twice)}, missing {len(missing)}")
    breaks = []
    if twice:
        breaks.append(f"{len(twice)} entries were exported twice, the first is {twice[0]}")
    if missing:
        breaks.append(f"{len(missing)} answered calls have no entry, the first is {missing[0]}")
    if not breaks and any(billed[outcome] != count for outcome, count in answered.items()):
        breaks.append(f"answered {dict(answered)}, exported {dict(billed)}")
    return breaks


if __name__ == "__main__":
    play(case, __file__)
