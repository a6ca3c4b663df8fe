"""Case 3: an operator takes model hosts out, back and out again while an upgrade is under way."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    Bus,
    Client,
    Host,
    Rack,
    Record,
    free_address,
    now_ms,
    play,
    start_invoker,
    write_config,
)

SAY_YES_MS = 6000  # DAYS: the new process has 6 s in which to say yes; then the old one gets SIGTERM
TAKEN_OUT = 3  # of six hosts
DRAIN_MS = 1000 + 50  # after the yes, and the slack on sockets
FUNCTIONS = [f"{n:016x}" for n in range(0xA1, 0xAD)]


async def scenario(record: Record, folder: Path, trouble: bool) -> int:
    bus, racks = Bus(record), [Rack(0), Rack(1)]
    hosts = [Host(f"s-{n}", racks[n % 2], record) for n in range(6)]
    for host in hosts:
        await host.start()
    await bus.start()
    bus.publish(hosts)
    listen = free_address()
    write_config(folder, listen, bus, bus.known())
    old = await start_invoker(record, folder, "old", listen)
    if not await old.ready():
        raise RuntimeError("the invoker did not become ready")
    clients, draw, calling = [Client(listen, record) for _ in range(8)], random.Random(3), True

    async def call(client: Client) -> None:
        while calling:
            await client.call("weight-read", draw.choice(FUNCTIONS), 4000, b"41.2", "coop-sahel")
            await asyncio.sleep(draw.uniform(0.05, 0.15))

    callers = [asyncio.create_task(call(client)) for client in clients]
    await asyncio.sleep(4)
    started_at, taken_out = now_ms(), sorted(hosts, key=lambda host: -len(host.requests))[:TAKEN_OUT]
    if trouble:
        new = await start_invoker(record, folder, "new", listen)
        if not await new.ready(SAY_YES_MS / 1000):
            raise RuntimeError("the new process did not say yes")
    await asyncio.sleep(0.5)
    yes_at = dict[str, float]()
    for host in taken_out:
        for words in ("disable-server", "enable-server") * 2 + ("disable-server",):
            if words == "disable-server":
                await asyncio.sleep(0.2)
            if not (await old.ask(f"{words} {host.name}")).startswith("done"):
                raise RuntimeError("the operator's call was not answered with a yes")
            yes_at[host.name] = now_ms()
    await asyncio.sleep((started_at + SAY_YES_MS - now_ms()) / 1000)
    if trouble:
        old.signal(signal.SIGTERM)
        await old.process.wait()
    await asyncio.sleep(3)
    calling = False
    for caller in callers:
        await caller
    late_in_all = 0
    for host in taken_out:
        work = sorted([at for at, _ in host.requests] + [at for at, _ in host.orders])
        late = [round(at - yes_at[host.name]) for at in work if at - yes_at[host.name] > DRAIN_MS]
        late_in_all += len(late)
        record(f"  {host.name}: {len(late)} later than that, in ms after the last yes: {late[:30]}")
    record(
        f"RESULT {late_in_all} requests and orders to load came to {TAKEN_OUT} hosts",
        f"later than {DRAIN_MS} ms after the last yes to disable-server",
    )
    return BROKEN if late_in_all else 0


sys.exit(play(scenario, Path(__file__).resolve().parent))
