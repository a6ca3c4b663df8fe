"""Case 1: an upgrade of an invoker with MQTT triggers, under load."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gateways import FUNCTIONS, make_scene
from standins import BROKEN, Record, now_ms, play

SAY_YES_MS = 6000  # DAYS: the new process has 6 s in which to say yes; then the old one gets SIGTERM
LONGEST_MS = 4000  # deadline of weight-read


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    scene = await make_scene(record, folder, delay_ms=1.0)
    old = await scene.start_invoker("old")
    if not await old.ready():
        raise RuntimeError("the invoker did not become ready")
    await scene.subscribed()
    draw, publishing = random.Random(1), True

    async def publish() -> None:
        count = 0
        while publishing:
            count += 1
            function = draw.choice(FUNCTIONS)
            if count % 2:
                reading = json.dumps({"reading": f"r{count}", "kg": 41}).encode()
                scene.broker.publish(f"hives/coop-kef/harvest/{function}", reading, f"c{count}")
            else:
                scene.broker.publish(f"hives/coop-kef/weight/{function}", b'{"kg":%d}' % count, f"c{count}")
            await asyncio.sleep(draw.uniform(0.02, 0.04))

    gateways = asyncio.create_task(publish())
    await asyncio.sleep(5)
    if trouble:
        new, started_at = await scene.start_invoker("new"), now_ms()
        if not await new.ready(SAY_YES_MS / 1000):
            raise RuntimeError("the new process did not say yes")
        await asyncio.sleep((started_at + SAY_YES_MS - now_ms()) / 1000)
        old.signal(signal.SIGTERM)
        await old.process.wait()
        record("old", "has ended with", old.process.returncode)
        await asyncio.sleep(2)
    else:
        await asyncio.sleep(10)
    publishing = False
    await gateways
    await asyncio.sleep((LONGEST_MS + 2000) / 1000)

    triggers = scene.broker.triggers.values()
    answered_twice = [t for t in triggers if len(t.outcomes) > 1]
    contradictory = [t for t in answered_twice if len({outcome for _, outcome in t.outcomes}) > 1]
    ran: dict[str, list[str]] = {}
    for host in scene.hosts:
        for run in host.runs:
            if run.key is not None and not run.dropped:
                ran.setdefault(run.key, []).append(f"{host.name} of rack {run.cell}")
    ran_twice = {key: hosts for key, hosts in ran.items() if len(hosts) > 1}
    record(
        f"RESULT {len(triggers)} triggers; {len(answered_twice)} with more than one final answer,",
        f"{len(contradictory)} of them contradictory; {len(ran_twice)} harvest-log keys ran twice",
    )
    for trigger in answered_twice[:10]:
        record("  answers of", trigger.correlation, [outcome for _, outcome in trigger.outcomes])
    for key, hosts in list(ran_twice.items())[:10]:
        record("  key", key, "ran at", hosts)
    record("  connections of the session:", scene.broker.connections)
    return BROKEN if answered_twice or ran_twice else 0


sys.exit(play(scenario, Path(__file__).resolve().parent))
