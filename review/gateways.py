"""The operator's file with MQTT triggers, and the scene that the cases with a broker share."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from broker import Broker, Proxy
from standins import Bus, Host, Invoker, Rack, Record, free_address, now_ms, start_invoker, write_config

# as in deploy/operator.toml, less the schema and the responses, which each message names
OPERATOR = """
[mqtt]
broker = "BROKER"
client_id = "harrieryoke-sfax-1"
version = "5"
receive_maximum = 64
session_expiry_s = 3600
remember_s = 600

[[mqtt.trigger]]
topic = "hives/{coop}/harvest/{model}"
class = "harvest-log"
tenant = "{coop}"
function = "{model}"
key = "json reading"
memory_mb = 380
lanes = 4
load_ms = 700

[[mqtt.trigger]]
topic = "hives/{coop}/weight/{model}"
class = "weight-read"
tenant = "{coop}"
function = "{model}"
memory_mb = 450
lanes = 4
load_ms = 800
"""
FUNCTIONS = [f"{n:016x}" for n in range(0xA1, 0xA9)]


@dataclass
class Scene:
    """Hosts of two racks, the event bus, a broker behind a proxy, and what an invoker is started with."""

    record: Record
    folder: Path
    hosts: list[Host]
    bus: Bus
    broker: Broker
    proxy: Proxy
    listen: str
    operator: Path

    async def start_invoker(self, name: str) -> Invoker:
        return await start_invoker(self.record, self.folder, name, self.listen, self.operator)

    async def subscribed(self, seconds: float = 20.0) -> None:
        end = now_ms() + 1000 * seconds
        while not any(session.subscribed for session in self.broker.sessions.values()):
            if now_ms() > end:
                raise TimeoutError("the invoker did not subscribe")
            await asyncio.sleep(0.05)


async def make_scene(record: Record, folder: Path, delay_ms: float) -> Scene:
    """`delay_ms` is the way between broker and invoker, one way."""
    bus, racks = Bus(record), [Rack(0), Rack(1)]
    hosts = [Host(f"s-{n}", racks[n % 2], record) for n in range(8)]
    for host in hosts:
        await host.start()
    await bus.start()
    bus.publish(hosts)
    broker = Broker(record)
    await broker.start()
    proxy = Proxy(broker.address, delay_ms)
    await proxy.start()
    listen, operator = free_address(), folder / "operator.toml"
    write_config(folder, listen, bus, bus.known())
    operator.write_text(OPERATOR.replace("BROKER", proxy.address))
    return Scene(record, folder, hosts, bus, broker, proxy, listen, operator)
