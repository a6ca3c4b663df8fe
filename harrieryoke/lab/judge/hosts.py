"""The model hosts and the event bus of a play, in a process of their own."""

from __future__ import annotations

import random
import sys

import gevent
import msgspec

from ..hosts import EmulatedBus, EmulatedHost, HostSettings, ReceivedFrame

HOSTS = 11
SERVICE_MS, LOAD_MS = 25.0, 200.0
CAPACITY = 1_000_000  # copies; those of functions that are called once are never unloaded


class Addresses(msgspec.Struct):
    """What an invoker's configuration says of discovery."""

    bus: str
    known: dict[str, object]


class Discarded(list[ReceivedFrame]):
    """Takes the record of a frame and forgets it: a play has very many."""

    def append(self, frame: ReceivedFrame) -> None:
        """Forget the frame."""


def main() -> None:
    """Print the addresses, and serve until the input ends."""
    settings = HostSettings(
        service_time=SERVICE_MS, load_time=LOAD_MS, slots=8, capacity=CAPACITY, fixed_service_time=True
    )
    rng = random.Random(1)
    hosts = [EmulatedHost(f"h{n}", "zone-a", rng, Discarded(), settings) for n in range(HOSTS)]
    bus = EmulatedBus()
    addresses = Addresses(bus.address(), bus.initial_events([host.list_entry() for host in hosts]))
    print(msgspec.json.encode(addresses).decode(), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == "__main__":
    main()
