"""The project's emulated collector as a process: prints its address, keeps a file with what it stored."""

from __future__ import annotations

import json
import os
import random
import sys
from pathlib import Path

import gevent

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harrieryoke.lab.collector import EmulatedCollector


def main(path: str) -> None:
    collector = EmulatedCollector(random.Random(1))
    print(collector.address(), flush=True)
    while True:
        entries = [
            {
                "id": f"{e.instance}/{e.epoch:x}/{e.number}",
                "call": e.call,
                "outcome": e.outcome,
                "calls": e.calls,
                "corrects": e.corrects,
                "period": e.period,
            }
            for e in collector.entries()
        ]
        with open(f"{path}.new", "w") as file:
            json.dump({"entries": entries, "figures": collector.figures()}, file)
        os.replace(f"{path}.new", path)
        gevent.sleep(0.3)


if __name__ == "__main__":
    main(sys.argv[1])
