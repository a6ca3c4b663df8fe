"""Case 2: the subscriber reconnects in the middle of a burst of MQTT triggers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gateways import FUNCTIONS, make_scene
from standins import BROKEN, Record, now_ms, play

BURSTS, HIVES = 24, 20
CUT_AT = 10  # the burst in whose middle the connection is reset, once
DEADLINE_MS = 4000 + 50  # of weight-read, and the slack on sockets


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    scene = await make_scene(record, folder, delay_ms=2.0)
    invoker = await scene.start_invoker("invoker")
    if not await invoker.ready():
        raise RuntimeError("the invoker did not become ready")
    await scene.subscribed()
    # a gateway reads its hives in turn every half second; their weight is the same for the moment
    for burst in range(BURSTS):
        for hive in range(HIVES):
            topic = f"hives/coop-kef/weight/{FUNCTIONS[hive % 4]}"
            scene.broker.publish(topic, b'{"hive":%d,"kg":41.2}' % hive, f"burst{burst}-hive{hive}")
            if trouble and burst == CUT_AT and hive == HIVES // 2:
                await asyncio.sleep(0.003)
                record("proxy", "resets the connection between broker and invoker")
                scene.proxy.reset()
        await asyncio.sleep(0.5)
    await asyncio.sleep(DEADLINE_MS / 1000 + 2)
    triggers = scene.broker.triggers.values()
    taken = [t for t in triggers if t.acked_at is not None]
    bodies_run = sum(len(host.runs) for host in scene.hosts)
    unanswered = [t for t in taken if not t.outcomes and now_ms() - t.sent_at[-1] > DEADLINE_MS]
    twice = [t for t in triggers if len(t.outcomes) > 1]
    record(
        f"RESULT {len(triggers)} triggers, {len(taken)} acknowledged by the invoker; {len(unanswered)}",
        f"of these have no final answer, {len(twice)} have two; {bodies_run} runs at the hosts",
    )
    for trigger in unanswered[:10]:
        sent = [round(at - record.started) for at in trigger.sent_at]
        acked = round((trigger.acked_at or 0) - record.started)
        record("  no answer:", trigger.correlation, "sent at", sent, "acknowledged at", acked)
    return BROKEN if unanswered or twice else 0


sys.exit(play(scenario, Path(__file__).resolve().parent))
